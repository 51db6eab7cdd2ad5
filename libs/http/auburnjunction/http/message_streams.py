"""Reading and writing of HTTP messages with h11 over a curio socket."""

import curio
import h11

from auburnjunction.base.clocks import Clock
from auburnjunction.http.budgets import USUAL_HEADERS, Account, Share
from auburnjunction.http.errors import (
    AbandonedMessageError,
    BadMessageError,
    NotSentError,
    TruncatedError,
)
from auburnjunction.http.input_buffers import InputBuffer
from auburnjunction.http.message_checks import check_request_head
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.resources import ProcessResources

RECEIVE_BYTES = 64 * 1024
# The same for a server that reads no large body.
HEAD_RECEIVE_BYTES = 16 * 1024
# A server passes received data to the parser in slices, as what lies behind
# the end of a message stays in the parser's buffer until its response is sent.
# Announced bodies are passed up to their end.
HEAD_SLICE_BYTES = 1024
CHUNK_SLICE_BYTES = 4096
# Largest part of a long body that is passed to the socket at once.
SEND_BYTES = 256 * 1024
# Data that is always available would keep the task from ever being suspended,
# so it yields after this many receipts or events of a message.
YIELD_RECEIPTS = 4
YIELD_EVENTS = 64
# Interim responses before a response, beyond which the peer is at fault.
MAX_INTERIM_RESPONSES = 8
# Bytes of a message on the wire, as a multiple of its size limits; chunk
# headers may exceed the chunks.
WIRE_FACTOR = 2
# Bodies up to this size are copied behind their head and sent with it, which
# saves a system call; longer ones are sent from where they are.
MAX_JOINED_BYTES = 64 * 1024
BODILESS_STATUSES = frozenset({204, 304})
# Greater ones are invalid (RFC 9110, section 15); h11 rejects those below 100.
MAX_STATUS = 599


