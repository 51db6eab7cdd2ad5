"""Reading of the platform's head by a few nodes for all."""

import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.commit_readers import CommitReader
from auburnjunction.distribution.contents import fetch_content
from auburnjunction.distribution.errors import (
    BadContentError,
    DistributionError,
)
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.model.snapshots import NO_REVISION, RevisionMark
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.tables import PlatformError


class HeadReader:
    """Reads the head of the platform and adopts its content."""

    def __init__(
        self,
        log: CommitReader,
        objects: ObjectStore,
        holder: SnapshotHolder,
        freshness: ReadFreshness,
        stats: DistributionStats,
        clock: Clock,
        timeout_s: float,
    ):
        self._log = log
        self._objects = objects
        self._holder = holder
        self._freshness = freshness
        self._stats = stats
        self._clock = clock
        self._timeout_s = timeout_s
        # Readings that failed since the last one that did not.
        self._failures = 0
        self.head: RevisionMark = NO_REVISION

    @property
    def holder_revision(self) -> int:
        """Revision in force on this node."""
        return self._holder.mark.revision

    async def read_head(self) -> bool:
        """Read the head; return whether a higher revision was adopted.

        Raise DistributionError when the head or its content cannot be
        had; the snapshot in force stays.
        """
        began_s = self._clock.monotonic()
        self._stats.platform_reads += 1
        async with curio.ignore_after(self._timeout_s):
            commit = await self._log.read_head()
            self.head = commit.mark if commit else NO_REVISION
            adopted = await self._adopt_head()
            self._freshness.note_reading(began_s)
            return adopted
        raise DistributionError("the platform did not answer in time")

    async def try_read(self) -> bool | None:
        """Read the head; log a failure and return None for it."""
        try:
            adopted = await self.read_head()
        except DistributionError as exc:
            self._note_failure(exc)
            return None
        if self._failures:
            log_event("head read again", failures=self._failures)
            self._failures = 0
        return adopted

    def _note_failure(self, exc: DistributionError) -> None:
        # One line for each outage, or it would fill the log.
        self._failures += 1
        if self._failures == 1:
            log_event(
                "head not read",
                logging.WARNING,
                reason=exc.message,
                head=self.head.revision,
                revision=self._holder.mark.revision,
            )

    async def _adopt_head(self) -> bool:
        head = self.head
        if head.revision <= self._holder.mark.revision:
            return False
        try:
            revised = await fetch_content(self._objects, head, self._timeout_s)
            adopted = self._holder.adopt(revised)
        except PlatformError as exc:
            raise DistributionError(exc.message) from exc
        except BadContentError:
            self._stats.rejected += 1
            raise
        self._stats.wholes += adopted
        return adopted
