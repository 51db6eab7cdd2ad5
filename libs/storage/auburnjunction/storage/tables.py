"""Port of the platform's transactional table service."""

from typing import Protocol

import attrs

from auburnjunction.base.errors import AuburnError, ErrorCode


class PlatformError(AuburnError):
    """A platform operation that failed or has an unknown outcome."""

    code = ErrorCode.UNAVAILABLE


class UnavailableError(PlatformError):
    """The operation had no effect and may be retried."""


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
    """One row of the table; each write increases its version."""

    key: str
    value: bytes
    version: int


class Table(Protocol):
    """Rows by key, each written by compare-and-set.

    Every operation takes a time-out in seconds. Reads raise
    UnavailableError. Writes raise UnavailableError if they had no
    effect, VersionConflictError if the version does not match, and
    UnknownOutcomeError if they may or may not have taken effect.
    """

    @property
    def generation(self) -> int:
        """Rises when the table is restored from an older copy.

        Writes that were acknowledged in an earlier generation may be lost,
        and their versions may belong to other writes. 0 if the platform
        does not report restores.
        """

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row, or None if there is none."""

    async def put_if(
        self, key: str, value: bytes, expected_version: int, timeout_s: float
    ) -> Row:
        """Replace the row if it is at the expected version.

        Version 0 means that the row must not exist.
        """

    async def insert_if_absent(
        self, key: str, value: bytes, timeout_s: float
    ) -> Row:
        """Insert the row; raise VersionConflictError if there is one."""

    async def scan(
        self, prefix: str, after: str, limit: int, timeout_s: float
    ) -> list[Row]:
        """Return rows with the prefix and a key above after, in key order."""
