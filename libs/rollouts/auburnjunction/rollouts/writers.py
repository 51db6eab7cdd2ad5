"""Writing of status rows by whichever node has the evidence."""

import random
from collections.abc import Callable

from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.rollouts.orders import (
    STATE_NAMES,
    Phase,
    Status,
    StatusStore,
)
from auburnjunction.rollouts.states import ServiceState
from auburnjunction.rollouts.statistics import RolloutStats
from auburnjunction.storage.tables import PlatformError, VersionConflictError

STORE_TIMEOUT_S = 1.5
# Delays before a write, so that one of the readers usually writes and the
# others learn of it: the news of a write takes about 0.3 s to all nodes.
READER_DELAY_S = (0.0, 0.5)
OTHER_DELAY_S = (1.0, 2.5)
# Delays before the next attempt after a failed one. Those of other nodes than
# readers, of which there are many, spare a store that is overloaded.
READER_RETRY_DELAY_S = (0.5, 1.5)
OTHER_RETRY_DELAY_S = (2.0, 6.0)
CONFLICT_DELAY_S = (0.05, 0.2)


class StatusWriter:
    """Brings the status row of one service to a wanted phase."""

    def __init__(
        self,
        service: str,
        state: ServiceState,
        store: StatusStore,
        clock: Clock,
        rng: random.Random,
        stats: RolloutStats,
    ):
        self._service = service
        self._state = state
        self._store = store
        self._clock = clock
        self._random = rng
        self._stats = stats
        self._wanted: Phase | None = None
        self._due_s = 0.0
        self._is_reader = False
        self._is_busy = False
        # Evidence of the roll-out whose acceptance is known to be written.
        self._acceptance_shared: object | None = None
        # Whether the row may have lost a final state that is known here.
        self.is_lost = False

    def plan(self, wanted: Phase | None, is_reader: bool) -> bool:
        """Return whether to call write now for the wanted phase."""
        now_s = self._clock.monotonic()
        self._is_reader = is_reader
        if wanted is not self._wanted:
            self._wanted = wanted
            delay_s = READER_DELAY_S if is_reader else OTHER_DELAY_S
            self._due_s = now_s + self._random.uniform(*delay_s)
        if wanted is None or self._is_busy:
            return False
        return now_s >= self._due_s

    async def write(self, is_wanted: Callable[[Phase], bool]) -> bool:
        """Read the row and raise it; return whether a phase was learned.

        is_wanted is asked again right before a final state is written.
        """
        if self._is_busy or self._wanted is None:
            return False
        self._is_busy = True
        try:
            return await self._write(self._wanted, is_wanted)
        except VersionConflictError:
            self._delay(CONFLICT_DELAY_S)
        except PlatformError as exc:
            self._stats.failed_status_calls += 1
            self._delay(
                READER_RETRY_DELAY_S
                if self._is_reader
                else OTHER_RETRY_DELAY_S
            )
            log_event(
                "status of a roll-out not written",
                logging.WARNING,
                service=self._service,
                state=STATE_NAMES[self._wanted],
                reason=exc.message,
            )
        finally:
            self._is_busy = False
        return False

    def _delay(self, bounds_s: tuple[float, float]) -> None:
        delay_s = self._random.uniform(*bounds_s)
        self._due_s = self._clock.monotonic() + delay_s

    async def _write(
        self, wanted: Phase, is_wanted: Callable[[Phase], bool]
    ) -> bool:
        target = self._state.rollout.order.target
        status = await self.read()
        found = status.find_phase(target)
        version = status.version
        if found < Phase.RUNNING:
            version = await self._put(target, Phase.RUNNING, version)
            found = Phase.RUNNING
        if found < wanted and is_wanted(wanted):
            await self._put(target, wanted, version)
            found = wanted
        if found.is_final:
            self.is_lost = False
        return self.adopt(target, found)

    async def read(self) -> Status:
        """Return the status row; raise PlatformError."""
        self._stats.status_reads += 1
        return await self._store.read(self._service, STORE_TIMEOUT_S)

    async def _put(self, target: str, phase: Phase, version: int) -> int:
        self._stats.status_writes += 1
        version = await self._store.write(
            self._service, target, phase, version, STORE_TIMEOUT_S
        )
        log_event(
            "status of a roll-out written",
            service=self._service,
            target=target,
            state=STATE_NAMES[phase],
            row_version=version,
        )
        return version

    async def share_acceptance(self) -> None:
        """Write that the target is accepted, for nodes cut off from others.

        It is written once by each node that is asked to, unless it is there.
        """
        if self._acceptance_shared is self._state.book or self._is_busy:
            return
        self._is_busy = True
        try:
            order = self._state.rollout.order
            status = await self.read_acceptance()
            if status.phase is not Phase.ACCEPTED:
                self._stats.status_writes += 1
                await self._store.write_acceptance(
                    order, status.version, STORE_TIMEOUT_S
                )
            self._acceptance_shared = self._state.book
        finally:
            self._is_busy = False

    async def read_acceptance(self) -> Status:
        """Return whether another node has written that it is accepted."""
        self._stats.status_reads += 1
        order = self._state.rollout.order
        return await self._store.read_acceptance(order, STORE_TIMEOUT_S)

    def adopt(self, target: str, phase: Phase) -> bool:
        """Adopt a phase read or written, unless the order was replaced."""
        rollout = self._state.rollout
        if rollout is None or rollout.order.target != target:
            return False
        return self._state.advance(phase)
