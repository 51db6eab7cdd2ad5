"""HTTP/1.1 clients: connections, pools and one-off requests."""

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
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    NotSentError,
    StrayResponseError,
)
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.wires import Wire


@attrs.frozen
class Address:
    """Host and TCP port of a listener."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Read host:port; raise ValueError when it is not that."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not an address|write HOST:PORT")
    return Address(host, int(port))


KEEP_ALIVE_PATTERN = re.compile(rb"timeout=(\d{1,6})")
# The peer counts whole seconds from the end of its answer, earlier than
# this side does.
KEEP_ALIVE_MARGIN_S = 0.5
# A peer may answer before it has read a longer body, and one that does
# not read on would block the writer: a socket buffers at least this.
EAGER_BODY_BYTES = 4096
# Late answers to earlier requests that are passed over on a connection.
MAX_STRAY_RESPONSES = 4
STRAY_MESSAGE = "the response is of another request"

ResponseTest = Callable[[HttpResponse], bool]


def accept_any(_response: HttpResponse) -> bool:
    """Take every response as the answer to the request."""
    return True


class ClientConnection:
    """A connection that carries one exchange at a time."""

    def __init__(self, wire: Wire, clock: Clock):
        self._wire = wire
        self._clock = clock
        self._broken = False
        self._is_cut = False
        self._strays = 0
        self.used_s = clock.monotonic()
        # Idle time in seconds for which the peer keeps the connection.
        self.keep_alive_s = float("inf")
        self.exchanges = 0

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        belongs: ResponseTest = accept_any,
    ) -> HttpResponse:
        """Send a request and return its whole response.

        A response for which belongs is false answers an earlier request
        and is passed over. Raise NotSentError when no byte left, else
        ExchangeError or BadMessageError. A connection whose exchange
        failed or was cancelled is broken.
        """
        self._broken = True
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._run_exchange(request, belongs)
        except curio.TaskTimeout as exc:
            if self._strays:
                raise StrayResponseError(STRAY_MESSAGE) from exc
            raise ExchangeTimeoutError(
                f"no whole response within {timeout_s:.3f} s"
            ) from exc
        except OSError as exc:
            raise ExchangeError(f"connection failed: {exc}") from exc
        self._note_end(response)
        return response

    async def _run_exchange(
        self, request: HttpRequest, belongs: ResponseTest
    ) -> HttpResponse:
        if len(request.body) <= EAGER_BODY_BYTES:
            await self._wire.write_request(request)
            return await self._read_own(belongs)
        writer = await curio.spawn(self._write_long, request, daemon=True)
        try:
            return await self._read_own(belongs)
        finally:
            if not writer.terminated:
                # The rest of the body would be taken for a request.
                self._is_cut = True
                await writer.cancel()

    async def _write_long(self, request: HttpRequest) -> None:
        try:
            await self._wire.write_request(request)
        except OSError as exc:
            # The answer may have come before the peer closed.
            logging.debug("request body not sent: %s", exc)

    async def _read_own(self, belongs: ResponseTest) -> HttpResponse:
        self._strays = 0
        while self._strays < MAX_STRAY_RESPONSES:
            response = await self._wire.read_response()
            if belongs(response):
                return response
            self._strays += 1
            if not self._wire.expect_another_response():
                break
        raise StrayResponseError(STRAY_MESSAGE)

    def _note_end(self, response: HttpResponse) -> None:
        is_whole = self._wire.start_next_cycle()
        surplus = self._wire.has_surplus
        self._broken = not is_whole or surplus or self._is_cut
        self.used_s = self._clock.monotonic()
        self.exchanges += 1
        self.keep_alive_s = _read_keep_alive(response)

    @property
    def reusable(self) -> bool:
        """Whether another exchange may be started."""
        return not self._broken and not self.is_readable()

    def is_readable(self) -> bool:
        """Tell whether the peer has closed or sent unasked bytes."""
        try:
            self._wire.sock._socket.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def discard(self) -> None:
        """Let no other exchange follow on this connection."""
        self._broken = True

    async def close(self) -> None:
        """Close the connection."""
        await self._wire.close()


def _read_keep_alive(response: HttpResponse) -> float:
    """Return the idle time in seconds that Keep-Alive announces."""
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
    """Open a connection; raise NotSentError when that fails."""
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
        raise NotSentError(f"no connection to {address}: {exc}") from exc
    except curio.CancelledError:
        await sock.close()
        raise
    wire = Wire(sock, h11.CLIENT, limits or MessageLimits())
    return ClientConnection(wire, clock)


class ConnectionPool:
    """Connections to one address, each used by one exchange at a time."""

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
        self._slots = curio.Semaphore(max_connections)

    @property
    def idle_count(self) -> int:
        """Number of connections that wait for an exchange."""
        return len(self._idle)

    @asynccontextmanager
    async def lease(
        self,
        max_idle_s: float | None = None,
        timeout_s: float | None = None,
    ):
        """Yield a connection; a broken one is closed afterwards.

        With max_idle_s, a connection idle for longer is not used.
        Raise NotSentError when none can be had within timeout_s.
        """
        await self._take_slot(timeout_s)
        try:
            conn = await self._take(max_idle_s, timeout_s)
            try:
                yield conn
            finally:
                await self._give_back(conn)
        finally:
            await self._slots.release()

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        max_idle_s: float | None = None,
        belongs: ResponseTest = accept_any,
    ) -> HttpResponse:
        """Send a request on a pooled connection; see ClientConnection."""
        async with self.lease(max_idle_s, timeout_s) as conn:
            return await conn.exchange(request, timeout_s, belongs)

    @property
    def is_unused(self) -> bool:
        """Whether no connection is open or being opened."""
        return not self._idle and self._slots.value == self._max_connections

    async def sweep(self) -> None:
        """Close connections that were idle for too long or have ended."""
        kept: deque[ClientConnection] = deque()
        ended = []
        while self._idle:
            conn = self._idle.popleft()
            is_good = self._is_usable(conn, self._idle_limit_s)
            (kept if is_good else ended).append(conn)
        self._idle = kept
        for conn in ended:
            await conn.close()

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._idle.pop().close()

    async def _take_slot(self, timeout_s: float | None) -> None:
        if self._slots.value or timeout_s is None:
            await self._slots.acquire()
            return
        try:
            async with curio.timeout_after(timeout_s):
                await self._slots.acquire()
        except curio.TaskTimeout as exc:
            raise NotSentError(
                f"every connection to {self.address} is in use"
            ) from exc

    async def _take(
        self, max_idle_s: float | None, timeout_s: float | None
    ) -> ClientConnection:
        limit_s = self._idle_limit_s if max_idle_s is None else max_idle_s
        while self._idle:
            conn = self._idle.pop()
            if self._is_usable(conn, limit_s):
                return conn
            await conn.close()
        connect_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_s = min(connect_s, timeout_s)
        return await connect(
            self.address, self._clock, connect_s, self._limits
        )

    def _is_usable(self, conn: ClientConnection, limit_s: float) -> bool:
        idle_s = self._clock.monotonic() - conn.used_s
        return idle_s <= min(limit_s, conn.keep_alive_s) and conn.reusable

    async def _give_back(self, conn: ClientConnection) -> None:
        if conn.reusable:
            self._idle.append(conn)
        else:
            await conn.close()


class PoolRegistry:
    """Pools by address, made when first asked for.

    Translations map an announced address to the one to connect to.
    """

    def __init__(
        self,
        clock: Clock,
        translations: dict[Address, Address] | None = None,
        **options,
    ):
        self._clock = clock
        self._translations = translations or {}
        self._options = options
        self._pools: dict[Address, ConnectionPool] = {}

    def get(self, address: Address) -> ConnectionPool:
        """Return the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            reached = self._translations.get(address, address)
            pool = ConnectionPool(reached, self._clock, **self._options)
            self._pools[address] = pool
        return pool

    async def sweep(self) -> None:
        """Close connections idle for too long; drop unused pools."""
        for address, pool in list(self._pools.items()):
            await pool.sweep()
            if pool.is_unused:
                del self._pools[address]

    async def close(self) -> None:
        """Close every idle connection of every pool."""
        for pool in self._pools.values():
            await pool.close()
