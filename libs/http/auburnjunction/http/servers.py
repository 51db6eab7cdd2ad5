"""HTTP/1.1 servers with one task per connection."""

import errno
import socket
from contextlib import asynccontextmanager

import attrs
import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.http.connections import ServerConnection
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.http.messages import MessageLimits
from auburnjunction.http.pipelines import (
    Handler,
    PipelineStats,
    RefusalWriter,
    RequestIdFinder,
    RequestPredicate,
    ServerState,
    find_no_id,
    has_safe_method,
    make_plain_refusal,
)
from auburnjunction.http.resources import (
    Holder,
    ListenerBounds,
    ProcessResources,
    choose_idle,
)

SWEEP_INTERVAL_S = 0.05
IDLE_SWEEP_INTERVAL_S = 0.5
LISTEN_BACKLOG = 1024


@attrs.frozen
class ServerOptions:
    """What a listener may use of the process's resources.

    Without resources nothing is limited.
    """

    resources: ProcessResources | None = None
    bounds: ListenerBounds | None = None
    find_request_id: RequestIdFinder = find_no_id
    make_refusal: RefusalWriter = make_plain_refusal


class HttpServer:
    """Accepts connections and passes each request to a handler."""

    def __init__(
        self,
        sock,
        handler: Handler,
        clock: Clock,
        limits: MessageLimits,
        may_overlap: RequestPredicate = has_safe_method,
        options: ServerOptions | None = None,
    ):
        self._sock = sock
        self._clock = clock
        options = options or ServerOptions()
        self._resources = options.resources
        self._bounds = options.bounds
        self._state = ServerState(
            handler,
            clock,
            limits,
            may_overlap,
            options.resources,
            options.bounds,
            options.find_request_id,
            options.make_refusal,
        )
        self._connections: set[ServerConnection] = set()
        self.port: int = sock.getsockname()[1]

    @property
    def stats(self) -> PipelineStats:
        """Counts of pipelined requests."""
        return self._state.stats

    def set_limits(self, limits: MessageLimits) -> None:
        """Replace the limits.

        Size limits apply to connections accepted afterwards, time-outs and
        limits on pipelined requests to all connections.
        """
        self._state.limits = limits

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in flight."""
        return sum(conn.is_busy for conn in self._connections)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def connections(self) -> tuple[ServerConnection, ...]:
        """Open connections."""
        return tuple(self._connections)

    def find_connection(self, task: curio.Task) -> ServerConnection | None:
        """Return the connection whose request the task handles, if any."""
        for conn in self._connections:
            if conn.handles_in(task):
                return conn
        return None

    async def accept_connections(self, group: curio.TaskGroup) -> None:
        """Accept connections until cancelled."""
        while True:
            if self._bounds is not None:
                await self._wait_for_descriptor()
            try:
                sock, address = await self._sock.accept()
            except OSError as exc:
                logging.warning("accept failed: %s", exc)
                await self._clock.sleep(SWEEP_INTERVAL_S)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._bounds is not None and self._is_over_share(address[0]):
                self._refuse_address(address[0])
                await sock.close()
                continue
            conn = ServerConnection(sock, self._state, address[0])
            self._connections.add(conn)
            # A daemon task, as the group keeps no reference to it once it
            # has ended.
            conn.task = await group.spawn(
                self._serve_connection, conn, daemon=True
            )

    async def _wait_for_descriptor(self) -> None:
        """Wait until another connection may be accepted."""
        bound = self._bounds.max_connections
        if len(self._connections) >= bound:
            self._resources.stats.count("connections-full")
            log_event(
                "connections at their bound; idle ones are closed first",
                logging.WARNING,
                port=self.port,
                value=len(self._connections),
                limit=bound,
            )
        while len(self._connections) >= bound:
            await self._close_idle(choose_idle(self._list_holders()))
            await self._clock.sleep(SWEEP_INTERVAL_S)

    def _refuse_address(self, address: str) -> None:
        self._resources.stats.count("address-share")
        log_event(
            "connection closed; its address holds too many",
            logging.WARNING,
            port=self.port,
            address=address,
            limit=self._bounds.max_per_address,
        )

    def _is_over_share(self, address: str) -> bool:
        """Return whether an address holds all that it may hold."""
        if len(self._connections) < self._bounds.max_per_address:
            return False
        held = sum(conn.address == address for conn in self._connections)
        return held >= self._bounds.max_per_address

    def _list_holders(self) -> list[Holder]:
        return [
            Holder(conn, conn.address, conn.idle_start_s)
            for conn in self._connections
        ]

    async def _close_idle(self, connections: list[ServerConnection]) -> None:
        for conn in connections:
            self._resources.stats.count("idle-closed")
            await conn.abort()

    def disable_keep_alive(self) -> None:
        """Send Connection: close with each response.

        Idle connections stay open, as the peer may already have sent a
        request on one of them.
        """
        self._state.keep_alive = False

    def start_closing(self) -> None:
        """Finish requests in flight and close all connections.

        Does not wait; drain() does.
        """
        self._state.closing = True

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
        if self.busy_count or self._state.closing:
            return SWEEP_INTERVAL_S
        return IDLE_SWEEP_INTERVAL_S

    async def sweep(self) -> None:
        """Apply the time-outs of all connections."""
        if self._resources is not None:
            self._resources.budget.check_progress()
        for conn in self.connections:
            await conn.check()

    async def _serve_connection(self, conn: ServerConnection) -> None:
        try:
            await conn.serve()
        finally:
            self._connections.discard(conn)


def bind_socket(host: str, port: int, receive_buffer_bytes: int = 0):
    """Return a listening curio socket.

    receive_buffer_bytes is the size of the receive buffers of accepted
    connections; 0 leaves it to the system. Raise AddressInUseError if the
    address cannot be bound.
    """
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer_bytes:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
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
    may_overlap: RequestPredicate = has_safe_method,
    options: ServerOptions | None = None,
):
    """Yield an HttpServer that listens until the block ends.

    may_overlap tells which requests of a connection may run at one time.
    """
    bounds = None if options is None else options.bounds
    buffer_bytes = 0 if bounds is None else bounds.receive_buffer_bytes
    sock = bind_socket(host, port, buffer_bytes)
    server = HttpServer(
        sock, handler, clock, limits or MessageLimits(), may_overlap, options
    )
    async with sock, open_task_group() as group:
        await group.spawn(server.accept_connections, group)
        await group.spawn(
            run_forever, server.sweep, clock, server.sweep_interval_s
        )
        yield server
