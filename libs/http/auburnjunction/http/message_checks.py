"""Checks of request heads that h11 does not make."""

from auburnjunction.http.errors import BadMessageError
from auburnjunction.http.messages import HttpRequest, MessageLimits


def check_request_head(
    request: HttpRequest, received_bytes: int, limits: MessageLimits
) -> None:
    """Raise BadMessageError for a head that is ambiguous or over a limit.

    received_bytes is what was received since the previous head was parsed.
    """
    _check_head_size(request, received_bytes, limits)
    encoding = request.header(b"transfer-encoding")
    length = request.header(b"content-length")
    if encoding is not None and length is not None:
        raise BadMessageError("both content-length and transfer-encoding")
    if length is not None and int(length) > limits.body_bytes:
        raise BadMessageError("body exceeds the limit", 413)


def _check_head_size(
    request: HttpRequest, received_bytes: int, limits: MessageLimits
) -> None:
    # h11 checks the size only of a head that arrives in parts.
    if received_bytes <= limits.head_bytes:
        return
    size = len(request.method) + len(request.target)
    size += sum(len(name) + len(value) for name, value in request.headers)
    if size > limits.head_bytes:
        raise BadMessageError("head exceeds the limit", 431)
