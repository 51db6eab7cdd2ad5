"""Lookup of commits in the platform's table and object store."""

from contextlib import contextmanager

import attrs

from auburnjunction.distribution.contents import fetch_content
from auburnjunction.distribution.errors import (
    CommitUnavailableError,
    RevisionNotFoundError,
)
from auburnjunction.distribution.records import (
    HEAD_KEY,
    REVISION_PREFIX,
    Commit,
    CommittedSnapshot,
    load_commit,
    operation_key,
    revision_key,
)
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.tables import PlatformError, Table

CALL_TIMEOUT_S = 2.0
MAX_HISTORY = 500


@attrs.frozen
class Head:
    """The commit in the head row, and the row version for compare-and-set."""

    commit: Commit | None
    version: int

    @property
    def revision(self) -> int:
        """Revision of the head; 0 before the first commit."""
        return self.commit.revision if self.commit else 0


class CommitReader:
    """Looks up commits.

    Public methods raise CommitUnavailableError if the platform cannot be
    read, except that fetch_head and fetch_operation raise PlatformError.
    """

    def __init__(self, table: Table, objects: ObjectStore):
        self._table = table
        self._objects = objects

    async def read_head(self) -> Commit | None:
        """Return the head commit; None before the first commit."""
        with _convert_platform_errors():
            return (await self.fetch_head(CALL_TIMEOUT_S)).commit

    async def get(self, revision: int) -> CommittedSnapshot:
        """Return a revision with its content; 0 means the head.

        Raise RevisionNotFoundError, CommitUnavailableError or
        BadContentError.
        """
        with _convert_platform_errors():
            commit = await self._find_revision(revision)
            revised = await fetch_content(
                self._objects, commit.mark, CALL_TIMEOUT_S
            )
        return CommittedSnapshot(commit, revised.snapshot)

    async def history(self, before: int, limit: int) -> list[Commit]:
        """Return at most limit and MAX_HISTORY commits, newest first.

        The first one has the revision `before`, or is the head if `before`
        is 0 or above the head.
        """
        with _convert_platform_errors():
            head = await self.fetch_head(CALL_TIMEOUT_S)
            if head.commit is None or limit < 1:
                return []
            last = min(before, head.revision) if before else head.revision
            first = max(1, last - min(limit, MAX_HISTORY) + 1)
            commits = await self._scan(first, min(last, head.revision - 1))
        if last == head.revision:
            commits.append(head.commit)
        return commits[::-1]

    async def find_operation(self, operation_id: str) -> Commit | None:
        """Return the commit of an operation id, or None.

        None means that it was not committed so far; a delayed write may
        still take effect later.
        """
        with _convert_platform_errors():
            head = await self.fetch_head(CALL_TIMEOUT_S)
            return await self.fetch_operation(
                operation_id, head, CALL_TIMEOUT_S
            )

    async def fetch_head(self, timeout_s: float) -> Head:
        """Read the head row."""
        row = await self._table.get(HEAD_KEY, min(timeout_s, CALL_TIMEOUT_S))
        if row is None:
            return Head(None, 0)
        return Head(load_commit(row.value), row.version)

    async def fetch_operation(
        self, operation_id: str, head: Head, timeout_s: float
    ) -> Commit | None:
        """Return an operation's commit from the given head or its own row."""
        if head.commit and head.commit.operation_id == operation_id:
            return head.commit
        row = await self._table.get(
            operation_key(operation_id), min(timeout_s, CALL_TIMEOUT_S)
        )
        return load_commit(row.value) if row else None

    async def _find_revision(self, revision: int) -> Commit:
        head = await self.fetch_head(CALL_TIMEOUT_S)
        if head.commit is None:
            raise RevisionNotFoundError(
                "no configuration has been committed yet",
                "create one with 'auburnctl create'",
            )
        if revision in (0, head.revision):
            return head.commit
        row = await self._table.get(revision_key(revision), CALL_TIMEOUT_S)
        if row is None:
            raise RevisionNotFoundError(
                f"revision {revision} does not exist",
                f"use a revision from 1 to {head.revision}",
            )
        return load_commit(row.value)

    async def _scan(self, first: int, last: int) -> list[Commit]:
        if last < first:
            return []
        rows = await self._table.scan(
            REVISION_PREFIX,
            revision_key(first - 1),
            last - first + 1,
            CALL_TIMEOUT_S,
        )
        return [load_commit(row.value) for row in rows]


@contextmanager
def _convert_platform_errors():
    try:
        yield
    except PlatformError as exc:
        raise CommitUnavailableError(
            f"reading from the platform failed: {exc.message}", "retry"
        ) from exc
