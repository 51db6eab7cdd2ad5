"""Attempt to commit one change to the head row."""

from contextlib import suppress

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.distribution.commit_readers import (
    CALL_TIMEOUT_S,
    CommitReader,
    Head,
)
from auburnjunction.distribution.errors import (
    CommitConflictError,
    CommitUnavailableError,
    CommitUnknownError,
    InvalidCommitError,
)
from auburnjunction.distribution.records import (
    HEAD_KEY,
    Commit,
    dump_commit,
    operation_key,
    revision_key,
)
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.resolvers import insert_once
from auburnjunction.storage.tables import (
    PlatformError,
    Table,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

RETRY_DELAY_S = 0.05

RETRY_REMEDY = "retry with the same operation id"
UNKNOWN_OUTCOME_REMEDY = (
    "look it up with 'auburnctl operation', "
    "or retry with the same operation id"
)
REBASE_REMEDY = "read the head, redo the change on top of it and apply it"


@attrs.frozen
class Change:
    """A change that an operator submits for commit."""

    operation_id: str
    base_revision: int
    content: bytes
    digest: bytes
    operator: str
    comment: str


class CommitAttempt:
    """Commits one change to the head row before a deadline."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        change: Change,
        deadline_s: float,
    ):
        self._table = table
        self._objects = objects
        self._reader = CommitReader(table, objects)
        self._clock = clock
        self._change = change
        self._deadline_s = deadline_s

    async def run(self) -> Commit:
        """Commit the change; see CommitLog.apply."""
        try:
            head = await self._reader.fetch_head(self._remaining_s())
            existing = await self._find_existing(head)
            if existing is not None:
                return existing
            if head.revision != self._change.base_revision:
                raise self._make_conflict_error(head)
            await self._store_content()
            await self._index_head(head)
        except PlatformError as exc:
            raise self._make_unavailable_error(exc) from exc
        return await self._replace_head(head)

    async def _store_content(self) -> None:
        await self._retry_write(
            lambda: self._objects.put(
                self._change.digest,
                self._change.content,
                self._call_timeout_s(),
            )
        )

    async def _index_head(self, head: Head) -> None:
        """Insert the rows that index the head, before it is replaced."""
        if head.commit is None:
            return
        value = dump_commit(head.commit)
        await self._insert_row(revision_key(head.revision), value)
        await self._insert_row(operation_key(head.commit.operation_id), value)

    async def _insert_row(self, key: str, value: bytes) -> None:
        with suppress(VersionConflictError):
            await insert_once(
                self._table,
                self._clock,
                key,
                value,
                2 * self._call_timeout_s(),
            )

    async def _retry_write(self, write) -> None:
        """Retry an idempotent write while its outcome is unknown."""
        while True:
            try:
                await write()
                return
            except UnknownOutcomeError:
                if self._is_past_deadline():
                    raise
            await self._clock.sleep(RETRY_DELAY_S)

    async def _replace_head(self, head: Head) -> Commit:
        """Retry the compare-and-set of the head until its outcome is known.

        Every try expects the same version, so at most one takes effect.
        Raise CommitUnknownError at the deadline.
        """
        commit = self._make_commit(head)
        value = dump_commit(commit)
        outcome_unknown = False
        while True:
            try:
                await self._table.put_if(
                    HEAD_KEY, value, head.version, self._call_timeout_s()
                )
                return commit
            except VersionConflictError:
                return await self._resolve_conflict()
            except UnknownOutcomeError:
                outcome_unknown = True
            except UnavailableError as exc:
                if not outcome_unknown:
                    raise self._make_unavailable_error(exc) from exc
            if self._is_past_deadline():
                raise self._make_unknown_error()
            await self._clock.sleep(RETRY_DELAY_S)

    async def _resolve_conflict(self) -> Commit:
        """Return the commit if this operation replaced the head.

        Otherwise raise CommitConflictError, or CommitUnknownError if the
        platform cannot be read before the deadline.
        """
        while True:
            try:
                head = await self._reader.fetch_head(self._remaining_s())
                existing = await self._find_existing(head)
                break
            except PlatformError as exc:
                if self._is_past_deadline():
                    raise self._make_unknown_error() from exc
            await self._clock.sleep(RETRY_DELAY_S)
        if existing is None:
            raise self._make_conflict_error(head)
        return existing

    async def _find_existing(self, head: Head) -> Commit | None:
        existing = await self._reader.fetch_operation(
            self._change.operation_id, head, self._remaining_s()
        )
        if existing is not None and existing.digest != self._change.digest:
            raise InvalidCommitError(
                f"operation id {existing.operation_id} was already used to "
                f"commit other content as revision {existing.revision}",
                "use a new operation id for each change",
                existing.operation_id,
            )
        return existing

    def _make_commit(self, head: Head) -> Commit:
        return Commit(
            revision=head.revision + 1,
            digest=self._change.digest,
            base_revision=self._change.base_revision,
            operation_id=self._change.operation_id,
            operator=self._change.operator,
            comment=self._change.comment,
            committed_at=self._clock.now(),
        )

    def _remaining_s(self) -> float:
        return max(self._deadline_s - self._clock.monotonic(), RETRY_DELAY_S)

    def _call_timeout_s(self) -> float:
        return min(self._remaining_s(), CALL_TIMEOUT_S)

    def _is_past_deadline(self) -> bool:
        return self._remaining_s() <= RETRY_DELAY_S

    def _make_conflict_error(self, head: Head) -> CommitConflictError:
        base = self._change.base_revision
        return CommitConflictError(
            f"the change is based on revision {base}, "
            f"but the head is revision {head.revision}",
            REBASE_REMEDY,
            self._change.operation_id,
            base,
            head.revision,
        )

    def _make_unavailable_error(
        self, exc: PlatformError
    ) -> CommitUnavailableError:
        return CommitUnavailableError(
            f"this attempt committed nothing: {exc.message}",
            RETRY_REMEDY,
            self._change.operation_id,
        )

    def _make_unknown_error(self) -> CommitUnknownError:
        return CommitUnknownError(
            "the platform's response was lost; "
            "the change may have been committed",
            UNKNOWN_OUTCOME_REMEDY,
            self._change.operation_id,
        )
