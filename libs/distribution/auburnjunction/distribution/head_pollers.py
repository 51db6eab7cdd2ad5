"""Polling of the head by elected readers, and freshness checks."""

from random import Random

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.tasks import run_forever
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.pushers import Pusher
from auburnjunction.distribution.read_delegations import ReadDelegator
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.statistics import DistributionStats

JITTER_SHARE = 0.25
# Term of an acting reader; the reader that it acts for renews it earlier.
ACTING_READER_S = 4.0


class HeadPoller:
    """Polls the head while this node is an elected or acting reader.

    A reader that cannot read delegates its reads to another node of the data
    centre, which then is an acting reader. If the last known read is older
    than silence_s, any other node may read as well, within the read budget
    of the fleet.
    """

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        reader: HeadReader,
        pusher: Pusher,
        puller: Puller,
        delegator: ReadDelegator,
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
        self._delegator = delegator
        self._freshness = freshness
        self._stats = stats
        self._clock = clock
        self._random = random
        self._is_reader = False
        self._acting_until_s = clock.monotonic()

    async def run(self) -> None:
        """Call step at jittered intervals until cancelled."""
        await run_forever(
            self.step,
            self._clock,
            lambda: jitter(self._random, self._choose_interval_s()),
        )

    def _choose_interval_s(self) -> float:
        """Return the seconds until the next step, before jitter."""
        if self._is_reader:
            return self.poll_interval_s
        return max(self._cfg.duty_check_interval_s, self.poll_interval_s)

    async def step(self) -> None:
        """Read the head if this node is a reader or reads are overdue."""
        rank = self._elected_rank
        if rank is None and self._is_acting:
            rank = 0
        self._record_rank(rank)
        if rank is not None:
            await self._read()
        elif self._freshness.age_s > self._cfg.silence_s:
            await self._read_as_fallback()

    def _record_rank(self, rank: int | None) -> None:
        is_reader = rank is not None
        if is_reader != self._is_reader:
            log_event(
                "elected as head reader"
                if is_reader
                else "no longer a head reader",
                rank=rank,
                read_age_s=round(self._freshness.age_s, 3),
            )
        self._is_reader = is_reader

    @property
    def _elected_rank(self) -> int | None:
        """Index among the readers of the data centre; None if not one."""
        readers = self._view.choose_readers(self._cfg.readers)
        if self._view.node not in readers:
            return None
        return readers.index(self._view.node)

    @property
    def _is_acting(self) -> bool:
        return self._clock.monotonic() < self._acting_until_s

    @property
    def poll_interval_s(self) -> float:
        """Seconds between reads that keep the fleet within its budget.

        The nodes known here may be one side of a network partition. The
        interval assumes that the fleet is split into as many partitions
        of this size as fleet_size allows, each with its own readers.
        """
        known_nodes = len(self._view.list_local()) + 1
        readers = min(self._cfg.readers, known_nodes)
        partitions = self._cfg.fleet_size / known_nodes
        budget_interval_s = partitions * readers / self._cfg.fleet_reads_per_s
        return max(
            self._cfg.read_interval_s,
            budget_interval_s,
            self._reader.backoff_s,
        )

    async def _read(self) -> None:
        adopted = None
        if not self._reader.is_failing:
            adopted = await self._reader.try_read(self._draw_wait_s())
        if adopted is None:
            adopted = await self._read_after_failure()
        if adopted:
            await self._pusher.push_to_all()

    async def _read_after_failure(self) -> bool | None:
        """Read again if the platform responds, else through another node.

        Return whether a higher revision was adopted, None if this node
        cannot read.
        """
        own_check = await curio.spawn(self._reader.can_read)
        try:
            delegate = await self._find_delegate()
            has_responded = own_check.terminated and own_check.result
            if delegate is None:
                has_responded = await own_check.join()
        finally:
            await own_check.cancel()
        if has_responded:
            self._delegator.reset()
            return await self._reader.try_read()
        previous_revision = self._reader.holder_revision
        if delegate is None or not await self._delegator.assign(delegate):
            await self._pull_remote()
        return self._reader.holder_revision > previous_revision

    async def _find_delegate(self) -> Node | None:
        """Return a node that can read; None if this one is not elected."""
        if self._elected_rank is not None:
            return await self._delegator.find()
        self._acting_until_s = self._clock.monotonic()
        return None

    def _draw_wait_s(self) -> float:
        # Without jitter, each change would bring the polls of all readers
        # into step, and the loss of several would be detected equally late.
        return jitter(self._random, self._cfg.read_wait_s)

    async def can_act_as_reader(self) -> bool:
        """Return whether this node can read the head for a reader."""
        if self._reader.is_backing_off:
            return False
        return self._is_polling or await self._reader.can_read()

    async def act_as_reader(self) -> bool | None:
        """Read the head for a reader that cannot, and poll it for a while.

        Return whether a higher revision was adopted, None if the head
        cannot be read here either.
        """
        if self._reader.is_backing_off:
            return None
        adopted = False
        if not self._is_polling:
            adopted = await self._reader.try_read()
        if adopted is not None:
            now_s = self._clock.monotonic()
            self._acting_until_s = now_s + ACTING_READER_S
        return adopted

    @property
    def _is_polling(self) -> bool:
        """Whether this node polls the head and no poll is overdue."""
        max_wait_s = self._cfg.read_wait_s * (1 + JITTER_SHARE)
        max_age_s = max_wait_s + self.poll_interval_s
        return self._is_reader and self._reader.age_s < max_age_s

    async def _pull_remote(self) -> None:
        """Pull from another data centre that may still reach the platform."""
        nodes = [n for group in self._group_remote_nodes() for n in group]
        if nodes:
            node = self._random.choice(nodes)
            await self._puller.try_pull(node.address)

    def _group_remote_nodes(self) -> list[list[Node]]:
        return list(self._view.group_remote().values())

    async def _read_as_fallback(self) -> None:
        """Read with a probability that keeps the fleet within its budget."""
        read_spacing_s = self._cfg.fleet_size / self._cfg.fleet_reads_per_s
        if self._random.random() * read_spacing_s > self.poll_interval_s:
            return
        self._stats.fall_back_reads += 1
        log_event(
            "no recent head read known; reading the head",
            read_age_s=round(self._freshness.age_s, 3),
            limit_s=self._cfg.silence_s,
        )
        if await self._reader.try_read():
            await self._pusher.push_local()


class FreshnessChecker:
    """Pulls from readers at intervals to bound the staleness of a node."""

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
        """Call step at jittered intervals until cancelled."""
        await run_forever(
            self.step,
            self._clock,
            lambda: jitter(self._random, self._cfg.check_interval_s),
        )

    async def step(self) -> None:
        """Pull from readers, then a peer, until one reports a recent read."""
        if self._freshness.age_s < self._cfg.check_interval_s / 2:
            return
        start_s = self._clock.monotonic()
        for node in self._list_candidates():
            await self._puller.try_pull(node.address)
            if self._freshness.is_newer(start_s - self._cfg.silence_s / 2):
                return

    def _list_candidates(self) -> list[Node]:
        readers = self._view.find(self._view.choose_readers(self._cfg.readers))
        self._random.shuffle(readers)
        peers = self._view.list_local()
        return readers + self._random.sample(peers, min(1, len(peers)))


def jitter(random: Random, interval_s: float) -> float:
    """Return the interval varied at random by up to JITTER_SHARE."""
    return interval_s * random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
