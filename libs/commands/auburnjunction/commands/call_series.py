"""Time series of good and bad calls, by service and priority."""

from bisect import bisect_left
from itertools import accumulate

import attrs
from sortedcontainers import SortedDict

BUCKET_WIDTH_S = 0.1


@attrs.define(slots=True)
class CallCounts:
    """Numbers of calls, which may be fractional due to weights.

    Failed calls did not end ok; slow calls ended ok, but exceeded the
    latency of their objective.
    """

    calls: float = 0.0
    failed: float = 0.0
    slow: float = 0.0

    @property
    def bad(self) -> float:
        """Number of calls that failed or were slow."""
        return self.failed + self.slow

    @property
    def bad_share(self) -> float:
        """Share of calls that failed or were slow; 0 without calls."""
        return self.bad / self.calls if self.calls else 0.0

    def add(self, other: "CallCounts") -> None:
        """Add other counts to these in place."""
        self.calls += other.calls
        self.failed += other.failed
        self.slow += other.slow


class CallSeries:
    """Call counts of one service and priority, in buckets of time.

    Counts of a time range come from prefix sums over the buckets, which
    are rebuilt after calls were added.
    """

    def __init__(self):
        self._buckets: SortedDict = SortedDict()
        self._times: list[float] = []
        self._prefix_sums: list[tuple[float, ...]] = []

    def add(self, time_s: float, counts: CallCounts) -> None:
        """Add calls that ended at a time."""
        index = int(time_s / BUCKET_WIDTH_S)
        bucket = self._buckets.get(index)
        if bucket is None:
            bucket = self._buckets[index] = CallCounts()
        bucket.add(counts)
        self._times = []

    @property
    def first_s(self) -> float:
        """Start of the first bucket with calls."""
        return self._buckets.peekitem(0)[0] * BUCKET_WIDTH_S

    @property
    def last_s(self) -> float:
        """End of the last bucket with calls."""
        return (self._buckets.peekitem(-1)[0] + 1) * BUCKET_WIDTH_S

    def count(self, start_s: float, end_s: float) -> CallCounts:
        """Return the counts of the buckets that start in [start_s, end_s)."""
        self._update_prefix_sums()
        low = self._prefix_sums[bisect_left(self._times, start_s)]
        high = self._prefix_sums[bisect_left(self._times, end_s)]
        calls, failed, slow = (b - a for a, b in zip(low, high, strict=True))
        return CallCounts(calls, failed, slow)

    def _update_prefix_sums(self) -> None:
        if self._times:
            return
        self._times = [index * BUCKET_WIDTH_S for index in self._buckets]
        rows = [attrs.astuple(item) for item in self._buckets.values()]
        self._prefix_sums = list(
            accumulate(rows, _add_rows, initial=(0.0, 0.0, 0.0))
        )


def _add_rows(left: tuple, right: tuple) -> tuple:
    return tuple(a + b for a, b in zip(left, right, strict=True))


@attrs.frozen(order=True)
class SeriesKey:
    """Key of a series; the priority is its lower-case name."""

    service: str
    priority: str


class SeriesSet:
    """The series of all services and priorities that had calls."""

    def __init__(self):
        self._series: dict[SeriesKey, CallSeries] = {}

    def add(self, key: SeriesKey, time_s: float, counts: CallCounts) -> None:
        """Add calls to the series of their service and priority."""
        if key not in self._series:
            self._series[key] = CallSeries()
        self._series[key].add(time_s, counts)

    def __iter__(self):
        return iter(self._series.items())

    def __bool__(self) -> bool:
        return bool(self._series)

    @property
    def last_s(self) -> float:
        """End of the latest bucket with calls; the set must not be empty."""
        return max(series.last_s for series in self._series.values())
