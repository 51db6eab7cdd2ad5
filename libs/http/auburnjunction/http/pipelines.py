"""Requests in flight on a server connection and their responses.

Each request is handled by a task of its own. Responses are written in the
order of the requests.
"""

import socket
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.http.budgets import Account
from auburnjunction.http.errors import HttpError, RefusedMessageError
from auburnjunction.http.message_streams import MessageStream
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.resources import ListenerBounds, ProcessResources

SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
RequestPredicate = Callable[[HttpRequest], bool]


RequestIdFinder = Callable[[HttpRequest], str]
# Makes the response from the id of the request, if known, and the error.
RefusalWriter = Callable[[str, RefusedMessageError], HttpResponse]


def find_no_id(_request: HttpRequest) -> str:
    """Return no id."""
    return ""


def make_plain_refusal(
    _request_id: str, error: RefusedMessageError
) -> HttpResponse:
    """Return the response to a request for which there is no room."""
    headers = [(b"auburn-outcome", b"not-run")]
    if error.retry_after_s:
        value = f"{error.retry_after_s:.3f}".encode()
        headers.append((b"retry-after", value))
    return HttpResponse(error.status, headers, error.message.encode() + b"\n")


def has_safe_method(request: HttpRequest) -> bool:
    """Return whether the method of a request is a safe one of RFC 9110."""
    return request.method in SAFE_METHODS


class PeerDisconnectedError(curio.CancelledError):
    """Cancels the requests of a connection that is being closed.

    A handler that raises it closes the connection without a response.
    """


@attrs.define(slots=True)
class PipelineStats:
    """Counts of pipelined requests."""

    # Requests that were read while an earlier one was in flight.
    pipelined: int = 0
    # Those of them that were left without a response behind a closing one.
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
    # Budget of the process and what this listener may use of it, if limited.
    resources: ProcessResources | None = None
    bounds: ListenerBounds | None = None
    find_request_id: RequestIdFinder = find_no_id
    make_refusal: RefusalWriter = make_plain_refusal
    stats: PipelineStats = attrs.field(factory=PipelineStats)
    closing: bool = False
    keep_alive: bool = True

    @property
    def must_close(self) -> bool:
        """Whether responses announce the end of their connection."""
        return self.closing or not self.keep_alive


@attrs.define(eq=False, slots=True)
class PipelinedExchange:
    """A request and its response; without a request, an error response."""

    stream: MessageStream
    previous: "PipelinedExchange | None" = None
    request: HttpRequest | None = None
    response: HttpResponse | None = None
    # Whether it may run beside others; None until that is needed.
    may_overlap: bool | None = None
    write_start_s: float | None = None
    task: curio.Task | None = None
    ended: curio.Event = attrs.field(factory=curio.Event)

    @property
    def size(self) -> int:
        """Bytes of the request."""
        return self.request.size if self.request is not None else 0


