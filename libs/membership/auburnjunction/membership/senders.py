"""Sending of gossip requests and merging of their responses."""

from collections.abc import Awaitable, Callable

from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.crash_updates import CrashUpdate, read_update
from auburnjunction.membership.errors import PeerUnreachableError
from auburnjunction.membership.exchanges import (
    decode_mark,
    decode_records,
    encode_mark,
    parse_message,
    post,
)
from auburnjunction.membership.records import (
    Node,
    NodeState,
    decode_departures,
    encode_departures,
    encode_record,
)
from auburnjunction.model.snapshots import NO_REVISION, RevisionMark
from auburnjunction.schema import control_pb2 as pb

MarkSource = Callable[[], RevisionMark]
# Age in milliseconds of the proof that the mark is the newest one.
ProofAgeSource = Callable[[], int | None]
# Called with the mark, the age of its proof and the start of the exchange, in
# the time of Clock.boottime.
ProofListener = Callable[[RevisionMark, int, float], None]
MarkListener = Callable[[RevisionMark, Address], Awaitable[None]]


async def ignore_mark(_mark: RevisionMark, _address: Address) -> None:
    """Ignore the higher revision of a peer."""


def no_revision() -> RevisionMark:
    """Return the revision mark of a node without a configuration."""
    return NO_REVISION


def no_proof() -> None:
    """Return None, for a node without a proof."""


def ignore_proof(_mark: RevisionMark, _age_ms: int, _start_s: float) -> None:
    """Ignore the proof of a peer."""


class GossipSender:
    """Sends gossip requests and merges the records of responses."""

    def __init__(self, cluster: ClusterState, pools: PoolRegistry):
        self._cluster = cluster
        self._pools = pools
        self.mark_source: MarkSource = no_revision
        self.proof_age_source: ProofAgeSource = no_proof
        self.on_proof: ProofListener = ignore_proof
        self.on_peer_mark: Callable[[RevisionMark, Address], None] = (
            lambda _mark, _address: None
        )

    async def exchange_gossip(
        self, address: Address, target: Node
    ) -> pb.GossipResponse:
        """Exchange queued records with a peer.

        Raise PeerUnreachableError if there is no usable response.
        """
        records = self._cluster.gossip_queue.select()
        if target.state in (NodeState.SUSPECT, NodeState.DEAD):
            records = [*(r for r in records if r.node != target.node), target]
        response = await self.send_records(address, records, target=target)
        new_indexes = set(response.news)
        for index, record in enumerate(records):
            if index not in new_indexes:
                self._cluster.gossip_queue.count_redundant(record)
        return response

    async def send_records(
        self,
        address: Address,
        records: list[Node],
        *,
        target: Node | None = None,
        update: CrashUpdate | None = None,
        urgent: bool = False,
        cross: bool = False,
    ) -> pb.GossipResponse:
        """Send records and an update of crashes; merge those received."""
        request = self.make_request()
        request.records.extend(encode_record(r) for r in records)
        if update is not None:
            update.write_to(request, self._cluster.clock)
        request.urgent = urgent
        if not cross:
            messages = self._cluster.reachability.encode_observations()
            request.reachability.extend(messages)
        response = await self.send(address, request, cross=cross)
        if target is not None and response.sender != target.node:
            raise PeerUnreachableError(
                f"{address}: response is from {response.sender}, "
                f"not {target.node}"
            )
        return response

    async def pull_view(self, address: Address, cross: bool = False) -> None:
        """Fetch every record that a peer holds, page by page."""
        self._cluster.stats.full_syncs += 1
        request = self.make_request()
        request.records.append(encode_record(self._cluster.own_record))
        request.full = True
        response = await self.send(address, request, cross=cross)
        while response.more and response.records:
            request = self.make_request()
            request.full = True
            request.after = response.records[-1].node
            response = await self.send(address, request, cross=cross)

    def make_request(self) -> pb.GossipRequest:
        """Return a request with the fields that are common to all."""
        return pb.GossipRequest(
            sender=self._cluster.own_record.node,
            mark=encode_mark(self.mark_source()),
            view_digest=self._cluster.view.digest,
            table_generation=self._cluster.table_generation,
            crash_digest=self._cluster.crashes.digest,
            in_recovery=self._cluster.recovery.is_active,
        )

    async def send(
        self, address: Address, request: pb.GossipRequest, cross: bool = False
    ) -> pb.GossipResponse:
        """Send one request and merge its response."""
        cluster = self._cluster
        departures = cluster.handover.list_for(address)
        request.departures.extend(encode_departures(departures))
        body = request.SerializeToString()
        cluster.stats.count_request(len(body), cross)
        timeout_s = cluster.cfg.exchange_timeout_s
        if cross:
            timeout_s = cluster.cfg.cross_timeout_s
        started_s = cluster.clock.monotonic()
        proof_start_s = cluster.clock.boottime()
        response_body = await post(
            self._pools, address, b"/gossip", body, timeout_s
        )
        response = parse_message(pb.GossipResponse, response_body)
        cluster.record_peer_response(started_s)
        cluster.reachability.merge(response.reachability)
        cluster.departures.adopt(decode_departures(response.departures))
        cluster.recovery.record_witness(response.known_since_ms)
        cluster.observe_table_generation(response.table_generation)
        cluster.merge(decode_records(response.records))
        cluster.merge_update(read_update(response, cluster.clock))
        if response.sender_unknown:
            cluster.gossip_queue.add(cluster.own_record)
        mark = decode_mark(response.mark)
        self.on_peer_mark(mark, address)
        if response.HasField("proof_age_ms"):
            self.on_proof(mark, response.proof_age_ms, proof_start_s)
        return response
