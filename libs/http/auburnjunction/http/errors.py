"""Errors of HTTP exchanges."""

from auburnjunction.base.errors import AuburnError, ErrorCode


class HttpError(AuburnError):
    """An exchange that did not end with a whole response."""

    code = ErrorCode.PROTOCOL


class AddressInUseError(HttpError):
    """The listening address is taken or not of this host."""

    code = ErrorCode.UNAVAILABLE

    def __init__(self, host: str, port: int, reason: str):
        super().__init__(f"address {host}:{port} {reason}")
        self.port = port


class NotSentError(HttpError):
    """No byte of the request left this process; it did not run."""

    code = ErrorCode.UNAVAILABLE


class ConnectTimeoutError(NotSentError):
    """The peer neither took nor refused a connection in time."""


class ExchangeError(HttpError):
    """The connection failed after the request began to be sent."""

    code = ErrorCode.UNKNOWN


class TruncatedError(ExchangeError):
    """The response ended before its announced length."""


class StrayResponseError(ExchangeError):
    """What came answers another request; the own answer did not come."""

    code = ErrorCode.PROTOCOL


class ExchangeTimeoutError(ExchangeError):
    """No whole response arrived in time."""

    code = ErrorCode.TIMEOUT


class BadMessageError(HttpError):
    """A peer's message that breaks HTTP or a limit."""

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status
