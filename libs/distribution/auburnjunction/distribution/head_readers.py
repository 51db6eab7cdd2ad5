"""Reading of the platform's head by a few nodes for all."""

import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.errors import (
    BadContentError,
    DistributionError,
)
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.sources import HeadSource
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.model.snapshots import NO_REVISION, RevisionMark
from auburnjunction.storage.tables import PlatformError

# Least and greatest wait after readings that failed, in seconds: an
# outage of the platform must not be met by a storm of readings, and its
# end must be seen within the second.
FAILURE_WAITS_S = (0.2, 0.8)


class HeadReader:
    """Reads the head of the platform and adopts its content."""

    def __init__(
        self,
        cfg: DistributionSettings,
        source: HeadSource,
        holder: SnapshotHolder,
        freshness: ReadFreshness,
        stats: DistributionStats,
        clock: Clock,
    ):
        self._cfg = cfg
        self._source = source
        self._holder = holder
        self._freshness = freshness
        self._stats = stats
        self._clock = clock
        # Readings that failed since the last one that did not.
        self._failures = 0
        self.head: RevisionMark = NO_REVISION

    @property
    def holder_revision(self) -> int:
        """Revision in force on this node."""
        return self._holder.mark.revision

    @property
    def failure_wait_s(self) -> float:
        """Seconds to wait because of failed readings; 0 without any."""
        if not self._failures:
            return 0.0
        least_s, greatest_s = FAILURE_WAITS_S
        return min(greatest_s, least_s * 2 ** min(self._failures - 1, 8))

    async def read_head(self, wait_s: float = 0.0) -> bool:
        """Read the head; return whether a higher revision was adopted.

        Wait up to wait_s for a change where the source tells of one.
        Raise DistributionError when the head or its content cannot be
        had; the snapshot in force stays.
        """
        began_s = self._clock.monotonic()
        self._stats.platform_reads += 1
        timeout_s = wait_s + self._cfg.platform_timeout_s
        async with curio.ignore_after(timeout_s):
            adopted = await self._read_source(wait_s)
            # A source that waited is known to be current at its answer.
            read_s = self._clock.monotonic() if wait_s else began_s
            self._freshness.note_reading(read_s)
            return adopted
        raise DistributionError("the platform did not answer in time")

    async def try_read(self, wait_s: float = 0.0) -> bool | None:
        """Read the head; log a failure and return None for it."""
        try:
            adopted = await self.read_head(wait_s)
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

    async def _read_source(self, wait_s: float) -> bool:
        held = self._holder.mark
        try:
            self.head = await self._source.read_mark(held, wait_s)
            if self.head.revision <= self._holder.mark.revision:
                return False
            revised = await self._source.fetch(self.head)
            adopted = self._holder.adopt(revised)
        except PlatformError as exc:
            raise DistributionError(exc.message) from exc
        except BadContentError:
            self._stats.rejected += 1
            raise
        self._stats.wholes += adopted
        return adopted
