"""Metrics of one process, stored and rendered by aioprometheus."""

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text

Labels = dict[str, str]


class MetricRegistry:
    """Counters and gauges of one process, with common labels."""

    def __init__(self, labels: Labels | None = None):
        self._registry = Registry()
        self._labels = labels or {}
        self._collectors: list = []

    def make_counter(self, name: str, doc: str) -> Counter:
        """Register and return a counter."""
        return Counter(
            name, doc, const_labels=self._labels, registry=self._registry
        )

    def make_gauge(self, name: str, doc: str) -> Gauge:
        """Register and return a gauge."""
        return Gauge(
            name, doc, const_labels=self._labels, registry=self._registry
        )

    def add_collector(self, collect) -> None:
        """Register a function that updates gauges before each rendering."""
        self._collectors.append(collect)

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        for collect in self._collectors:
            collect()
        return text.TextFormatter().marshall(self._registry)