class RequestPipeline:
    """Runs the requests of a connection and sends their responses in order.

    A request starts while earlier ones still run if all of them may overlap;
    others wait for those before them. Once a response announces the end of
    the connection, no request behind it is started.
    """

    def __init__(
        self,
        sock,
        state: ServerState,
        abort: Callable[[], Awaitable[None]],
    ):
        self.is_closing = False
        # When the last response was sent on a connection that then closes.
        self.linger_start_s: float | None = None
        # When the last request ended.
        self.last_end_s = state.clock.monotonic()
        self._sock = sock
        self._state = state
        # Closes the connection and cancels its requests.
        self._abort = abort
        self._exchanges: deque[PipelinedExchange] = deque()

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._exchanges)

    @property
    def write_start_s(self) -> float | None:
        """When writing of the response that is being sent began, if any."""
        return self._exchanges[0].write_start_s if self._exchanges else None

    @property
    def unread_account(self) -> Account | None:
        """Account of the request whose response must make room, if any.

        Its peer reads too slowly.
        """
        if self.write_start_s is None:
            return None
        account = self._exchanges[0].stream.account
        return account if account is not None and account.must_end else None

    @property
    def is_full(self) -> bool:
        """Whether the limits admit no further request at present."""
        limits = self._state.limits
        exchanges = self._exchanges
        return bool(exchanges) and (
            len(exchanges) >= limits.pipelined_requests
            or sum(e.size for e in exchanges) >= limits.pipelined_bytes
        )

    def handles_in(self, task: curio.Task) -> bool:
        """Return whether the task handles one of the requests."""
        return any(exchange.task is task for exchange in self._exchanges)

    async def wait_for_first(self) -> None:
        """Wait until the first request in flight has ended."""
        await self._exchanges[0].ended.wait()

    async def wait_until_empty(self) -> None:
        """Wait until no request is in flight."""
        while self._exchanges:
            await self._exchanges[-1].ended.wait()

    async def run(self, stream: MessageStream, request: HttpRequest) -> None:
        """Start a request, or queue it behind those before it."""
        await self._start(PipelinedExchange(stream, request=request))

    async def reject(
        self, stream: MessageStream, response: HttpResponse
    ) -> None:
        """Send an error response after all others, then close."""
        self.is_closing = True
        await self._start(PipelinedExchange(stream, response=response))

    async def close_output(self) -> None:
        """Send nothing further; the connection lingers until it is closed."""
        self.is_closing = True
        self.linger_start_s = self._state.clock.monotonic()
        await self._sock.shutdown(socket.SHUT_WR)

    async def close(self) -> None:
        """Cancel all requests and wait until their tasks have ended.

        The pipeline no longer refers to its connection then: requests that end
        don't cancel the task that waits for them here, and both are freed at
        once, not by the garbage collector.
        """
        self._abort = _ignore_abort
        tasks = [e.task for e in self._exchanges if e.task is not None]
        for task in tasks:
            await task.cancel(exc=PeerDisconnectedError, blocking=False)
        for task in tasks:
            await task.wait()

    async def _start(self, exchange: PipelinedExchange) -> None:
        if self._exchanges:
            exchange.previous = self._exchanges[-1]
            self._state.stats.pipelined += 1
        self._exchanges.append(exchange)
        exchange.task = await curio.spawn(
            self._run_exchange, exchange, daemon=True
        )

    async def _run_exchange(self, exchange: PipelinedExchange) -> None:
        try:
            if await self._wait_for_turn(exchange):
                await self._answer(exchange)
        except (PeerDisconnectedError, HttpError, OSError) as exc:
            logging.debug("request ended without a response: %r", exc)
            await self._abort()
        except curio.CancelledError:
            raise
        except Exception:
            logging.exception("request handler failed; closing its connection")
            await self._abort()
        finally:
            await self._end(exchange)

    async def _answer(self, exchange: PipelinedExchange) -> None:
        if exchange.response is None:
            exchange.response = await self._state.handler(exchange.request)
        await self._wait_for_previous(exchange)
        await self._write(exchange)

    async def _wait_for_turn(self, exchange: PipelinedExchange) -> bool:
        """Wait until the request may start; return whether it still may."""
        if exchange.previous is None or exchange.request is None:
            return True
        if not self._overlaps_all_before(exchange):
            await exchange.previous.ended.wait()
        if self.is_closing and not self._is_rejecting:
            self._state.stats.discarded += 1
            return False
        return True

    @property
    def _is_rejecting(self) -> bool:
        """Whether the connection ends with a response to a bad request."""
        return bool(self._exchanges) and self._exchanges[-1].request is None

    def _overlaps_all_before(self, exchange: PipelinedExchange) -> bool:
        for other in self._exchanges:
            if not self._may_overlap(other):
                return False
            if other is exchange:
                break
        return True

    def _may_overlap(self, exchange: PipelinedExchange) -> bool:
        if exchange.may_overlap is None:
            request = exchange.request
            exchange.may_overlap = request is None or self._state.may_overlap(
                request
            )
        return exchange.may_overlap

    async def _wait_for_previous(self, exchange: PipelinedExchange) -> None:
        if exchange.previous is None or exchange.previous.ended.is_set():
            return
        start_s = self._state.clock.monotonic()
        await exchange.previous.ended.wait()
        blocked_s = self._state.clock.monotonic() - start_s
        self._state.stats.blocked_s += blocked_s

    async def _write(self, exchange: PipelinedExchange) -> None:
        response = exchange.response
        if self._ends_with(exchange):
            self.is_closing = True
            response.headers = [*response.headers, (b"connection", b"close")]
        exchange.write_start_s = self._state.clock.monotonic()
        request = exchange.request
        omit_body = request is not None and request.method == b"HEAD"
        await exchange.stream.write_response(response, omit_body)
        if not exchange.stream.is_persistent:
            await self.close_output()

    def _ends_with(self, exchange: PipelinedExchange) -> bool:
        """Return whether this response announces the end of the connection.

        Requests that were read behind it are answered first: their caller
        could not tell whether they have run.
        """
        if not self._state.must_close or exchange.request is None:
            return False
        return all(other is exchange for other in self._exchanges)

    async def _end(self, exchange: PipelinedExchange) -> None:
        self._exchanges.remove(exchange)
        exchange.previous = None
        # A cancelled task keeps its exception, whose traceback refers to the
        # exchange; without this only the garbage collector would free both.
        exchange.task = None
        if self._state.resources is not None:
            release_account(exchange.stream.account)
            if exchange.response is not None:
                release_account(exchange.response.account)
        self.last_end_s = self._state.clock.monotonic()
        await exchange.ended.set()


async def _ignore_abort() -> None:
    """Do nothing: the connection has ended."""


def release_account(account: Account | None) -> None:
    """Release an account; a fault in it must not end the connection."""
    try:
        if account is not None:
            account.release()
    except Exception:
        logging.exception("bytes of a message not released")
