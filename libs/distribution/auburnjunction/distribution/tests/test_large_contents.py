"""Tests of compression and of reader election by link bandwidth."""

import zlib

import pytest

from auburnjunction.distribution.compressions import (
    DEFLATE,
    ENCODING_HEADER,
    MIN_BYTES_TO_COMPRESS,
    compress_body,
    decompress_body,
)
from auburnjunction.distribution.errors import PeerError
from auburnjunction.distribution.peers import PeerView
from auburnjunction.distribution.tests.support import Directory, FakeNode
from auburnjunction.http.clients import Address
from auburnjunction.model.codecs import dump_snapshot
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot

READERS = 2
# A link of 3.5 Mbit/s transfers this in a quarter of a second, so three
# transfers in sequence finish well within 2 s.
MAX_COMPRESSED_BYTES = 100_000


def make_snapshot(routes):
    services = tuple(Service(f"s{i}") for i in range(4))
    return Snapshot(
        services,
        tuple(
            Route(
                f"r-{i:05}",
                f"/{i * 7919 % 100_003:x}/",
                f"s{i % 4}",
                host=f"{i % 23}.example",
                timeout_ms=1000 + i % 5,
            )
            for i in range(routes)
        ),
    )


@pytest.mark.parametrize(
    ("routes", "max_bytes"),
    [(0, MIN_BYTES_TO_COMPRESS), (2200, MAX_COMPRESSED_BYTES)],
)
def test_compression_round_trip(routes, max_bytes):
    content = dump_snapshot(make_snapshot(routes))
    headers, body = compress_body(content)
    assert len(body) <= max_bytes
    assert decompress_body(headers, body) == content


@pytest.mark.parametrize(
    ("encoding", "body"),
    [
        (DEFLATE, b"no deflate"),
        (DEFLATE, zlib.compress(b"cut short")[:-3]),
        (b"gzip", b""),
    ],
)
def test_invalid_body_is_rejected(encoding, body):
    with pytest.raises(PeerError):
        decompress_body([(ENCODING_HEADER, encoding)], body)


@pytest.mark.parametrize(
    ("links", "eligible"),
    [
        # No bandwidth is known: all nodes are eligible.
        ([0, 0, 0, 0], {0, 1, 2, 3}),
        ([4, 70, 40, 4], {1, 2}),
        # Only one is known, as during a rolling upgrade.
        ([0, 0, 0, 8], {3}),
        ([10, 10, 10, 10], {0, 1, 2, 3}),
    ],
)
def test_only_nodes_with_fast_links_are_elected(links, eligible):
    directory = Directory()
    directory.nodes = [
        FakeNode(f"n{i}", "dc-1", Address("127.0.0.1", 1), link_mbps=link)
        for i, link in enumerate(links)
    ]
    chosen = [
        PeerView(directory, f"n{i}", "dc-1").choose_readers(READERS)
        for i in range(len(links))
    ]
    assert all(names == chosen[0] for names in chosen)
    assert len(chosen[0]) == min(READERS, len(eligible))
    assert set(chosen[0]) <= {f"n{i}" for i in eligible}
