"""Pulls that keep the proof of the head recent."""

from random import Random

from auburnjunction.base.clocks import Clock
from auburnjunction.base.tasks import run_forever
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
    ):
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
        if candidates:
            node = self._random.choice(candidates)
            await self._puller.try_pull(node.address)
            self._failed_pulls += self._is_due()

    def _draw_interval(self) -> float:
        min_s, max_s = CHECK_INTERVAL_BOUNDS_S
        if not has_organisations(self._holder):
            return max_s
        return self._random.uniform(min_s, max_s)

    def _is_due(self) -> bool:
        if not has_organisations(self._holder):
            return False
        return self._proof.age_s > self._cfg.proof_refresh_s

    def _list_candidates(self) -> list[Node]:
        if self._failed_pulls % 2:
            return self._view.list_peers()
        readers = self._view.choose_readers(self._cfg.readers)
        return self._view.find(readers) or self._view.list_peers()
