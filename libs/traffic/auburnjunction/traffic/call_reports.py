"""Metrics and access log of the calls that callers send to this node."""

from bisect import bisect_left

import attrs

from auburnjunction.base.logs import log_event
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.traffic.calls import FIRST_SERVER_ERROR, Outcome
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.senders import CallTrace

# Upper bounds of the latency buckets in seconds.
BUCKET_BOUNDS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
)  # fmt: skip

# Result of a call that a backend server answered with a 5xx status.
FAILED_RESULT = "failed"


def find_result(outcome: Outcome, code: object) -> str:
    """Return the outcome, or "failed" for an answer with a 5xx status."""
    if outcome is not Outcome.OK or not isinstance(code, int):
        return outcome.value
    return FAILED_RESULT if code >= FIRST_SERVER_ERROR else outcome.value


@attrs.define(slots=True)
class CallTotals:
    """Totals of the calls of one service, priority and outcome."""

    calls: int = 0
    retries: int = 0
    spills: int = 0
    duration_s: float = 0.0
    buckets: list[int] = attrs.field(
        factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1)
    )


class CallReporter:
    """Counts finished calls and logs a sample of them.

    Totals are kept as plain numbers and copied into the metrics when these
    are rendered, so that the cost per call is a few additions.
    """

    def __init__(
        self,
        metrics: MetricRegistry,
        outlier_tracker: OutlierTracker,
        settings: RoutingSettings,
    ):
        self._outlier_tracker = outlier_tracker
        self._totals: dict[tuple[str, int, str], CallTotals] = {}
        self._ok_share = settings.access_log_share
        self._error_share = settings.error_log_share
        self._ok_credit = 0.0
        self._error_credit = 0.0
        self._calls = metrics.make_counter(
            "auburn_calls_total", "Calls by service, priority and outcome"
        )
        self._retries = metrics.make_counter(
            "auburn_retries_total", "Attempts after the first of a call"
        )
        self._spills = metrics.make_counter(
            "auburn_spills_total", "Attempts sent to another data centre"
        )
        self._ejections = metrics.make_counter(
            "auburn_ejections_total", "Ejections of instances"
        )
        self._panics = metrics.make_counter(
            "auburn_panics_total",
            "Choices made with ejections ignored, most being ejected",
        )
        self._sums = metrics.make_counter(
            "auburn_call_duration_seconds_sum", "Time of calls in all"
        )
        self._buckets = metrics.make_counter(
            "auburn_call_duration_seconds_bucket",
            "Calls that took at most le seconds",
        )
        metrics.add_collector(self.collect)

    def report_call(
        self,
        trace: CallTrace,
        outcome: Outcome,
        code: object,
        duration_s: float,
    ) -> None:
        """Count a finished call and log it if it is sampled."""
        result = find_result(outcome, code)
        key = (trace.service, trace.priority, result)
        totals = self._totals.get(key)
        if totals is None:
            totals = self._totals[key] = CallTotals()
        totals.calls += 1
        totals.duration_s += duration_s
        totals.buckets[bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        totals.retries += max(0, trace.attempts - trace.busy - 1)
        totals.spills += trace.spills
        if self._take_sample(result):
            weight = 1.0 / self._find_share(result)
            _log_call(trace, result, code, duration_s, weight)

    def collect(self) -> None:
        """Copy the totals into the metrics."""
        for (service, priority, result), totals in self._totals.items():
            labels = {
                "service": service,
                "priority": str(priority),
                "outcome": result,
            }
            self._calls.set(labels, totals.calls)
            self._retries.set(labels, totals.retries)
            self._spills.set(labels, totals.spills)
            self._sums.set(labels, totals.duration_s)
            self._collect_buckets(labels, totals)
        self._ejections.set({}, self._outlier_tracker.ejection_count)
        self._panics.set({}, self._outlier_tracker.panic_count)

    def _collect_buckets(self, labels: dict, totals: CallTotals) -> None:
        count = 0
        bounds = [*(f"{bound:g}" for bound in BUCKET_BOUNDS_S), "+Inf"]
        for bound, calls in zip(bounds, totals.buckets, strict=True):
            count += calls
            self._buckets.set({**labels, "le": bound}, count)

    def _find_share(self, result: str) -> float:
        ok = result == Outcome.OK
        return self._ok_share if ok else self._error_share

    def _take_sample(self, result: str) -> bool:
        if result == Outcome.OK:
            self._ok_credit += self._ok_share
            if self._ok_credit < 1.0:
                return False
            self._ok_credit -= 1.0
            return True
        self._error_credit += self._error_share
        if self._error_credit < 1.0:
            return False
        self._error_credit -= 1.0
        return True


def _log_call(
    trace: CallTrace,
    result: str,
    code: object,
    duration_s: float,
    weight: float,
) -> None:
    """Log a call; weight is the number of calls that it represents."""
    fields = {
        "request_id": trace.request_id,
        "service": trace.service,
        "route": trace.route,
        "priority": trace.priority,
        "nested": trace.nested,
        "outcome": result,
        "code": str(code),
        "duration_ms": round(duration_s * 1000, 3),
        "weight": round(weight, 3),
        "revision": trace.revision,
        "instance": trace.instance,
        "attempts": trace.attempts,
        "busy": trace.busy,
    }
    if trace.reason:
        fields["reason"] = trace.reason
        fields["retry_after_s"] = round(trace.retry_after_s, 3)
    if trace.details:
        fields.update(trace.details)
    log_event("call", **fields)
