"""In-memory table and object store for tests and stand-ins."""

from sortedcontainers import SortedDict

from auburnjunction.storage.tables import (
    Row,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)


class MemoryTable:
    """In-memory table with faults that a test injects.

    While available is false, every operation fails without effect. Each
    of the next lost_answers writes takes effect and then raises
    UnknownOutcomeError, as if its response was lost.
    """

    def __init__(self):
        self.available = True
        self.generation = 1
        self.lost_answers = 0
        self.reads = 0
        self.writes = 0
        self._rows: SortedDict = SortedDict()

    def has(self, key: str) -> bool:
        """Return whether there is a row, without a read."""
        return key in self._rows

    def copy(self) -> dict[str, Row]:
        """Return a copy of the rows, for restore."""
        return dict(self._rows)

    def restore(self, copy: dict[str, Row]) -> None:
        """Come back from a copy; its later versions are given out again."""
        self._rows = SortedDict(copy)
        self.generation += 1

    async def get(self, key: str, timeout_s: float) -> Row | None:
        """Return the row, or None if there is none."""
        self._start_read()
        return self._rows.get(key)

    async def put_if(
        self, key: str, value: bytes, expected_version: int, timeout_s: float
    ) -> Row:
        """Replace the row if it is at the expected version."""
        self.writes += 1
        self._require_available()
        current = self._rows.get(key)
        version = current.version if current else 0
        if version != expected_version:
            raise VersionConflictError(
                f"row {key} is at version {version}, not {expected_version}",
                current,
            )
        row = Row(key, value, version + 1)
        self._rows[key] = row
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnknownOutcomeError("the response was lost")
        return row

    async def insert_if_absent(
        self, key: str, value: bytes, timeout_s: float
    ) -> Row:
        """Insert the row; raise VersionConflictError if there is one."""
        return await self.put_if(key, value, 0, timeout_s)

    async def scan(
        self, prefix: str, after: str, limit: int, timeout_s: float
    ) -> list[Row]:
        """Return rows with the prefix and a key above after, in key order."""
        self._start_read()
        rows = []
        for key in self._rows.irange(max(prefix, after)):
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            if key > after:
                rows.append(self._rows[key])
        return rows

    def _start_read(self) -> None:
        self.reads += 1
        self._require_available()

    def _require_available(self) -> None:
        if not self.available:
            raise UnavailableError("the table is unavailable")


class MemoryObjectStore:
    """In-memory object store that a test can make unavailable."""

    def __init__(self):
        self.available = True
        self.contents: dict[bytes, bytes] = {}

    async def put(self, digest: bytes, content: bytes, timeout_s: float):
        """Store content under its digest."""
        self._require_available()
        self.contents[digest] = content

    async def get(self, digest: bytes, timeout_s: float) -> bytes | None:
        """Return the content, or None if there is none."""
        self._require_available()
        return self.contents.get(digest)

    def _require_available(self) -> None:
        if not self.available:
            raise UnavailableError("the object store is unavailable")
