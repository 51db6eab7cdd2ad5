"""Base of the errors of every layer."""

from enum import StrEnum


class ErrorCode(StrEnum):
    """Codes that callers, operators and logs see."""

    INVALID = "invalid"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"
    # No slot is free, and the call was not to wait.
    BUSY = "busy"
    # The node of the instance takes no connection.
    UNREACHABLE = "unreachable"
    # Refused by the backend server itself.
    SHED = "shed"
    # The instance is not where the request went.
    MISPLACED = "misplaced"
    DRAINING = "draining"
    UNRESPONSIVE = "unresponsive"
    TOO_LARGE = "too-large"
    PROTOCOL = "protocol"
    INTERNAL = "internal"


class AuburnError(Exception):
    """An error with a code and a message for people.

    Each layer derives its own errors and turns those of the layer below
    into them.
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
