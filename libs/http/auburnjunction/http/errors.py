"""Errors of HTTP exchanges."""

from auburnjunction.base.errors import AuburnError, ErrorCode


class HttpError(AuburnError):
    """An exchange that did not end with a complete response."""

    code = ErrorCode.PROTOCOL


class AddressInUseError(HttpError):
    """The listening address is in use or not an address of this host."""

    code = ErrorCode.UNAVAILABLE

    def __init__(self, host: str, port: int, reason: str):
        super().__init__(f"address {host}:{port} {reason}")
        self.port = port


class NotSentError(HttpError):
    """No byte of the request was sent, so it was not executed."""

    code = ErrorCode.UNAVAILABLE


class ConnectError(NotSentError):
    """No connection to the peer came about."""


class ConnectTimeoutError(ConnectError):
    """The peer neither accepted nor refused a connection in time."""


class ExchangeError(HttpError):
    """The exchange failed after sending of the request had started."""

    code = ErrorCode.UNKNOWN


class TruncatedError(ExchangeError):
    """The connection closed before the end of the response."""


class StrayResponseError(ExchangeError):
    """Only responses to other requests arrived on the connection."""

    code = ErrorCode.PROTOCOL


class ExchangeTimeoutError(ExchangeError):
    """No complete response arrived in time."""

    code = ErrorCode.TIMEOUT


class BadMessageError(HttpError):
    """The peer sent a message that violates HTTP or a size limit."""

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


class RefusedMessageError(BadMessageError):
    """There is no room for the message, or it makes too little progress."""

    code = ErrorCode.OVERLOADED

    def __init__(
        self,
        message: str,
        cause: str,
        value: float = 0,
        limit: float = 0,
        retry_after_s: float = 0.0,
        status: int = 503,
    ):
        super().__init__(message, status)
        self.cause = cause
        self.value = value
        self.limit = limit
        self.retry_after_s = retry_after_s


class AbandonedMessageError(HttpError):
    """Reading of the message was given up by another task."""
