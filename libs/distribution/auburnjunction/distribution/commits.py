"""Commit log in the platform's table and object store.

A commit replaces the single head row by compare-and-set. Before that, it
makes sure that the rows which index the old head by revision and by
operation id exist. So each commit below the head can be looked up by
both, even if a committer crashes at any point.
"""

from auburnjunction.base.clocks import Clock
from auburnjunction.distribution.commit_attempts import (
    Change,
    CommitAttempt,
)
from auburnjunction.distribution.commit_readers import CommitReader
from auburnjunction.distribution.errors import InvalidCommitError
from auburnjunction.distribution.records import OPERATION_ID_PATTERN, Commit
from auburnjunction.model.codecs import digest_content, dump_snapshot
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.model.validators import validate_snapshot
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.tables import Table

# Must stay below the body size limit of a node's listener.
MAX_CONTENT_BYTES = 3 * 1024 * 1024


class CommitLog(CommitReader):
    """Commits snapshots and looks commits up."""

    def __init__(self, table: Table, objects: ObjectStore, clock: Clock):
        super().__init__(table, objects)
        self._clock = clock

    async def apply(
        self,
        operation_id: str,
        base_revision: int,
        snapshot: Snapshot,
        operator: str,
        comment: str,
        timeout_s: float,
    ) -> Commit:
        """Commit a snapshot on top of its base and return the commit.

        Idempotent: if the operation id was committed before with the same
        content, return that commit. Raise InvalidCommitError,
        CommitConflictError or CommitUnavailableError if this call applied
        nothing, and CommitUnknownError if the outcome is unknown.
        """
        _require_valid_change(operation_id, snapshot)
        content = dump_snapshot(snapshot)
        _require_size_within_limit(operation_id, content)
        change = Change(
            operation_id,
            base_revision,
            content,
            digest_content(content),
            operator,
            comment,
        )
        deadline_s = self._clock.monotonic() + timeout_s
        attempt = CommitAttempt(
            self._table, self._objects, self._clock, change, deadline_s
        )
        return await attempt.run()

    async def rollback(
        self,
        operation_id: str,
        base_revision: int,
        revision: int,
        operator: str,
        comment: str,
        timeout_s: float,
    ) -> Commit:
        """Commit the content of an earlier revision again; see apply."""
        earlier = await self.get(revision)
        return await self.apply(
            operation_id,
            base_revision,
            earlier.snapshot,
            operator,
            comment or f"rollback to revision {earlier.commit.revision}",
            timeout_s,
        )


def _require_valid_change(operation_id: str, snapshot: Snapshot) -> None:
    if not OPERATION_ID_PATTERN.fullmatch(operation_id):
        raise InvalidCommitError(
            f"invalid operation id {operation_id!r}",
            "use 1 to 120 letters, digits, dots, dashes or underscores",
        )
    problems = validate_snapshot(snapshot)
    if problems:
        raise InvalidCommitError(
            "; ".join(str(problem) for problem in problems),
            "correct the configuration",
            operation_id,
            tuple(problems),
        )


def _require_size_within_limit(operation_id: str, content: bytes) -> None:
    if len(content) > MAX_CONTENT_BYTES:
        raise InvalidCommitError(
            f"the configuration is too large: {len(content)} bytes",
            f"reduce it to at most {MAX_CONTENT_BYTES} bytes",
            operation_id,
        )
