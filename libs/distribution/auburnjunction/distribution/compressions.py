"""Compression of large control messages between nodes."""

import zlib

from auburnjunction.distribution.errors import PeerError
from auburnjunction.http.messages import Headers, find_header

ENCODING_HEADER = b"content-encoding"
DEFLATE = b"deflate"
# Smaller bodies save too little bandwidth for the CPU time of compression.
MIN_BYTES_TO_COMPRESS = 1024
# Names and paths of routes repeat, so level 1 compresses them nearly as
# well as higher levels.
COMPRESSION_LEVEL = 1
# Limit for a decompressed body: 64 times a message of 2,000 routes.
MAX_BODY_BYTES = 32 * 1024 * 1024


def compress_body(body: bytes) -> tuple[Headers, bytes]:
    """Return the content-encoding header, if any, and the encoded body."""
    if len(body) < MIN_BYTES_TO_COMPRESS:
        return [], body
    return [(ENCODING_HEADER, DEFLATE)], zlib.compress(body, COMPRESSION_LEVEL)


def decompress_body(headers: Headers, body: bytes) -> bytes:
    """Return the decompressed body; raise PeerError if it is invalid."""
    encoding = find_header(headers, ENCODING_HEADER)
    if encoding is None:
        return body
    if encoding != DEFLATE:
        raise PeerError(f"unsupported content-encoding {encoding!r}")
    decoder = zlib.decompressobj()
    try:
        plain = decoder.decompress(body, MAX_BODY_BYTES)
    except zlib.error as exc:
        raise PeerError(f"body cannot be decompressed: {exc}") from exc
    if not decoder.eof:
        raise PeerError(
            f"body truncated or larger than {MAX_BODY_BYTES} bytes"
        )
    return plain
