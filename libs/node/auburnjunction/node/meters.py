"""Metrics of the control plane and of the process."""

import resource

import attrs

from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.budgets import Share
from auburnjunction.http.pipelines import PipelineStats
from auburnjunction.http.resources import ProcessResources
from auburnjunction.membership.stats import MembershipStats
from auburnjunction.organisations.exchanges import QuotaStats

BYTES_PER_KIB = 1024


class ControlPlaneMetrics:
    """Exports membership and distribution counters and process usage."""

    def __init__(
        self,
        registry: MetricRegistry,
        membership: MembershipStats,
        distribution: DistributionStats,
    ):
        self._sources = (
            ("membership", membership),
            ("distribution", distribution),
        )
        self._counts = {
            f"{source}_{field.name}": registry.make_counter(
                f"auburn_{source}_{field.name}_total",
                f"{field.name.replace('_', ' ')} of {source}",
            )
            for source, stats in self._sources
            for field in attrs.fields(type(stats))
        }
        self._processor = registry.make_counter(
            "auburn_process_cpu_seconds_total", "Processor time of this node"
        )
        self._memory = registry.make_gauge(
            "auburn_process_peak_resident_bytes", "Peak resident memory"
        )
        registry.add_collector(self.collect)

    def collect(self) -> None:
        """Copy the current counts and process usage into the metrics."""
        for source, stats in self._sources:
            for name, value in attrs.asdict(stats).items():
                self._counts[f"{source}_{name}"].set({}, value)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._processor.set({}, usage.ru_utime + usage.ru_stime)
        self._memory.set({}, usage.ru_maxrss * BYTES_PER_KIB)


class PipelineMetrics:
    """Exports the counts of pipelined requests of the callers' listener."""

    def __init__(self, registry: MetricRegistry, stats: PipelineStats):
        self._stats = stats
        self._pipelined = registry.make_counter(
            "auburn_pipelined_requests_total",
            "Requests read while an earlier one of the connection ran",
        )
        self._discarded = registry.make_counter(
            "auburn_pipelined_discarded_total",
            "Pipelined requests left unread behind a closing response",
        )
        self._blocked = registry.make_counter(
            "auburn_pipelined_blocked_seconds_total",
            "Time that responses waited for those of earlier requests",
        )
        registry.add_collector(self.collect)

    def collect(self) -> None:
        """Copy the current counts into the metrics."""
        self._pipelined.set({}, self._stats.pipelined)
        self._discarded.set({}, self._stats.discarded)
        self._blocked.set({}, self._stats.blocked_s)


class ResourceMetrics:
    """Exports the byte budget and what was refused or closed for it."""

    def __init__(self, registry: MetricRegistry, resources: ProcessResources):
        self._resources = resources
        self._causes = registry.make_counter(
            "auburn_resource_limits_total",
            "Requests and connections refused, paused or closed, by cause",
        )
        self._dropped = registry.make_counter(
            "auburn_resource_dropped_total",
            "Messages dropped before their bytes were released",
        )
        self._used = registry.make_gauge(
            "auburn_resource_used_bytes", "Bytes of messages held"
        )
        self._peak = registry.make_gauge(
            "auburn_resource_peak_bytes", "Highest bytes of messages held"
        )
        self._limit = registry.make_gauge(
            "auburn_resource_limit_bytes", "Bytes of messages that may be held"
        )
        registry.add_collector(self.collect)

    def collect(self) -> None:
        """Copy the current figures into the metrics."""
        budget = self._resources.budget
        for cause, count in budget.stats.causes.items():
            self._causes.set({"cause": cause}, count)
        self._dropped.set({}, budget.stats.dropped)
        self._used.set({}, budget.used_bytes)
        self._peak.set({}, budget.stats.peak_bytes)
        self._limit.set({}, budget.limits[Share.CONTROL])


class QuotaMetrics:
    """Exports the counters of quotas; one series for each."""

    def __init__(self, registry: MetricRegistry, stats: QuotaStats):
        self._stats = stats
        self._counts = {
            field.name: registry.make_counter(
                f"auburn_quota_{field.name}_total",
                f"{field.name.replace('_', ' ').capitalize()} of quotas",
            )
            for field in attrs.fields(QuotaStats)
        }
        registry.add_collector(self.collect)

    def collect(self) -> None:
        """Copy the current counts into the metrics."""
        for name, value in attrs.asdict(self._stats).items():
            self._counts[name].set({}, value)
