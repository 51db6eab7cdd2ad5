"""Backend servers of this node, held by leases that they renew."""

import math

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.departures import DepartureLog
from auburnjunction.model.services import InstanceState

GONE_KEEP_S = 30.0
LOAD_STEP_PERCENT = 25
# A leaving backend server only starts anew or goes.
_AFTER_LEAVING = (InstanceState.STARTING, InstanceState.GONE)


@attrs.define(slots=True)
class Lease:
    """One local backend server and the end of its lease."""

    announcement: Announcement
    state: InstanceState
    end_s: float
    draining: bool = False
    # Whether it went for want of announcements, not by its own word.
    has_lapsed: bool = False

    @property
    def shown_state(self) -> InstanceState:
        """State as spread: a drained backend server is leaving."""
        live = (InstanceState.STARTING, InstanceState.READY)
        if self.draining and self.state in live:
            return InstanceState.LEAVING
        return self.state


class LeaseTable:
    """Leases of the backend servers that announce to this node."""

    def __init__(self, clock: Clock, departures: DepartureLog | None = None):
        self._clock = clock
        self._departures = departures or DepartureLog()
        self._leases: dict[str, Lease] = {}

    def renew(self, announcement: Announcement) -> Lease:
        """Take an announcement in.

        A late "ready" does not bring back a backend server that is
        leaving or gone; it starts anew with "starting" or in a later
        life. An announcement older than one taken in changes nothing.
        """
        state = InstanceState[announcement.state.upper()]
        lease = self._leases.get(announcement.instance)
        now_s = self._clock.monotonic()
        if lease is None:
            lease = Lease(announcement, state, 0.0)
            self._leases[announcement.instance] = lease
        elif announcement.order < lease.announcement.order:
            return lease
        elif announcement.born_ms == lease.announcement.born_ms:
            state = _keep_leaving(lease, state)
        lease.announcement = announcement
        lease.state = self._apply_departure(announcement, state)
        lease.has_lapsed = False
        lease.end_s = now_s + announcement.lease_s
        if lease.state is InstanceState.GONE:
            lease.end_s = now_s + GONE_KEEP_S
        return lease

    def recall_departures(self) -> bool:
        """Apply departures that were read back; tell if one counted."""
        ready = [
            lease
            for lease in self._leases.values()
            if lease.state is InstanceState.READY
            and lease.announcement.life in self._departures
        ]
        for lease in ready:
            lease.state = InstanceState.LEAVING
            _log_recalled(lease.announcement)
        return bool(ready)

    def _apply_departure(
        self, announcement: Announcement, state: InstanceState
    ) -> InstanceState:
        """Return the state, given what is known of this life's end."""
        if state in (InstanceState.LEAVING, InstanceState.GONE):
            self._departures.add(announcement.life)
        elif (
            state is InstanceState.READY
            and announcement.life in self._departures
        ):
            _log_recalled(announcement)
            return InstanceState.LEAVING
        return state

    def get(self, instance: str) -> Lease | None:
        """Return the lease of a backend server, if there is one."""
        return self._leases.get(instance)

    def list_all(self) -> list[Lease]:
        """Return every lease, those lately gone included."""
        return list(self._leases.values())

    @property
    def shortest_s(self) -> float:
        """Shortest lease that is held, in seconds."""
        held = (
            lease.announcement.lease_s
            for lease in self._leases.values()
            if lease.state is not InstanceState.GONE
        )
        return min(held, default=math.inf)

    def lapse(self) -> list[Lease]:
        """Turn leases that have ended to gone and return them."""
        now_s = self._clock.monotonic()
        lapsed = []
        for instance, lease in list(self._leases.items()):
            if now_s < lease.end_s:
                continue
            if lease.state is InstanceState.GONE:
                del self._leases[instance]
                continue
            lease.has_lapsed = lease.state is not InstanceState.LEAVING
            lease.state = InstanceState.GONE
            lease.end_s = now_s + GONE_KEEP_S
            lapsed.append(lease)
        return lapsed


def _log_recalled(announcement: Announcement) -> None:
    log_event(
        "backend server has left before",
        instance=announcement.instance,
        born_ms=announcement.born_ms,
        sequence=announcement.sequence,
    )


def _keep_leaving(lease: Lease, state: InstanceState) -> InstanceState:
    """Return the state that an announcement of the same life leads to."""
    has_left = lease.state in (InstanceState.LEAVING, InstanceState.GONE)
    if not has_left or state in _AFTER_LEAVING or lease.has_lapsed:
        return state
    # Without its time of birth this may be a new life.
    is_gone = lease.state is InstanceState.GONE
    if is_gone and not lease.announcement.born_ms:
        return state
    return lease.state


def round_load(load_percent: int) -> int:
    """Return the load in coarse steps, so that few changes spread."""
    steps = round(load_percent / LOAD_STEP_PERCENT)
    return steps * LOAD_STEP_PERCENT
