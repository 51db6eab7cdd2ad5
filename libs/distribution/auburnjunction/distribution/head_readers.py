"""Reading of the committed head from the platform."""

import math

import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import AuburnError
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.errors import (
    BadContentError,
    DistributionError,
)
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.holders import (
    RevisionOrigin,
    SnapshotHolder,
)
from auburnjunction.distribution.proofs import HeadProof
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.sources import HeadSource
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.model.snapshots import NO_REVISION, RevisionMark
from auburnjunction.storage.tables import (
    PlatformError,
    UnavailableError,
)

# Bounds of the exponential backoff after failed reads: it keeps retries
# from overloading the platform during an outage, and its maximum lets
# nodes detect the end of the outage within a second.
BACKOFF_BOUNDS_S = (0.2, 0.8)
# Time-out of a small read, within which a slow platform responds as well.
CHECK_TIMEOUT_S = 0.7


class HeadReader:
    """Reads the head from the platform and adopts its content."""

    def __init__(
        self,
        cfg: DistributionSettings,
        source: HeadSource,
        holder: SnapshotHolder,
        freshness: ReadFreshness,
        stats: DistributionStats,
        clock: Clock,
        proof: HeadProof | None = None,
    ):
        self._proof = proof or HeadProof(clock, lambda: holder.mark)
        self._cfg = cfg
        self._source = source
        self._holder = holder
        self._freshness = freshness
        self._stats = stats
        self._clock = clock
        # Consecutive failed reads.
        self._failures = 0
        self._failed_s = clock.monotonic()
        self._succeeded_s = clock.monotonic()
        self.head: RevisionMark = NO_REVISION

    @property
    def holder_revision(self) -> int:
        """Revision in force on this node."""
        return self._holder.mark.revision

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failures > 0

    @property
    def is_backing_off(self) -> bool:
        """Whether a read failed less than the backoff ago."""
        age_s = self._clock.monotonic() - self._failed_s
        return self.is_failing and age_s < self.backoff_s

    @property
    def age_s(self) -> float:
        """Seconds since the last successful read, or the start if none."""
        return self._clock.monotonic() - self._succeeded_s

    @property
    def backoff_s(self) -> float:
        """Backoff in seconds; 0 if the last read succeeded."""
        if not self._failures:
            return 0.0
        min_s, max_s = BACKOFF_BOUNDS_S
        return min(max_s, min_s * 2 ** min(self._failures - 1, 8))

    async def read_head(
        self, wait_s: float = 0.0, timeout_s: float = math.inf
    ) -> bool:
        """Read the head; return whether a higher revision was adopted.

        If the source supports long polls, wait up to wait_s for a change.
        Beyond the wait, it may take the shorter of timeout_s and
        platform_timeout_s.
        Raise DistributionError if the head or its content cannot be read;
        the snapshot in force then stays.
        """
        start_s = self._clock.monotonic()
        proof_start_s = self._proof.now()
        self._stats.platform_reads += 1
        timeout_s = wait_s + min(timeout_s, self._cfg.platform_timeout_s)
        async with curio.ignore_after(timeout_s):
            adopted = await self._read_source(wait_s)
            # A long poll returns the head as of its response; any other
            # read is only known to be as recent as its start.
            read_s = self._clock.monotonic() if wait_s else start_s
            self._freshness.record_read(read_s)
            self._proof.record_read(self.head, proof_start_s)
            return adopted
        raise DistributionError(
            f"the platform did not respond within {timeout_s} s"
        )

    async def try_read(
        self, wait_s: float = 0.0, timeout_s: float = math.inf
    ) -> bool | None:
        """Read the head; log a failure and return None."""
        start_s = self._clock.monotonic()
        try:
            adopted = await self.read_head(wait_s, timeout_s)
        except DistributionError as exc:
            self._record_failure(exc, self._clock.monotonic() - start_s)
            return None
        self._succeeded_s = self._clock.monotonic()
        if self._failures:
            log_event("head read again", failures=self._failures)
            self._failures = 0
        return adopted

    async def can_read(self) -> bool:
        """Return whether the platform responds to a small read."""
        start_s = self._clock.monotonic()
        self._stats.platform_reads += 1
        timeout_s = min(CHECK_TIMEOUT_S, self._cfg.platform_timeout_s)
        try:
            async with curio.ignore_after(timeout_s):
                await self._source.check(timeout_s)
                return True
            raise UnavailableError(
                f"the platform did not respond within {timeout_s} s"
            )
        except (PlatformError, DistributionError) as exc:
            self._record_failure(exc, self._clock.monotonic() - start_s)
            return False

    def _record_failure(self, exc: AuburnError, duration_s: float) -> None:
        # Only the first failure of an outage is logged, to limit log volume.
        self._failures += 1
        self._failed_s = self._clock.monotonic()
        self._stats.failed_platform_reads += 1
        if self._failures == 1:
            log_event(
                "head not read",
                logging.WARNING,
                reason=exc.message,
                duration_s=round(duration_s, 3),
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
            adopted = self._holder.adopt(revised, RevisionOrigin.PLATFORM)
        except PlatformError as exc:
            raise DistributionError(exc.message) from exc
        except BadContentError:
            self._stats.rejected += 1
            raise
        self._stats.wholes += adopted
        return adopted
