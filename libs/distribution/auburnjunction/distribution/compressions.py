"""Compression of large control messages between nodes."""

import zlib

from auburnjunction.distribution.errors import PeerError
from auburnjunction.http.messages import Headers, find_header

ENCODING_HEADER = b"content-encoding"
DEFLATE = b"deflate"
# Smaller messages gain less than the work costs.
LEAST_BYTES = 1024
# Routes repeat names and paths; higher levels save little more of them.
LEVEL = 1
# Largest message taken: 64 times that of 2,000 routes.
MOST_BYTES = 32 * 1024 * 1024


def compress_body(body: bytes) -> tuple[Headers, bytes]:
    """Return the headers that tell of the encoding, and the body."""
    if len(body) < LEAST_BYTES:
        return [], body
    return [(ENCODING_HEADER, DEFLATE)], zlib.compress(body, LEVEL)


def decompress_body(headers: Headers, body: bytes) -> bytes:
    """Return the body as it was; raise PeerError if it is damaged."""
    encoding = find_header(headers, ENCODING_HEADER)
    if encoding is None:
        return body
    if encoding != DEFLATE:
        raise PeerError(f"unknown content-encoding {encoding!r}")
    decoder = zlib.decompressobj()
    try:
        plain = decoder.decompress(body, MOST_BYTES)
    except zlib.error as exc:
        raise PeerError(f"a body that cannot be decompressed: {exc}") from exc
    if not decoder.eof:
        raise PeerError(f"a body cut short or above {MOST_BYTES} bytes")
    return plain
