"""HTTP/1.1 client connections and connection pools."""

import re
import socket
from collections import deque
from collections.abc import Callable
from contextlib import asynccontextmanager

import attrs
import curio
import h11
from absl import logging

from auburnjunction.base.clocks import Clock
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


@attrs.frozen
class Address:
    """Host and TCP port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse host:port; raise ValueError if the text is malformed."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not an address|write HOST:PORT")
    return Address(host, int(port))


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
            return await self._read_own_response(is_own_response)
        data = self._stream.encode_request(request)
        writer = await curio.spawn(self._write_long, data, daemon=True)
        try:
            return await self._read_own_response(is_own_response)
        finally:
            if not writer.terminated:
                # After an early response the peer could parse the rest of
                # the body as the next request.
                self._is_request_truncated = True
                await writer.cancel()

    async def _write_long(self, data: bytes) -> None:
        try:
            await self._stream.sock.sendall(data)
        except OSError as exc:
            # The peer may have sent its response before it closed the
            # connection, so the response is still read.
            logging.debug("request body not sent: %s", exc)

    async def _read_own_response(
        self, is_own_response: ResponsePredicate
    ) -> HttpResponse:
        while self._stray_count < MAX_STRAY_RESPONSES:
            response = await self._stream.read_response()
            if is_own_response(response):
                return response
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
) -> ClientConnection:
    """Open a connection; raise NotSentError on failure."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
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
    stream = MessageStream(sock, h11.CLIENT, limits or MessageLimits(), clock)
    return ClientConnection(stream, clock)


class ConnectionPool:
    """Pool of connections to one address.

    Each connection carries one exchange at a time. Connections may be lost
    without a reset, mostly all of a peer at once: after a time-out on a
    reused connection, only those that have been used since the exchange
    started are kept.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        *,
        max_connections: int = 64,
        idle_limit_s: float = 30.0,
        connect_timeout_s: float = 1.0,
        limits: MessageLimits | None = None,
    ):
        self.address = address
        self._clock = clock
        self._idle_limit_s = idle_limit_s
        self._connect_timeout_s = connect_timeout_s
        self._limits = limits
        self._idle: deque[ClientConnection] = deque()
        self._max_connections = max_connections
        self._permits = curio.Semaphore(max_connections)

    @property
    def idle_count(self) -> int:
        """Number of idle connections in the pool."""
        return len(self._idle)

    @asynccontextmanager
    async def lease(
        self,
        max_idle_s: float | None = None,
        timeout_s: float | None = None,
    ):
        """Yield a connection and return it to the pool afterwards.

        A connection that is not reusable is closed instead. Connections
        idle for longer than max_idle_s (by default the pool's limit) are
        closed and not used. Raise NotSentError if no connection is
        available within timeout_s.
        """
        start_s = self._clock.monotonic()
        await self._acquire_permit(timeout_s)
        try:
            if timeout_s is not None:
                timeout_s -= self._clock.monotonic() - start_s
            conn = await self._acquire_connection(max_idle_s, timeout_s)
            start_s = self._clock.monotonic()
            try:
                yield conn
            finally:
                await self._release_connection(conn)
                if conn.may_be_severed:
                    await self._close_unused_since(start_s)
        finally:
            await self._permits.release()

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        max_idle_s: float | None = None,
        is_own_response: ResponsePredicate = accept_any_response,
    ) -> HttpResponse:
        """Send a request on a pooled connection.

        timeout_s covers the wait for a connection too. See
        ClientConnection.exchange().
        """
        end_s = self._clock.monotonic() + timeout_s
        async with self.lease(max_idle_s, timeout_s) as conn:
            remaining_s = max(0.0, end_s - self._clock.monotonic())
            return await conn.exchange(request, remaining_s, is_own_response)

    @property
    def is_unused(self) -> bool:
        """Whether no connection is open or being opened."""
        return not self._idle and self._permits.value == self._max_connections

    async def sweep(self) -> None:
        """Close connections that idled too long or are not reusable."""
        kept: deque[ClientConnection] = deque()
        expired = []
        while self._idle:
            conn = self._idle.popleft()
            is_usable = self._is_usable(conn, self._idle_limit_s)
            (kept if is_usable else expired).append(conn)
        self._idle = kept
        for conn in expired:
            await conn.close()

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._idle.pop().close()

    async def _close_unused_since(self, time_s: float) -> None:
        """Close the idle connections that were last used before a time."""
        kept = deque(c for c in self._idle if c.last_used_s >= time_s)
        unused = [c for c in self._idle if c.last_used_s < time_s]
        self._idle = kept
        for conn in unused:
            await conn.close()

    async def _acquire_permit(self, timeout_s: float | None) -> None:
        if self._permits.value or timeout_s is None:
            await self._permits.acquire()
            return
        try:
            async with curio.timeout_after(timeout_s):
                await self._permits.acquire()
        except curio.TaskTimeout as exc:
            raise NotSentError(
                f"all {self._max_connections} connections to "
                f"{self.address} in use for {timeout_s:.3f} s"
            ) from exc

    async def _acquire_connection(
        self, max_idle_s: float | None, timeout_s: float | None
    ) -> ClientConnection:
        idle_limit_s = self._idle_limit_s if max_idle_s is None else max_idle_s
        while self._idle:
            conn = self._idle.pop()
            if self._is_usable(conn, idle_limit_s):
                return conn
            await conn.close()
        connect_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_s = max(0.0, min(connect_s, timeout_s))
        return await connect(
            self.address, self._clock, connect_s, self._limits
        )

    def _is_usable(self, conn: ClientConnection, idle_limit_s: float) -> bool:
        idle_s = self._clock.monotonic() - conn.last_used_s
        return (
            idle_s <= min(idle_limit_s, conn.keep_alive_s) and conn.is_reusable
        )

    async def _release_connection(self, conn: ClientConnection) -> None:
        if conn.is_reusable:
            self._idle.append(conn)
        else:
            await conn.close()


class PoolRegistry:
    """Connection pools by address, created on first use.

    Translations map an announced address to the one to connect to.
    """

    def __init__(
        self,
        clock: Clock,
        translations: dict[Address, Address] | None = None,
        **options,
    ):
        self._clock = clock
        self._translations = {} if translations is None else translations
        self._options = options
        self._pools: dict[Address, ConnectionPool] = {}

    def get(self, address: Address) -> ConnectionPool:
        """Return the pool of an address; create it if there is none."""
        pool = self._pools.get(address)
        if pool is None:
            target = self._translations.get(address, address)
            pool = ConnectionPool(target, self._clock, **self._options)
            self._pools[address] = pool
        return pool

    async def sweep(self) -> None:
        """Close expired idle connections and remove unused pools."""
        for address, pool in list(self._pools.items()):
            await pool.sweep()
            if pool.is_unused:
                del self._pools[address]

    async def close(self) -> None:
        """Close every idle connection of every pool."""
        for pool in self._pools.values():
            await pool.close()
