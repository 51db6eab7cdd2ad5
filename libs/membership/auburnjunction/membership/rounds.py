"""Gossip rounds within this data centre and with other ones."""

from collections.abc import Awaitable, Callable

from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.gossip_queues import MAX_GOSSIP_RECORDS
from auburnjunction.membership.joins import Joiner
from auburnjunction.membership.links import select_links
from auburnjunction.membership.probes import Prober
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.repairs import ViewRepair
from auburnjunction.membership.senders import GossipSender

# Each of the other data centres is contacted once in this many rounds.
ROUNDS_PER_CYCLE = 4
# Probability that a round also contacts a dead peer, which may have
# restarted.
DEAD_PEER_PROBABILITY = 0.1

Spawner = Callable[..., Awaitable[None]]


class GossipRounds:
    """Exchanges records with one peer of this data centre per round."""

    def __init__(
        self,
        cluster: ClusterState,
        sender: GossipSender,
        prober: Prober,
        joiner: Joiner,
        spawn: Spawner,
    ):
        self._cluster = cluster
        self._sender = sender
        self._prober = prober
        self._joiner = joiner
        self._spawn = spawn
        self._repair = ViewRepair(cluster, sender)
        self._ring: list[str] = []

    def draw_interval(self) -> float:
        """Return a random delay until the next round, in seconds."""
        cfg = self._cluster.cfg
        return self._cluster.random.uniform(
            cfg.gossip_min_interval_s, cfg.gossip_max_interval_s
        )

    async def run_round(self) -> None:
        """Exchange records with the next peer; join if there is none."""
        peer = self._next_peer()
        if peer is None:
            await self._spawn(self._joiner.join)
        else:
            self._joiner.reset_backoffs()
            await self._exchange(peer)
        if self._cluster.random.random() < DEAD_PEER_PROBABILITY:
            await self._contact_dead_peer()

    async def _exchange(self, peer: Node) -> None:
        try:
            response = await self._sender.exchange_gossip(peer.address, peer)
            await self._repair.repair(peer.address, response.view_digest)
        except PeerUnreachableError:
            self._cluster.stats.failed_exchanges += 1
            await self._spawn(self._prober.check, peer)

    def _next_peer(self) -> Node | None:
        """Return the next peer that is not dead, in shuffled round robin."""
        view = self._cluster.view
        if not self._ring:
            self._ring = [peer.node for peer in self._cluster.peers]
            self._cluster.random.shuffle(self._ring)
        while self._ring:
            peer = view.get(self._ring.pop())
            if peer is not None and peer.state is not NodeState.DEAD:
                return peer
        return None

    async def _contact_dead_peer(self) -> None:
        dead = [
            record
            for record in self._cluster.view.list_nodes(
                self._cluster.own_record.data_centre
            )
            if record.state is NodeState.DEAD
        ]
        if dead:
            peer = self._cluster.random.choice(dead)
            await self._spawn(self._send_tombstone, peer)

    async def _send_tombstone(self, peer: Node) -> None:
        """Send a dead peer its tombstone, which it refutes if running."""
        try:
            await self._sender.exchange_gossip(peer.address, peer)
        except PeerUnreachableError:
            self._cluster.stats.failed_exchanges += 1


class CrossRounds:
    """Exchanges records with other data centres if this node is a link.

    A round covers 1 / ROUNDS_PER_CYCLE of the other data centres, rounded
    up, and contacts one random node in each.
    """

    def __init__(
        self,
        cluster: ClusterState,
        sender: GossipSender,
        joiner: Joiner,
        spawn: Spawner,
    ):
        self._cluster = cluster
        self._sender = sender
        self._joiner = joiner
        self._spawn = spawn
        self._repair = ViewRepair(cluster, sender)
        self._ring: list[str] = []
        self._in_flight: set[str] = set()
        # Change count up to which records were sent, by data centre.
        self._sent_changes: dict[str, int] = {}

    async def run_round(self) -> None:
        """Exchange records with the next data centres if a link node."""
        own = self._cluster.own_record
        links = select_links(
            self._cluster.view.list_nodes(own.data_centre),
            self._cluster.cfg.cross_links,
        )
        if own.node not in {link.node for link in links}:
            return
        others = self._list_remote_data_centres()
        if not others:
            await self._spawn(self._joiner.discover_data_centres)
        for data_centre in self._select_data_centres(others):
            if data_centre not in self._in_flight:
                self._in_flight.add(data_centre)
                await self._spawn(self._exchange, data_centre)

    def _list_remote_data_centres(self) -> list[str]:
        own = self._cluster.own_record.data_centre
        names = self._cluster.view.list_data_centres()
        return [name for name in names if name != own]

    def _select_data_centres(self, others: list[str]) -> list[str]:
        if not self._ring:
            self._ring = list(others)
            self._cluster.random.shuffle(self._ring)
        count = -(-len(others) // ROUNDS_PER_CYCLE)
        chosen = self._ring[:count]
        del self._ring[:count]
        return chosen

    async def _exchange(self, data_centre: str) -> None:
        try:
            await self._exchange_with_random_node(data_centre)
        finally:
            self._in_flight.discard(data_centre)

    async def _exchange_with_random_node(self, data_centre: str) -> None:
        cluster = self._cluster
        nodes = [
            record
            for record in cluster.view.list_nodes(data_centre)
            if record.state is not NodeState.DEAD
        ]
        if not nodes:
            return
        peer = cluster.random.choice(nodes)
        after = self._sent_changes.get(data_centre, 0)
        records, count = cluster.list_changes(after, MAX_GOSSIP_RECORDS)
        try:
            response = await self._sender.send_records(
                peer.address, records, target=peer, cross=True
            )
            self._sent_changes[data_centre] = count
            cluster.reachability.record_exchange(data_centre, True)
            await self._repair.repair(
                peer.address, response.view_digest, cross=True
            )
        except PeerUnreachableError:
            cluster.stats.failed_cross_exchanges += 1
            cluster.reachability.record_exchange(data_centre, False)
