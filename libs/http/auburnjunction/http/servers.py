"""HTTP/1.1 servers with one task per connection."""

import errno
import socket
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from enum import Enum, auto

import attrs
import curio
import h11
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.http.errors import (
    AddressInUseError,
    BadMessageError,
    HttpError,
)
from auburnjunction.http.message_streams import MessageStream
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)

SWEEP_INTERVAL_S = 0.05
IDLE_SWEEP_INTERVAL_S = 0.5
LISTEN_BACKLOG = 1024

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class ConnectionPhase(Enum):
    """Phase of the exchange on a server connection."""

    IDLE = auto()
    READING = auto()
    READING_BODY = auto()
    HANDLING = auto()
    WRITING = auto()


class PeerDisconnectedError(curio.CancelledError):
    """Cancels a connection that its peer closed or that idles too long.

    While the server closes, every idle connection is cancelled.
    """


class PeerTimeoutError(curio.CancelledError):
    """Cancels a connection whose peer exceeds a read or write time-out."""


@attrs.define(eq=False, slots=True)
class ServerConnection:
    """One accepted connection and the task that serves it."""

    stream: MessageStream
    task: curio.Task | None = None
    phase: ConnectionPhase = ConnectionPhase.IDLE
    phase_start_s: float = 0.0


class HttpServer:
    """Accepts connections and passes each request to a handler."""

    def __init__(
        self, sock, handler: Handler, clock: Clock, limits: MessageLimits
    ):
        self._sock = sock
        self._handler = handler
        self._clock = clock
        # Replaced when the configuration changes. Size limits apply to
        # connections accepted afterwards, time-outs to all connections.
        self.limits = limits
        self._connections: set[ServerConnection] = set()
        self._closing = False
        self._keep_alive = True
        self.port: int = sock.getsockname()[1]

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in flight."""
        return sum(
            conn.phase is not ConnectionPhase.IDLE
            for conn in self._connections
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def connections(self) -> tuple[ServerConnection, ...]:
        """Open connections."""
        return tuple(self._connections)

    async def accept_connections(self, group: curio.TaskGroup) -> None:
        """Accept connections until cancelled."""
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError as exc:
                logging.warning("accept failed: %s", exc)
                await self._clock.sleep(SWEEP_INTERVAL_S)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = MessageStream(sock, h11.SERVER, self.limits)
            conn = ServerConnection(
                stream, phase_start_s=self._clock.monotonic()
            )
            self._connections.add(conn)
            # A daemon task, as the group keeps no reference to it once it
            # has ended.
            conn.task = await group.spawn(
                self._serve_connection, conn, daemon=True
            )

    def disable_keep_alive(self) -> None:
        """Send Connection: close with each response.

        Idle connections stay open, as the peer may already have sent a
        request on one of them.
        """
        self._keep_alive = False

    def start_closing(self) -> None:
        """Finish requests in flight and close all connections.

        Does not wait; drain() does.
        """
        self._closing = True

    async def drain(self, limit_s: float) -> int:
        """Wait until no request is in flight; return the number left.

        The wait ends after limit_s.
        """
        self.start_closing()
        end_s = self._clock.monotonic() + limit_s
        while self.busy_count and self._clock.monotonic() < end_s:
            await self._clock.sleep(SWEEP_INTERVAL_S)
        return self.busy_count

    def sweep_interval_s(self) -> float:
        """Return the time to the next sweep in seconds.

        Sweeps are less frequent while all connections are idle.
        """
        if self.busy_count or self._closing:
            return SWEEP_INTERVAL_S
        return IDLE_SWEEP_INTERVAL_S

    async def sweep(self) -> None:
        """Cancel connections closed by the peer or past a time-out."""
        now_s = self._clock.monotonic()
        for conn in list(self._connections):
            reason = self._find_cancel_reason(conn, now_s)
            if reason is not None and conn.task is not None:
                await conn.task.cancel(exc=reason, blocking=False)

    def _find_cancel_reason(self, conn: ServerConnection, now_s: float):
        phase_age_s = now_s - conn.phase_start_s
        if conn.phase is ConnectionPhase.HANDLING:
            if phase_age_s >= SWEEP_INTERVAL_S and _is_peer_closed(
                conn.stream.sock
            ):
                return PeerDisconnectedError
            return None
        if conn.phase is ConnectionPhase.IDLE:
            if self._closing or phase_age_s > self.limits.idle_timeout_s:
                return PeerDisconnectedError
            return None
        limit_s = self.limits.body_timeout_s
        if conn.phase is ConnectionPhase.READING:
            limit_s = self.limits.head_timeout_s
        return PeerTimeoutError if phase_age_s > limit_s else None

    def _set_phase(
        self, conn: ServerConnection, phase: ConnectionPhase
    ) -> None:
        conn.phase = phase
        conn.phase_start_s = self._clock.monotonic()

    async def _serve_connection(self, conn: ServerConnection) -> None:
        try:
            while await self._serve_request(conn):
                pass
        except PeerDisconnectedError:
            pass
        except PeerTimeoutError:
            await self._send_error(conn, 408, "the request came too slowly")
        except BadMessageError as exc:
            await self._send_error(conn, exc.status, exc.message)
        except (HttpError, OSError):
            pass
        finally:
            self._connections.discard(conn)
            await conn.stream.close()

    async def _serve_request(self, conn: ServerConnection) -> bool:
        stream = conn.stream
        self._set_phase(conn, ConnectionPhase.IDLE)
        await stream.wait_for_message()
        self._set_phase(conn, ConnectionPhase.READING)
        request = await stream.read_request_head()
        if request is None:
            return False
        self._set_phase(conn, ConnectionPhase.READING_BODY)
        await stream.read_request_body(request)
        self._set_phase(conn, ConnectionPhase.HANDLING)
        response = await self._handler(request)
        self._set_phase(conn, ConnectionPhase.WRITING)
        if self._closing or not self._keep_alive:
            response.headers = [*response.headers, (b"connection", b"close")]
        await stream.write_response(response, request.method == b"HEAD")
        return stream.start_next_cycle()

    async def _send_error(
        self, conn: ServerConnection, status: int, reason: str
    ) -> None:
        if not conn.stream.can_respond:
            return
        headers = [(b"connection", b"close"), (b"auburn-outcome", b"not-run")]
        response = HttpResponse(status, headers, reason.encode() + b"\n")
        try:
            async with curio.ignore_after(1.0):
                await conn.stream.write_response(response)
        except (HttpError, OSError):
            pass


def _is_peer_closed(sock) -> bool:
    try:
        return not sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def bind_socket(host: str, port: int):
    """Return a listening curio socket.

    Raise AddressInUseError if the address cannot be bound.
    """
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError as exc:
        sock._socket.close()
        reason = "is in use" if exc.errno == errno.EADDRINUSE else str(exc)
        raise AddressInUseError(host, port, reason) from exc
    return sock


@asynccontextmanager
async def open_server(
    host: str,
    port: int,
    handler: Handler,
    clock: Clock,
    limits: MessageLimits | None = None,
):
    """Yield an HttpServer that listens until the block ends."""
    sock = bind_socket(host, port)
    server = HttpServer(sock, handler, clock, limits or MessageLimits())
    async with sock, open_task_group() as group:
        await group.spawn(server.accept_connections, group)
        await group.spawn(
            run_forever, server.sweep, clock, server.sweep_interval_s
        )
        yield server
