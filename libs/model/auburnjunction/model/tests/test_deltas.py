"""Deltas between arbitrary snapshots, and rejection of invalid ones."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.model.codecs import digest_snapshot
from auburnjunction.model.deltas import DeltaError, apply_delta, make_delta
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
    sort_snapshot,
)

NAMES = st.sampled_from("abcdef")

services = st.builds(
    Service, NAMES, st.lists(NAMES).map(tuple), st.integers(1, 9)
)
routes = st.builds(
    Route, NAMES, st.just("/x"), NAMES, timeout_ms=st.integers(1, 9)
)


def unique_by_name(items):
    return st.lists(items, unique_by=lambda item: item.name).map(tuple)


snapshots = st.builds(
    Snapshot, unique_by_name(services), unique_by_name(routes)
).map(sort_snapshot)


def make_revised(revision, snapshot):
    mark = RevisionMark(revision, digest_snapshot(snapshot))
    return RevisedSnapshot(mark, snapshot)


@settings(derandomize=True, deadline=None)
@given(snapshots, snapshots)
def test_applied_delta_gives_result(before, after):
    base, result = make_revised(4, before), make_revised(7, after)
    assert apply_delta(base, make_delta(base, result)) == result


@settings(derandomize=True, deadline=None)
@given(snapshots, snapshots, snapshots)
def test_delta_on_another_base_never_gives_a_wrong_result(one, two, other):
    base, result = make_revised(4, one), make_revised(7, two)
    delta = make_delta(base, result)
    delta.base_digest = digest_snapshot(other)
    try:
        applied = apply_delta(make_revised(4, other), delta)
    except DeltaError:
        return
    assert applied.snapshot == two


@pytest.mark.parametrize(
    "changes",
    [
        {"base_revision": 3},
        {"base_digest": b"other"},
        {"digest": b"other"},
        {"removed_services": ["a"]},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_damaged_delta_is_rejected(changes):
    base = make_revised(4, Snapshot((Service("a"),)))
    result = make_revised(5, Snapshot((Service("a"), Service("b"))))
    delta = make_delta(base, result)
    for field, value in changes.items():
        if isinstance(value, list):
            getattr(delta, field).extend(value)
        else:
            setattr(delta, field, value)
    with pytest.raises(DeltaError):
        apply_delta(base, delta)
