"""HTTP exchanges of protobuf messages between nodes."""

from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from auburnjunction.distribution.compressions import (
    compress_body,
    decompress_body,
)
from auburnjunction.distribution.errors import PeerError
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest, HttpResponse

PUSH_PATH = b"/push"
PULL_PATH = b"/pull"
CONTENT_TYPE = (b"content-type", b"application/x-protobuf")
# A colon, a space and CRLF.
HEADER_LINE_OVERHEAD_BYTES = 4
# A change is rare, so that an idle connection has mostly not been used since
# the one before and may be lost. A connection that has just been established
# works, and a peer that cannot be reached is known after the time-out for
# connecting.
MAX_IDLE_S = 0.0

T = TypeVar("T", bound=Message)


class PeerClient:
    """Posts protobuf messages to peers and counts the bytes."""

    def __init__(self, pools: PoolRegistry, stats: DistributionStats):
        self._pools = pools
        self._stats = stats

    async def post(
        self,
        address: Address,
        path: bytes,
        message: Message,
        response_class: type[T],
        timeout_s: float,
        is_remote: bool,
    ) -> T:
        """Return the peer's response; raise PeerError if there is none.

        Pushes and pulls are idempotent, so they may be retried.
        """
        encoding, body = compress_body(message.SerializeToString())
        request = HttpRequest(
            b"POST",
            path,
            [(b"host", str(address).encode()), CONTENT_TYPE, *encoding],
            body,
        )
        response = await self._exchange(address, request, timeout_s)
        self._count_bytes(measure_exchange(request, response), is_remote)
        if response.status != 200:
            raise self._make_peer_error(
                f"{address} responded with status {response.status}"
            )
        try:
            body = decompress_body(response.headers, response.body)
            return response_class.FromString(body)
        except (DecodeError, PeerError) as exc:
            raise self._make_peer_error(
                f"{address} sent an invalid {response_class.__name__}"
            ) from exc

    async def _exchange(
        self, address: Address, request: HttpRequest, timeout_s: float
    ) -> HttpResponse:
        pool = self._pools.get(address)
        try:
            return await pool.exchange(request, timeout_s, MAX_IDLE_S)
        except HttpError as exc:
            raise self._make_peer_error(f"{address}: {exc.message}") from exc

    def _make_peer_error(self, message: str) -> PeerError:
        self._stats.failed_exchanges += 1
        return PeerError(message)

    def _count_bytes(self, size: int, is_remote: bool) -> None:
        if is_remote:
            self._stats.bytes_remote += size
        else:
            self._stats.bytes_local += size


def measure_exchange(request: HttpRequest, response: HttpResponse) -> int:
    """Return the size of both messages in bytes, including headers."""
    size = len(request.target) + len(request.body) + len(response.body)
    for key, value in [*request.headers, *response.headers]:
        size += len(key) + len(value) + HEADER_LINE_OVERHEAD_BYTES
    return size + len(b"POST  HTTP/1.1\r\n\r\nHTTP/1.1 200 \r\n\r\n")


def make_message_response(message: Message) -> HttpResponse:
    """Return a response of status 200 with a protobuf message."""
    encoding, body = compress_body(message.SerializeToString())
    return HttpResponse(200, [CONTENT_TYPE, *encoding], body)


def parse_request(message_class: type[T], request: HttpRequest) -> T:
    """Return the message in a request; raise PeerError if it is invalid."""
    body = decompress_body(request.headers, request.body)
    try:
        return message_class.FromString(body)
    except DecodeError as exc:
        raise PeerError(f"invalid {message_class.__name__}: {exc}") from exc


def make_error_response(status: int, reason: str) -> HttpResponse:
    """Return a plain-text error response."""
    return HttpResponse(status, [], reason.encode() + b"\n")
