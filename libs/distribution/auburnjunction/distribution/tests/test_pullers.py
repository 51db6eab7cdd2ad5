"""Queue of the peers to pull from."""

import random

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.distribution.holders import RevisionOrigin, SnapshotHolder
from auburnjunction.distribution.pullers import Puller
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.tests.support import make_snapshot
from auburnjunction.http.clients import Address
from auburnjunction.model.codecs import digest_snapshot
from auburnjunction.model.snapshots import RevisedSnapshot, RevisionMark

PEER = Address("127.0.0.1", 9001)


def make_revised(revision):
    snapshot = make_snapshot(revision)
    mark = RevisionMark(revision, digest_snapshot(snapshot))
    return RevisedSnapshot(mark, snapshot)


@pytest.mark.parametrize(
    ("reported", "is_pulled"),
    [((1,), False), ((1, 2), True), ((2, 1), True)],
)
def test_highest_revision_that_a_peer_reported_is_pulled(reported, is_pulled):
    """Revision 1 comes into force before the queued pull begins."""
    pulled = []

    async def main():
        holder = SnapshotHolder()
        puller = Puller(
            DistributionSettings(pull_jitter_s=0),
            None,
            None,
            holder,
            None,
            None,
            ManualClock(),
            random.Random(1),
        )

        async def record_pull(address):
            pulled.append(address)

        puller.try_pull = record_pull
        for revision in reported:
            await puller.queue_pull(make_revised(revision).mark, PEER)
        holder.adopt(make_revised(1), RevisionOrigin.PLATFORM)
        await puller._pull_when_queued()

    curio.run(main)
    assert bool(pulled) is is_pulled
