"""Latency and reachability of the links to other data centres."""

import attrs
from absl import logging

from auburnjunction.base.logs import log_event
from auburnjunction.traffic.routing_settings import RoutingSettings

# Weight of a sample that is above the latency estimate; lower samples
# replace it, so that it follows the minimum.
LATENCY_INCREASE_WEIGHT = 0.01
# Nodes to which connections must time out before their data centre counts as
# unreachable; a single one may have lost power.
MIN_TIMED_OUT_NODES = 2


@attrs.define(slots=True)
class Link:
    """State of the link to one data centre."""

    latency_s: float | None = None
    # Nodes to which connections timed out since a node there last replied.
    timed_out_nodes: set[str] = attrs.field(factory=set)
    # Time from which one call may probe a link that is down.
    next_probe_s: float = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the data centre counts as unreachable."""
        return len(self.timed_out_nodes) >= MIN_TIMED_OUT_NODES


class LinkTracker:
    """Tracks the latency of links and which of them are down.

    No calls are sent to an unreachable data centre, apart from a single one
    per interval that probes whether it is reachable again.
    """

    def __init__(self, settings: RoutingSettings):
        self._default_latency_s = settings.link_latency_ms / 1000
        self._probe_interval_s = settings.link_retry_ms / 1000
        self._links: dict[str, Link] = {}
        self._down: set[str] = set()

    def estimate_latency_s(self, data_centre: str) -> float:
        """Return the estimated round trip to the data centre."""
        link = self._links.get(data_centre)
        if link is None or link.latency_s is None:
            return self._default_latency_s
        return link.latency_s

    def find_unreachable_data_centres(self, now_s: float) -> frozenset[str]:
        """Return the data centres to which no call should be sent."""
        if not self._down:
            return frozenset()
        return frozenset(
            name
            for name in self._down
            if now_s < self._links[name].next_probe_s
        )

    def record_call(self, data_centre: str, now_s: float) -> None:
        """Record a call; to an unreachable data centre it is a probe."""
        if data_centre in self._down:
            self._links[data_centre].next_probe_s = (
                now_s + self._probe_interval_s
            )

    def record_answer(self, data_centre: str) -> None:
        """Record a reply from a node of the data centre."""
        if data_centre in self._down:
            self._down.discard(data_centre)
            log_event("data centre reached again", reached=data_centre)
        link = self._links.get(data_centre)
        if link is not None and link.timed_out_nodes:
            link.timed_out_nodes.clear()

    def record_connect_timeout(
        self, data_centre: str, node: str, now_s: float
    ) -> None:
        """Record that a connection to a node of the data centre timed out."""
        link = self._get_or_add(data_centre)
        link.timed_out_nodes.add(node)
        if not link.is_down:
            return
        link.next_probe_s = now_s + self._probe_interval_s
        if data_centre not in self._down:
            self._down.add(data_centre)
            log_event(
                "data centre cut off",
                logging.WARNING,
                unreached=data_centre,
                silent_nodes=sorted(link.timed_out_nodes),
            )

    def record_latency(self, data_centre: str, latency_s: float) -> None:
        """Update the estimate with a latency that excludes the owner node."""
        link = self._get_or_add(data_centre)
        previous_s = link.latency_s
        if previous_s is None or latency_s < previous_s:
            link.latency_s = latency_s
        else:
            link.latency_s = previous_s + LATENCY_INCREASE_WEIGHT * (
                latency_s - previous_s
            )

    def _get_or_add(self, data_centre: str) -> Link:
        return self._links.setdefault(data_centre, Link())
