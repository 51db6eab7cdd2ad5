"""Server connections with pipelined requests.

The task of a connection reads requests; each request is handled by a task
of its own. Responses are written in the order of the requests.
"""

import select
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import attrs
import curio
import h11
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.http.errors import (
    AbandonedMessageError,
    BadMessageError,
    HttpError,
)
from auburnjunction.http.message_streams import MessageStream
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)

# Time for which a closed connection still discards what the peer sends. A
# socket that is closed with unread data is reset, and a reset can destroy
# the last response on its way.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_BYTES = 64 * 1024
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
RequestPredicate = Callable[[HttpRequest], bool]


def has_safe_method(request: HttpRequest) -> bool:
    """Return whether the method of a request is a safe one of RFC 9110."""
    return request.method in SAFE_METHODS


class PeerDisconnectedError(curio.CancelledError):
    """Cancels the requests of a connection that is being closed.

    A handler that raises it closes the connection without a response.
    """


class ReadPhase(Enum):
    """What the task of a connection waits for."""

    # The first byte of a request.
    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    # An earlier request to end.
    PAUSED = auto()
    # The peer to close; nothing further is read.
    ENDED = auto()


@attrs.define(slots=True)
class PipelineStats:
    """Counts of pipelined requests."""

    # Requests that were read while an earlier one was in flight.
    pipelined: int = 0
    # Those of them that were left unread behind a closing response.
    discarded: int = 0
    # Time that responses waited for those of earlier requests.
    blocked_s: float = 0.0


@attrs.define(slots=True)
class ServerState:
    """State that the connections of a server share."""

    handler: Handler
    clock: Clock
    limits: MessageLimits
    # Whether a request may run while others of its connection run.
    may_overlap: RequestPredicate = has_safe_method
    stats: PipelineStats = attrs.field(factory=PipelineStats)
    closing: bool = False
    keep_alive: bool = True

    @property
    def must_close(self) -> bool:
        """Whether responses announce the end of their connection."""
        return self.closing or not self.keep_alive


@attrs.define(eq=False, slots=True)
class ServerExchange:
    """A request and its response; without a request, an error response."""

    stream: MessageStream
    previous: "ServerExchange | None" = None
    request: HttpRequest | None = None
    response: HttpResponse | None = None
    # Whether it may run beside others; None until that is needed.
    may_overlap: bool | None = None
    has_started: bool = False
    write_start_s: float | None = None
    task: curio.Task | None = None
    ended: curio.Event = attrs.field(factory=curio.Event)

    @property
    def size(self) -> int:
        """Bytes of the request."""
        return self.request.size if self.request is not None else 0