class MessageStream:
    """One end of an HTTP/1.1 connection: a socket and its h11 state.

    A cancelled or failed exchange can leave part of a message on the
    socket, so the connection must then be closed and not be reused.
    """

    def __init__(
        self,
        sock,
        role,
        limits: MessageLimits,
        clock: Clock,
        resources: ProcessResources | None = None,
        share: Share = Share.RESPONSE,
    ):
        self.sock = sock
        self.limits = limits
        self.resources = resources
        self.share = share
        # Bytes of the message that is being read, if the process has a
        # budget.
        self.account: Account | None = None
        # The same while the progress of its body is not checked yet.
        self._unchecked: Account | None = None
        # Whether reading of a message has begun.
        self.is_used = False
        self._clock = clock
        self._role = role
        self._is_abandoned = False
        self._is_head_request = False
        # Time of the last receipt of data.
        self._received_s = clock.monotonic()
        self._input = InputBuffer()
        # How much data the parser is given at a time, and what it lacks of an
        # announced request body.
        self._slice_bytes = RECEIVE_BYTES
        self._missing_bytes: int | None = None
        # Bytes parsed since the head of the last request.
        self._received_bytes = 0
        # Bytes, receipts and events of the message that is being read.
        self._wire_bytes = 0
        self._receipts = 0
        self._events = 0
        self._conn = h11.Connection(
            role, max_incomplete_event_size=limits.head_bytes
        )

    @property
    def can_respond(self) -> bool:
        """Whether an error response can still be sent."""
        return self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def may_carry_next(self) -> bool:
        """Whether another request may follow the one that was read."""
        return self._conn.their_state in (h11.IDLE, h11.DONE)

    @property
    def is_persistent(self) -> bool:
        """Whether the connection stays open after the response sent."""
        return self._conn.our_state is h11.DONE

    @property
    def is_at_end(self) -> bool:
        """Whether the peer has closed and all its data was parsed."""
        return not self._conn.trailing_data[0] and self._input.is_at_end

    @property
    def expects_continue(self) -> bool:
        """Whether the peer waits for 100 Continue to send the body."""
        return self._conn.they_are_waiting_for_100_continue

    def make_next(self) -> "MessageStream":
        """Return a stream for the next request on the socket.

        It begins with the data received behind the last request, whose
        response may still be outstanding on this stream.
        """
        following = MessageStream(
            self.sock,
            self._role,
            self.limits,
            self._clock,
            self.resources,
            self.share,
        )
        following._received_s = self._received_s
        following._input = self._input
        following._parse(self._conn.trailing_data[0])
        return following

    def abandon_input(self) -> None:
        """Stop parsing; reading ends with AbandonedMessageError."""
        self._is_abandoned = True
        if self.account is not None:
            # The task that reads may wait for data that never comes.
            self.account.release()

    async def close(self) -> None:
        """Close the socket."""
        if self.account is not None:
            self.account.release()
        await self.sock.close()

    async def wait_for_message(self) -> None:
        """Wait until data of a message arrives or the peer closes."""
        if not self.has_trailing_data:
            await self._receive()

    @property
    def has_trailing_data(self) -> bool:
        """Whether data was received after the end of the last message."""
        return bool(self._input) or bool(self._conn.trailing_data[0])

    async def read_request(self) -> HttpRequest | None:
        """Return the next request, or None if the peer has closed."""
        request = await self.read_request_head()
        if request is not None:
            await self.read_request_body(request)
        return request

    async def read_request_head(self) -> HttpRequest | None:
        """Return the next request without its body.

        Return None if the peer has closed the connection.
        """
        self.is_used = True
        self._start_message()
        self._slice_bytes, self._missing_bytes = HEAD_SLICE_BYTES, None
        if self._input and not self._received_bytes:
            # Saves asking the parser in vain.
            self._parse(self._take_slice())
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        request = HttpRequest(
            event.method,
            event.target,
            list(event.headers),
            received_s=self._received_s,
        )
        received_bytes, self._received_bytes = self._received_bytes, 0
        check_request_head(request, received_bytes, self.limits)
        if request.header(b"transfer-encoding") is not None:
            self._slice_bytes = CHUNK_SLICE_BYTES
        else:
            length = int(request.header(b"content-length") or 0)
            self._missing_bytes = length - len(self._conn.trailing_data[0])
        return request

    async def reserve_request(self, request: HttpRequest) -> None:
        """Open an account; see ProcessResources.reserve_request()."""
        self.account = self.resources.budget.open_account(self.share)
        request.account = self.account
        await self.resources.reserve_request(self.account, request)

    async def read_request_body(self, request: HttpRequest) -> None:
        """Read the body of the request whose head was read last."""
        if self._conn.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        # Checked from the first wait on: most bodies come with their head.
        self._unchecked = account = self.account
        try:
            request.body = await self._read_body(is_clearable=True)
        finally:
            if account is not None and self._unchecked is None:
                account.stop_transfer()

    async def write_response(
        self, response: HttpResponse, omit_body: bool = False
    ) -> None:
        """Send a response; set omit_body for the response to HEAD."""
        body = response.body
        headers = response.headers
        if response.status not in BODILESS_STATUSES:
            length = len(body)
            if omit_body and response.head_length is not None:
                length = response.head_length
            headers = [*headers, (b"content-length", b"%d" % length)]
        else:
            omit_body = True
        event = h11.Response(status_code=response.status, headers=headers)
        await self.send_parts(
            self._encode_message(event, b"" if omit_body else body),
            self.account,
        )

    async def write_request(self, request: HttpRequest) -> None:
        """Send a request with its body."""
        await self.send_parts(self.encode_request(request))

    async def send_parts(
        self, parts: list[bytes], account: Account | None = None
    ) -> None:
        """Send the parts of a message; record the progress in the account."""
        if account is not None:
            account.start_transfer(self._clock.monotonic())
        try:
            for part in parts:
                if account is None and len(part) <= MAX_JOINED_BYTES:
                    await self.sock.sendall(part)
                else:
                    await self._send_buffer(part, account)
        finally:
            if account is not None:
                account.stop_transfer()

    async def _send_buffer(
        self, buffer: bytes | bytearray, account: Account | None
    ) -> None:
        """Send a buffer, and lock it no longer than that.

        The views that sendall() makes live on in the traceback of a cancelled
        task, and a buffer with views can't be cleared.
        """
        position = 0
        while position < len(buffer):
            if position == 0 and len(buffer) <= MAX_JOINED_BYTES:
                # Usually all of it; not the buffer of a body but a copy.
                sent_bytes = await self.sock.send(buffer)
            else:
                end = position + SEND_BYTES
                with memoryview(buffer) as view, view[position:end] as part:
                    sent_bytes = await self.sock.send(part)
            position += sent_bytes
            if account is not None:
                account.sent_bytes += sent_bytes

    def encode_request(self, request: HttpRequest) -> list[bytes]:
        """Return the parts of a request that is about to be sent.

        Raise NotSentError if it is not valid.
        """
        headers = request.headers
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            size = b"%d" % len(request.body)
            headers = [*headers, (b"content-length", size)]
        self._is_head_request = request.method == b"HEAD"
        try:
            event = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
        except h11.LocalProtocolError as exc:
            raise NotSentError(f"invalid HTTP message: {exc}") from exc
        return self._encode_message(event, request.body)

    async def read_response(
        self, request_account: Account | None = None
    ) -> HttpResponse:
        """Return the response to the request that was sent.

        With the account of the request for which it was sent, the body is
        cleared when that is released.
        """
        event = await self._read_response_head()
        if request_account is not None:
            self.account = request_account.open_child(self.share)
        elif self.resources is not None:
            self.account = self.resources.budget.open_account(self.share)
        headers = list(event.headers)
        if self.account is not None and len(headers) > USUAL_HEADERS:
            await self.resources.reserve_response(self.account, headers)
        body = await self._read_body(is_clearable=request_account is not None)
        response = HttpResponse(event.status_code, headers, body)
        response.account = self.account
        self.account = None
        if self._is_head_request:
            length = response.header(b"content-length")
            response.head_length = None if length is None else int(length)
        return response

    async def _read_response_head(self) -> h11.Response:
        """Return the head of the final response, skipping interim ones."""
        self._start_message()
        event = await self._next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise BadMessageError(
                    f"more than {MAX_INTERIM_RESPONSES} interim responses"
                )
            event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            raise TruncatedError("connection closed before a response")
        if event.status_code > MAX_STATUS:
            raise BadMessageError(
                f"response status {event.status_code} is above {MAX_STATUS}"
            )
        return event

    def start_next_cycle(self) -> bool:
        """Reset the state for the next exchange.

        Return whether the connection can carry one.
        """
        conn = self._conn
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
            return True
        return False

    def prepare_next_response(self) -> bool:
        """Prepare to read another response without sending a request.

        Used after a late response to an earlier request. Return whether
        the connection is still open for one.
        """
        if not self.start_next_cycle():
            return False
        # h11 reads a response only after a request, so a placeholder is
        # passed to it and not sent: the real request is already out.
        method = "HEAD" if self._is_head_request else "GET"
        request = h11.Request(
            method=method, target="/", headers=[("host", "-")]
        )
        self._conn.send(request)
        self._conn.send(h11.EndOfMessage())
        return True

    async def _read_body(self, is_clearable: bool) -> bytes | bytearray:
        """Return the body of the message whose head was read last.

        One that is clearable is returned as the buffer of the account, if
        there is one, and is cleared with its release.
        """
        # One buffer, as there may be a chunk for each byte.
        body = bytearray()
        account = self.account
        if account is not None:
            account.hold(body)
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            await self._make_room(len(body), len(event.data))
            body += event.data
            event = await self._next_event()
        if is_clearable and account is not None:
            return body
        content = bytes(body)
        body.clear()
        return content

    async def _make_room(self, held_bytes: int, size: int) -> None:
        """Charge bytes that follow those held of a body, within its limit."""
        if held_bytes + size > self.limits.body_bytes:
            raise BadMessageError("body exceeds the limit", 413)
        account = self.account
        if account is None:
            return
        if not account.try_receive(size):
            await self.resources.wait_for_growth(account, size)
        if self._is_abandoned:
            raise AbandonedMessageError("reading was given up")

    async def _next_event(self):
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._convert_protocol_error(exc) from exc
            if event is not h11.NEED_DATA:
                self._events += 1
                if self._events % YIELD_EVENTS == 0:
                    await curio.sleep(0)
                return event
            await self._receive_part()

    def _start_message(self) -> None:
        self._wire_bytes = 0
        self._receipts = 0
        self._events = 0

    async def _receive_part(self) -> None:
        """Parse more data of a message, received within its limits."""
        if not self._input:
            await self._receive()
        self._parse(self._take_slice())
        if self._is_abandoned:
            raise AbandonedMessageError("reading was given up")
        limits = self.limits
        limit = WIRE_FACTOR * (limits.head_bytes + limits.body_bytes)
        if self._wire_bytes > limit:
            raise BadMessageError(
                f"message exceeds {limit} bytes on the wire", 413
            )
        if self._receipts >= YIELD_RECEIPTS:
            self._receipts = 0
            await curio.sleep(0)

    async def _receive(self) -> None:
        """Receive data, once the parser has been given all."""
        if self._unchecked is not None:
            self._unchecked.start_transfer(self._clock.monotonic())
            self._unchecked = None
        self._input.add(await self.sock.recv(self._find_receive_size()))
        self._received_s = self._clock.monotonic()
        self._receipts += 1

    def _find_receive_size(self) -> int:
        if self._role is h11.CLIENT or self.resources is None:
            return RECEIVE_BYTES
        # What is received beyond a message belongs to no account.
        account = self.account
        has_large_body = account is not None and account.share is Share.LARGE
        return RECEIVE_BYTES if has_large_body else HEAD_RECEIVE_BYTES

    def _take_slice(self) -> bytes:
        if self._missing_bytes is None:
            return self._input.take(self._slice_bytes)
        data = self._input.take(max(1, self._missing_bytes))
        self._missing_bytes -= len(data)
        return data

    def _parse(self, data: bytes) -> None:
        """Give the parser data of the message; none at the peer's end."""
        self._received_bytes += len(data)
        self._wire_bytes += len(data)
        if data or self._input.is_at_end:
            self._conn.receive_data(data)

    def _convert_protocol_error(self, exc) -> BadMessageError | TruncatedError:
        if self._input.is_closed:
            return TruncatedError(str(exc))
        return BadMessageError(str(exc), exc.error_status_hint or 400)

    def _encode_message(self, head, body: bytes) -> list[bytes]:
        """Return the parts to send; a long body is one of them, uncopied."""
        try:
            data = self._conn.send(head)
            if len(body) > MAX_JOINED_BYTES:
                parts = self._conn.send_with_data_passthrough(
                    h11.Data(data=body)
                )
                return [data, *parts, self._conn.send(h11.EndOfMessage())]
            if body:
                data += self._conn.send(h11.Data(data=body))
            data += self._conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise NotSentError(f"invalid HTTP message: {exc}") from exc
        return [data]

    async def _send(self, event) -> None:
        await self.sock.sendall(self._conn.send(event))
