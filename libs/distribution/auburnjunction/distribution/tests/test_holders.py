"""Tests of the adoption of snapshots."""

import pytest

from auburnjunction.distribution.errors import BadContentError
from auburnjunction.distribution.holders import RevisionOrigin, SnapshotHolder
from auburnjunction.distribution.tests.support import make_snapshot
from auburnjunction.model.codecs import digest_snapshot
from auburnjunction.model.routes import Route
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)

INVALID_SNAPSHOT = Snapshot((), (Route("r", "/r", "missing"),))


def make_revised(revision, snapshot, digest=None):
    digest = digest or digest_snapshot(snapshot)
    return RevisedSnapshot(RevisionMark(revision, digest), snapshot)


@pytest.mark.parametrize(
    ("revision", "adopted"), [(4, False), (5, False), (6, True), (9, True)]
)
def test_only_a_higher_revision_is_adopted(revision, adopted):
    holder = SnapshotHolder()
    notified = []
    holder.subscribe(notified.append)
    first = make_revised(5, make_snapshot(1))
    assert holder.adopt(first, RevisionOrigin.PLATFORM)
    other = make_revised(revision, make_snapshot(2))
    assert holder.adopt(other, RevisionOrigin.PLATFORM) is adopted
    assert holder.current is (other if adopted else first)
    assert notified == ([first, other] if adopted else [first])


@pytest.mark.parametrize(
    "bad",
    [
        make_revised(6, INVALID_SNAPSHOT),
        make_revised(6, make_snapshot(2), b"other"),
    ],
    ids=["route to a missing service", "wrong digest"],
)
def test_bad_content_keeps_the_snapshot_in_force(bad):
    holder = SnapshotHolder()
    first = make_revised(5, make_snapshot(1))
    holder.adopt(first, RevisionOrigin.PLATFORM)
    with pytest.raises(BadContentError):
        holder.adopt(bad, RevisionOrigin.PLATFORM)
    assert holder.current is first
