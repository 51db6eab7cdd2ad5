"""One change on its way into the head row."""

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

TRY_AGAIN = "try again with the same operation id"
ASK_AFTER = "ask with 'auburnctl operation', or repeat with the same id"
USE_HEAD = "read the head, make the change on it and apply it again"


@attrs.frozen
class Change:
    """What an operator asks to be committed."""

    operation_id: str
    base_revision: int
    content: bytes
    digest: bytes
    operator: str
    comment: str


class CommitAttempt:
    """One change on its way into the head row, until a deadline."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        change: Change,
        end_s: float,
    ):
        self._table = table
        self._objects = objects
        self._reader = CommitReader(table, objects)
        self._clock = clock
        self._change = change
        self._end_s = end_s

    async def run(self) -> Commit:
        """Commit the change; see CommitLog.apply."""
        try:
            head = await self._reader.fetch_head(self._remaining_s())
            done = await self._find_done(head)
            if done is not None:
                return done
            if head.revision != self._change.base_revision:
                raise self._fail_conflict(head)
            await self._store_content()
            await self._record_head(head)
        except PlatformError as exc:
            raise self._fail_unavailable(exc) from exc
        return await self._replace_head(head)

    async def _store_content(self) -> None:
        await self._repeat(
            lambda: self._objects.put(
                self._change.digest, self._change.content, self._call_s()
            )
        )

    async def _record_head(self, head: Head) -> None:
        """Make sure that the head can be found once it is replaced."""
        if head.commit is None:
            return
        value = dump_commit(head.commit)
        await self._insert(revision_key(head.revision), value)
        await self._insert(operation_key(head.commit.operation_id), value)

    async def _insert(self, key: str, value: bytes) -> None:
        with suppress(VersionConflictError):
            await insert_once(
                self._table, self._clock, key, value, 2 * self._call_s()
            )

    async def _repeat(self, write) -> None:
        """Run an idempotent write again while its answer is lost."""
        while True:
            try:
                await write()
                return
            except UnknownOutcomeError:
                if self._is_late():
                    raise
            await self._clock.sleep(RETRY_DELAY_S)

    async def _replace_head(self, head: Head) -> Commit:
        """Write the head until the outcome is known or time is up.

        Each try expects the same version, so at most one takes effect.
        """
        commit = self._make_commit(head)
        value = dump_commit(commit)
        in_doubt = False
        while True:
            try:
                await self._table.put_if(
                    HEAD_KEY, value, head.version, self._call_s()
                )
                return commit
            except VersionConflictError:
                return await self._resolve_conflict()
            except UnknownOutcomeError:
                in_doubt = True
            except UnavailableError as exc:
                if not in_doubt:
                    raise self._fail_unavailable(exc) from exc
            if self._is_late():
                raise self._fail_unknown()
            await self._clock.sleep(RETRY_DELAY_S)

    async def _resolve_conflict(self) -> Commit:
        """Tell whether it was this operation that replaced the head."""
        while True:
            try:
                head = await self._reader.fetch_head(self._remaining_s())
                done = await self._find_done(head)
                break
            except PlatformError as exc:
                if self._is_late():
                    raise self._fail_unknown() from exc
            await self._clock.sleep(RETRY_DELAY_S)
        if done is None:
            raise self._fail_conflict(head)
        return done

    async def _find_done(self, head: Head) -> Commit | None:
        done = await self._reader.fetch_operation(
            self._change.operation_id, head, self._remaining_s()
        )
        if done is not None and done.digest != self._change.digest:
            raise InvalidCommitError(
                f"operation id {done.operation_id} has already committed "
                f"other content as revision {done.revision}",
                "use a new operation id for each change",
                done.operation_id,
            )
        return done

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
        return max(self._end_s - self._clock.monotonic(), RETRY_DELAY_S)

    def _call_s(self) -> float:
        return min(self._remaining_s(), CALL_TIMEOUT_S)

    def _is_late(self) -> bool:
        return self._remaining_s() <= RETRY_DELAY_S

    def _fail_conflict(self, head: Head) -> CommitConflictError:
        base = self._change.base_revision
        return CommitConflictError(
            f"the change is based on revision {base}, "
            f"but the head is revision {head.revision}",
            USE_HEAD,
            self._change.operation_id,
            base,
            head.revision,
        )

    def _fail_unavailable(self, exc: PlatformError) -> CommitUnavailableError:
        return CommitUnavailableError(
            f"this attempt changed nothing: {exc.message}",
            TRY_AGAIN,
            self._change.operation_id,
        )

    def _fail_unknown(self) -> CommitUnknownError:
        return CommitUnknownError(
            "the platform's answer was lost; the change may be applied",
            ASK_AFTER,
            self._change.operation_id,
        )
