"""Access to the table that does not wait while the table is down."""

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.storage.tables import (
    Row,
    Table,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

# Part of the time limit from which an operation without an answer counts
# as a failure of the table.
SLOW_SHARE = 0.9


class GuardedTable:
    """Table whose operations end in bounded time.

    An operation that takes too long raises UnknownOutcomeError. After a
    failure one operation at a time tries the table again; the
    others raise UnavailableError at once.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        timeout_s: float,
        retry_delay_s: float,
    ):
        self._table = table
        self._clock = clock
        self._timeout_s = timeout_s
        self._retry_delay_s = retry_delay_s
        self._down = False
        self._probing = False
        self._next_probe_s = 0.0

    async def get(self, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        return await self._ask(self._table.get, key)

    async def put_if(self, key: str, value: bytes, version: int) -> Row:
        """Replace the row if it is at the version; 0 means no row."""
        return await self._ask(self._table.put_if, key, value, version)

    async def _ask(self, operation, *arguments):
        now_s = self._clock.monotonic()
        if self._down and (self._probing or now_s < self._next_probe_s):
            raise UnavailableError("the table is unavailable")
        probing = self._probing = self._down
        try:
            result = await self._run(operation, *arguments)
        except UnavailableError:
            self._note_down()
            raise
        except UnknownOutcomeError:
            # An answer that is lost soon is read back, so the table is asked.
            if self._clock.monotonic() - now_s >= SLOW_SHARE * self._timeout_s:
                self._note_down()
            raise
        except VersionConflictError:
            self._down = False
            raise
        finally:
            if probing:
                self._probing = False
        self._down = False
        return result

    def _note_down(self) -> None:
        self._down = True
        self._next_probe_s = self._clock.monotonic() + self._retry_delay_s

    async def _run(self, operation, *arguments):
        try:
            async with curio.timeout_after(self._timeout_s):
                return await operation(*arguments, self._timeout_s)
        except curio.TaskTimeout as exc:
            # A write may take effect after all.
            raise UnknownOutcomeError("the table is too slow") from exc