class ServerConnection:
    """One accepted connection.

    A request starts while earlier ones of the connection still run if all
    of them may overlap; others wait for those before them. Once a response
    announces the end of the connection, no request behind it is started.
    """

    def __init__(self, sock, state: ServerState):
        self.stream = MessageStream(
            sock, h11.SERVER, state.limits, state.clock
        )
        self.task: curio.Task | None = None
        self._state = state
        self._exchanges: deque[ServerExchange] = deque()
        self._phase = ReadPhase.IDLE
        self._phase_start_s = state.clock.monotonic()
        self._is_closing = False
        self._linger_start_s: float | None = None
        # Set whenever an exchange ends.
        self._exchange_ended = curio.Event()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, handled or answered."""
        if self._exchanges:
            return True
        is_reading = self._phase in (ReadPhase.HEAD, ReadPhase.BODY)
        return is_reading and not self._is_closing

    def handles_in(self, task: curio.Task) -> bool:
        """Return whether the task handles a request of this connection."""
        return any(exchange.task is task for exchange in self._exchanges)

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            await self._read_requests()
            self._set_phase(ReadPhase.ENDED)
            await self._discard_input()
        except (PeerDisconnectedError, HttpError, OSError) as exc:
            logging.debug("connection ended: %r", exc)
        finally:
            await self._cancel_exchanges()
            await self.stream.close()

    async def abort(self) -> None:
        """Close the connection and cancel its requests."""
        if self.task is not None:
            await self.task.cancel(exc=PeerDisconnectedError, blocking=False)

    async def check(self) -> None:
        """Apply the time-outs; called periodically by the server."""
        now_s = self._state.clock.monotonic()
        if self._is_overdue(now_s):
            await self.abort()
        elif self._is_too_slow(now_s):
            await self._reject("the request came too slowly", 408)

    def _is_overdue(self, now_s: float) -> bool:
        """Return whether the connection must be closed now."""
        if self._linger_start_s is not None:
            return now_s - self._linger_start_s > LINGER_S
        limits = self._state.limits
        if self._exchanges:
            write_start_s = self._exchanges[0].write_start_s
            if write_start_s is not None:
                return now_s - write_start_s > limits.body_timeout_s
            is_paused = self._phase is ReadPhase.PAUSED
            return is_paused and _is_peer_closed(self.stream.sock)
        if self._phase is not ReadPhase.IDLE:
            return False
        idle_s = now_s - self._phase_start_s
        return self._state.closing or idle_s > limits.idle_timeout_s

    def _is_too_slow(self, now_s: float) -> bool:
        if self._is_closing:
            return False
        age_s = now_s - self._phase_start_s
        if self._phase is ReadPhase.HEAD:
            return age_s > self._state.limits.head_timeout_s
        if self._phase is ReadPhase.BODY:
            return age_s > self._state.limits.body_timeout_s
        return False

    def _set_phase(self, phase: ReadPhase) -> None:
        self._phase = phase
        self._phase_start_s = self._state.clock.monotonic()

    async def _read_requests(self) -> None:
        """Read requests until the connection can carry no further one."""
        while await self._wait_for_request():
            try:
                await self._read_request()
            except BadMessageError as exc:
                await self._reject(exc.message, exc.status)
            except AbandonedMessageError:
                return

    async def _wait_for_request(self) -> bool:
        """Wait for the start of a request; return whether there is one.

        Raise PeerDisconnectedError if the peer closes instead.
        """
        await self._wait_for_room()
        if self._is_closing or not self.stream.may_carry_next:
            return False
        if self._exchanges and self._state.must_close:
            return False
        self._set_phase(ReadPhase.IDLE)
        await self.stream.wait_for_message()
        if self.stream.is_at_end:
            raise PeerDisconnectedError("the peer has closed")
        if self.stream.is_used:
            self.stream = self.stream.make_next()
        return not self._is_closing

    async def _wait_for_room(self) -> None:
        """Wait until the limits on pipelined requests admit another one."""
        limits = self._state.limits
        while self._exchanges and (
            len(self._exchanges) >= limits.pipelined_requests
            or sum(e.size for e in self._exchanges) >= limits.pipelined_bytes
        ):
            self._set_phase(ReadPhase.PAUSED)
            self._exchange_ended.clear()
            await self._exchange_ended.wait()

    async def _read_request(self) -> None:
        stream = self.stream
        self._set_phase(ReadPhase.HEAD)
        request = await stream.read_request_head()
        if request is None:
            raise PeerDisconnectedError("the peer has closed")
        if stream.expects_continue and self._exchanges:
            # An interim response must not precede earlier responses.
            self._set_phase(ReadPhase.PAUSED)
            await self._exchanges[-1].ended.wait()
        self._set_phase(ReadPhase.BODY)
        await stream.read_request_body(request)
        if not self._is_closing:
            await self._start(ServerExchange(stream, request=request))

    async def _reject(self, reason: str, status: int) -> None:
        """Send an error response after all others, then close."""
        stream = self.stream
        if self._is_closing:
            return
        if not stream.can_respond:
            await self._close_output()
            return
        self._is_closing = True
        stream.abandon_input()
        headers = [(b"connection", b"close"), (b"auburn-outcome", b"not-run")]
        response = HttpResponse(status, headers, reason.encode() + b"\n")
        await self._start(ServerExchange(stream, response=response))

    async def _start(self, exchange: ServerExchange) -> None:
        if self._exchanges:
            exchange.previous = self._exchanges[-1]
            self._state.stats.pipelined += 1
        self._exchanges.append(exchange)
        exchange.task = await curio.spawn(
            self._run_exchange, exchange, daemon=True
        )

    async def _run_exchange(self, exchange: ServerExchange) -> None:
        try:
            if await self._wait_for_turn(exchange):
                await self._answer(exchange)
        except (PeerDisconnectedError, HttpError, OSError) as exc:
            logging.debug("request ended without a response: %r", exc)
            await self.abort()
        except curio.CancelledError:
            raise
        except Exception:
            logging.exception("request handler failed; closing its connection")
            await self.abort()
        finally:
            await self._end(exchange)

    async def _answer(self, exchange: ServerExchange) -> None:
        exchange.has_started = True
        if exchange.response is None:
            exchange.response = await self._state.handler(exchange.request)
        await self._wait_for_previous(exchange)
        await self._write(exchange)

    async def _wait_for_turn(self, exchange: ServerExchange) -> bool:
        """Wait until the request may start; return whether it still may."""
        if exchange.previous is None or exchange.request is None:
            return True
        if not self._overlaps_all_before(exchange):
            await exchange.previous.ended.wait()
        if self._is_closing and not self._is_rejecting:
            self._state.stats.discarded += 1
            return False
        return True

    @property
    def _is_rejecting(self) -> bool:
        """Whether the connection ends with a response to a bad request."""
        return bool(self._exchanges) and self._exchanges[-1].request is None

    def _overlaps_all_before(self, exchange: ServerExchange) -> bool:
        for other in self._exchanges:
            if not self._may_overlap(other):
                return False
            if other is exchange:
                break
        return True

    def _may_overlap(self, exchange: ServerExchange) -> bool:
        if exchange.may_overlap is None:
            request = exchange.request
            exchange.may_overlap = request is None or self._state.may_overlap(
                request
            )
        return exchange.may_overlap

    async def _wait_for_previous(self, exchange: ServerExchange) -> None:
        if exchange.previous is None or exchange.previous.ended.is_set():
            return
        start_s = self._state.clock.monotonic()
        await exchange.previous.ended.wait()
        blocked_s = self._state.clock.monotonic() - start_s
        self._state.stats.blocked_s += blocked_s

    async def _write(self, exchange: ServerExchange) -> None:
        response = exchange.response
        if self._ends_with(exchange):
            self._is_closing = True
            response.headers = [*response.headers, (b"connection", b"close")]
        exchange.write_start_s = self._state.clock.monotonic()
        request = exchange.request
        omit_body = request is not None and request.method == b"HEAD"
        await exchange.stream.write_response(response, omit_body)
        if not exchange.stream.is_persistent:
            await self._close_output()

    def _ends_with(self, exchange: ServerExchange) -> bool:
        """Return whether this response announces the end of the connection.

        Requests behind it that run are answered first.
        """
        if not self._state.must_close or exchange.request is None:
            return False
        return not any(
            other.has_started or other.request is None
            for other in self._exchanges
            if other is not exchange
        )

    async def _close_output(self) -> None:
        self._is_closing = True
        self._linger_start_s = self._state.clock.monotonic()
        await self.stream.sock.shutdown(socket.SHUT_WR)

    async def _end(self, exchange: ServerExchange) -> None:
        self._exchanges.remove(exchange)
        exchange.previous = None
        if not self._exchanges and self._phase is ReadPhase.IDLE:
            self._phase_start_s = self._state.clock.monotonic()
        await exchange.ended.set()
        await self._exchange_ended.set()

    async def _discard_input(self) -> None:
        """Discard input until the peer closes or all responses are sent."""
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            data = await self.stream.sock.recv(DISCARD_BYTES)
            if not data:
                return
            discarded_bytes += len(data)
        while self._exchanges:
            await self._exchanges[-1].ended.wait()

    async def _cancel_exchanges(self) -> None:
        tasks = [e.task for e in self._exchanges if e.task is not None]
        for task in tasks:
            await task.cancel(exc=PeerDisconnectedError, blocking=False)
        for task in tasks:
            await task.wait()


def _is_peer_closed(sock) -> bool:
    """Return whether the peer has closed, also behind unread data."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
