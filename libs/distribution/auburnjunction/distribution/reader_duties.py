"""When a node reads the platform's head, and when it asks others."""

from random import Random

from auburnjunction.base.clocks import Clock
from auburnjunction.base.tasks import run_forever
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.pushers import Pusher
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.statistics import DistributionStats

JITTER = 0.25


class ReaderDuty:
    """Reads the head while this node is one of the chosen readers.

    With no reading heard of for long, any node reads under the budget
    of the fleet.
    """

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        reader: HeadReader,
        pusher: Pusher,
        puller: Puller,
        freshness: ReadFreshness,
        stats: DistributionStats,
        clock: Clock,
        random: Random,
    ):
        self._cfg = cfg
        self._view = view
        self._reader = reader
        self._pusher = pusher
        self._puller = puller
        self._freshness = freshness
        self._stats = stats
        self._clock = clock
        self._random = random
        self._is_reader = False

    async def run(self) -> None:
        """Do the duty at jittered intervals until cancelled."""
        await run_forever(
            self.step,
            self._clock,
            lambda: jitter(self._random, self._find_pause()),
        )

    def _find_pause(self) -> float:
        """Return the seconds until the next step."""
        if self._is_reader:
            return self.interval_s
        return max(self._cfg.duty_check_interval_s, self.interval_s)

    async def step(self) -> None:
        """Read the head if that is this node's turn."""
        rank = self.rank
        self._is_reader = rank is not None
        if rank is not None:
            await self._read(rank)
        elif self._freshness.age_s > self._cfg.silence_s:
            await self._fall_back()

    @property
    def rank(self) -> int | None:
        """Place among the readers of the data centre, from 0."""
        readers = self._view.choose_readers(self._cfg.readers)
        if self._view.node not in readers:
            return None
        return readers.index(self._view.node)

    @property
    def interval_s(self) -> float:
        """Seconds between readings that keep the fleet in its budget.

        A small view may be one of many: the fleet may have fallen into
        as many parts of that size as it has room for.
        """
        known = len(self._view.list_local()) + 1
        readers = min(self._cfg.readers, known)
        parts = self._cfg.fleet_size / known
        spread_s = parts * readers / self._cfg.fleet_reads_per_s
        return max(
            self._cfg.read_interval_s, spread_s, self._reader.failure_wait_s
        )

    async def _read(self, rank: int) -> None:
        adopted = await self._reader.try_read(self._cfg.read_wait_s)
        if adopted is None:
            await self._ask_remote()
        elif adopted:
            await self._spread(rank)

    async def _spread(self, rank: int) -> None:
        await self._pusher.spread_local()
        if rank == 0:
            await self._pusher.spread_remote()

    async def _ask_remote(self) -> None:
        """Ask another data centre, which may still reach the platform."""
        before = self._reader.holder_revision
        nodes = [n for group in self._groups() for n in group]
        if not nodes:
            return
        node = self._random.choice(nodes)
        await self._puller.try_pull(node.address)
        if self._reader.holder_revision > before:
            await self._pusher.spread_local()

    def _groups(self) -> list[list[Node]]:
        return list(self._view.group_remote().values())

    async def _fall_back(self) -> None:
        """Read at random, so rarely that the fleet keeps its budget."""
        share_s = self._cfg.fleet_size / self._cfg.fleet_reads_per_s
        if self._random.random() * share_s > self.interval_s:
            return
        self._stats.fall_back_reads += 1
        if await self._reader.try_read():
            await self._pusher.spread_local()


class FreshnessCheck:
    """Asks a reader at intervals how lately it has read the head."""

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        puller: Puller,
        freshness: ReadFreshness,
        clock: Clock,
        random: Random,
    ):
        self._cfg = cfg
        self._view = view
        self._puller = puller
        self._freshness = freshness
        self._clock = clock
        self._random = random

    async def run(self) -> None:
        """Check at jittered intervals until cancelled."""
        await run_forever(
            self.step,
            self._clock,
            lambda: jitter(self._random, self._cfg.check_interval_s),
        )

    async def step(self) -> None:
        """Ask the readers, then any peer, until one knows of a reading."""
        if self._freshness.age_s < self._cfg.check_interval_s / 2:
            return
        asked_s = self._clock.monotonic()
        for node in self._list_candidates():
            await self._puller.try_pull(node.address)
            if self._freshness.is_newer(asked_s - self._cfg.silence_s / 2):
                return

    def _list_candidates(self) -> list[Node]:
        readers = self._view.find(self._view.choose_readers(self._cfg.readers))
        self._random.shuffle(readers)
        peers = self._view.list_local()
        return readers + self._random.sample(peers, min(1, len(peers)))


def jitter(random: Random, interval_s: float) -> float:
    """Return the interval, somewhat longer or shorter."""
    return interval_s * random.uniform(1 - JITTER, 1 + JITTER)
