"""Metrics of the owner side of a node."""

from collections import Counter
from collections.abc import Iterable

from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.traffic.calls import Call, Outcome, TrafficError

OK_CODE = ""


class OwnerMetrics:
    """Counts outcomes of calls to this node's backend servers.

    Calls only increment plain counters, which are copied to the metric
    registry when it is rendered; this keeps label handling off the call path.
    """

    def __init__(self, registry: MetricRegistry | None = None):
        registry = registry or MetricRegistry()
        self._owners: Iterable = ()
        self.calls: Counter = Counter()
        self.claims: Counter = Counter()
        self.late_starts: Counter = Counter()
        self.abandoned: Counter = Counter()
        self.abandoned_runs: Counter = Counter()
        self._calls = registry.make_counter(
            "auburn_owner_calls_total", "Calls by outcome at this owner"
        )
        self._claims = registry.make_counter(
            "auburn_owner_claims_total", "Claims by outcome at this owner"
        )
        self._late_starts = registry.make_counter(
            "auburn_owner_late_starts_total",
            "Calls with a slot, refused after the drain start limit",
        )
        self._abandoned = registry.make_counter(
            "auburn_owner_abandoned_total",
            "Calls whose entry node closed the connection",
        )
        self._abandoned_runs = registry.make_counter(
            "auburn_owner_abandoned_runs_total",
            "Those of them that the backend server had been sent",
        )
        self._running = registry.make_gauge(
            "auburn_owner_running", "Calls that hold a slot"
        )
        self._waiting = registry.make_gauge(
            "auburn_owner_waiting", "Calls that wait for a slot"
        )
        self._limit = registry.make_gauge(
            "auburn_owner_limit", "Calls that may run at one time"
        )
        self._rate_limit = registry.make_gauge(
            "auburn_owner_rate_limit",
            "Calls per second that the backend server takes; 0 if any",
        )
        registry.add_collector(self._collect)

    def set_owners(self, owners: Iterable) -> None:
        """Set the owners whose gauges are exported."""
        self._owners = owners

    def count_answer(self, call: Call) -> None:
        """Count a call that the backend server answered."""
        self.calls[call.service, call.priority, Outcome.OK, OK_CODE] += 1

    def count_error(self, call: Call, error: TrafficError) -> None:
        """Count a call that ended with an error."""
        key = (call.service, call.priority, error.outcome, error.code.value)
        self.calls[key] += 1

    def count_late_start(self, call: Call) -> None:
        """Count a call with a slot that is refused as too late."""
        self.late_starts[call.service] += 1

    def count_abandoned(self, call: Call) -> None:
        """Count a call whose entry node closed the connection."""
        self.abandoned[call.service] += 1

    def count_abandoned_run(self, call: Call) -> None:
        """Count an abandoned call that the backend server had been sent."""
        self.abandoned_runs[call.service] += 1

    def _collect(self) -> None:
        for (service, priority, outcome, code), count in self.calls.items():
            labels = {
                "service": service,
                "priority": priority.name.lower(),
                "outcome": outcome.value,
                "code": code,
            }
            self._calls.set(labels, count)
        for outcome, count in self.claims.items():
            self._claims.set({"outcome": outcome}, count)
        for counts, counter in (
            (self.late_starts, self._late_starts),
            (self.abandoned, self._abandoned),
            (self.abandoned_runs, self._abandoned_runs),
        ):
            for service, count in counts.items():
                counter.set({"service": service}, count)
        for owner in self._owners:
            labels = {
                "service": owner.service.name,
                "instance": owner.instance,
            }
            self._running.set(labels, owner.running)
            self._waiting.set(labels, owner.waiting)
            self._limit.set(labels, owner.limit)
            self._rate_limit.set(labels, owner.rate_limit_per_s or 0)
