"""The log of commits, kept in the platform's table and object store.

One head row is replaced by compare-and-set. Before a commit replaces
the head, it makes sure that the old head's rows by revision and by
operation id exist. So each commit below the head can be found by both,
whenever a committer stops.
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

# Below the body limit of a node's listener.
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
        """Commit a snapshot on its base and return the commit.

        An operation id that was applied before returns its commit.
        Raise InvalidCommitError, CommitConflictError or
        CommitUnavailableError when this call applied nothing, and
        CommitUnknownError when that cannot be told.
        """
        _require_usable(operation_id, snapshot)
        content = dump_snapshot(snapshot)
        _require_size(operation_id, content)
        change = Change(
            operation_id,
            base_revision,
            content,
            digest_content(content),
            operator,
            comment,
        )
        end_s = self._clock.monotonic() + timeout_s
        attempt = CommitAttempt(
            self._table, self._objects, self._clock, change, end_s
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
        """Commit the content of an old revision again; see apply."""
        old = await self.get(revision)
        return await self.apply(
            operation_id,
            base_revision,
            old.snapshot,
            operator,
            comment or f"rollback to revision {old.commit.revision}",
            timeout_s,
        )


def _require_usable(operation_id: str, snapshot: Snapshot) -> None:
    if not OPERATION_ID_PATTERN.fullmatch(operation_id):
        raise InvalidCommitError(
            f"operation id {operation_id!r} is not usable",
            "use 1 to 120 letters, digits, dots, dashes, underscores",
        )
    problems = validate_snapshot(snapshot)
    if problems:
        raise InvalidCommitError(
            "; ".join(str(problem) for problem in problems),
            "correct the configuration",
            operation_id,
            tuple(problems),
        )


def _require_size(operation_id: str, content: bytes) -> None:
    if len(content) > MAX_CONTENT_BYTES:
        raise InvalidCommitError(
            f"the configuration takes {len(content)} bytes",
            f"keep it within {MAX_CONTENT_BYTES} bytes",
            operation_id,
        )
