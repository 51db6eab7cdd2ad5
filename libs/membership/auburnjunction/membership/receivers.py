"""Handling of gossip requests."""

from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.crash_updates import (
    read_update,
    select_update,
)
from auburnjunction.membership.exchanges import (
    decode_mark,
    decode_records,
    encode_mark,
    parse_message,
)
from auburnjunction.membership.records import (
    Node,
    NodeState,
    decode_departures,
    encode_departures,
    encode_record,
)
from auburnjunction.membership.senders import GossipSender
from auburnjunction.membership.view_differences import add_differing_parts
from auburnjunction.membership.views import PART_COUNT
from auburnjunction.schema import control_pb2 as pb

MAX_PAGE_RECORDS = 500
MAX_WANTED_RECORDS = 500


class GossipReceiver:
    """Merges the records of gossip requests and makes the responses."""

    def __init__(self, cluster: ClusterState, sender: GossipSender):
        self._cluster = cluster
        self._sender = sender

    def handle_request(self, body: bytes) -> bytes:
        """Merge a request's records and return the encoded response.

        Raise PeerUnreachableError if the body is not a request.
        """
        request = parse_message(pb.GossipRequest, body)
        departures = decode_departures(request.departures)
        self._cluster.departures.adopt(departures)
        self._cluster.observe_table_generation(request.table_generation)
        records = decode_records(request.records)
        new_indexes = self._cluster.merge(records)
        if request.urgent:
            self._cluster.forward_urgent(records)
        clock = self._cluster.clock
        self._cluster.merge_update(read_update(request, clock))
        sender = self._cluster.view.get(request.sender)
        response = pb.GossipResponse(
            sender=self._cluster.own_record.node,
            mark=encode_mark(self._sender.mark_source()),
            news=new_indexes,
            sender_unknown=sender is None,
            table_generation=self._cluster.table_generation,
            proof_age_ms=self._sender.proof_age_source(),
        )
        self._add_records(request, records, response)
        crashes = self._cluster.crashes
        if request.crash_digest != crashes.digest:
            select_update(crashes).write_to(response, clock)
        response.view_digest = self._cluster.view.digest
        if sender is not None:
            self._handle_sender(sender, request, response)
        encoded = response.SerializeToString()
        own = self._cluster.own_record.data_centre
        cross = sender is not None and sender.data_centre != own
        self._cluster.stats.count_response(len(encoded), cross)
        return encoded

    def _handle_sender(
        self,
        sender: Node,
        request: pb.GossipRequest,
        response: pb.GossipResponse,
    ) -> None:
        cluster = self._cluster
        departures = cluster.handover.list_for(sender.address)
        response.departures.extend(encode_departures(departures))
        if request.in_recovery:
            response.known_since_ms = cluster.handover.find_earliest(
                sender.node
            )
        self._sender.on_peer_mark(decode_mark(request.mark), sender.address)
        if sender.data_centre == cluster.own_record.data_centre:
            cluster.reachability.merge(request.reachability)
            response.reachability.extend(
                cluster.reachability.encode_observations()
            )

    def _add_records(
        self,
        request: pb.GossipRequest,
        received: list[Node],
        response: pb.GossipResponse,
    ) -> None:
        cluster = self._cluster
        if request.full and request.view_digest == cluster.view.digest:
            chosen = []
        elif request.full:
            chosen, response.more = self._select_page(request.after)
        elif request.wanted:
            chosen = self._find_records(request.wanted[:MAX_WANTED_RECORDS])
        elif request.part_digests:
            chosen = []
            first = cluster.random.randrange(PART_COUNT)
            add_differing_parts(
                cluster.view, request.part_digests, response, first
            )
        elif request.urgent:
            chosen = []
        else:
            chosen = self._select_gossip(received)
        response.records.extend(encode_record(record) for record in chosen)

    def _select_page(self, after: str) -> tuple[list[Node], bool]:
        names = sorted(
            record.node
            for record in self._cluster.view.list_nodes()
            if record.node > after and record.state is not NodeState.DEAD
        )
        page = self._find_records(names[:MAX_PAGE_RECORDS])
        return page, len(names) > MAX_PAGE_RECORDS

    def _find_records(self, names) -> list[Node]:
        found = (self._cluster.view.get(name) for name in names)
        return [record for record in found if record is not None]

    def _select_gossip(self, received: list[Node]) -> list[Node]:
        """Return queued records that are not in the request.

        Also return the newer record where the request's one is older.
        """
        view = self._cluster.view
        chosen = {}
        for record in received:
            current = view.get(record.node)
            if current is not None and current.order > record.order:
                chosen[record.node] = current
        seen = {record.node for record in received}
        for record in self._cluster.gossip_queue.select():
            if record.node not in seen:
                chosen[record.node] = record
                self._cluster.gossip_queue.count_redundant(record)
        return list(chosen.values())
