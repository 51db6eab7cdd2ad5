"""Metrics of the placement of calls."""

from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.placements.placers import Placer


class PlacementMetrics:
    """Exports calls, bytes and shares by pair of data centres.

    The data centre of the node is a label of all its metrics; "to" is the
    other one of the pair.
    """

    def __init__(self, registry: MetricRegistry, placer: Placer):
        self._placer = placer
        self._calls = registry.make_counter(
            "auburn_placement_calls_total",
            "Attempts sent to instances of a data centre",
        )
        self._bytes = registry.make_counter(
            "auburn_placement_bytes_total",
            "Bytes of the bodies of these calls and their answers",
        )
        self._shares = registry.make_gauge(
            "auburn_placement_share",
            "Share of the calls of a service for another data centre",
        )
        registry.add_collector(self.collect)

    def collect(self) -> None:
        """Copy the current figures into the metrics."""
        traffic = self._placer.traffic
        for name, count in traffic.calls.items():
            self._calls.set({"to": name}, count)
        for name, count in traffic.bytes.items():
            self._bytes.set({"to": name}, count)
        for service, name, share in self._placer.shares.list_all():
            self._shares.set({"service": service, "to": name}, share)
