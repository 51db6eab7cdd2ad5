"""The organisations whose home node this is, and their ledgers."""

import itertools
import math
import random
from collections.abc import Iterable, Mapping

import attrs

from auburnjunction.base.logs import log_event
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.contacts import (
    CONTACT_HOLD_S,
    ContactLog,
)
from auburnjunction.organisations.holdings import (
    LEASE_S,
    REPORT_INTERVAL_S,
    UNANSWERED_RETRY_S,
    Grant,
    Report,
)
from auburnjunction.organisations.ledgers import Ledger, LedgerState
from auburnjunction.organisations.limits import find_limits
from auburnjunction.organisations.rosters import Roster
from auburnjunction.organisations.settings import OrganisationSettings

# Time for which the former home node may have granted leases after this node
# has seen it fail: until its evidence of a majority is too old, which is
# CONTACT_HOLD_S.
FORMER_HOME_S = 2.0
# Interruption, of the contact with most nodes or of the role in this node's
# view, after which a home node starts anew. A new home node that was chosen
# meanwhile is still waiting then, for long enough to see this one return.
MAX_INTERRUPTION_S = 4.0
# Account numbers start at random, so that those of a restarted node differ
# from earlier ones.
FIRST_NUMBER_BITS = 48


@attrs.define(slots=True)
class Role:
    """This node as the home node of an organisation."""

    ledger: Ledger
    # Time at which another node became the home node in this node's view.
    lost_s: float | None = None


