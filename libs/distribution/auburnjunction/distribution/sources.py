"""Sources that the head of the configuration is read from."""

from typing import Protocol

from auburnjunction.distribution.commit_readers import (
    CALL_TIMEOUT_S,
    CommitReader,
)
from auburnjunction.distribution.contents import fetch_content
from auburnjunction.model.snapshots import (
    NO_REVISION,
    RevisedSnapshot,
    RevisionMark,
)
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.tables import Table


class HeadSource(Protocol):
    """Source of the newest committed configuration.

    Its methods raise PlatformError, DistributionError or
    BadContentError.
    """

    async def read_mark(
        self, held: RevisionMark, wait_s: float
    ) -> RevisionMark:
        """Return the mark of the newest revision.

        A source that supports long polls waits up to wait_s for a revision
        above the held one.
        """

    async def fetch(self, mark: RevisionMark) -> RevisedSnapshot:
        """Return the content of the mark that was read last."""

    async def check(self, timeout_s: float) -> None:
        """Return if the platform responds to a small read in timeout_s."""


class CommittedHead:
    """Head of the commit log in the platform's table and object store."""

    def __init__(self, table: Table, objects: ObjectStore):
        self._commit_reader = CommitReader(table, objects)
        self._objects = objects

    async def read_mark(
        self, held: RevisionMark, wait_s: float
    ) -> RevisionMark:
        """Return the head without waiting: the table has no long polls."""
        commit = await self._commit_reader.read_head()
        return commit.mark if commit else NO_REVISION

    async def fetch(self, mark: RevisionMark) -> RevisedSnapshot:
        """Return the content of a mark from the object store."""
        return await fetch_content(self._objects, mark, CALL_TIMEOUT_S)

    async def check(self, timeout_s: float) -> None:
        """Return if the platform responds: the head's row is small."""
        await self._commit_reader.read_head()
