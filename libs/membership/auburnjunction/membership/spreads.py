"""Immediate spread of backend servers that come or leave, and of nodes."""

from collections.abc import Callable
from functools import partial

from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.rosters import Roster
from auburnjunction.membership.senders import GossipSender

TRIES = 3


class UrgentSpread:
    """Pushes urgent records to peers without waiting for a round.

    Each node that gets one for the first time pushes it on within its
    data centre; the node it is about also pushes it to one node of
    every other data centre.
    """

    def __init__(self, roster: Roster, sender: GossipSender):
        self._roster = roster
        self._sender = sender

    def take_jobs(self) -> list[Callable]:
        """Return the pushes that are due, as functions to run."""
        urgent = list(self._roster.urgent.values())
        self._roster.urgent.clear()
        if not urgent:
            return []
        own = self._roster.own
        jobs = [
            partial(self._push, nodes, urgent, False)
            for nodes in self._draw_peers()
        ]
        from_here = [r for r in urgent if r.node == own.node]
        if from_here:
            jobs += [
                partial(self._push, nodes, from_here, True)
                for nodes in self._list_remote_nodes()
            ]
        return jobs

    def _draw_peers(self) -> list[list[Node]]:
        """Return groups of peers; one of each group is to be told."""
        peers = self._roster.peers
        self._roster.random.shuffle(peers)
        count = min(len(peers), self._roster.cfg.urgent_fanout)
        return [peers[i::count][:TRIES] for i in range(count)]

    def _list_remote_nodes(self) -> list[list[Node]]:
        view = self._roster.view
        groups = []
        for name in view.list_data_centres():
            if name == self._roster.own.data_centre:
                continue
            nodes = [
                record
                for record in view.list_nodes(name)
                if record.state is not NodeState.DEAD
            ]
            count = min(len(nodes), TRIES)
            groups.append(self._roster.random.sample(nodes, count))
        return groups

    async def _push(
        self, targets: list[Node], records: list[Node], cross: bool
    ) -> None:
        """Push records to the first target that answers."""
        for target in targets:
            self._roster.stats.urgent_pushes += 1
            try:
                await self._sender.send_records(
                    target.address,
                    records,
                    target=target,
                    urgent=True,
                    cross=cross,
                )
                return
            except PeerUnreachableError:
                continue
