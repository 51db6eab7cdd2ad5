"""Port of the platform's transactional table service."""

from typing import Protocol

import attrs

from auburnjunction.base.errors import AuburnError, ErrorCode


class PlatformError(AuburnError):
    """A platform operation that did not end as asked."""

    code = ErrorCode.UNAVAILABLE


class UnavailableError(PlatformError):
    """The operation certainly had no effect; it may be tried again."""


class UnknownOutcomeError(PlatformError):
    """The operation may or may not have taken effect."""

    code = ErrorCode.UNKNOWN


class VersionConflictError(PlatformError):
    """The row is not at the version that the write expected."""

    code = ErrorCode.CONFLICT

    def __init__(self, message: str, current: "Row | None"):
        super().__init__(message)
        self.current = current


@attrs.frozen(slots=True)
class Row:
    """One row; each write gives it a higher version."""

    key: str
    value: bytes
    version: int


class Table(Protocol):
    """Rows by key, each changed by compare-and-set.

    Every operation takes a deadline in seconds from now. Reads raise
    UnavailableError. Writes raise UnavailableError when they certainly
    had no effect, VersionConflictError when refused, and
    UnknownOutcomeError when the answer was lost.
    """

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row, or None when there is none."""

    async def put_if(
        self, key: str, value: bytes, expected_version: int, timeout_s: float
    ) -> Row:
        """Replace the row if it is at the expected version.

        Version 0 means that there must be no row.
        """

    async def insert_if_absent(
        self, key: str, value: bytes, timeout_s: float
    ) -> Row:
        """Insert the row; raise VersionConflictError if there is one."""

    async def scan(
        self, prefix: str, after: str, limit: int, timeout_s: float
    ) -> list[Row]:
        """Return rows with the prefix and a key above after, by key."""
