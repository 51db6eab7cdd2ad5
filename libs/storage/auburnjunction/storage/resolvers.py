"""Writes whose lost answers are resolved by reading the row back.

Each value must be of its writer alone, for example by a token in it, as
a row with an equal value is taken for one's own write.
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
# Share of the time left that one operation may take.
ATTEMPT_SHARE = 0.5
FIRST_PAUSE_S = 0.01
PAUSE_FACTOR = 2.0


async def insert_once(
    table: Table, clock: Clock, key: str, value: bytes, timeout_s: float
) -> Row:
    """Insert a row and return it, also when the answer was lost.

    Raise VersionConflictError when another writer's row is there,
    UnavailableError when nothing was written, and UnknownOutcomeError
    when the time ran out before the outcome was known.
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
    """Replace a row and return it, also when the answer was lost.

    Errors are those of insert_once. The outcome stays unknown when the
    row has moved on by more than one version.
    """
    write = _OnceWrite(table, clock, key, value, expected_version)
    return await write.run(timeout_s)


class _OnceWrite:
    """One compare-and-set, repeated until its outcome is known."""

    def __init__(self, table, clock, key, value, expected_version):
        self._table: Table = table
        self._clock: Clock = clock
        self._key: str = key
        self._value: bytes = value
        self._expected_version: int = expected_version
        self._end_s = 0.0

    async def run(self, timeout_s: float) -> Row:
        """Write within the time given and return the row."""
        self._end_s = self._clock.monotonic() + timeout_s
        try:
            return await self._attempt(self._put)
        except UnknownOutcomeError as exc:
            lost = exc
        except VersionConflictError as exc:
            return self._recognise(exc)
        pause_s = FIRST_PAUSE_S
        for _ in range(MAX_ATTEMPTS - 1):
            if self._left_s() <= pause_s:
                break
            try:
                return await self._read_or_put()
            except (UnknownOutcomeError, UnavailableError) as exc:
                lost = exc
            except VersionConflictError as exc:
                self._require_certain(exc)
                return self._recognise(exc)
            await self._clock.sleep(pause_s)
            pause_s *= PAUSE_FACTOR
        raise UnknownOutcomeError(
            f"row {self._key}: the outcome of the write is unknown"
        ) from lost

    async def _read_or_put(self) -> Row:
        row = await self._attempt(self._get)
        version = row.version if row else 0
        if version != self._expected_version:
            raise VersionConflictError(
                f"row {self._key} is at version {version}, "
                f"not {self._expected_version}",
                row,
            )
        # The lost write may still arrive; the table lets only one of
        # the two take effect.
        return await self._attempt(self._put)

    async def _put(self, timeout_s: float) -> Row:
        return await self._table.put_if(
            self._key, self._value, self._expected_version, timeout_s
        )

    async def _get(self, timeout_s: float) -> Row | None:
        return await self._table.get(self._key, timeout_s)

    def _recognise(self, conflict: VersionConflictError) -> Row:
        """Return the row if it is one's own write, else raise."""
        row = conflict.current
        written = Row(self._key, self._value, self._expected_version + 1)
        if row == written:
            return written
        raise conflict

    def _require_certain(self, conflict: VersionConflictError) -> None:
        """Raise if one's own row may have been replaced since."""
        row = conflict.current
        if row and row.version > self._expected_version + 1:
            raise UnknownOutcomeError(
                f"row {self._key} has moved on to version {row.version}"
            ) from conflict

    async def _attempt(
        self, operate: Callable[[float], Awaitable[Row | None]]
    ):
        return await operate(self._left_s() * ATTEMPT_SHARE)

    def _left_s(self) -> float:
        return self._end_s - self._clock.monotonic()
