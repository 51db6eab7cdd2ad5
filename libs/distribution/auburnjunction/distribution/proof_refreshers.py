"""Pulls that keep the proof of the head recent."""

from random import Random

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.tasks import run_forever
from auburnjunction.distribution.background_tasks import BackgroundTasks
from auburnjunction.distribution.holders import (
    SnapshotHolder,
    has_organisations,
)
from auburnjunction.distribution.peers import Node, PeerView
from auburnjunction.distribution.proofs import HeadProof
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.settings import DistributionSettings

# Bounds of the interval between checks of the proof's age: short against
# proof_refresh_s, and random so that nodes do not pull in step.
CHECK_INTERVAL_BOUNDS_S = (0.1, 0.2)
# Longest interval after failures, so that an outage of the platform does not
# keep all nodes asking each other.
MAX_INTERVAL_S = 1.0
# A pull that takes longer goes on, but does not keep back the next one: its
# node may be frozen. A round trip between data centres takes 5 to 25 ms.
PULL_PATIENCE_S = 0.3
# Pulls under way at one time; they end after pull_timeout_s.
MAX_PULLS = 3


class ProofRefresher:
    """Pulls from head readers while gossip leaves the proof too old.

    The pulls cause no reads of the platform. Every other pull goes to a
    random node of any data centre, which may still have a proof when the
    readers of this one have none.
    """

    def __init__(
        self,
        cfg: DistributionSettings,
        view: PeerView,
        puller: Puller,
        proof: HeadProof,
        holder: SnapshotHolder,
        clock: Clock,
        random: Random,
        background: BackgroundTasks,
    ):
        self._background = background
        self._pulls = 0
        self._cfg = cfg
        self._view = view
        self._puller = puller
        self._proof = proof
        self._holder = holder
        self._clock = clock
        self._random = random
        self._failed_pulls = 0

    async def run(self) -> None:
        """Call step at random intervals until cancelled."""
        await run_forever(self.step, self._clock, self._draw_interval)

    async def step(self) -> None:
        """Pull from one node if the proof is older than proof_refresh_s."""
        if not self._is_due():
            self._failed_pulls = 0
            return
        candidates = self._list_candidates()
        if candidates and self._pulls < MAX_PULLS:
            node = self._random.choice(candidates)
            await self._start_pull(node)
        self._failed_pulls += self._is_due()

    async def _start_pull(self, node: Node) -> None:
        """Start a pull and wait for its end for at most PULL_PATIENCE_S."""
        ended = curio.Event()
        self._pulls += 1
        await self._background.spawn(self._pull, node, ended)
        async with curio.ignore_after(PULL_PATIENCE_S):
            await ended.wait()

    async def _pull(self, node: Node, ended: curio.Event) -> None:
        try:
            await self._puller.try_pull(node.address)
        finally:
            self._pulls -= 1
            await ended.set()

    def _draw_interval(self) -> float:
        min_s, max_s = CHECK_INTERVAL_BOUNDS_S
        if not has_organisations(self._holder):
            return max_s
        interval_s = self._random.uniform(min_s, max_s)
        return min(MAX_INTERVAL_S, interval_s * max(1, self._failed_pulls))

    def _is_due(self) -> bool:
        if not has_organisations(self._holder):
            return False
        return self._proof.age_s > self._cfg.proof_refresh_s

    def _list_candidates(self) -> list[Node]:
        if self._failed_pulls % 2:
            return self._view.list_peers()
        readers = self._view.choose_readers(self._cfg.readers)
        return self._view.find(readers) or self._view.list_peers()
