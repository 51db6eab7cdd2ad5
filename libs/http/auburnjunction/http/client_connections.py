"""HTTP/1.1 client connections."""

import re
import socket
from collections.abc import Callable

import curio
import h11
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.http.addresses import Address
from auburnjunction.http.errors import (
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    NotSentError,
    StrayResponseError,
)
from auburnjunction.http.message_streams import MessageStream
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.resources import ProcessResources

KEEP_ALIVE_PATTERN = re.compile(rb"timeout=(\d{1,6})")
# The peer's idle timer starts when it has sent the response, before the
# client has received it, and has a resolution of whole seconds.
KEEP_ALIVE_MARGIN_S = 0.5
# Bodies up to this size fit into the socket's send buffer and are written
# before the response is read. Longer ones are written by a separate task:
# a peer that responds early and stops reading would block the writer.
MAX_INLINE_BODY_BYTES = 4096
# The exchange fails after this many responses to earlier requests.
MAX_STRAY_RESPONSES = 4
STRAY_MESSAGE = "the response belongs to another request"

ResponsePredicate = Callable[[HttpResponse], bool]


def accept_any_response(_response: HttpResponse) -> bool:
    """Accept every response as the one to the current request."""
    return True


class ClientConnection:
    """A client connection that carries one exchange at a time."""

    def __init__(self, stream: MessageStream, clock: Clock):
        self._stream = stream
        self._clock = clock
        self._is_broken = False
        # Whether it counts among the connections to other nodes.
        self.is_counted = False
        self._is_request_truncated = False
        self._stray_count = 0
        self.last_used_s = clock.monotonic()
        # Whether an exchange on this connection timed out after others had
        # succeeded; the connection may be lost then without a reset.
        self.may_be_severed = False
        # Time in seconds for which the peer keeps the connection open
        # while it is idle.
        self.keep_alive_s = float("inf")
        self.exchanges = 0

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        is_own_response: ResponsePredicate = accept_any_response,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        A response for which is_own_response returns false belongs to an
        earlier request and is skipped. Raise NotSentError if no byte of
        the request was sent, else ExchangeError or BadMessageError. A
        connection whose exchange failed or was cancelled is not reusable.
        """
        self._is_broken = True
        self._stray_count = 0
        origin = self._describe_origin()
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._run_exchange(request, is_own_response)
        except curio.TaskTimeout as exc:
            if self._stray_count:
                raise StrayResponseError(STRAY_MESSAGE) from exc
            self.may_be_severed = self.exchanges > 0
            raise ExchangeTimeoutError(
                f"no complete response within {timeout_s:.3f} s on {origin}"
            ) from exc
        except OSError as exc:
            raise ExchangeError(f"connection failed: {exc}") from exc
        self._finish_exchange(response)
        return response

    def _describe_origin(self) -> str:
        """Return whether the connection is new, or how long it was idle."""
        if not self.exchanges:
            return "a new connection"
        idle_s = self._clock.monotonic() - self.last_used_s
        return f"a connection idle for {idle_s:.3f} s"

    async def _run_exchange(
        self, request: HttpRequest, is_own_response: ResponsePredicate
    ) -> HttpResponse:
        if len(request.body) <= MAX_INLINE_BODY_BYTES:
            await self._stream.write_request(request)
            return await self._read_own_response(request, is_own_response)
        parts = self._stream.encode_request(request)
        writer = await curio.spawn(self._write_long, parts, daemon=True)
        try:
            return await self._read_own_response(request, is_own_response)
        finally:
            if not writer.terminated:
                # After an early response the peer could parse the rest of
                # the body as the next request.
                self._is_request_truncated = True
                await writer.cancel()

    async def _write_long(self, parts: list[bytes]) -> None:
        try:
            await self._stream.send_parts(parts)
        except OSError as exc:
            # The peer may have sent its response before it closed the
            # connection, so the response is still read.
            logging.debug("request body not sent: %s", exc)

    async def _read_own_response(
        self, request: HttpRequest, is_own_response: ResponsePredicate
    ) -> HttpResponse:
        while self._stray_count < MAX_STRAY_RESPONSES:
            response = await self._stream.read_response(request.account)
            if is_own_response(response):
                return response
            if response.account is not None:
                response.account.release()
            self._stray_count += 1
            if not self._stream.prepare_next_response():
                break
        raise StrayResponseError(STRAY_MESSAGE)

    def _finish_exchange(self, response: HttpResponse) -> None:
        is_complete = self._stream.start_next_cycle()
        has_trailing_data = self._stream.has_trailing_data
        self._is_broken = (
            not is_complete or has_trailing_data or self._is_request_truncated
        )
        self.last_used_s = self._clock.monotonic()
        self.exchanges += 1
        self.keep_alive_s = _read_keep_alive(response)

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may start on this connection."""
        return not self._is_broken and not self.is_readable()

    def is_readable(self) -> bool:
        """Return whether the peer has closed or sent unsolicited data."""
        try:
            self._stream.sock._socket.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def mark_not_reusable(self) -> None:
        """Prevent further exchanges on the connection."""
        self._is_broken = True

    async def close(self) -> None:
        """Close the connection."""
        if self.is_counted:
            self.is_counted = False
            self._stream.resources.close_outgoing()
        await self._stream.close()


def _read_keep_alive(response: HttpResponse) -> float:
    """Return how long in seconds the peer keeps an idle connection.

    The time-out of the Keep-Alive header less a margin, or infinity if
    the response has none.
    """
    value = response.header(b"keep-alive")
    match = KEEP_ALIVE_PATTERN.search(value) if value else None
    if match is None:
        return float("inf")
    return max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_S)


async def connect(
    address: Address,
    clock: Clock,
    timeout_s: float,
    limits: MessageLimits | None = None,
    resources: ProcessResources | None = None,
    is_local: bool = False,
) -> ClientConnection:
    """Open a connection; raise NotSentError on failure.

    With resources, it counts among the connections to other nodes unless it
    is local, to a backend server of this host.
    """
    if resources is None or is_local:
        return await _connect(address, clock, timeout_s, limits, resources)
    if not resources.try_open_outgoing():
        raise NotSentError(
            f"all {resources.max_outgoing} outgoing connections are in use"
        )
    try:
        conn = await _connect(address, clock, timeout_s, limits, resources)
    except BaseException:
        resources.close_outgoing()
        raise
    conn.is_counted = True
    return conn


async def _connect(
    address: Address,
    clock: Clock,
    timeout_s: float,
    limits: MessageLimits | None,
    resources: ProcessResources | None,
) -> ClientConnection:
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if resources is not None:
        size = resources.settings.peer_buffer_bytes
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    try:
        async with curio.timeout_after(timeout_s):
            await sock.connect((address.host, address.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except curio.TaskTimeout as exc:
        await sock.close()
        raise ConnectTimeoutError(
            f"no connection to {address} within {timeout_s:.3f} s",
        ) from exc
    except OSError as exc:
        await sock.close()
        raise ConnectError(f"no connection to {address}: {exc}") from exc
    except curio.CancelledError:
        await sock.close()
        raise
    stream = MessageStream(
        sock, h11.CLIENT, limits or MessageLimits(), clock, resources
    )
    return ClientConnection(stream, clock)
