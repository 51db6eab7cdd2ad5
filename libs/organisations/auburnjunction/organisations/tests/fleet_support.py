"""A fleet of nodes that share quotas, simulated without a network."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from auburnjunction.http.clients import Address
from auburnjunction.membership.records import Node, NodeState
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
from auburnjunction.organisations.settings import OrganisationSettings

SETTINGS = OrganisationSettings(
    quota_window_s=5.0, quota_overage=0.1, quota_slack=20.0
)
# Ranges of the time after which a node sees another one fail, and return.
FAILURE_DETECTION_S = (1.0, 6.0)
RETURN_DETECTION_S = (0.2, 1.5)
EXCHANGE_TIMEOUT_S = 0.5
MAX_WAIT_S = 0.25
# Time from the announcement of a leaving node to its end.
LEAVING_S = 1.0
ONE_WAY_S = (0.0003, 0.0054)
HTTP_BYTES = 120


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

    def __init__(self, fleet: "Fleet", name: str, data_centre: str):
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


class Fleet:
    """Nodes, the network between them, and what their callers see."""

    def __init__(
        self,
        node_count: int,
        organisations: list[Organisation],
        seed: int = 1,
        data_centres: int = 3,
        settings: OrganisationSettings = SETTINGS,
        is_fresh: bool = True,
        refused_share: float = 0.02,
    ):
        self.rng = random.Random(seed)
        self.settings = settings
        # Part of the requests that their instance refuses.
        self._refused_share = refused_share
        self._initial = organisations
        self.organisations = {item.name: item for item in organisations}
        # Late enough for any process to have been started a window ago.
        self.now_s = 1000.0
        self._events: list = []
        self._order = itertools.count()
        # Whether any process was stopped or cut off so far.
        self.has_faults = False
        self._cuts: set[frozenset[str]] = set()
        # Times of the last changes of what two nodes can see of each other.
        self._changes: dict[tuple, tuple[float, bool]] = {}
        self.runs: dict[str, list[float]] = {}
        self.offered = self.refused = self.waits = 0
        self.messages = self.bytes = 0
        self.nodes = {
            f"n{index}": SimulatedNode(
                self, f"n{index}", f"dc-{index % data_centres}"
            )
            for index in range(node_count)
        }
        self.records = [
            Node(
                node.name,
                node.data_centre,
                Address("host", 1),
                NodeState.ALIVE,
                incarnation=1,
                version=1,
            )
            for node in self.nodes.values()
        ]
        for node in self.nodes.values():
            node.start()
        if is_fresh:
            self._start_fresh()

    def _start_fresh(self) -> None:
        for node in self.nodes.values():
            node.roster.refresh(self.now_s)
            node.home.update(self.organisations, self.now_s)
            node.home.start_fresh()
            node.holder.start_fresh()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        entry = (max(time_s, self.now_s), next(self._order), action)
        heapq.heappush(self._events, entry)

    def advance(self, duration_s: float) -> None:
        """Run all events of a span of time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run(self, node: SimulatedNode, charge) -> None:
        """Run a charged request, up to quota_transit_s later.

        The charge of a request that its instance refuses is taken back.
        """
        if self.rng.random() < self._refused_share:
            node.later(
                self.rng.uniform(0, 3),
                lambda: node.holder.refund(charge, self.now_s),
            )
            return
        delay_s = self.settings.quota_transit_s
        if self.rng.random() < 0.9:
            delay_s = 0.01
        times_s = self.runs.setdefault(charge.organisation, [])
        times_s.append(self.now_s + self.rng.uniform(0, delay_s))

    def post(self, sender, other: str, message, handle, receive) -> None:
        """Deliver a message and its response, unless the network is cut."""
        receiver = self.nodes[other]
        size = len(message.SerializeToString()) if message else 40
        self.messages += 1
        self.bytes += size + HTTP_BYTES

        def deliver() -> None:
            result, response = handle(receiver)
            self.messages += 1
            self.bytes += len(response.SerializeToString()) + HTTP_BYTES
            if not self.is_cut(sender, receiver):
                sender.later(
                    self._draw_delay(sender, receiver), receive, result
                )

        if not self.is_cut(sender, receiver) and receiver.is_up:
            receiver.later(self._draw_delay(sender, receiver), deliver)

    def is_cut(self, first: SimulatedNode, second: SimulatedNode) -> bool:
        """Return whether two nodes are cut off from each other."""
        return frozenset((first.name, second.name)) in self._cuts

    def cut(self, names: set[str]) -> None:
        """Cut nodes off from all others; an empty set heals the network."""
        self.has_faults = True
        self._cuts = {
            frozenset((first, second))
            for first in names
            for second in self.nodes.keys() - names
        }

    def restart(self, name: str, down_s: float) -> None:
        """Kill a node's process and start another one later."""
        self.has_faults = True
        node = self.nodes[name]
        node.is_up = False
        self.at(self.now_s + down_s, node.start)

    def leave(self, name: str, down_s: float) -> None:
        """Let a node leave in order, and start again later."""
        self.has_faults = True
        self.nodes[name].is_leaving = True
        self.at(self.now_s + LEAVING_S, lambda: self.restart(name, down_s))

    def pause(self, name: str, duration_s: float) -> None:
        """Stop a node's process for a while."""
        self.has_faults = True
        self.nodes[name].paused_until_s = self.now_s + duration_s

    def set_quota(self, name: str, rate_per_s: float, burst: float) -> None:
        """Bring another quota into force at all nodes."""
        self.organisations[name] = Organisation(
            name, rate_per_s=rate_per_s, burst=burst
        )

    def scale_quotas(self, factor: float) -> None:
        """Bring the initial quotas, times a factor, into force."""
        for item in self._initial:
            self.set_quota(
                item.name, item.rate_per_s * factor, item.burst * factor
            )

    def find_state(
        self, viewer: SimulatedNode, node: SimulatedNode
    ) -> NodeState:
        """Return a node's state in the view of another one.

        The view follows the truth after a random time.
        """
        key = (viewer.name, node.name, viewer.incarnation)
        if node.is_leaving and not self.is_cut(viewer, node):
            self._changes[key] = (self.now_s, False)
            return NodeState.LEAVING
        if viewer is node:
            return NodeState.ALIVE
        is_paused = self.now_s < node.paused_until_s
        is_alive = node.is_up and not is_paused
        is_alive = is_alive and not self.is_cut(viewer, node)
        changed_s, seen = self._changes.setdefault(key, (self.now_s, True))
        if is_alive == seen:
            self._changes[key] = (self.now_s, seen)
        elif self.now_s - changed_s >= self.rng.uniform(
            *(RETURN_DETECTION_S if is_alive else FAILURE_DETECTION_S)
        ):
            seen = is_alive
            self._changes[key] = (self.now_s, seen)
        return NodeState.ALIVE if seen else NodeState.DEAD

    def find_bound(self, name: str) -> float:
        """Return the number of requests that may run in any window."""
        organisation = self.organisations[name]
        cfg = self.settings
        quota = organisation.rate_per_s * cfg.quota_window_s
        quota += organisation.burst
        return quota * (1 + cfg.quota_overage) + cfg.quota_slack

    def find_peak(
        self, name: str, from_s: float = 0.0, to_s: float = float("inf")
    ) -> int:
        """Return the most requests that ran within any window."""
        times_s = sorted(
            t for t in self.runs.get(name, ()) if from_s <= t <= to_s
        )
        first = peak = 0
        for index, time_s in enumerate(times_s):
            while time_s - times_s[first] > self.settings.quota_window_s:
                first += 1
            peak = max(peak, index - first + 1)
        return peak

    def _draw_delay(self, first, second) -> float:
        is_local = first.data_centre == second.data_centre
        return ONE_WAY_S[not is_local] * self.rng.uniform(1, 1.5)
