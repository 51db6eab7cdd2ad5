"""Wiring of the revision distribution of one node."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.background_tasks import (
    BackgroundTasks,
    open_background_tasks,
)
from auburnjunction.distribution.errors import (
    BadContentError,
    PeerError,
)
from auburnjunction.distribution.exchanges import (
    PeerClient,
    make_error_response,
    make_message_response,
    parse_request,
)
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_pollers import (
    FreshnessChecker,
    HeadPoller,
)
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.holders import (
    RevisionOrigin,
    SnapshotHolder,
    has_organisations,
)
from auburnjunction.distribution.peers import PeerDirectory, PeerView
from auburnjunction.distribution.proof_refreshers import ProofRefresher
from auburnjunction.distribution.proofs import HeadProof
from auburnjunction.distribution.pullers import Puller, adopt_and_count
from auburnjunction.distribution.pushers import Pusher
from auburnjunction.distribution.read_delegations import ReadDelegator
from auburnjunction.distribution.revisions import (
    MissingBaseError,
    RecentRevisions,
    decode_content,
    decode_mark,
    encode_mark,
)
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.sources import HeadSource
from auburnjunction.distribution.start_ups import StartUp
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.snapshots import RevisedSnapshot, RevisionMark
from auburnjunction.schema import control_pb2 as pb

SERVE_WINDOW_S = 1.0


class Distributor:
    """Receives revisions from the platform and peers and forwards them."""

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        holder: SnapshotHolder,
        source: HeadSource,
        clock: Clock,
        pools: PoolRegistry,
        random: Random,
        background: BackgroundTasks,
    ):
        self.stats = DistributionStats()
        self._cfg = cfg
        self._view = view
        self._holder = holder
        self._clock = clock
        self._background = background
        self._recent = RecentRevisions(cfg.revisions_kept, cfg.delta_share)
        holder.subscribe(self._recent.add)
        self._freshness = ReadFreshness(clock)
        self.proof = HeadProof(clock, lambda: holder.mark)
        client = PeerClient(pools, self.stats)
        self._puller = Puller(
            cfg,
            view,
            client,
            holder,
            self._freshness,
            self.stats,
            clock,
            random,
            self.proof,
        )
        self._pusher = Pusher(
            cfg,
            view,
            client,
            holder,
            self._recent,
            self.stats,
            random,
            self._puller.queue_pull,
            background,
        )
        self._head_reader = HeadReader(
            cfg,
            source,
            holder,
            self._freshness,
            self.stats,
            clock,
            self.proof,
        )
        self._head_poller = HeadPoller(
            cfg,
            view,
            self._head_reader,
            self._pusher,
            self._puller,
            ReadDelegator(cfg, view, self._puller, random),
            self._freshness,
            self.stats,
            clock,
            random,
        )
        self._freshness_checker = FreshnessChecker(
            cfg, view, self._puller, self._freshness, clock, random
        )
        self._proof_refresher = ProofRefresher(
            cfg,
            view,
            self._puller,
            self.proof,
            holder,
            clock,
            random,
            background,
        )
        self._start_up = StartUp(
            cfg,
            view,
            self._head_reader,
            self._puller,
            self._freshness,
            holder,
            clock,
            random,
        )
        self._started = curio.Event()
        self._window_start_s = clock.monotonic()
        self._snapshots_served = 0

    @property
    def is_ready(self) -> bool:
        """Whether this node may serve calls with the snapshot in force."""
        return (
            self._start_up.is_synchronised and self._holder.current is not None
        )

    @property
    def is_behind(self) -> bool:
        """Whether a peer is known to have a higher revision."""
        return self._puller.is_behind

    @property
    def shared_proof_age_ms(self) -> int | None:
        """Age of the proof for other nodes; None without organisations.

        Configurations without organisations need no proof.
        """
        if not has_organisations(self._holder):
            return None
        return self.proof.age_ms

    def record_peer_proof(
        self, mark: RevisionMark, age_ms: int, request_s: float
    ) -> None:
        """Record the proof in a peer's response; see HeadProof.

        It tells of a read of the head like the response to a pull, without
        which nodes that get proofs by gossip would begin to read.
        """
        self.proof.record_peer_proof(mark, age_ms, request_s)
        if self.proof.age_s < math.inf:
            read_s = self._clock.monotonic() - self.proof.age_s
            self._freshness.record_read(read_s)

    async def start_up(self) -> None:
        """Adopt the highest revision of the platform and several peers.

        Head polling and freshness checks begin only after this ends.
        """
        await self._start_up.run()
        await self._started.set()

    async def run(self, group: curio.TaskGroup) -> None:
        """Spawn the tasks that keep this node up to date."""
        await group.spawn(self._puller.run)
        await group.spawn(self._proof_refresher.run)
        await group.spawn(self._run_after_start_up, self._head_poller.run)
        await group.spawn(
            self._run_after_start_up, self._freshness_checker.run
        )

    async def _run_after_start_up(self, function) -> None:
        await self._started.wait()
        await function()

    async def publish_commit(self, revised: RevisedSnapshot) -> None:
        """Adopt a revision committed through this node and push it.

        A head read of this node may have adopted it already.
        """
        self._holder.adopt(revised, RevisionOrigin.COMMIT)
        if self._holder.mark == revised.mark:
            await self._pusher.push_to_all()

    async def on_mark(self, mark: RevisionMark, address: Address) -> None:
        """Schedule a pull if a peer reports a higher revision."""
        await self._puller.queue_pull(mark, address)

    async def handle_push(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /push: adopt the revision and forward it."""
        try:
            message = parse_request(pb.PushRequest, request)
        except PeerError as exc:
            return make_error_response(400, exc.message)
        mark = decode_mark(message.mark)
        try:
            if mark.revision > self._holder.mark.revision:
                revised = decode_content(message, self._holder.current)
                adopt_and_count(
                    self._holder,
                    revised,
                    message,
                    RevisionOrigin.PUSH,
                    self.stats,
                )
        except MissingBaseError:
            return self._make_push_response(need_snapshot=True)
        except BadContentError as exc:
            self.stats.rejected += 1
            log_event("content rejected", reason=exc.message)
            return make_error_response(422, exc.message)
        await self._forward(message)
        return self._make_push_response(need_snapshot=False)

    async def handle_pull(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /pull: return a delta or the full snapshot."""
        try:
            message = parse_request(pb.PullRequest, request)
        except PeerError as exc:
            return make_error_response(400, exc.message)
        if message.head and not await self._serve_head(message.head):
            return make_error_response(503, "the head cannot be read")
        have = message.have
        response = pb.PullResponse(
            mark=encode_mark(self._holder.mark),
            read_age_ms=self._freshness.age_ms,
            proof_age_ms=self.shared_proof_age_ms,
        )
        if have.revision >= self._holder.mark.revision:
            return make_message_response(response)
        delta = self._recent.make_delta(decode_mark(have))
        if delta is not None:
            response.delta.CopyFrom(delta)
        elif self._acquire_snapshot_quota():
            response.snapshot = self._recent.encoded_snapshot
        else:
            return make_error_response(
                503,
                "limit of full snapshots reached: "
                f"{self._cfg.wholes_served_per_s} per {SERVE_WINDOW_S} s; "
                "pull from another node",
            )
        return make_message_response(response)

    async def _serve_head(self, request: pb.HeadRequest) -> bool:
        """Check or read the head for a reader; return whether it succeeded."""
        if request == pb.HEAD_REQUEST_CHECK:
            return await self._head_poller.can_act_as_reader()
        adopted = await self._head_poller.act_as_reader()
        if adopted:
            await self._pusher.push_to_all()
        return adopted is not None

    async def _forward(self, message: pb.PushRequest) -> None:
        if message.spread:
            await self._pusher.push_local()
        else:
            self._pusher.record_pushed(message.mark.revision)
        if message.targets:
            nodes = self._view.find(message.targets)
            await self._pusher.push_tree(nodes)

    def _make_push_response(self, need_snapshot: bool) -> HttpResponse:
        return make_message_response(
            pb.PushResponse(
                mark=encode_mark(self._holder.mark),
                need_snapshot=need_snapshot,
            )
        )

    def _acquire_snapshot_quota(self) -> bool:
        """Count a full snapshot; return whether the limit allows it."""
        now_s = self._clock.monotonic()
        if now_s - self._window_start_s >= SERVE_WINDOW_S:
            self._window_start_s = now_s
            self._snapshots_served = 0
        self._snapshots_served += 1
        return self._snapshots_served <= self._cfg.wholes_served_per_s


@asynccontextmanager
async def open_distribution(
    cfg: DistributionSettings,
    node: str,
    data_centre: str,
    holder: SnapshotHolder,
    peers: PeerDirectory,
    source: HeadSource,
    clock: Clock,
    pools: PoolRegistry,
    random: Random,
) -> AsyncIterator[Distributor]:
    """Yield a distributor whose tasks are cancelled on exit."""
    view = PeerView(peers, node, data_centre)
    async with open_background_tasks() as background:
        distributor = Distributor(
            cfg,
            view,
            holder,
            source,
            clock,
            pools,
            random,
            background,
        )
        async with curio.TaskGroup(wait=None) as group:
            await distributor.run(group)
            try:
                yield distributor
            finally:
                await group.cancel_remaining()
