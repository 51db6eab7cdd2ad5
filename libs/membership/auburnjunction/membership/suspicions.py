"""Timeouts of suspicions and removal of old tombstones."""

import math

import attrs

from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.records import Node, NodeState, make_tombstone


@attrs.frozen(slots=True)
class Suspicion:
    """Order of a suspect record and the time at which it was merged."""

    order: tuple
    since_s: float


class SuspicionTimers:
    """Marks suspects of this data centre dead after the timeout.

    Every node runs its own timers. Suspects in other data centres are
    left to the nodes there.
    """

    def __init__(self, cluster: ClusterState):
        self._cluster = cluster
        self._suspects: dict[str, Suspicion] = {}
        self._tombstones: dict[str, float] = {}
        cluster.add_observer(self.observe)

    def observe(self, record: Node) -> None:
        """Start or stop the timers of a node whose record was merged."""
        now_s = self._cluster.clock.monotonic()
        self._suspects.pop(record.node, None)
        self._tombstones.pop(record.node, None)
        if record.state is NodeState.DEAD:
            self._tombstones[record.node] = now_s
        elif record.state is NodeState.SUSPECT and self._is_local(record):
            self._suspects[record.node] = Suspicion(record.order, now_s)

    def check(self) -> None:
        """Mark timed-out suspects dead and remove old tombstones."""
        now_s = self._cluster.clock.monotonic()
        if not self._cluster.pause_detector.is_current:
            self._restart_timers(now_s)
        elif self._suspects:
            self._expire_suspects(now_s - self._timeout_s())
        oldest_s = now_s - self._cluster.cfg.tombstone_keep_s
        while self._tombstones:
            node, since_s = next(iter(self._tombstones.items()))
            if since_s > oldest_s:
                return
            del self._tombstones[node]
            self._cluster.remove_tombstone(node)

    def _restart_timers(self, now_s: float) -> None:
        """Restart all suspicion timers after a pause of this process."""
        for node, suspicion in self._suspects.items():
            self._suspects[node] = Suspicion(suspicion.order, now_s)

    def _is_local(self, record: Node) -> bool:
        return record.data_centre == self._cluster.own_record.data_centre

    def _timeout_s(self) -> float:
        count = max(1, len(self._cluster.peers))
        scale = max(1.0, math.log10(count))
        return self._cluster.cfg.suspicion_timeout_s * scale

    def _expire_suspects(self, latest_s: float) -> None:
        cluster = self._cluster
        for node, suspicion in list(self._suspects.items()):
            # Without contact since the suspicion, this node is cut off.
            is_cut_off = cluster.last_contact_s < suspicion.since_s
            if suspicion.since_s > latest_s or is_cut_off:
                continue
            del self._suspects[node]
            record = cluster.view.get(node)
            if record is not None and record.order == suspicion.order:
                cluster.stats.burials += 1
                cluster.merge([make_tombstone(record)])
