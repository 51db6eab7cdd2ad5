"""Immediate pushes of urgent records outside the gossip rounds."""

from collections.abc import Callable
from functools import partial

import curio

from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.crash_updates import CrashUpdate
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.senders import GossipSender

# Attempts of one push, at each target of its group in turn. With a third of
# all requests lost, a push to a single target then fails once in 700.
MAX_ATTEMPTS = 6
MAX_TARGETS = 3
# Delay before the second attempt; it doubles with each further one.
RETRY_DELAY_S = 0.05


class UrgentPusher:
    """Pushes urgent records and crash updates to peers at once.

    A record is urgent if the ready backend servers of a node change or
    the node is leaving. Each node that receives one forwards it once
    within its data centre; the node that owns the record also pushes it
    to one node of every other data centre.
    """

    def __init__(self, cluster: ClusterState, sender: GossipSender):
        self._cluster = cluster
        self._sender = sender

    def take_pushes(self) -> list[Callable]:
        """Clear what is urgent; return the pushes of it as functions."""
        cluster = self._cluster
        urgent = list(cluster.urgent_records.values())
        cluster.urgent_records.clear()
        update = cluster.urgent_update.take()
        own_update = cluster.own_urgent_update.take()
        pushes = []
        if urgent or update:
            pushes += [
                partial(self._push, nodes, urgent, update, False)
                for nodes in self._draw_peers()
            ]
        own_node = cluster.own_record.node
        own_records = [r for r in urgent if r.node == own_node]
        if own_records or own_update:
            pushes += [
                partial(self._push, nodes, own_records, own_update, True)
                for nodes in self._list_remote_nodes()
            ]
        return pushes

    async def push_own_record(self) -> None:
        """Push this node's record to several peers and other data centres.

        Return once one of each group has responded or all attempts failed.
        """
        records = [self._cluster.own_record]
        groups = [(nodes, False) for nodes in self._draw_peers()]
        groups += [(nodes, True) for nodes in self._list_remote_nodes()]
        async with curio.TaskGroup() as tasks:
            for nodes, cross in groups:
                await tasks.spawn(
                    self._push, nodes, records, CrashUpdate(), cross
                )

    def _draw_peers(self) -> list[list[Node]]:
        """Return random groups of peers; a push goes to one of each group."""
        peers = self._cluster.peers
        self._cluster.random.shuffle(peers)
        count = min(len(peers), self._cluster.cfg.urgent_fanout)
        return [peers[i::count][:MAX_TARGETS] for i in range(count)]

    def _list_remote_nodes(self) -> list[list[Node]]:
        view = self._cluster.view
        groups = []
        for name in view.list_data_centres():
            if name == self._cluster.own_record.data_centre:
                continue
            nodes = [
                record
                for record in view.list_nodes(name)
                if record.state is not NodeState.DEAD
            ]
            count = min(len(nodes), MAX_TARGETS)
            groups.append(self._cluster.random.sample(nodes, count))
        return groups

    async def _push(
        self,
        targets: list[Node],
        records: list[Node],
        update: CrashUpdate,
        cross: bool,
    ) -> None:
        """Push records and a crash update until a target responds.

        Gossip rounds do not replace a lost push: a record that most nodes
        have already is soon gossiped no more, and repairs are rare.
        """
        for attempt in range(MAX_ATTEMPTS if targets else 0):
            target = targets[attempt % len(targets)]
            self._cluster.stats.urgent_pushes += 1
            try:
                await self._sender.send_records(
                    target.address,
                    records,
                    target=target,
                    update=update,
                    urgent=True,
                    cross=cross,
                )
                return
            except PeerUnreachableError:
                await self._cluster.clock.sleep(RETRY_DELAY_S * 2**attempt)
