"""Age of the proof that a node's configuration is in force."""

import math
import random

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.proof_refreshers import ProofRefresher
from auburnjunction.distribution.proofs import HeadProof
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.model.organisations import Organisation
from auburnjunction.model.snapshots import (
    NO_REVISION,
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)

OWN = RevisionMark(5, b"own")


@pytest.mark.parametrize(
    ("mark", "holds"),
    [
        (OWN, True),
        (RevisionMark(4, b"x"), True),
        (RevisionMark(6, b"x"), False),
        # A restored store may hold another content under the number.
        (RevisionMark(5, b"other"), False),
    ],
)
def test_proof_holds_only_for_what_is_in_force(mark, holds):
    """Else a node that lacks a withdrawal would count as up to date."""
    clock = ManualClock()
    proof = HeadProof(clock, lambda: OWN)
    proof.record_read(mark, proof.now())
    assert (proof.age_s < math.inf) is holds
    peer_proof = HeadProof(clock, lambda: OWN)
    peer_proof.record_peer_proof(mark, 100, proof.now())
    assert (peer_proof.age_s < math.inf) is holds


def test_age_includes_suspend_and_is_rounded_up():
    """An age that is too low would extend the bound of withdrawals."""
    clock = ManualClock()
    proof = HeadProof(clock, lambda: OWN)
    proof.record_read(OWN, proof.now())
    clock.suspend(2.0)
    clock.advance(0.5001)
    assert proof.age_s == pytest.approx(2.5001)
    assert proof.age_ms == 2501
    proof.record_peer_proof(OWN, 3000, proof.now())
    assert proof.age_s == pytest.approx(2.5001)


class SlowSource:
    """Source whose reads take a second."""

    def __init__(self, clock):
        self._clock = clock

    async def read_mark(self, _held, _wait_s):
        self._clock.advance(1.0)
        return NO_REVISION


def test_long_poll_proves_the_head_as_of_its_start():
    """The store may have evaluated the read at any time since then."""

    async def main():
        clock, holder = ManualClock(), SnapshotHolder()
        proof = HeadProof(clock, lambda: holder.mark)
        reader = HeadReader(
            DistributionSettings(),
            SlowSource(clock),
            holder,
            ReadFreshness(clock),
            DistributionStats(),
            clock,
            proof,
        )
        await reader.read_head(1.0)
        assert proof.age_s == pytest.approx(1.0)

    curio.run(main)


class View:
    """A view with one reader and one other node."""

    def choose_readers(self, _count):
        return ["reader"]

    def find(self, _names):
        return [PeerStub("reader")]

    def list_peers(self):
        return [PeerStub("other")]


class PeerStub:
    """A node whose address is its name."""

    def __init__(self, name):
        self.address = name


class RecordingPuller:
    """Pulls nothing; the nodes in hangs do not respond."""

    def __init__(self, hangs=()):
        self.pulled = []
        self._hangs = hangs

    async def try_pull(self, address):
        self.pulled.append(address)
        if address in self._hangs:
            await curio.sleep(60)


class Background:
    """Spawns tasks that end with the kernel."""

    async def spawn(self, function, *args):
        await curio.spawn(function, *args, daemon=True)


@pytest.mark.parametrize(
    ("organisations", "age_s", "hangs", "pulled"),
    [
        ((), math.inf, (), []),
        ((Organisation("o"),), 1.0, (), []),
        ((Organisation("o"),), 2.0, (), ["reader", "other", "reader"]),
        # A frozen reader must not keep the node from asking others.
        ((Organisation("o"),), 2.0, ("reader",), ["reader", "other"]),
    ],
    ids=["no organisations", "recent", "old", "frozen reader"],
)
def test_old_proof_is_refreshed(organisations, age_s, hangs, pulled):
    async def main():
        clock, holder = ManualClock(), SnapshotHolder()
        snapshot = Snapshot(organisations=organisations)
        holder.current = RevisedSnapshot(OWN, snapshot)
        proof = HeadProof(clock, lambda: OWN)
        if age_s < math.inf:
            proof.record_read(OWN, proof.now() - age_s)
        puller = RecordingPuller(hangs)
        refresher = ProofRefresher(
            DistributionSettings(),
            View(),
            puller,
            proof,
            holder,
            clock,
            random.Random(1),
            Background(),
        )
        for _ in range(3):
            await refresher.step()
        assert puller.pulled[: len(pulled)] == pulled
        assert bool(puller.pulled) is bool(pulled)

    curio.run(main)
