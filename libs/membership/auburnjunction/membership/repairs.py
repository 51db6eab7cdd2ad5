"""Anti-entropy repair of views that differ after an exchange."""

from auburnjunction.http.clients import Address
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.receivers import MAX_WANTED_RECORDS
from auburnjunction.membership.records import encode_record
from auburnjunction.membership.senders import GossipSender
from auburnjunction.membership.view_differences import compare_keys
from auburnjunction.schema import control_pb2 as pb


class ViewRepair:
    """Compares the view with that of a peer and exchanges differences.

    The first exchange sends the digests of all parts and returns the
    keys of parts that differ; the second sends newer records and fetches
    wanted ones. The rate is limited, because records in flight make
    views differ all the time.
    """

    def __init__(self, cluster: ClusterState, sender: GossipSender):
        self._cluster = cluster
        self._sender = sender
        self._next_s = 0.0

    async def repair(
        self, address: Address, peer_digest: int, cross: bool = False
    ) -> None:
        """Repair if the digests differ and the minimum interval is over.

        Raise PeerUnreachableError if the peer does not respond.
        """
        cluster = self._cluster
        now_s = cluster.clock.monotonic()
        if peer_digest == cluster.view.digest or now_s < self._next_s:
            return
        interval_s = cluster.cfg.repair_interval_s
        self._next_s = now_s + interval_s * cluster.random.uniform(0.5, 1.5)
        await self.compare(address, cross)

    async def compare(self, address: Address, cross: bool = False) -> None:
        """Exchange the differences, without a limit of the rate.

        Raise PeerUnreachableError if the peer does not respond.
        """
        cluster = self._cluster
        cluster.stats.repairs += 1
        request = self._sender.make_request()
        request.part_digests.extend(cluster.view.part_digests)
        response = await self._sender.send(address, request, cross=cross)
        await self._exchange_parts(address, response, cross)

    async def _exchange_parts(
        self, address: Address, response: pb.GossipResponse, cross: bool
    ) -> None:
        newer, wanted = compare_keys(
            self._cluster.view, response.parts, response.keys
        )
        if not newer and not wanted:
            return
        request = self._sender.make_request()
        request.records.extend(
            encode_record(r) for r in newer[:MAX_WANTED_RECORDS]
        )
        request.wanted.extend(wanted[:MAX_WANTED_RECORDS])
        await self._sender.send(address, request, cross=cross)
