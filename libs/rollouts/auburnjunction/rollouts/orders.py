"""Orders of roll-outs, their phases, and how copies of them merge."""

from enum import IntEnum
from typing import Protocol

import attrs

# Shortest time over which a version is judged; shorter ramps would end
# before its evidence has spread.
MIN_RAMP_S = 4.0
# Time after the ramp for which a completion waits for nodes that are not
# heard from, as a share of the ramp and at most.
WAIT_SHARE = 0.1
MAX_WAIT_S = 1.2
# Share of the ramp that is taken to have passed when a roll-out is found
# running and no node knows its age, as after a restart of all nodes.
UNKNOWN_AGE_SHARE = 0.5


class Phase(IntEnum):
    """Phase of a roll-out; of two copies the greater one holds.

    CONDEMNED is a verdict that is obeyed and not known to be written. The
    last two are states of the status row, which compare-and-set decides.
    """

    ORDERED = 0
    RUNNING = 1
    ACCEPTED = 2
    CONDEMNED = 3
    ROLLED_BACK = 4
    COMPLETED = 5

    @property
    def is_final(self) -> bool:
        """Whether the status row has its final state."""
        return self >= Phase.ROLLED_BACK

    @property
    def is_active(self) -> bool:
        """Whether the target may get requests and is judged."""
        return self < Phase.CONDEMNED


# States of the status row that a phase stands for.
STATE_NAMES = {
    Phase.RUNNING: "running",
    Phase.ROLLED_BACK: "rolled_back",
    Phase.COMPLETED: "completed",
}
PHASES = {name: phase for phase, name in STATE_NAMES.items()}


@attrs.frozen(slots=True)
class Order:
    """An operator's order, with the era and version of its row."""

    service: str
    target: str
    ramp_s: float
    era: int
    version: int

    @property
    def key(self) -> tuple[int, int]:
        """Ordering key: later orders have a greater one."""
        return (self.era, self.version)

    @property
    def judging_s(self) -> float:
        """Time over which the version is judged and the share raised."""
        return max(MIN_RAMP_S, self.ramp_s)


@attrs.frozen(slots=True)
class Rollout:
    """An order, when it began by the local monotonic clock, and its phase."""

    order: Order
    started_s: float
    phase: Phase = Phase.ORDERED

    def is_past_ramp(self, now_s: float) -> bool:
        """Return whether nodes that are cut off need not be waited for."""
        wait_s = min(MAX_WAIT_S, self.order.judging_s * WAIT_SHARE)
        return now_s - self.started_s >= self.order.judging_s + wait_s

    def find_progress(self, now_s: float) -> float:
        """Return the time since the order as a share of judging_s."""
        return (now_s - self.started_s) / self.order.judging_s


def merge_rollouts(held: Rollout | None, received: Rollout) -> Rollout:
    """Return the later of two copies, with all that is known of it.

    A repeated order goes on with the roll-out of its target. A final phase
    is taken over only from an earlier era, as whoever reads an order reads
    the status row with it; a restored store may have lost that state.
    """
    if held is None:
        return received
    if received.order.key < held.order.key:
        return held
    if received.order.key == held.order.key:
        return attrs.evolve(
            held,
            phase=max(held.phase, received.phase),
            started_s=min(held.started_s, received.started_s),
        )
    if held.order.target != received.order.target:
        return received
    is_restored = held.order.era != received.order.era
    if held.phase.is_final and not is_restored:
        return received
    return attrs.evolve(
        received,
        phase=max(held.phase, received.phase),
        started_s=min(held.started_s, received.started_s),
    )


@attrs.frozen(slots=True)
class Status:
    """Content and version of a status row; version 0 if there is none."""

    version: int
    phase: Phase = Phase.ORDERED
    target: str = ""

    def find_phase(self, target: str) -> Phase:
        """Return the phase of a roll-out of the target."""
        return self.phase if self.target == target else Phase.ORDERED


@attrs.frozen(slots=True)
class ReadOrder:
    """An order that this node has read from the store.

    It is fresh if a poll returned it as a change, so that it is new.
    """

    order: Order
    is_fresh: bool


class OrderSource(Protocol):
    """Orders that this node reads while it is a reader of the head."""

    @property
    def read_s(self) -> float:
        """Time of the latest read by the monotonic clock; -inf if none."""

    @property
    def era(self) -> int:
        """Era of the latest read; it rises when the store is restored."""

    def take(self) -> list[ReadOrder]:
        """Remove and return the orders read since the last call."""


class StatusStore(Protocol):
    """Status rows; errors are those of storage.tables.Table."""

    async def read(self, service: str, timeout_s: float) -> Status:
        """Return the status row of a service."""

    async def write(
        self,
        service: str,
        target: str,
        phase: Phase,
        expected_version: int,
        timeout_s: float,
    ) -> int:
        """Replace the row at the expected version; return the new one."""

    async def read_acceptance(self, order: Order, timeout_s: float) -> Status:
        """Return the row that says whether an order's target is accepted.

        Its phase is ACCEPTED or ORDERED.
        """

    async def write_acceptance(
        self, order: Order, expected_version: int, timeout_s: float
    ) -> None:
        """Replace that row by one that says so, at the expected version."""


@attrs.frozen
class RolloutAdapters:
    """Platform-dependent parts of roll-outs."""

    orders: OrderSource
    statuses: StatusStore
