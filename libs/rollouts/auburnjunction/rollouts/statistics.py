"""Counts of the roll-out tasks and their metrics."""

import attrs

from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.rollouts.selectors import FleetVersionSelector


@attrs.define
class RolloutStats:
    """Counts of this node since its start."""

    orders: int = 0
    exchanges: int = 0
    failed_exchanges: int = 0
    exchanged_bytes: int = 0
    verdicts: int = 0
    status_reads: int = 0
    status_writes: int = 0
    failed_status_calls: int = 0


class RolloutMetrics:
    """Exports the counts, and phase and share of each roll-out."""

    def __init__(
        self,
        registry: MetricRegistry,
        stats: RolloutStats,
        selector: FleetVersionSelector,
    ):
        self._stats = stats
        self._selector = selector
        self._counts = {
            field.name: registry.make_counter(
                f"auburn_rollouts_{field.name}_total",
                f"{field.name.replace('_', ' ')} of roll-outs",
            )
            for field in attrs.fields(RolloutStats)
        }
        self._phase = registry.make_gauge(
            "auburn_rollout_phase",
            "0 ordered, 1 running, 2 accepted, 3 condemned, 4 rolled back, "
            "5 completed",
        )
        self._share = registry.make_gauge(
            "auburn_rollout_share", "Share of requests sent to the target"
        )
        self._evidence = registry.make_gauge(
            "auburn_rollout_log_ratio", "Evidence against the target"
        )
        self._sent = registry.make_gauge(
            "auburn_rollout_target_requests",
            "Requests of this node drawn for the target",
        )
        registry.add_collector(self.collect)

    def collect(self) -> None:
        """Copy the counts and states into the metrics."""
        for name, value in attrs.asdict(self._stats).items():
            self._counts[name].set({}, value)
        for service, state in self._selector.states.items():
            if state.rollout is None:
                continue
            labels = {
                "service": service,
                "target": state.rollout.order.target,
            }
            self._phase.set(labels, int(state.rollout.phase))
            self._share.set(labels, state.share)
            self._evidence.set(labels, state.assessment.log_ratio)
            self._sent.set(labels, state.budget.sent)
