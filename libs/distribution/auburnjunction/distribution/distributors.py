"""Distribution of revisions on one node, put together."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.backgrounds import (
    BackgroundTasks,
    open_background,
)
from auburnjunction.distribution.errors import (
    BadContentError,
    PeerError,
)
from auburnjunction.distribution.exchanges import (
    PeerClient,
    answer_error,
    answer_message,
    parse_request,
)
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.peers import PeerDirectory, PeerView
from auburnjunction.distribution.pullers import Puller, adopt_counted
from auburnjunction.distribution.pushers import Pusher
from auburnjunction.distribution.reader_duties import (
    FreshnessCheck,
    ReaderDuty,
)
from auburnjunction.distribution.revisions import (
    MissingBaseError,
    RecentRevisions,
    decode_mark,
    encode_mark,
    read_content,
)
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.sources import HeadSource
from auburnjunction.distribution.start_ups import StartUp
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.snapshots import RevisedSnapshot, RevisionMark
from auburnjunction.schema import control_pb2 as pb

WINDOW_S = 1.0


class Distributor:
    """Takes revisions from the platform and peers and passes them on."""

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
        )
        self._pusher = Pusher(
            cfg,
            view,
            client,
            holder,
            self._recent,
            self.stats,
            random,
            self._puller.offer,
        )
        self._reader = HeadReader(
            cfg, source, holder, self._freshness, self.stats, clock
        )
        self._duty = ReaderDuty(
            cfg,
            view,
            self._reader,
            self._pusher,
            self._puller,
            self._freshness,
            self.stats,
            clock,
            random,
        )
        self._check = FreshnessCheck(
            cfg, view, self._puller, self._freshness, clock, random
        )
        self._start_up = StartUp(
            cfg,
            view,
            self._reader,
            self._puller,
            self._freshness,
            holder,
            clock,
            random,
        )
        self._started = curio.Event()
        self._served_s = clock.monotonic()
        self._wholes_served = 0

    @property
    def is_ready(self) -> bool:
        """Whether this node may serve with the snapshot in force."""
        return self._start_up.is_done and self._holder.current is not None

    @property
    def is_behind(self) -> bool:
        """Whether a peer is known to hold a higher revision."""
        return self._puller.is_behind

    async def start_up(self) -> None:
        """Take the highest revision of the platform and several peers.

        Until it has ended, this node reads the platform in no other way.
        """
        await self._start_up.run()
        await self._started.set()

    async def run(self, group: curio.TaskGroup) -> None:
        """Start the tasks that keep this node up to date."""
        await group.spawn(self._puller.run)
        await group.spawn(self._run_started, self._duty.run)
        await group.spawn(self._run_started, self._check.run)

    async def _run_started(self, function) -> None:
        await self._started.wait()
        await function()

    async def take_commit(self, revised: RevisedSnapshot) -> None:
        """Adopt a revision committed here and tell the other nodes.

        A reader of this node may have found it first.
        """
        self._holder.adopt(revised)
        if self._holder.mark == revised.mark:
            await self._background.spawn(self._pusher.spread_everywhere)

    async def on_mark(self, mark: RevisionMark, address: Address) -> None:
        """Pull soon if a peer holds a higher revision."""
        await self._puller.offer(mark, address)

    async def handle_push(self, request: HttpRequest) -> HttpResponse:
        """Answer POST /push: adopt the revision and pass it on."""
        try:
            message = parse_request(pb.PushRequest, request)
        except PeerError as exc:
            return answer_error(400, exc.message)
        mark = decode_mark(message.mark)
        try:
            if mark.revision > self._holder.mark.revision:
                revised = read_content(message, self._holder.current)
                adopt_counted(self._holder, revised, message, self.stats)
        except MissingBaseError:
            return self._answer_push(need_snapshot=True)
        except BadContentError as exc:
            self.stats.rejected += 1
            log_event("content rejected", reason=exc.message)
            return answer_error(422, exc.message)
        await self._pass_on(message)
        return self._answer_push(need_snapshot=False)

    async def handle_pull(self, request: HttpRequest) -> HttpResponse:
        """Answer POST /pull: give what the asker lacks."""
        try:
            have = parse_request(pb.PullRequest, request).have
        except PeerError as exc:
            return answer_error(400, exc.message)
        answer = pb.PullResponse(
            mark=encode_mark(self._holder.mark),
            read_age_ms=self._freshness.age_ms,
        )
        if have.revision >= self._holder.mark.revision:
            return answer_message(answer)
        delta = self._recent.make_delta(decode_mark(have))
        if delta is not None:
            answer.delta.CopyFrom(delta)
        elif self._take_whole():
            answer.snapshot = self._recent.whole
        else:
            return answer_error(503, "too many pulls; try another node")
        return answer_message(answer)

    async def _pass_on(self, message: pb.PushRequest) -> None:
        if message.spread:
            await self._background.spawn(self._pusher.spread_local)
        else:
            self._pusher.note_pushed(message.mark.revision)
        if message.targets:
            nodes = self._view.find(message.targets)
            await self._background.spawn(self._pusher.push_tree, nodes)

    def _answer_push(self, need_snapshot: bool) -> HttpResponse:
        return answer_message(
            pb.PushResponse(
                mark=encode_mark(self._holder.mark),
                need_snapshot=need_snapshot,
            )
        )

    def _take_whole(self) -> bool:
        """Count a whole content served; False above the limit."""
        now_s = self._clock.monotonic()
        if now_s - self._served_s >= WINDOW_S:
            self._served_s = now_s
            self._wholes_served = 0
        self._wholes_served += 1
        return self._wholes_served <= self._cfg.wholes_served_per_s


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
    """Yield a distributor whose tasks run until the block ends."""
    view = PeerView(peers, node, data_centre)
    async with open_background() as background:
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