class QuotaHome:
    """Grants leases of the quotas of which this node is the home node.

    A new home node waits until all that earlier ones may have granted has
    left the window, unless it gets their ledger.
    """

    def __init__(
        self,
        node: str,
        settings: OrganisationSettings,
        roster: Roster,
        contacts: ContactLog,
        rng: random.Random,
    ):
        self._node = node
        self._settings = settings
        self._roster = roster
        self._contacts = contacts
        self._numbers = itertools.count(rng.getrandbits(FIRST_NUMBER_BITS) + 1)
        self._wait_s = settings.accounting_s + LEASE_S + FORMER_HOME_S
        # Last contact with most nodes, or last time without any role.
        self._majority_s = -math.inf
        # Since when there was no longer interruption.
        self._steady_from_s = -math.inf
        self._roles: dict[str, Role] = {}

    @property
    def ledger_count(self) -> int:
        """Number of organisations with a ledger here."""
        return len(self._roles)

    def start_fresh(self) -> None:
        """Grant without a wait: no node has granted anything yet."""
        for role in self._roles.values():
            role.ledger.ready_s = -math.inf

    def update(self, organisations: Iterable[str], now_s: float) -> None:
        """Adopt the organisations of which this node is the home node."""
        self._check_majority(now_s)
        names = {
            name
            for name in organisations
            if self._roster.find_home(name) == self._node
        }
        for name in names - self._roles.keys():
            ready_s = self._find_ready_time(name, now_s)
            ledger = Ledger(self._settings.accounting_s, ready_s)
            self._roles[name] = Role(ledger)
        for name, role in list(self._roles.items()):
            if name in names:
                self._resume(name, role, now_s)
            elif role.lost_s is None:
                role.lost_s = now_s
            elif now_s - role.lost_s >= self._wait_s:
                del self._roles[name]

    def handle_reports(
        self,
        node: str,
        incarnation: int,
        reports: Iterable[Report],
        organisations: Mapping[str, Organisation],
        now_s: float,
    ) -> list[Grant]:
        """Return the grants for the reports of a node."""
        self._check_majority(now_s)
        return [
            self._handle_report(
                node, incarnation, report, organisations, now_s
            )
            for report in reports
        ]

    def list_wanted(self, now_s: float) -> dict[str, list[str]]:
        """Return organisations whose ledgers other nodes may have.

        They are listed by that other node.
        """
        wanted: dict[str, list[str]] = {}
        for name, role in self._roles.items():
            if role.lost_s is None and role.ledger.ready_s > now_s:
                other = self._roster.find_predecessor(name)
                if other:
                    wanted.setdefault(other, []).append(name)
        return wanted

    def has_ledgers_to_hand_over(self) -> bool:
        """Return whether another node is the home node of a ledger here."""
        return any(role.lost_s is not None for role in self._roles.values())

    def hand_over(
        self, node: str, names: Iterable[str], now_s: float
    ) -> tuple[list[LedgerState], list[str]]:
        """Return the ledgers for a new home node, and which are kept.

        Ledgers are kept while the other is not the home node in this node's
        view.
        """
        states, kept = [], []
        for name in names:
            role = self._roles.get(name)
            if role is None:
                continue
            if self._roster.find_home(name) == node:
                del self._roles[name]
                if not self._is_outdated(role, now_s):
                    states.append(role.ledger.hand_over(name, now_s))
            elif role.lost_s is None:
                kept.append(name)
        return states, kept

    def adopt(
        self,
        states: Iterable[LedgerState],
        kept: Iterable[str],
        now_s: float,
    ) -> None:
        """Continue with ledgers of former home nodes.

        The wait starts anew for those that another node keeps.
        """
        for state in states:
            role = self._roles.get(state.organisation)
            if role is not None and now_s < role.ledger.ready_s:
                role.ledger.adopt(state, now_s)
                log_event(
                    "quota ledger adopted",
                    organisation=state.organisation,
                    outstanding=state.outstanding,
                    ready_in_s=round(state.ready_in_s, 3),
                )
        for name in kept:
            role = self._roles.get(name)
            if role is not None and now_s < role.ledger.ready_s:
                role.ledger.ready_s = now_s + self._wait_s

    def _handle_report(
        self,
        node: str,
        incarnation: int,
        report: Report,
        organisations: Mapping[str, Organisation],
        now_s: float,
    ) -> Grant:
        name = report.organisation
        role = self._roles.get(name)
        if role is None or role.lost_s is not None:
            return make_refusal(report, UNANSWERED_RETRY_S)
        organisation = organisations.get(name)
        if organisation is None or not self._contacts.has_majority(now_s):
            return make_refusal(report, UNANSWERED_RETRY_S)
        limit = find_limits(organisation, self._settings).leased
        return role.ledger.handle_report(
            node, incarnation, report, limit, next(self._numbers), now_s
        )

    def _find_ready_time(self, name: str, now_s: float) -> float:
        """Return when a new ledger may grant.

        That is at once if no other node was the home node for as long as a
        grant counts, for example of an organisation that is new.
        """
        since_s = now_s - self._wait_s
        if since_s >= self._steady_from_s and self._roster.was_home(
            name, since_s
        ):
            return -math.inf
        return now_s + self._wait_s

    def _is_outdated(self, role: Role, now_s: float) -> bool:
        """Return whether a ledger is of no use to the next home node.

        One that was still waiting when the role was lost is, unless that was
        at the latest update: others may have been home nodes since.
        """
        lost_s = role.lost_s
        return (
            lost_s is not None
            and role.ledger.ready_s > lost_s
            and now_s - lost_s > 2 * REPORT_INTERVAL_S
        )

    def _resume(self, name: str, role: Role, now_s: float) -> None:
        """Continue as home node, or start anew after a long interruption."""
        lost_s, role.lost_s = role.lost_s, None
        if lost_s is None:
            return
        # Others may have been home nodes while a wait was interrupted.
        was_waiting = role.ledger.ready_s > lost_s
        if was_waiting or now_s - lost_s >= MAX_INTERRUPTION_S:
            self._restart(name, role, now_s)

    def _check_majority(self, now_s: float) -> None:
        """Start the ledgers anew after an interruption of the contact.

        Those that wait do so after a shorter one: others may have been home
        nodes for all of the wait that was out of contact.
        """
        if not self._roles or self._roster.node_count == 1:
            self._majority_s = now_s
        majority_s = self._contacts.find_majority_time(now_s)
        gap_s = majority_s - self._majority_s
        self._majority_s = max(majority_s, self._majority_s)
        if gap_s < CONTACT_HOLD_S:
            return
        if gap_s >= MAX_INTERRUPTION_S:
            self._steady_from_s = now_s
        for name, role in self._roles.items():
            is_waiting = role.ledger.ready_s > majority_s - gap_s
            if is_waiting or gap_s >= MAX_INTERRUPTION_S:
                self._restart(name, role, now_s)

    def _restart(self, name: str, role: Role, now_s: float) -> None:
        log_event("quota ledger started anew", organisation=name)
        role.ledger = Ledger(self._settings.accounting_s, now_s + self._wait_s)


def make_refusal(report: Report, room_s: float) -> Grant:
    """Return a grant of nothing, without a new lease.

    The account is the reported one, so that the node keeps what it has until
    that expires.
    """
    return Grant(
        report.organisation,
        report.account,
        room_s=room_s,
        full_room_s=2 * room_s,
    )
