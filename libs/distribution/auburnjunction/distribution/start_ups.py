"""Synchronisation of a starting node before it may serve."""

from random import Random

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.settings import DistributionSettings

ROUND_INTERVAL_S = 0.2
# Time-out of a read, also where a large configuration takes longer on the
# host's link: a starting node then gets it from its peers.
READ_TIMEOUT_S = 2.0


class StartUp:
    """Adopts the highest revision that the platform or peers hold.

    A restarted node must not serve a lower revision than before. The
    revision that it served is at most the head read after its start, by
    this node or by a peer that reports its read.
    """

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        reader: HeadReader,
        puller: Puller,
        freshness: ReadFreshness,
        holder: SnapshotHolder,
        clock: Clock,
        random: Random,
    ):
        self._cfg = cfg
        self._view = view
        self._reader = reader
        self._puller = puller
        self._freshness = freshness
        self._holder = holder
        self._clock = clock
        self._random = random
        self.has_finished = False

    @property
    def is_synchronised(self) -> bool:
        """Whether the revision in force is high enough to serve with.

        Without a known read of the head since the start, the revision that
        peers hold is enough once run has ended, but never one below a head
        that this node has read.
        """
        head_revision = self._reader.head.revision
        if self._holder.mark.revision < head_revision:
            return False
        return self._freshness.is_confirmed or self.has_finished

    async def run(self) -> None:
        """Pull and read the head until confirmed or timed out."""
        start_s = self._clock.monotonic()
        deadline_s = start_s + self._cfg.start_up_wait_s
        read_spacing_s = self._cfg.fleet_size / self._cfg.fleet_reads_per_s
        next_read_s = start_s + self._random.uniform(
            0, self._cfg.first_read_spread_s or read_spacing_s
        )
        while not self._freshness.is_confirmed:
            await self._pull_from_peers()
            now_s = self._clock.monotonic()
            if now_s >= next_read_s and not self._freshness.is_confirmed:
                await self._reader.try_read(timeout_s=READ_TIMEOUT_S)
                next_read_s = self._clock.monotonic() + max(
                    ROUND_INTERVAL_S, read_spacing_s
                )
            if self._clock.monotonic() >= deadline_s:
                break
            if not self._freshness.is_confirmed:
                await self._clock.sleep(ROUND_INTERVAL_S)
        self.has_finished = True
        log_event(
            "start-up ended",
            revision=self._holder.mark.revision,
            confirmed=self._freshness.is_confirmed,
        )

    async def _pull_from_peers(self) -> None:
        async with curio.TaskGroup() as group:
            for node in self._choose_peers():
                await group.spawn(self._puller.try_pull, node.address)

    def _choose_peers(self) -> list[Node]:
        """Return a reader, a local and a remote peer, where known."""
        local = self._view.list_local()
        remote = [n for g in self._view.group_remote().values() for n in g]
        readers = self._view.find(self._view.choose_readers(self._cfg.readers))
        chosen = {
            node.node: node
            for nodes in (readers, local, remote)
            for node in self._random.sample(nodes, min(1, len(nodes)))
        }
        return list(chosen.values())
