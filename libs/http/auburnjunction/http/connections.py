"""Server connections: reading of requests, time-outs and closing."""

import select
from enum import Enum, auto

import curio
import h11
from absl import logging

from auburnjunction.base.logs import log_event
from auburnjunction.http.budgets import Share
from auburnjunction.http.errors import (
    AbandonedMessageError,
    BadMessageError,
    HttpError,
    RefusedMessageError,
)
from auburnjunction.http.message_streams import MessageStream
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.pipelines import (
    PeerDisconnectedError,
    RequestPipeline,
    ServerState,
    release_account,
)

# Time for which a closed connection still discards what the peer sends. A
# socket that is closed with unread data is reset, and a reset can destroy
# the last response on its way.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_BYTES = 64 * 1024


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


class ServerConnection:
    """One accepted connection, whose task reads requests."""

    def __init__(self, sock, state: ServerState, address: str = ""):
        bounds = state.bounds
        self.stream = MessageStream(
            sock,
            h11.SERVER,
            state.limits,
            state.clock,
            state.resources,
            Share.SMALL if bounds is None else bounds.share,
        )
        # IP address of the peer.
        self.address = address
        self._request: HttpRequest | None = None
        self.task: curio.Task | None = None
        self._state = state
        self._pipeline = RequestPipeline(sock, state, self.abort)
        self._phase = ReadPhase.IDLE
        self._phase_start_s = state.clock.monotonic()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, handled or answered."""
        if self._pipeline:
            return True
        is_reading = self._phase in (ReadPhase.HEAD, ReadPhase.BODY)
        return is_reading and not self._pipeline.is_closing

    @property
    def idle_start_s(self) -> float | None:
        """Since when the connection is idle, or None while it is not."""
        if self._phase is not ReadPhase.IDLE or self._pipeline:
            return None
        return max(self._phase_start_s, self._pipeline.last_end_s)

    def handles_in(self, task: curio.Task) -> bool:
        """Return whether the task handles a request of this connection."""
        return self._pipeline.handles_in(task)

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            await self._read_requests()
            self._set_phase(ReadPhase.ENDED)
            await self._discard_input()
        except (PeerDisconnectedError, HttpError, OSError) as exc:
            logging.debug("connection ended: %r", exc)
        finally:
            try:
                await self._pipeline.close()
            finally:
                release_account(self.stream.account)
                await self.stream.close()
                # A cancelled task keeps its exception, whose traceback refers
                # to this connection.
                self.task = None

    async def abort(self) -> None:
        """Close the connection and cancel its requests."""
        if self.task is not None:
            await self.task.cancel(exc=PeerDisconnectedError, blocking=False)

    async def check(self) -> None:
        """Apply the time-outs; called periodically by the server."""
        now_s = self._state.clock.monotonic()
        unread = self._pipeline.unread_account
        if self._is_overdue(now_s):
            await self.abort()
        elif unread is not None:
            self._state.resources.record_unread_response(unread)
            await self.abort()
        elif self._is_too_slow(now_s):
            await self._reject("the request came too slowly", 408)
        elif self._must_make_room():
            await self._refuse(
                self._state.resources.refuse_slow_body(self.stream.account)
            )

    def _must_make_room(self) -> bool:
        account = self.stream.account
        return (
            account is not None
            and account.must_end
            and self._phase is ReadPhase.BODY
            and not self._pipeline.is_closing
        )

    def _is_overdue(self, now_s: float) -> bool:
        """Return whether the connection must be closed now."""
        pipeline, limits = self._pipeline, self._state.limits
        if pipeline.linger_start_s is not None:
            return now_s - pipeline.linger_start_s > LINGER_S
        if pipeline.write_start_s is not None:
            return now_s - pipeline.write_start_s > limits.body_timeout_s
        if pipeline:
            is_paused = self._phase is ReadPhase.PAUSED
            return is_paused and _is_peer_closed(self.stream.sock)
        if self._phase is not ReadPhase.IDLE:
            return False
        idle_s = now_s - max(self._phase_start_s, pipeline.last_end_s)
        return self._state.closing or idle_s > limits.idle_timeout_s

    def _is_too_slow(self, now_s: float) -> bool:
        if self._pipeline.is_closing:
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
            except RefusedMessageError as exc:
                await self._refuse(exc)
            except BadMessageError as exc:
                await self._reject(exc.message, exc.status)
            except AbandonedMessageError:
                return
            except (curio.CurioError, HttpError, OSError):
                raise
            except Exception:
                if self._state.resources is None:
                    raise
                # A fault in the accounting must not end the process.
                logging.exception("accounting of a request failed")
                self._state.resources.stats.count("accounting-fault")
                await self._refuse(
                    RefusedMessageError("internal error", "accounting-fault")
                )

    async def _wait_for_request(self) -> bool:
        """Wait for the start of a request; return whether there is one.

        Raise PeerDisconnectedError if the peer closes instead.
        """
        pipeline = self._pipeline
        while pipeline.is_full:
            self._set_phase(ReadPhase.PAUSED)
            await pipeline.wait_for_first()
        if pipeline.is_closing or not self.stream.may_carry_next:
            return False
        if pipeline and self._state.must_close:
            return False
        self._set_phase(ReadPhase.IDLE)
        await self.stream.wait_for_message()
        if self.stream.is_at_end:
            raise PeerDisconnectedError("the peer has closed")
        if self.stream.is_used:
            self.stream = self.stream.make_next()
        return not pipeline.is_closing

    async def _read_request(self) -> None:
        stream = self.stream
        self._request = None
        self._set_phase(ReadPhase.HEAD)
        request = await stream.read_request_head()
        if request is None:
            raise PeerDisconnectedError("the peer has closed")
        if stream.expects_continue and self._pipeline:
            # An interim response must not precede earlier responses.
            self._set_phase(ReadPhase.PAUSED)
            await self._pipeline.wait_until_empty()
        self._request = request
        self._set_phase(ReadPhase.BODY)
        if self._state.resources is not None:
            await stream.reserve_request(request)
        await stream.read_request_body(request)
        self._request = None
        if not self._pipeline.is_closing:
            await self._pipeline.run(stream, request)

    async def _refuse(self, error: RefusedMessageError) -> None:
        """Refuse the request that is being read, then close."""
        state = self._state
        request_id = ""
        if self._request is not None:
            request_id = state.find_request_id(self._request)
        response = state.make_refusal(request_id, error)
        log_event(
            "request refused",
            logging.WARNING,
            cause=error.cause,
            request_id=request_id,
            value=error.value,
            limit=error.limit,
            # The budget is this process's own, so nothing is outdated.
            evidence_age_s=0.0,
            retry_after_s=round(error.retry_after_s, 3),
        )
        response.headers.append((b"connection", b"close"))
        await self._end_with(response)

    async def _reject(self, reason: str, status: int) -> None:
        """Send an error response after all others, then close."""
        headers = [(b"connection", b"close"), (b"auburn-outcome", b"not-run")]
        await self._end_with(
            HttpResponse(status, headers, reason.encode() + b"\n")
        )

    async def _end_with(self, response: HttpResponse) -> None:
        stream = self.stream
        if self._pipeline.is_closing:
            return
        if not stream.can_respond:
            await self._pipeline.close_output()
            return
        stream.abandon_input()
        await self._pipeline.reject(stream, response)

    async def _discard_input(self) -> None:
        """Discard input until the peer closes or all responses are sent."""
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            data = await self.stream.sock.recv(DISCARD_BYTES)
            if not data:
                return
            discarded_bytes += len(data)
        await self._pipeline.wait_until_empty()


def _is_peer_closed(sock) -> bool:
    """Return whether the peer has closed, also behind unread data."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
