"""Round trips and decoding errors of the snapshot codecs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.model.codecs import (
    CodecError,
    digest_snapshot,
    dump_snapshot,
    dump_snapshot_json,
    load_snapshot,
    load_snapshot_json,
)
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot, sort_snapshot

names = st.text(min_size=1, max_size=8)
services = st.builds(
    Service,
    names,
    st.lists(names, max_size=2).map(tuple),
    st.integers(1, 1000),
    st.integers(1, 1000),
)
routes = st.builds(
    Route,
    name=names,
    path_prefix=names,
    service=names,
    methods=st.lists(names, max_size=2).map(tuple),
    resource=names,
    priority=st.sampled_from(Priority),
    repeatable=st.booleans(),
    claims=st.sampled_from(ClaimMode),
    timeout_ms=st.integers(1, 1000),
    spill=st.booleans(),
)
snapshots = st.builds(
    Snapshot,
    st.lists(services, max_size=4, unique_by=lambda s: s.name).map(tuple),
    st.lists(routes, max_size=4, unique_by=lambda r: r.name).map(tuple),
)


@settings(derandomize=True, max_examples=100)
@given(snapshots)
def test_round_trip_preserves_every_field(snapshot):
    ordered = sort_snapshot(snapshot)
    assert load_snapshot(dump_snapshot(snapshot)) == ordered
    assert load_snapshot_json(dump_snapshot_json(snapshot)) == ordered


@settings(derandomize=True, max_examples=50)
@given(snapshots, st.randoms(use_true_random=False))
def test_digest_does_not_depend_on_route_order(snapshot, random):
    routes = list(snapshot.routes)
    random.shuffle(routes)
    shuffled = Snapshot(snapshot.services, tuple(routes))
    assert digest_snapshot(shuffled) == digest_snapshot(snapshot)


@pytest.mark.parametrize(
    ("content", "part"),
    [
        (b"{", "line 1"),
        (b"[]", "not an object"),
        (b'{"routes": [{"name": "a"}]}', "routes.0"),
        (b'{"routs": []}', "routs: unknown field"),
        (
            b'{"routes": [{"name": "a", "path_prefix": "/",'
            b' "service": "s", "priority": "urgent"}]}',
            "routes.0.priority: 'urgent' is not known; write one of critical",
        ),
        (b'{"services": [{"name": 3}]}', "services.0.name: 3 is not"),
        (b'{"services": 3}', "services"),
    ],
)
def test_error_for_invalid_json_names_field(content, part):
    with pytest.raises(CodecError) as caught:
        load_snapshot_json(content)
    assert part in caught.value.message


@pytest.mark.parametrize("content", [b"\xff\xff", b"\x0a\x05ab"])
def test_malformed_bytes_raise_codec_error(content):
    with pytest.raises(CodecError):
        load_snapshot(content)
