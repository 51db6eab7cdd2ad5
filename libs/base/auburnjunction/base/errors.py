"""Base class of all errors, error codes and exit codes."""

from enum import StrEnum


class ErrorCode(StrEnum):
    """Error codes in responses to callers and operators and in logs."""

    INVALID = "invalid"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"
    # No slot is free, and the call must not be queued.
    BUSY = "busy"
    # The node that owns the instance does not accept connections.
    UNREACHABLE = "unreachable"
    # The backend server itself refused the request.
    SHED = "shed"
    # The node that received the request owns no such instance of the service.
    MISPLACED = "misplaced"
    DRAINING = "draining"
    # The node that took the call shuts down before the call could end.
    SHUTDOWN = "shutdown"
    UNRESPONSIVE = "unresponsive"
    # The backend server ended while it ran the call.
    CRASHED = "crashed"
    # Backend servers have crashed under the request, so it is not sent.
    QUARANTINED = "quarantined"
    # The request has no valid API key.
    UNAUTHORISED = "unauthorised"
    # The node cannot prove that its configuration is the one in force, so
    # that it may not judge API keys.
    STALE = "stale"
    # The request's API key was withdrawn before the request was sent on.
    REVOKED = "revoked"
    # A service that the request calls has no room for its calls.
    NO_ROOM = "no-room"
    # The organisation's quota is spent.
    QUOTA = "quota"
    TOO_LARGE = "too-large"
    PROTOCOL = "protocol"
    INTERNAL = "internal"


class AuburnError(Exception):
    """Base class of errors with a code and a human-readable message.

    Each layer derives its own errors and translates those of the layer
    below into them.
    """

    code = ErrorCode.INTERNAL

    def __init__(self, message: str, code: ErrorCode | None = None):
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class ExitCode:
    """Exit codes of the binaries."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    ADDRESS_IN_USE = 4
    PLATFORM_UNAVAILABLE = 5
    CONFLICT = 6
    UNKNOWN_OUTCOME = 7
    INVALID_CONFIGURATION = 8
    TIMEOUT = 9
    NOT_FOUND = 10
