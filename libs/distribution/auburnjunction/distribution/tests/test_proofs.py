"""Age of the proof that a node's configuration is in force."""

import math
import random
from types import SimpleNamespace

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.distribution.background_tasks import (
    open_background_tasks,
)
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.proof_refreshers import ProofRefresher
from auburnjunction.distribution.proofs import HeadProof
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address
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
    proof = HeadProof(ManualClock(), lambda: OWN)
    proof.record_read(mark, proof.now())
    assert (proof.age_s < math.inf) is holds


def test_age_includes_suspend_and_is_rounded_up():
    """An age that is too low would extend the bound of withdrawals."""
    clock = ManualClock()
    proof = HeadProof(clock, lambda: OWN)
    proof.record_read(OWN, proof.now())
    clock.suspend(2.0)
    clock.advance(0.5001)
    assert proof.age_ms == 2501
    proof.record_peer_proof(OWN, 3000, proof.now())
    assert proof.age_s == pytest.approx(2.5001)


def test_long_poll_proves_the_head_as_of_its_start():
    """The store may have evaluated the read at any time since then."""
    clock, holder = ManualClock(), SnapshotHolder()
    proof = HeadProof(clock, lambda: holder.mark)

    class SlowSource:
        async def read_mark(self, _held, _wait_s):
            clock.advance(1.0)
            return NO_REVISION

    reader = HeadReader(
        DistributionSettings(),
        SlowSource(),
        holder,
        ReadFreshness(clock),
        DistributionStats(),
        clock,
        proof,
    )
    curio.run(reader.read_head, 1.0)
    assert proof.age_s == pytest.approx(1.0)


@pytest.mark.parametrize(("age_s", "is_pulled"), [(1.0, False), (2.0, True)])
def test_frozen_reader_does_not_keep_a_node_from_asking_others(
    age_s, is_pulled
):
    holder, clock, pulled = SnapshotHolder(), ManualClock(), []
    snapshot = Snapshot(organisations=(Organisation("o"),))
    holder.current = RevisedSnapshot(OWN, snapshot)
    proof = HeadProof(clock, lambda: OWN)
    proof.record_read(OWN, proof.now() - age_s)
    names = ("reader", "other")
    reader, other = (SimpleNamespace(address=Address(n, 1)) for n in names)
    view = SimpleNamespace(
        choose_readers=lambda _count: ["reader"],
        find=lambda _names: [reader],
        list_peers=lambda: [other],
    )

    async def hang(address):
        pulled.append(address.host)
        await curio.sleep(60)

    async def main():
        async with open_background_tasks() as background:
            refresher = ProofRefresher(
                DistributionSettings(),
                view,
                SimpleNamespace(try_pull=hang),
                proof,
                holder,
                clock,
                random.Random(1),
                background,
            )
            await refresher.step()
            await refresher.step()

    curio.run(main)
    assert pulled == (["reader", "other"] if is_pulled else [])
