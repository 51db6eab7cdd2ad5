"""Leases of the backend servers of this host."""

import math

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.departures import DepartureLog
from auburnjunction.membership.recoveries import RecoveryPeriod, Trust
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.model.services import InstanceState

GONE_RETENTION_S = 30.0
LOAD_STEP_PERCENT = 25
# The only states that may follow leaving within one incarnation.
_STATES_AFTER_LEAVING = (InstanceState.STARTING, InstanceState.GONE)


@attrs.define(slots=True)
class Lease:
    """State of one local backend server and the expiry of its lease."""

    announcement: Announcement
    state: InstanceState
    expires_s: float
    draining: bool = False
    # Whether it is gone because its lease expired, not because it
    # announced that it was leaving or gone.
    has_expired: bool = False
    trust: Trust = Trust.CONFIRMED
    # Announcements of this incarnation so far, without repeated deliveries.
    count: int = 1

    @property
    def published_state(self) -> InstanceState:
        """State to publish: leaving while draining, starting if withheld."""
        live = (InstanceState.STARTING, InstanceState.READY)
        if self.draining and self.state in live:
            return InstanceState.LEAVING
        if self.is_ready and self.trust is Trust.WITHHELD:
            return InstanceState.STARTING
        return self.state

    @property
    def is_ready(self) -> bool:
        """Whether the last announcement that counts says "ready"."""
        return self.state is InstanceState.READY

    @property
    def is_unconfirmed(self) -> bool:
        """Whether another "ready" is needed to keep it in use."""
        return self.is_ready and self.trust is not Trust.CONFIRMED


class LeaseTable:
    """Leases of the backend servers that announce themselves here."""

    def __init__(
        self,
        clock: Clock,
        departures: DepartureLog | None = None,
        recovery: RecoveryPeriod | None = None,
    ):
        self._clock = clock
        self._recovery = recovery or RecoveryPeriod(
            MembershipSettings(), clock
        )
        self._departures = DepartureLog() if departures is None else departures
        self._leases: dict[str, Lease] = {}

    def renew(self, announcement: Announcement) -> Lease:
        """Renew the lease of the announced backend server.

        A late "ready" does not bring back a backend server that is
        leaving or gone; only "starting" or a later incarnation does. Of an
        announcement older than the last one, only a departure counts: it is
        final for its incarnation, whatever its sequence.
        """
        state = InstanceState[announcement.state.upper()]
        lease = self._leases.get(announcement.instance)
        now_s = self._clock.monotonic()
        if lease is None:
            lease = Lease(announcement, state, 0.0)
            self._leases[announcement.instance] = lease
        elif announcement.order < lease.announcement.order:
            self._apply_late_departure(lease, announcement, state)
            return lease
        elif announcement.born_ms == lease.announcement.born_ms:
            state = _resolve_state(lease, state)
        if announcement.born_ms != lease.announcement.born_ms:
            lease.count = 1
        elif announcement.order != lease.announcement.order:
            lease.count += 1
        lease.announcement = announcement
        lease.state = self._apply_departure(announcement, state)
        lease.has_expired = False
        lease.trust = self._recovery.assess(announcement, lease.count)
        lease.expires_s = now_s + announcement.lease_s
        if lease.state is InstanceState.GONE:
            lease.expires_s = now_s + GONE_RETENTION_S
        return lease

    def _apply_late_departure(
        self, lease: Lease, announcement: Announcement, state: InstanceState
    ) -> None:
        is_departure = state in (InstanceState.LEAVING, InstanceState.GONE)
        # Without born_ms it may be that of an earlier incarnation.
        if not is_departure or not announcement.born_ms:
            return
        self._departures.add(announcement.departure)
        is_same = announcement.born_ms == lease.announcement.born_ms
        if is_same and lease.state < state:
            lease.state = state
            if state is InstanceState.GONE:
                lease.expires_s = self._clock.monotonic() + GONE_RETENTION_S

    def apply_restored_departures(self) -> bool:
        """Apply departures read from the table to ready backend servers.

        Return whether any of them has left.
        """
        ready = [
            lease
            for lease in self._leases.values()
            if lease.state is InstanceState.READY
            and lease.announcement.departure in self._departures
        ]
        for lease in ready:
            lease.state = InstanceState.LEAVING
            _log_prior_departure(lease.announcement)
        return bool(ready)

    def update_trust(self) -> bool:
        """Withhold backend servers whose provisional use is over.

        Return whether the trust of any has changed.
        """
        trust = self._recovery.find_unconfirmed_trust()
        changed = [
            lease
            for lease in self._leases.values()
            if lease.is_unconfirmed and lease.trust is not trust
        ]
        for lease in changed:
            lease.trust = trust
        return bool(changed)

    def _apply_departure(
        self, announcement: Announcement, state: InstanceState
    ) -> InstanceState:
        """Return the state after checking it against logged departures.

        Leaving and gone add a departure; "ready" of an incarnation that
        has departed becomes leaving.
        """
        if state in (InstanceState.LEAVING, InstanceState.GONE):
            self._departures.add(announcement.departure)
        elif (
            state is InstanceState.READY
            and announcement.departure in self._departures
        ):
            _log_prior_departure(announcement)
            return InstanceState.LEAVING
        return state

    def get(self, instance: str) -> Lease | None:
        """Return the lease of a backend server, or None."""
        return self._leases.get(instance)

    def list_all(self) -> list[Lease]:
        """Return all leases, including those of servers recently gone."""
        return list(self._leases.values())

    @property
    def shortest_s(self) -> float:
        """Duration of the shortest unexpired lease, in seconds."""
        held = (
            lease.announcement.lease_s
            for lease in self._leases.values()
            if lease.state is not InstanceState.GONE
        )
        return min(held, default=math.inf)

    def expire(self) -> list[Lease]:
        """Mark backend servers with expired leases gone; return the leases.

        Leases already gone are removed after GONE_RETENTION_S.
        """
        now_s = self._clock.monotonic()
        expired = []
        for instance, lease in list(self._leases.items()):
            if now_s < lease.expires_s:
                continue
            if lease.state is InstanceState.GONE:
                del self._leases[instance]
                continue
            lease.has_expired = lease.state is not InstanceState.LEAVING
            lease.state = InstanceState.GONE
            lease.expires_s = now_s + GONE_RETENTION_S
            expired.append(lease)
        return expired


def _log_prior_departure(announcement: Announcement) -> None:
    log_event(
        "backend server has left before",
        instance=announcement.instance,
        born_ms=announcement.born_ms,
        sequence=announcement.sequence,
    )


def _resolve_state(lease: Lease, state: InstanceState) -> InstanceState:
    """Return the state after an announcement of the same incarnation."""
    is_departing = lease.state in (InstanceState.LEAVING, InstanceState.GONE)
    if not is_departing or state in _STATES_AFTER_LEAVING or lease.has_expired:
        return state
    # Without born_ms this may be a new incarnation.
    is_gone = lease.state is InstanceState.GONE
    if is_gone and not lease.announcement.born_ms:
        return state
    return lease.state


def round_load(load_percent: int) -> int:
    """Round a load to coarse steps to limit the changes gossiped."""
    steps = round(load_percent / LOAD_STEP_PERCENT)
    return steps * LOAD_STEP_PERCENT
