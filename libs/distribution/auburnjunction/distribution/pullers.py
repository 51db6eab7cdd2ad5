"""Pulling of higher revisions from peers."""

from random import Random

import attrs
import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.tasks import run_forever
from auburnjunction.distribution.errors import BadContentError, PeerError
from auburnjunction.distribution.exchanges import PULL_PATH, PeerClient
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.holders import (
    RevisionOrigin,
    SnapshotHolder,
)
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.proofs import HeadProof
from auburnjunction.distribution.revisions import (
    MissingBaseError,
    decode_content,
    decode_mark,
    encode_mark,
)
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address
from auburnjunction.model.snapshots import (
    NO_REVISION,
    RevisedSnapshot,
    RevisionMark,
)
from auburnjunction.schema import control_pb2 as pb

MAX_QUEUED_SOURCES = 8


@attrs.frozen
class PullSource:
    """A peer that reported a revision."""

    mark: RevisionMark
    address: Address


class Puller:
    """Pulls higher revisions from peers, one peer at a time."""

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        client: PeerClient,
        holder: SnapshotHolder,
        freshness: ReadFreshness,
        stats: DistributionStats,
        clock: Clock,
        random: Random,
        proof: HeadProof | None = None,
    ):
        self._proof = proof or HeadProof(clock, lambda: holder.mark)
        self._cfg = cfg
        self._view = view
        self._client = client
        self._holder = holder
        self._freshness = freshness
        self._stats = stats
        self._clock = clock
        self._random = random
        self._queued_sources: list[PullSource] = []
        self._highest_reported = 0
        self._pull_queued = curio.Event()

    async def queue_pull(self, mark: RevisionMark, address: Address) -> None:
        """Queue a pull from a peer if its revision is higher."""
        if mark.revision <= self._holder.mark.revision:
            return
        self._highest_reported = max(self._highest_reported, mark.revision)
        for index, source in enumerate(self._queued_sources):
            if source.address == address:
                # The revision of the earlier report may be in force by the
                # time of the pull, which would then be left out.
                if mark.revision > source.mark.revision:
                    self._queued_sources[index] = PullSource(mark, address)
                return
        if len(self._queued_sources) >= MAX_QUEUED_SOURCES:
            return
        self._queued_sources.append(PullSource(mark, address))
        await self._pull_queued.set()

    @property
    def is_behind(self) -> bool:
        """Whether a peer has reported a revision above the one in force."""
        return self._highest_reported > self._holder.mark.revision

    async def run(self) -> None:
        """Pull from queued peers until cancelled."""
        await run_forever(self._pull_when_queued, self._clock, 0)

    async def pull(
        self,
        address: Address,
        head: pb.HeadRequest = pb.HEAD_REQUEST_UNSPECIFIED,
    ) -> None:
        """Pull from a peer and adopt its revision if it is higher.

        Raise PeerError, also if the peer cannot do what is requested of the
        head, or BadContentError.
        """
        start_s = self._clock.monotonic()
        proof_start_s = self._proof.now()
        response = await self._request_content(
            address, self._holder.mark, head
        )
        try:
            self._adopt(response)
        except MissingBaseError:
            proof_start_s = self._proof.now()
            response = await self._request_content(address, NO_REVISION)
            self._adopt(response)
        is_current = self._holder.mark.revision >= response.mark.revision
        if is_current and response.HasField("read_age_ms"):
            self._freshness.record_peer_read(response.read_age_ms, start_s)
        if response.HasField("proof_age_ms"):
            self._proof.record_peer_proof(
                decode_mark(response.mark),
                response.proof_age_ms,
                proof_start_s,
            )

    async def try_pull(
        self,
        address: Address,
        head: pb.HeadRequest = pb.HEAD_REQUEST_UNSPECIFIED,
    ) -> bool:
        """Pull; log a failure and return whether the pull succeeded."""
        try:
            await self.pull(address, head)
        except PeerError as exc:
            log_event("pull failed", peer=str(address), reason=exc.message)
            return False
        except BadContentError as exc:
            self._stats.rejected += 1
            log_event(
                "content rejected", peer=str(address), reason=exc.message
            )
            return False
        return True

    async def _pull_when_queued(self) -> None:
        await self._pull_queued.wait()
        self._pull_queued.clear()
        jitter_s = self._cfg.pull_jitter_s
        await self._clock.sleep(self._random.uniform(0, jitter_s))
        await self._drain_queue()

    async def _drain_queue(self) -> None:
        while self._queued_sources:
            index = self._random.randrange(len(self._queued_sources))
            source = self._queued_sources.pop(index)
            if source.mark.revision > self._holder.mark.revision:
                await self.try_pull(source.address)

    async def _request_content(
        self,
        address: Address,
        have: RevisionMark,
        head: pb.HeadRequest = pb.HEAD_REQUEST_UNSPECIFIED,
    ) -> pb.PullResponse:
        self._stats.pulls += 1
        return await self._client.post(
            address,
            PULL_PATH,
            pb.PullRequest(have=encode_mark(have), head=head),
            pb.PullResponse,
            self._cfg.pull_timeout_s,
            self._is_remote(address),
        )

    def _adopt(self, response: pb.PullResponse) -> None:
        if response.mark.revision <= self._holder.mark.revision:
            return
        revised = decode_content(response, self._holder.current)
        adopt_and_count(
            self._holder,
            revised,
            response,
            RevisionOrigin.PULL,
            self._stats,
        )

    def _is_remote(self, address: Address) -> bool:
        node = find_node(self._view.list_peers(), address)
        return bool(node) and node.data_centre != self._view.data_centre


def find_node(nodes: list[Node], address: Address) -> Node | None:
    """Return the node that listens on an address, or None."""
    for node in nodes:
        if node.address == address:
            return node
    return None


def adopt_and_count(
    holder: SnapshotHolder,
    revised: RevisedSnapshot,
    message: pb.PushRequest | pb.PullResponse,
    origin: RevisionOrigin,
    stats: DistributionStats,
) -> bool:
    """Adopt a received revision and count it as a delta or snapshot."""
    if not holder.adopt(revised, origin):
        return False
    if message.snapshot:
        stats.wholes += 1
    else:
        stats.deltas += 1
    return True
