"""One node of a simulated fleet; see fleet_support."""

from collections.abc import Callable

import attrs

from auburnjunction.membership.records import Node
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.contacts import ContactLog
from auburnjunction.organisations.holdings import (
    REPORT_INTERVAL_S,
    QuotaHolder,
)
from auburnjunction.organisations.homes import QuotaHome
from auburnjunction.organisations.messages import (
    encode_grants,
    encode_reports,
)
from auburnjunction.organisations.rosters import Roster

EXCHANGE_TIMEOUT_S = 0.5
MAX_WAIT_S = 0.25


@attrs.define(eq=False)
class Waiter:
    """A request that waits for the answer of the home node."""

    organisation: Organisation
    limit_s: float


@attrs.define(eq=False)
class Link:
    """Exchanges of a node with another one, one at a time."""

    pending: set[str] = attrs.field(factory=set)
    is_busy: bool = False


class SimulatedNode:
    """One node with its holder, home role and view of the others."""

    def __init__(self, fleet, name: str, data_centre: str):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.is_up = False
        self.is_leaving = False
        self.paused_until_s = 0.0
        self.ticked_s = 0.0
        self.has_view = False

    def start(self) -> None:
        """Start a new process, which knows nothing of an earlier one."""
        fleet = self.fleet
        self.incarnation += 1
        self.is_up = True
        self.is_leaving = False
        self.has_view = False
        self.ticked_s = fleet.now_s
        self.roster = Roster(self.name, self._list_nodes)
        self.contacts = ContactLog(self.name, self.roster)
        self.home = QuotaHome(
            self.name, fleet.settings, self.roster, self.contacts, fleet.rng
        )
        self.holder = QuotaHolder(
            fleet.settings,
            self.roster,
            fleet.now_s + fleet.settings.accounting_s,
            fleet.rng,
        )
        self.links: dict[str, Link] = {}
        self.waiters: dict[str, list[Waiter]] = {}
        delay_s = fleet.rng.uniform(0, REPORT_INTERVAL_S)
        self.later(delay_s, self.tick)

    def later(self, delay_s: float, action: Callable, *args) -> None:
        """Run an action of this process; one that is paused runs it later."""
        incarnation = self.incarnation

        def run() -> None:
            if not self.is_up or self.incarnation != incarnation:
                return
            if self.fleet.now_s < self.paused_until_s:
                self.fleet.at(self.paused_until_s, run)
            else:
                action(*args)

        self.fleet.at(self.fleet.now_s + delay_s, run)

    def tick(self) -> None:
        """Read the view, and report and ask for ledgers where it is due."""
        now_s = self.fleet.now_s
        elapsed_s, self.ticked_s = now_s - self.ticked_s, now_s
        if self.fleet.has_faults or not self.has_view:
            self.has_view = True
            self.roster.refresh(now_s)
        self.home.update(self.fleet.organisations, now_s)
        for name in self.holder.list_due(now_s, elapsed_s):
            self.report(name)
        if self.home.ledger_count:
            self._probe(now_s)
            for other, names in self.home.list_wanted(now_s).items():
                self._fetch(other, names)
        self.later(REPORT_INTERVAL_S, self.tick)

    def request(self, organisation: Organisation) -> None:
        """Handle a request of a caller."""
        now_s = self.fleet.now_s
        self.fleet.offered += 1
        charge = self.holder.try_charge(organisation, now_s)
        self.holder.count_attempt(organisation.name)
        if charge is not None:
            self.fleet.run(self, charge)
        elif self.holder.find_refusal(organisation, now_s) is None:
            waiter = Waiter(organisation, now_s + MAX_WAIT_S)
            self.waiters.setdefault(organisation.name, []).append(waiter)
            self.holder.get_holding(organisation.name).waiting += 1
            self.fleet.waits += 1
            self.later(MAX_WAIT_S, self._settle, organisation.name)
            self.report(organisation.name)
        else:
            self.fleet.refused += 1

    def report(self, name: str) -> None:
        """Report to the home node of an organisation."""
        home = self.roster.find_home(name)
        now_s = self.fleet.now_s
        if home == self.name:
            report = self.holder.make_report(name, home, now_s)
            organisations = self.fleet.organisations
            for grant in self.home.handle_reports(
                self.name, self.incarnation, [report], organisations, now_s
            ):
                self.holder.apply_grant(grant, report, home, now_s, now_s)
            self._settle(name)
            return
        link = self.links.setdefault(home, Link())
        link.pending.add(name)
        self._exchange(home, link)

    def _exchange(self, other: str, link: Link, force: bool = False) -> None:
        if link.is_busy or not (link.pending or force):
            return
        link.is_busy = True
        names, link.pending = sorted(link.pending), set()
        sent_s = self.fleet.now_s
        reports = {
            name: self.holder.make_report(name, other, sent_s)
            for name in names
        }
        is_done = False

        def handle(node: SimulatedNode):
            now_s = node.fleet.now_s
            node.roster.learn_count(count, now_s)
            grants = node.home.handle_reports(
                self.name,
                incarnation,
                reports.values(),
                node.fleet.organisations,
                now_s,
            )
            return grants, encode_grants(node.roster.node_count, grants)

        def receive(grants) -> None:
            nonlocal is_done
            if is_done:
                return
            is_done = True
            now_s = self.fleet.now_s
            self.contacts.record(other, sent_s)
            for grant in grants:
                report = reports[grant.organisation]
                self.holder.apply_grant(grant, report, other, sent_s, now_s)
            self._end_exchange(other, link, names)

        def fail() -> None:
            nonlocal is_done
            if not is_done:
                is_done = True
                self.holder.record_failure(names, self.fleet.now_s)
                self._end_exchange(other, link, names)

        count, incarnation = self.roster.node_count, self.incarnation
        message = encode_reports(
            self.name, incarnation, count, reports.values()
        )
        self.fleet.post(self, other, message, handle, receive)
        self.later(EXCHANGE_TIMEOUT_S, fail)

    def _end_exchange(self, other: str, link: Link, names) -> None:
        link.is_busy = False
        for name in names:
            self._settle(name)
        self._exchange(other, link)

    def _settle(self, name: str) -> None:
        """Decide on the requests that waited for an answer."""
        now_s = self.fleet.now_s
        waiters = self.waiters.pop(name, [])
        left = []
        for waiter in waiters:
            charge = self.holder.try_charge(waiter.organisation, now_s)
            if charge is not None:
                self.fleet.run(self, charge)
            elif now_s < waiter.limit_s and (
                self.holder.find_refusal(waiter.organisation, now_s) is None
            ):
                left.append(waiter)
                continue
            else:
                self.fleet.refused += 1
            self.holder.get_holding(name).waiting -= 1
        if left:
            self.waiters[name] = left
            home = self.roster.find_home(name)
            if home != self.name:
                link = self.links.setdefault(home, Link())
                link.pending.add(name)
                self._exchange(home, link)

    def _probe(self, now_s: float) -> None:
        for name in self.contacts.list_due(now_s):
            nodes = self.roster.list_live(name)
            if nodes:
                other = self.fleet.rng.choice(nodes)
                link = self.links.setdefault(other, Link())
                self._exchange(other, link, force=True)

    def _fetch(self, other: str, names: list[str]) -> None:
        def handle(node: SimulatedNode):
            now_s = node.fleet.now_s
            node.roster.refresh(now_s)
            result = node.home.hand_over(self.name, names, now_s)
            return result, encode_grants(0, ())

        def receive(result) -> None:
            self.home.adopt(*result, self.fleet.now_s)

        self.fleet.post(self, other, None, handle, receive)

    def _list_nodes(self) -> list[Node]:
        fleet = self.fleet
        if not fleet.has_faults:
            return fleet.records
        return [
            attrs.evolve(record, state=fleet.find_state(self, node))
            for record, node in zip(
                fleet.records, fleet.nodes.values(), strict=True
            )
        ]
