"""Writes that resolve an unknown outcome by reading the row back.

Each value must be unique to its writer, for example by a token in it: a
row with an equal value counts as this writer's own.
"""

from collections.abc import Awaitable, Callable

from auburnjunction.base.clocks import Clock
from auburnjunction.storage.tables import (
    Row,
    Table,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

MAX_ATTEMPTS = 5
# Time-out of one table operation as a share of the remaining time.
ATTEMPT_TIMEOUT_SHARE = 0.5
INITIAL_BACKOFF_S = 0.01
BACKOFF_FACTOR = 2.0


async def insert_once(
    table: Table, clock: Clock, key: str, value: bytes, timeout_s: float
) -> Row:
    """Insert a row and return it, even if a response was lost.

    Raise VersionConflictError if another writer's row exists,
    UnavailableError if nothing was written, and UnknownOutcomeError if
    the outcome could not be determined within the time-out and
    MAX_ATTEMPTS.
    """
    return await put_once(table, clock, key, value, 0, timeout_s)


async def put_once(
    table: Table,
    clock: Clock,
    key: str,
    value: bytes,
    expected_version: int,
    timeout_s: float,
) -> Row:
    """Replace a row and return it, even if a response was lost.

    Raise the same errors as insert_once. The outcome remains unknown if
    a retry finds the row more than one version above the expected one.
    """
    write = _ResolvedWrite(table, clock, key, value, expected_version)
    return await write.run(timeout_s)


class _ResolvedWrite:
    """A compare-and-set that is retried until its outcome is known."""

    def __init__(self, table, clock, key, value, expected_version):
        self._table: Table = table
        self._clock: Clock = clock
        self._key: str = key
        self._value: bytes = value
        self._expected_version: int = expected_version
        self._deadline_s = 0.0

    async def run(self, timeout_s: float) -> Row:
        """Write the row within the time-out and return it."""
        self._deadline_s = self._clock.monotonic() + timeout_s
        try:
            return await self._run_attempt(self._put)
        except UnknownOutcomeError as exc:
            last_error = exc
        except VersionConflictError as exc:
            return self._return_own_row(exc)
        backoff_s = INITIAL_BACKOFF_S
        for _ in range(MAX_ATTEMPTS - 1):
            if self._remaining_s() <= backoff_s:
                break
            try:
                return await self._read_or_put()
            except (UnknownOutcomeError, UnavailableError) as exc:
                last_error = exc
            except VersionConflictError as exc:
                self._check_not_replaced(exc)
                return self._return_own_row(exc)
            await self._clock.sleep(backoff_s)
            backoff_s *= BACKOFF_FACTOR
        raise UnknownOutcomeError(
            f"row {self._key}: the outcome of the write is unknown"
        ) from last_error

    async def _read_or_put(self) -> Row:
        row = await self._run_attempt(self._get)
        version = row.version if row else 0
        if version != self._expected_version:
            raise VersionConflictError(
                f"row {self._key} is at version {version}, "
                f"not {self._expected_version}",
                row,
            )
        # The earlier write may still be applied. Both expect the same
        # version, so the table applies at most one of them.
        return await self._run_attempt(self._put)

    async def _put(self, timeout_s: float) -> Row:
        return await self._table.put_if(
            self._key, self._value, self._expected_version, timeout_s
        )

    async def _get(self, timeout_s: float) -> Row | None:
        return await self._table.get(self._key, timeout_s)

    def _return_own_row(self, conflict: VersionConflictError) -> Row:
        """Return the row if this write created it, else raise the conflict."""
        row = conflict.current
        written = Row(self._key, self._value, self._expected_version + 1)
        if row == written:
            return written
        raise conflict

    def _check_not_replaced(self, conflict: VersionConflictError) -> None:
        """Raise UnknownOutcomeError if this write may have been replaced."""
        row = conflict.current
        if row and row.version > self._expected_version + 1:
            raise UnknownOutcomeError(
                f"row {self._key} is at version {row.version}; version "
                f"{self._expected_version + 1} may have been this write"
            ) from conflict

    async def _run_attempt(
        self, operation: Callable[[float], Awaitable[Row | None]]
    ):
        return await operation(self._remaining_s() * ATTEMPT_TIMEOUT_SHARE)

    def _remaining_s(self) -> float:
        return self._deadline_s - self._clock.monotonic()
