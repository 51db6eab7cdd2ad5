"""Direct and indirect probes of peers that failed an exchange."""

import attrs
import curio

from auburnjunction.base.logs import log_event
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import parse_message, post
from auburnjunction.membership.records import Node, NodeState, make_tombstone
from auburnjunction.schema import control_pb2 as pb

MAX_CONCURRENT_CHECKS = 16
# An indirect probe includes the relay's own probe of the target.
INDIRECT_TIMEOUT_FACTOR = 2


class Prober:
    """Probes peers and suspects those that cannot be reached."""

    def __init__(self, cluster: ClusterState, pools: PoolRegistry):
        self._cluster = cluster
        self._pools = pools
        self._checking: set[str] = set()

    async def check(self, peer: Node) -> None:
        """Suspect a peer if direct and indirect probes of it all fail.

        A leaving peer that fails them is marked dead at once.
        """
        if (
            peer.node in self._checking
            or len(self._checking) >= MAX_CONCURRENT_CHECKS
        ):
            return
        self._checking.add(peer.node)
        try:
            if not await self._is_reachable(peer):
                self._mark_unreachable(peer)
        finally:
            self._checking.discard(peer.node)

    async def handle_request(self, body: bytes) -> pb.ProbeResponse:
        """Respond to a probe; if it names an address, probe that target."""
        request = parse_message(pb.ProbeRequest, body)
        if not request.host:
            reached = request.target == self._cluster.own_record.node
            return pb.ProbeResponse(reached=reached)
        address = Address(request.host, request.peer_port)
        return pb.ProbeResponse(
            reached=await self._probe(request.target, address)
        )

    async def _is_reachable(self, peer: Node) -> bool:
        if await self._probe(peer.node, peer.address):
            return True
        relays = [p for p in self._cluster.peers if p.node != peer.node]
        count = min(len(relays), self._cluster.cfg.indirect_probes)
        relays = self._cluster.random.sample(relays, count)
        async with curio.TaskGroup() as group:
            for relay in relays:
                await group.spawn(self._probe_through, relay, peer)
        return any(group.results) if relays else False

    async def _probe_through(self, relay: Node, peer: Node) -> bool:
        request = pb.ProbeRequest(
            target=peer.node,
            host=peer.address.host,
            peer_port=peer.address.port,
        )
        self._cluster.stats.indirect_probes += 1
        timeout_s = (
            self._cluster.cfg.exchange_timeout_s * INDIRECT_TIMEOUT_FACTOR
        )
        return await self._send(relay.address, request, timeout_s)

    async def _probe(self, node: str, address: Address) -> bool:
        self._cluster.stats.probes += 1
        request = pb.ProbeRequest(target=node)
        timeout_s = self._cluster.cfg.exchange_timeout_s
        # Idle pooled connections may be broken, so open a new one.
        return await self._send(address, request, timeout_s, max_idle_s=0.0)

    async def _send(
        self,
        address: Address,
        request: pb.ProbeRequest,
        timeout_s: float,
        max_idle_s: float | None = None,
    ) -> bool:
        body = request.SerializeToString()
        started_s = self._cluster.clock.monotonic()
        try:
            response_body = await post(
                self._pools, address, b"/probe", body, timeout_s, max_idle_s
            )
            response = parse_message(pb.ProbeResponse, response_body)
        except PeerUnreachableError:
            return False
        self._cluster.record_peer_response(started_s)
        return response.reached

    def _mark_unreachable(self, peer: Node) -> None:
        current = self._cluster.view.get(peer.node)
        if current is None or current.incarnation != peer.incarnation:
            return
        if current.state is NodeState.LEAVING:
            self._cluster.merge([make_tombstone(current)])
        elif current.state is NodeState.ALIVE:
            self._cluster.stats.suspicions += 1
            log_event("suspects a peer", peer=current.node)
            suspect = attrs.evolve(current, state=NodeState.SUSPECT)
            self._cluster.merge([suspect])
