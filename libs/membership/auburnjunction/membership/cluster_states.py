"""State that the tasks of one membership share."""

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address
from auburnjunction.membership.clearances import Clearance
from auburnjunction.membership.crash_updates import CrashUpdate
from auburnjunction.membership.crashes import Crash, CrashLog
from auburnjunction.membership.departures import DepartureLog
from auburnjunction.membership.gossip_queues import GossipQueue
from auburnjunction.membership.handovers import DepartureHandover
from auburnjunction.membership.pauses import PauseDetector
from auburnjunction.membership.reachabilities import ReachabilityTable
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.recoveries import RecoveryPeriod
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.stats import MembershipStats
from auburnjunction.membership.views import View
from auburnjunction.model.services import Instance

# A node whose view stays stale for this many suspicion timeouts after a
# pause counts as isolated.
ISOLATION_TIMEOUTS = 3

Listener = Callable[[], None]
Observer = Callable[[Node], None]


class ClusterState:
    """This node's record, its view of all nodes and the gossip queue."""

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
        self.gossip_queue = GossipQueue()
        self.stats = MembershipStats()
        self.urgent_records: dict[str, Node] = {}
        # Order of the last record of each node that was forwarded as urgent.
        self._forwarded_orders: dict[str, tuple] = {}
        self.departures = DepartureLog()
        self.crashes = CrashLog(clock, self._queue_own_clearances)
        # Crashes and clearances to push to peers, and those of this node,
        # which are also pushed to the other data centres.
        self.urgent_update = CrashUpdate()
        self.own_urgent_update = CrashUpdate()
        self.handover = DepartureHandover()
        self.reachability = ReachabilityTable(clock, cfg.unreachable_after_s)
        self.pause_detector = PauseDetector(clock, self._pause_limit_s)
        # Shortest lease of any local backend server.
        self.shortest_lease_s = math.inf
        # Time of the last response from another node or the table.
        self.last_contact_s = -math.inf
        # Highest known Table.generation, also of other nodes; 0 if unknown.
        self.table_generation = 0
        # Whether this process has read the row of the one before.
        self.has_read_row = False
        self._change_count = 0
        self._changes: OrderedDict[str, int] = OrderedDict()
        self._listeners: list[Listener] = []
        self._observers: list[Observer] = []
        self.recovery = RecoveryPeriod(cfg, clock)
        self.own_record = Node(
            node,
            data_centre,
            address,
            NodeState.ALIVE,
            self.recovery.started_ms,
            1,
            link_mbps=cfg.link_mbps,
        )
        self._publish(self.own_record)

    @property
    def peers(self) -> list[Node]:
        """Other nodes of this data centre that are not dead."""
        return [
            record
            for record in self.view.list_nodes(self.own_record.data_centre)
            if record.state is not NodeState.DEAD
            and record.node != self.own_record.node
        ]

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call after each change of the view."""
        self._listeners.append(listener)

    def add_observer(self, observer: Observer) -> None:
        """Register a function to call with each record merged as newer."""
        self._observers.append(observer)

    def record_peer_response(self, started_s: float) -> None:
        """Record a response of another node to a request of started_s."""
        self.last_contact_s = self.clock.monotonic()
        self.pause_detector.record_exchange(started_s)

    def record_table_response(self, started_s: float) -> None:
        """Record a response of the table to a request of started_s.

        It ends a pause only while this node has no peers.
        """
        self.last_contact_s = self.clock.monotonic()
        if not self.peers:
            self.pause_detector.record_exchange(started_s)

    def observe_table_generation(self, generation: int) -> None:
        """Record the generation of the table that a response has named.

        What was saved in an earlier one has to be saved again.
        """
        if generation <= self.table_generation:
            return
        if self.table_generation:
            self.departures.mark_lost()
        self.table_generation = generation

    def end_pause_if_isolated(self) -> None:
        """End a pause without an exchange if this node is isolated.

        A node that reaches no other node for ISOLATION_TIMEOUTS after a
        pause is cut off. It can still serve its own backend servers,
        whose leases it has checked.
        """
        limit_s = ISOLATION_TIMEOUTS * self.cfg.suspicion_timeout_s
        if self.pause_detector.stale_for_s > limit_s:
            self.pause_detector.record_exchange(self.clock.monotonic())

    def notify_listeners(self) -> None:
        """Call the listeners."""
        for listener in self._listeners:
            listener()

    def update_own_record(
        self,
        state: NodeState | None = None,
        instances: tuple[Instance, ...] | None = None,
        revision: int | None = None,
    ) -> None:
        """Raise the version of this node's record and gossip it."""
        own = self.own_record
        self.own_record = attrs.evolve(
            own,
            version=own.version + 1,
            state=own.state if state is None else state,
            instances=own.instances if instances is None else instances,
            revision=own.revision if revision is None else revision,
            departures=self.departures.list_latest(),
        )
        self._publish(self.own_record)
        self.notify_listeners()

    def queue_urgent_push(self, record: Node) -> None:
        """Queue a record for an immediate push to several peers."""
        self.urgent_records[record.node] = record

    def add_crashes(self, crashes: Iterable[Crash], own: bool = False) -> None:
        """Add crashes; queue those that are new here for a push, once.

        Own are those that this node has seen itself.
        """
        new = self.crashes.add(crashes)
        self.stats.crash_records += len(new)
        self.urgent_update.crashes += new
        if own:
            self.own_urgent_update.crashes += new

    def merge_update(self, update: CrashUpdate) -> None:
        """Add crashes and clearances; queue new ones for a push, once."""
        # Crashes that a clearance covers need not be added.
        new = self.crashes.clear(update.clearances)
        self.urgent_update.clearances += new
        self.add_crashes(update.crashes)

    def _queue_own_clearances(self, clearances: list[Clearance]) -> None:
        self.urgent_update.clearances += clearances
        self.own_urgent_update.clearances += clearances

    def forward_urgent(self, records: Iterable[Node]) -> None:
        """Queue urgent records of other nodes for pushes, each once.

        Whether a record is new to this node does not matter: a gossip
        round may have brought it before, and rounds are too slow for it.
        """
        for record in records:
            current = self.view.get(record.node)
            if current is None or record.node == self.own_record.node:
                continue
            is_current = current.order == record.order
            if is_current and self._mark_forwarded(record):
                self.queue_urgent_push(record)

    def merge(self, records: Iterable[Node]) -> list[int]:
        """Merge records; return the indexes of those that were newer."""
        new_indexes = [
            index
            for index, record in enumerate(records)
            if self._merge_record(record)
        ]
        if new_indexes:
            self.notify_listeners()
        return new_indexes

    def list_changes(self, after: int, limit: int) -> tuple[list[Node], int]:
        """Return records of this data centre changed after a change count.

        The oldest changes come first. The second value is the change
        count of the last record returned, to be passed as `after` next.
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

    def remove_tombstone(self, node: str) -> None:
        """Remove the tombstone of a node."""
        tombstone = self.view.get(node)
        if tombstone is not None:
            self.handover.forget(tombstone)
        self.view.remove(node)
        self._changes.pop(node, None)
        self._forwarded_orders.pop(node, None)

    def _mark_forwarded(self, record: Node) -> bool:
        """Record a forward; return whether it is the first of the record."""
        if self._forwarded_orders.get(record.node) == record.order:
            return False
        self._forwarded_orders[record.node] = record.order
        return True

    def _merge_record(self, record: Node) -> bool:
        if record.node == self.own_record.node:
            self._refute(record)
            return False
        previous = self.view.get(record.node)
        if record.state is NodeState.DEAD and previous is None:
            return False
        if not self.view.merge(record):
            return False
        merged = self.view.get(record.node)
        self.handover.observe(previous, merged)
        self._queue_gossip(merged)
        for observer in self._observers:
            observer(merged)
        return True

    def _pause_limit_s(self) -> float:
        return min(self.cfg.suspicion_timeout_s, self.shortest_lease_s)

    def _refute(self, received: Node) -> None:
        """Raise the incarnation above that of a newer record of this node."""
        if received.order <= self.own_record.order:
            return
        self.stats.refutations += 1
        log_event(
            "refutes a record of itself",
            level=logging.WARNING,
            claimed_state=received.state.name.lower(),
            claimed_incarnation=received.incarnation,
        )
        incarnation = (
            max(received.incarnation, self.own_record.incarnation) + 1
        )
        self.own_record = attrs.evolve(
            self.own_record, incarnation=incarnation
        )
        self.update_own_record()

    def _publish(self, record: Node) -> None:
        self.view.merge(record)
        self._queue_gossip(record)

    def _queue_gossip(self, record: Node) -> None:
        self.gossip_queue.add(record)
        if record.data_centre == self.own_record.data_centre:
            self._change_count += 1
            self._changes[record.node] = self._change_count
            self._changes.move_to_end(record.node)
