"""Packing of a message's headers into a single header between nodes.

The HTTP library validates each header separately, on every hop and in both
directions; a packed header is validated once. Names and values alternate,
separated by a byte that RFC 9110 allows in values but that hardly any value
contains. If a header contains it, all headers are sent unpacked.
"""

from itertools import chain

from auburnjunction.http.messages import Headers, find_header

PACKED_HEADER = b"auburn-headers"
SEPARATOR = b"\xff"


def pack_headers(headers: Headers) -> Headers:
    """Return one header with all, or all if they cannot be packed."""
    value = SEPARATOR.join(chain.from_iterable(headers))
    if value.count(SEPARATOR) != 2 * len(headers) - 1:
        return headers
    return [(PACKED_HEADER, value)]


def unpack_headers(headers: Headers) -> Headers:
    """Return the unpacked headers, or the given ones if not packed."""
    value = find_header(headers, PACKED_HEADER)
    if value is None:
        return headers
    parts = value.split(SEPARATOR)
    return list(zip(parts[::2], parts[1::2], strict=False))
