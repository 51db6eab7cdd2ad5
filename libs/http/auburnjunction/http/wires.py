"""Reading and writing of HTTP messages with h11 over a curio socket."""

import h11

from auburnjunction.http.errors import (
    BadMessageError,
    NotSentError,
    TruncatedError,
)
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)

RECEIVE_BYTES = 64 * 1024
BODILESS_STATUSES = frozenset({204, 304})


class Wire:
    """One end of an HTTP/1.1 connection.

    Nothing but bytes crosses the socket in either direction while an
    exchange is incomplete, so a wire whose exchange was cut short must
    be closed and never used again.
    """

    def __init__(self, sock, role, limits: MessageLimits):
        self.sock = sock
        self.limits = limits
        self._peer_closed = False
        self._sent_head = False
        # Bytes received since the last request's head.
        self._received = 0
        self._conn = h11.Connection(
            role, max_incomplete_event_size=limits.head_bytes
        )

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow on this connection."""
        return self._conn.our_state is h11.IDLE

    @property
    def can_respond(self) -> bool:
        """Whether an error response can still be sent."""
        return self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()

    async def wait_for_message(self) -> None:
        """Wait for the first bytes of a message or the peer's close."""
        if not self._conn.trailing_data[0]:
            await self._receive()

    @property
    def has_surplus(self) -> bool:
        """Whether bytes came that belong to no exchange."""
        return bool(self._conn.trailing_data[0])

    async def read_request(self) -> HttpRequest | None:
        """Return the next request, or None when the peer has closed."""
        request = await self.read_request_head()
        if request is not None:
            await self.read_request_body(request)
        return request

    async def read_request_head(self) -> HttpRequest | None:
        """Return the next request's head, or None at the peer's close."""
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        request = HttpRequest(
            event.method, event.target, list(event.headers), b""
        )
        self._reject_long_head(request)
        _reject_ambiguous_length(request)
        self._reject_announced_length(request)
        return request

    async def read_request_body(self, request: HttpRequest) -> None:
        """Read the body that belongs to the head read last."""
        if self._conn.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        request.body = await self._read_body()

    async def write_response(
        self, response: HttpResponse, bodiless: bool = False
    ) -> None:
        """Send a response; bodiless is for the answer to HEAD."""
        body = response.body
        headers = response.headers
        if response.status not in BODILESS_STATUSES:
            length = len(body)
            if bodiless and response.head_length is not None:
                length = response.head_length
            headers = [*headers, (b"content-length", b"%d" % length)]
        else:
            bodiless = True
        event = h11.Response(status_code=response.status, headers=headers)
        await self._send_message(event, b"" if bodiless else body)

    async def write_request(self, request: HttpRequest) -> None:
        """Send a request with its body."""
        headers = request.headers
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            size = b"%d" % len(request.body)
            headers = [*headers, (b"content-length", size)]
        event = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        self._sent_head = request.method == b"HEAD"
        await self._send_message(event, request.body)

    async def read_response(self) -> HttpResponse:
        """Return the response to the request that was sent."""
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            raise TruncatedError("connection closed before a response")
        body = await self._read_body()
        response = HttpResponse(event.status_code, list(event.headers), body)
        if self._sent_head:
            length = response.header(b"content-length")
            response.head_length = None if length is None else int(length)
        return response

    def start_next_cycle(self) -> bool:
        """Make ready for the next exchange; tell whether that works."""
        conn = self._conn
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
            return True
        return False

    def expect_another_response(self) -> bool:
        """Make ready to read the response behind the one just read.

        For a peer that sent the answer to an earlier request late; tell
        whether the connection is still open for it.
        """
        if not self.start_next_cycle():
            return False
        # The request that was sent stands; h11 needs one to await its
        # answer.
        method = "HEAD" if self._sent_head else "GET"
        request = h11.Request(
            method=method, target="/", headers=[("host", "-")]
        )
        self._conn.send(request)
        self._conn.send(h11.EndOfMessage())
        return True

    async def _read_body(self) -> bytes:
        chunks = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return chunks[0] if len(chunks) == 1 else b"".join(chunks)
            size += len(event.data)
            if size > self.limits.body_bytes:
                raise BadMessageError("body exceeds the limit", 413)
            chunks.append(bytes(event.data))

    async def _next_event(self):
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._explain_protocol_error(exc) from exc
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        data = await self.sock.recv(RECEIVE_BYTES)
        self._peer_closed = not data
        self._received += len(data)
        self._conn.receive_data(data)

    def _explain_protocol_error(self, exc) -> BadMessageError | TruncatedError:
        if self._peer_closed:
            return TruncatedError(str(exc))
        return BadMessageError(str(exc), exc.error_status_hint or 400)

    async def _send_message(self, head, body: bytes) -> None:
        try:
            data = self._conn.send(head)
            if body:
                data += self._conn.send(h11.Data(data=body))
            data += self._conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise NotSentError(f"not a message of HTTP: {exc}") from exc
        await self.sock.sendall(data)

    async def _send(self, event) -> None:
        await self.sock.sendall(self._conn.send(event))

    def _reject_long_head(self, request: HttpRequest) -> None:
        """Refuse a head over the limit that h11 got in one piece."""
        received, self._received = self._received, 0
        if received <= self.limits.head_bytes:
            return
        size = len(request.method) + len(request.target)
        size += sum(len(name) + len(value) for name, value in request.headers)
        if size > self.limits.head_bytes:
            raise BadMessageError("head exceeds the limit", 431)

    def _reject_announced_length(self, request: HttpRequest) -> None:
        length = request.header(b"content-length")
        if length is not None and int(length) > self.limits.body_bytes:
            raise BadMessageError("body exceeds the limit", 413)


def _reject_ambiguous_length(request: HttpRequest) -> None:
    encoding = request.header(b"transfer-encoding")
    length = request.header(b"content-length")
    if encoding is not None and length is not None:
        raise BadMessageError("both content-length and transfer-encoding")
