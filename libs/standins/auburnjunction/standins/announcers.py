"""Announces a backend server to the node on its host."""

from typing import Protocol

import attrs
import orjson
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest
from auburnjunction.membership.announcements import Announcement

ANNOUNCE_TARGET = b"/announce"
ANNOUNCE_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.05
RENEWALS_PER_LEASE = 3
LATE_INTERVAL_S = 0.5
MILLISECONDS_PER_SECOND = 1000
STOP_ATTEMPTS = 5


class StateSource(Protocol):
    """Current state of a backend server, read for each announcement."""

    @property
    def frozen(self) -> bool:
        """Whether announcements are suspended."""

    @property
    def leaving(self) -> bool:
        """Whether to announce leaving, as it will take no new requests."""

    # Seconds since the epoch at which the node accepted the departure.
    departed_s: float

    @property
    def departed(self) -> bool:
        """Whether to announce gone, then readiness from before it."""

    @property
    def reported_load_percent(self) -> int:
        """Load to announce, in percent of the slots."""


class Announcer:
    """Announces a backend server to a node and renews its lease."""

    def __init__(
        self,
        announcement: Announcement,
        node: Address,
        clock: Clock,
        pools: PoolRegistry,
    ):
        self._announcement = announcement
        self._node = node
        self._clock = clock
        self._pools = pools
        # State in the last announcement that the node accepted.
        self._announced_state = ""
        self._renewal_due_s = 0.0

    async def announce_until_cancelled(self, source: "StateSource") -> None:
        """Announce changes of state and renew the lease before it expires.

        A backend server that is new or was leaving announces starting
        before ready; the node would not accept it as ready otherwise.
        """
        while True:
            if source.frozen:
                pass
            elif source.departed:
                await self._announce_departure(source)
            else:
                await self._announce_if_due(source)
            await self._clock.sleep(POLL_INTERVAL_S)

    async def _announce_if_due(self, source: "StateSource") -> None:
        state = "leaving" if source.leaving else "ready"
        if state == "ready" and self._announced_state not in (
            "starting",
            "ready",
        ):
            state = "starting"
            self._begin_incarnation()
        renewal_due = self._clock.monotonic() >= self._renewal_due_s
        if state == self._announced_state and not renewal_due:
            return
        self.update(state, source.reported_load_percent)
        if not await self.announce():
            await self._clock.sleep(RETRY_INTERVAL_S)
            return
        self._announced_state = state
        renewal_s = self._announcement.lease_s / RENEWALS_PER_LEASE
        self._renewal_due_s = self._clock.monotonic() + renewal_s

    async def _announce_departure(self, source: "StateSource") -> None:
        """Announce gone until the node accepts it, then late readiness."""
        if source.departed_s:
            await self._clock.sleep(LATE_INTERVAL_S)
            await self._post(
                attrs.evolve(
                    self._announcement,
                    state="ready",
                    sequence=self._announcement.sequence - 1,
                )
            )
            return
        self.update("gone", source.reported_load_percent)
        if not await self.announce():
            await self._clock.sleep(RETRY_INTERVAL_S)
            return
        self._announced_state = "gone"
        source.departed_s = self._clock.now().timestamp()

    def _begin_incarnation(self) -> None:
        born_ms = int(self._clock.now().timestamp() * MILLISECONDS_PER_SECOND)
        self._announcement = attrs.evolve(
            self._announcement, born_ms=born_ms, sequence=0
        )

    def update(self, state: str, load_percent: int) -> None:
        """Set the state and load of the next announcement."""
        self._announcement = attrs.evolve(
            self._announcement,
            state=state,
            load_percent=load_percent,
            sequence=self._announcement.sequence + 1,
        )

    async def announce(self) -> bool:
        """Announce once; return whether the node accepted it."""
        return await self._post(self._announcement)

    async def _post(self, announcement: Announcement) -> bool:
        body = orjson.dumps(attrs.asdict(announcement))
        headers = [
            (b"host", str(self._node).encode()),
            (b"content-type", b"application/json"),
        ]
        request = HttpRequest(b"POST", ANNOUNCE_TARGET, headers, body)
        pool = self._pools.get(self._node)
        try:
            response = await pool.exchange(request, ANNOUNCE_TIMEOUT_S)
        except HttpError as exc:
            logging.info("announcement to the node failed: %s", exc)
            return False
        if response.status >= 300:
            reason = response.body[:200].decode(errors="replace").strip()
            logging.warning("node refused the announcement: %s", reason)
        return response.status < 300

    async def announce_with_retries(self) -> bool:
        """Announce up to STOP_ATTEMPTS times.

        Return whether the node accepted it.
        """
        for _ in range(STOP_ATTEMPTS):
            if await self.announce():
                return True
            await self._clock.sleep(RETRY_INTERVAL_S)
        return False
