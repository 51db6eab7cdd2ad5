"""The state that the tasks of one membership share."""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address
from auburnjunction.membership.contacts import ContactTable
from auburnjunction.membership.departures import DepartureLog
from auburnjunction.membership.pauses import PauseDetector
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.rumors import RumorQueue
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.stats import MembershipStats
from auburnjunction.membership.views import View
from auburnjunction.model.services import Instance

# Suspicion timeouts after which a node that reaches nobody is cut off.
ISOLATION_TIMEOUTS = 3

Listener = Callable[[], None]
Observer = Callable[[Node], None]


class Roster:
    """This node's own record, its view, and what is to be passed on."""

    def __init__(
        self,
        cfg: MembershipSettings,
        node: str,
        data_centre: str,
        address: Address,
        clock: Clock,
        random: random.Random,
    ):
        self.cfg = cfg
        self.clock = clock
        self.random = random
        self.view = View()
        self.rumors = RumorQueue()
        self.stats = MembershipStats()
        self.urgent: dict[str, Node] = {}
        self.departures = DepartureLog()
        self.contacts = ContactTable(clock, cfg.unreachable_after_s)
        self.pauses = PauseDetector(clock, self._pause_limit)
        # Shortest lease of a local backend server.
        self.shortest_lease_s = math.inf
        # Time of the last sign that some other node is reached.
        self.contact_s = -math.inf
        self._change_count = 0
        self._changes: OrderedDict[str, int] = OrderedDict()
        self._listeners: list[Listener] = []
        self._observers: list[Observer] = []
        incarnation = int(clock.now().timestamp() * 1000)
        self.own = Node(
            node,
            data_centre,
            address,
            NodeState.ALIVE,
            incarnation,
            1,
            link_mbps=cfg.link_mbps,
        )
        self._spread(self.own)

    @property
    def peers(self) -> list[Node]:
        """Other nodes of the own data centre that are not dead."""
        return [
            record
            for record in self.view.list_nodes(self.own.data_centre)
            if record.state is not NodeState.DEAD
            and record.node != self.own.node
        ]

    def add_listener(self, listener: Listener) -> None:
        """Call a function after each change of the view."""
        self._listeners.append(listener)

    def add_observer(self, observer: Observer) -> None:
        """Call a function with each record that is taken in."""
        self._observers.append(observer)

    def note_contact(self, started_s: float) -> None:
        """Note that another node answered what began at started_s."""
        self.contact_s = self.clock.monotonic()
        self.pauses.note_exchange(started_s)

    def note_table(self, started_s: float) -> None:
        """Note that the table answered what began at started_s.

        That counts only while this node is alone.
        """
        self.contact_s = self.clock.monotonic()
        if not self.peers:
            self.pauses.note_exchange(started_s)

    def end_isolation(self) -> None:
        """Trust this node again when there is nobody to ask.

        A node that reached no other one for long after a pause is cut
        off; what it serves are its own backend servers, whose leases
        it has checked.
        """
        limit_s = ISOLATION_TIMEOUTS * self.cfg.suspicion_timeout_s
        if self.pauses.stale_for_s > limit_s:
            self.pauses.note_exchange(self.clock.monotonic())

    def notify(self) -> None:
        """Call the listeners."""
        for listener in self._listeners:
            listener()

    def renew_own(
        self,
        state: NodeState | None = None,
        instances: tuple[Instance, ...] | None = None,
        revision: int | None = None,
    ) -> None:
        """Give the own record its next version and spread it."""
        own = self.own
        self.own = attrs.evolve(
            own,
            version=own.version + 1,
            state=own.state if state is None else state,
            instances=own.instances if instances is None else instances,
            revision=own.revision if revision is None else revision,
        )
        self._spread(self.own)
        self.notify()

    def mark_urgent(self, record: Node) -> None:
        """Have a record pushed to several peers at once."""
        self.urgent[record.node] = record

    def take(self, records: Iterable[Node]) -> list[int]:
        """Merge records; return the places of those that were news."""
        news = [
            index
            for index, record in enumerate(records)
            if self._take_one(record)
        ]
        if news:
            self.notify()
        return news

    def list_changes(self, after: int, limit: int) -> tuple[list[Node], int]:
        """Return own data centre's records changed after a count.

        The oldest changes come first; also returned is the count up to
        which they reach.
        """
        newer = []
        for node, count in reversed(self._changes.items()):
            if count <= after:
                break
            newer.append((node, count))
        chosen = newer[::-1][:limit]
        if not chosen:
            return [], after
        records = [self.view.get(node) for node, _ in chosen]
        return [r for r in records if r is not None], chosen[-1][1]

    def forget(self, node: str) -> None:
        """Drop the tombstone of a node."""
        self.view.drop(node)
        self._changes.pop(node, None)

    def _take_one(self, record: Node) -> bool:
        if record.node == self.own.node:
            self._defend(record)
            return False
        is_dead = record.state is NodeState.DEAD
        if is_dead and self.view.get(record.node) is None:
            return False
        if not self.view.merge(record):
            return False
        merged = self.view.get(record.node)
        self._pass_on(merged)
        for observer in self._observers:
            observer(merged)
        return True

    def _pause_limit(self) -> float:
        return min(self.cfg.suspicion_timeout_s, self.shortest_lease_s)

    def _defend(self, claim: Node) -> None:
        """Outrank a claim about this node that it did not make."""
        if claim.order <= self.own.order:
            return
        self.stats.refutations += 1
        log_event(
            "refutes a record of itself",
            level=logging.WARNING,
            claimed_state=claim.state.name.lower(),
            claimed_incarnation=claim.incarnation,
        )
        incarnation = max(claim.incarnation, self.own.incarnation) + 1
        self.own = attrs.evolve(self.own, incarnation=incarnation)
        self.renew_own()

    def _spread(self, record: Node) -> None:
        self.view.merge(record)
        self._pass_on(record)

    def _pass_on(self, record: Node) -> None:
        self.rumors.add(record)
        if record.data_centre == self.own.data_centre:
            self._change_count += 1
            self._changes[record.node] = self._change_count
            self._changes.move_to_end(record.node)
