"""HTTP requests and responses with complete bodies."""

import attrs

from auburnjunction.http.budgets import Account

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; the name is lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


@attrs.define(slots=True)
class HttpRequest:
    """A request with its complete body; header names are lower case."""

    method: bytes
    target: bytes
    headers: Headers = attrs.field(factory=list)
    # A server with a byte budget passes the bytearray on into which it read
    # the body. It is cleared when the exchange ends.
    body: bytes | bytearray = b""
    # Monotonic time at which a server had received the head; else None.
    received_s: float | None = None
    # Account of the request that a server with a byte budget handles; also of
    # those that it sends for it. Their responses end with it.
    account: Account | None = attrs.field(default=None, eq=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is lower case."""
        return find_header(self.headers, name)

    @property
    def size(self) -> int:
        """Bytes of target, headers and body."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target) + headers + len(self.body)

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@attrs.define(slots=True)
class HttpResponse:
    """A response with its complete body; header names are lower case.

    The response to HEAD has no body; head_length is the value of its
    Content-Length header.
    """

    status: int
    headers: Headers = attrs.field(factory=list)
    # A bytearray, which is cleared when the exchange ends, if the request that
    # it answers has an account.
    body: bytes | bytearray = b""
    head_length: int | None = None
    # Bytes of the process's budget that the response holds, if it has one.
    account: Account | None = attrs.field(default=None, eq=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is lower case."""
        return find_header(self.headers, name)


@attrs.frozen
class MessageLimits:
    """Size limits and time-outs of messages and idle connections."""

    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    # Requests of one connection that may be in flight, and the bytes of
    # those in flight at which no further one is read.
    pipelined_requests: int = 16
    pipelined_bytes: int = 256 * 1024
