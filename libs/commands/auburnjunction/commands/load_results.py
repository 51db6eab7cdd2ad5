"""Results of a load run, by priority."""

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

from auburnjunction.commands.callers import CallOutcome, CallRecord
from auburnjunction.commands.histories import HistoryResult
from auburnjunction.commands.mixes import PRIORITIES

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_FIGURES = 3


@attrs.frozen
class LatencyResult:
    """Distribution of latencies in milliseconds."""

    p50_ms: float
    p99_ms: float
    max_ms: float


@attrs.frozen
class PriorityResult:
    """Outcomes and latency of the calls of one priority."""

    priority: str
    due: int
    sent: int
    ok: int
    failed: int
    not_run: int
    unknown: int
    wrong: int
    attempts: int
    ok_per_s: float
    latency: LatencyResult


@attrs.frozen
class LoadResult:
    """Results of a load run, excluding its warm-up.

    not_sent counts calls beyond max_calls or max_in_flight of the plan.
    start_delay is the time from when calls were due until they were
    started; a high value means that the load generator is overloaded
    rather than the nodes.
    """

    duration_s: float
    due: int
    sent: int
    not_sent: int
    wrong: int
    start_delay: LatencyResult
    by_priority: tuple[PriorityResult, ...]
    history: HistoryResult | None = None

    @property
    def violations(self) -> int:
        """Number of wrong responses and of violated guarantees."""
        found = self.history.violations if self.history else 0
        return self.wrong + found

    def find_priority(self, priority: str) -> PriorityResult | None:
        """Return the results of one priority, or None if no call was due."""
        for result in self.by_priority:
            if result.priority == priority:
                return result
        return None


class ResultCollector:
    """Collects the call records of a load run."""

    def __init__(self, warm_up_s: float = 0.0):
        self.records: list[CallRecord] = []
        self._warm_up_s = warm_up_s
        self._due: Counter[str] = Counter()

    def count_due(self, priority: str, due_s: float) -> None:
        """Count a call that is due, whether or not it is sent.

        Calls that are due during the warm-up are not counted.
        """
        if due_s >= self._warm_up_s:
            self._due[priority] += 1

    def summarise(
        self, duration_s: float, history: HistoryResult | None
    ) -> LoadResult:
        """Return the results, highest priority first."""
        measured_s = duration_s - self._warm_up_s
        records = [r for r in self.records if r.due_s >= self._warm_up_s]
        by_priority = tuple(
            self._summarise_priority(records, priority, measured_s)
            for priority in PRIORITIES
            if self._due[priority]
        )
        due = self._due.total()
        return LoadResult(
            duration_s=round(measured_s, 3),
            due=due,
            sent=len(records),
            not_sent=due - len(records),
            wrong=sum(result.wrong for result in by_priority),
            start_delay=compute_percentiles(
                [record.started_s - record.due_s for record in records]
            ),
            by_priority=by_priority,
            history=history,
        )

    def _summarise_priority(
        self, measured: list[CallRecord], priority: str, duration_s: float
    ) -> PriorityResult:
        records = [r for r in measured if r.mix.priority == priority]
        outcomes = Counter(record.outcome for record in records)
        successful = [r for r in records if r.outcome is CallOutcome.OK]
        return PriorityResult(
            priority=priority,
            due=self._due[priority],
            sent=len(records),
            ok=outcomes[CallOutcome.OK],
            failed=outcomes[CallOutcome.FAILED],
            not_run=outcomes[CallOutcome.NOT_RUN],
            unknown=outcomes[CallOutcome.UNKNOWN],
            wrong=outcomes[CallOutcome.WRONG],
            attempts=sum(record.attempts for record in records),
            ok_per_s=round(outcomes[CallOutcome.OK] / duration_s, 2),
            latency=compute_percentiles([r.latency_s for r in successful]),
        )


def compute_percentiles(latencies_s: list[float]) -> LatencyResult:
    """Return percentiles of latencies; zeros when there are none."""
    if not latencies_s:
        return LatencyResult(0.0, 0.0, 0.0)
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    for latency_s in latencies_s:
        histogram.record_value(max(1, int(latency_s * 1_000_000)))
    return LatencyResult(
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        max_ms=histogram.get_max_value() / 1000,
    )
