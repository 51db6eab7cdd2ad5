"""A home node's account of the leases of one organisation's quota."""

import math

import attrs

from auburnjunction.base.sums import SlidingSum
from auburnjunction.organisations.holdings import (
    LEASE_S,
    REPORT_INTERVAL_S,
    Grant,
    Report,
)
from auburnjunction.organisations.limits import ACCOUNTING_SLOTS

# Interval of the removal of expired leases and old accounts, which takes time
# in proportion to the number of nodes with demand.
SWEEP_INTERVAL_S = 0.1
# Holder of the leases that an earlier home node has granted.
EARLIER_HOLDER = ""


@attrs.define(slots=True)
class Account:
    """Leases of one node; the counts are totals since it was opened.

    Requests that were granted and are neither used nor returned are
    outstanding: they count as if they ran now.
    """

    number: int
    incarnation: int
    granted: int = 0
    used: int = 0
    returned: int = 0
    refunded: int = 0
    expires_s: float = -math.inf
    touched_s: float = -math.inf
    # Part of the last wish that was not granted.
    unmet: int = 0

    @property
    def outstanding(self) -> int:
        """Requests that the node may still run."""
        return self.granted - self.used - self.returned


@attrs.frozen(slots=True)
class LedgerState:
    """Ledger that is handed over to another home node."""

    organisation: str
    # Pairs of age in seconds and number of requests, the oldest first.
    counts: tuple[tuple[float, int], ...]
    outstanding: int
    expires_in_s: float
    # Time until the ledger may grant.
    ready_in_s: float


class Ledger:
    """Leases and use of one organisation's quota over all nodes.

    Within any window, what was used and what may still be used stay within
    the limit. Nothing is granted before ready_s: until then, requests of
    leases that are not known here may fall into the window.
    """

    def __init__(self, window_s: float, ready_s: float):
        self._window_s = window_s
        self.ready_s = ready_s
        self._used = SlidingSum(window_s, ACCOUNTING_SLOTS)
        self._accounts: dict[str, Account] = {}
        self._outstanding = 0
        self._unmet = 0
        self._swept_s = -math.inf

    def find_total(self, now_s: float) -> int:
        """Return the requests that count towards the window that ends now."""
        self._sweep(now_s)
        return round(self._used.find_total(now_s)) + self._outstanding

    def handle_report(
        self,
        node: str,
        incarnation: int,
        report: Report,
        limit: int,
        number: int,
        now_s: float,
    ) -> Grant:
        """Count what a node reports and return its grant.

        The limit is the number of requests within a window. An account that
        is opened gets the number, which must never have been given before.
        """
        self._sweep(now_s)
        account = self._accounts.get(node)
        if (
            account is None
            or account.incarnation != incarnation
            or account.number != report.account
        ):
            account = self._open(node, incarnation, number, now_s)
        else:
            self._settle(account, report, now_s)
        account.touched_s = now_s
        return self._grant(account, report, limit, now_s)

    def hand_over(self, organisation: str, now_s: float) -> LedgerState:
        """Return the state; this ledger must not grant any more."""
        self._sweep(now_s)
        accounts = self._accounts.values()
        expires_s = max((a.expires_s for a in accounts), default=now_s)
        return LedgerState(
            organisation,
            tuple(
                (age_s, round(amount))
                for age_s, amount in self._used.list_amounts(now_s)
            ),
            self._outstanding,
            max(0.0, expires_s - now_s),
            max(0.0, self.ready_s - now_s),
        )

    def adopt(self, state: LedgerState, now_s: float) -> None:
        """Continue with the state of the former home node's ledger.

        This ledger must not have granted anything. If the former one was
        waiting itself, this one may be ready before.
        """
        for age_s, count in state.counts:
            self._used.add(count, now_s - age_s)
        if state.outstanding:
            self._accounts[EARLIER_HOLDER] = Account(
                number=0,
                incarnation=0,
                granted=state.outstanding,
                expires_s=now_s + state.expires_in_s,
                touched_s=now_s,
            )
            self._outstanding += state.outstanding
        self.ready_s = min(self.ready_s, now_s + state.ready_in_s)

    def _open(
        self, node: str, incarnation: int, number: int, now_s: float
    ) -> Account:
        """Open an account; what the former one has left counts as used."""
        former = self._accounts.get(node)
        if former is not None:
            self._lapse(former, now_s)
            self._unmet -= former.unmet
        account = self._accounts[node] = Account(number, incarnation)
        return account

    def _settle(self, account: Account, report: Report, now_s: float) -> None:
        outstanding = account.outstanding
        used = max(0, report.used - account.used)
        account.used += used
        account.returned = max(account.returned, report.returned)
        # Returned requests that had counted as used when they expired.
        excess = max(0, -account.outstanding)
        account.used -= excess
        refunded = max(0, report.refunded - account.refunded)
        account.refunded += refunded
        self._outstanding += account.outstanding - outstanding
        if used:
            self._used.add(used, now_s)
        if refunded + excess:
            self._used.remove_oldest(refunded + excess, now_s)

    def _grant(
        self, account: Account, report: Report, limit: int, now_s: float
    ) -> Grant:
        need = max(0, report.wish - account.outstanding)
        given = 0
        if now_s >= self.ready_s:
            total = round(self._used.find_total(now_s)) + self._outstanding
            given = self._share(account, need, max(0, limit - total))
        account.granted += given
        self._outstanding += given
        self._unmet += need - given - account.unmet
        account.unmet = need - given
        lease_s = LEASE_S if account.outstanding else 0.0
        if lease_s:
            account.expires_s = now_s + lease_s
        room_s = full_room_s = 0.0
        if account.unmet:
            room_s, full_room_s = self._find_room(limit, now_s)
        return Grant(
            report.organisation,
            account.number,
            account.granted,
            lease_s,
            room_s,
            full_room_s,
        )

    def _share(self, account: Account, need: int, room: int) -> int:
        """Return the part of the room that an account gets.

        If there is not enough for all, parts are in proportion to the needs.
        """
        needs = need + self._unmet - account.unmet
        if needs <= room or not room:
            return min(need, room)
        return min(need, room, max(1, room * need // needs))

    def _find_room(self, limit: int, now_s: float) -> tuple[float, float]:
        """Return the time until one request, and all unmet ones, have room."""
        wait_s = max(0.0, self.ready_s - now_s)
        # With a quota that was lowered, more must leave the window first.
        over = round(self._used.find_total(now_s)) + self._outstanding - limit
        first_s, last_s = (
            self._used.find_delay(max(0, over) + count, now_s)
            for count in (1, max(1, self._unmet))
        )
        # Leases that expire or are returned leave room too.
        first_s = max(wait_s, first_s or REPORT_INTERVAL_S)
        return first_s, max(first_s, last_s)

    def _lapse(self, account: Account, now_s: float) -> None:
        """Count what is outstanding as used, at the latest possible time."""
        outstanding = account.outstanding
        if outstanding:
            account.used += outstanding
            self._outstanding -= outstanding
            self._used.add(outstanding, now_s)

    def _sweep(self, now_s: float) -> None:
        if now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        for node, account in list(self._accounts.items()):
            if now_s >= account.expires_s:
                self._lapse(account, now_s)
            if now_s - account.touched_s >= 2 * REPORT_INTERVAL_S:
                self._unmet -= account.unmet
                account.unmet = 0
            # Refunds that arrive later might belong to requests that have
            # left the window.
            is_old = now_s - account.touched_s >= self._window_s / 2
            if is_old and now_s >= account.expires_s:
                del self._accounts[node]
