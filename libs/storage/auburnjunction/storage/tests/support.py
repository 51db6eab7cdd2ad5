"""Table with scripted faults for tests."""

from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import (
    Row,
    UnavailableError,
    UnknownOutcomeError,
)


class ScriptedTable(MemoryTable):
    """Table that takes the next fault of a list for each operation.

    Faults are ok, down (no effect), lost (a write is applied, its
    response is lost) and late (the response is lost and the write is
    applied at the next operation).
    """

    def __init__(self, faults=()):
        super().__init__()
        self.faults = list(faults)
        self._late: list[tuple[str, bytes, int]] = []

    async def get(self, key: str, timeout_s: float) -> Row | None:
        await self._apply_late()
        if self._take_fault() != "ok":
            raise UnavailableError("down")
        return await super().get(key, timeout_s)

    async def put_if(
        self, key: str, value: bytes, expected_version: int, timeout_s: float
    ) -> Row:
        await self._apply_late()
        fault = self._take_fault()
        if fault == "down":
            raise UnavailableError("down")
        if fault == "late":
            self._late.append((key, value, expected_version))
            raise UnknownOutcomeError("late")
        row = await super().put_if(key, value, expected_version, timeout_s)
        if fault == "lost":
            raise UnknownOutcomeError("lost")
        return row

    def peek(self, key: str) -> Row | None:
        """Return the row without consuming a fault."""
        return self._rows.get(key)

    def _take_fault(self) -> str:
        return self.faults.pop(0) if self.faults else "ok"

    async def _apply_late(self) -> None:
        while self._late:
            key, value, version = self._late.pop()
            try:
                await super().put_if(key, value, version, 1.0)
            except Exception:
                continue
