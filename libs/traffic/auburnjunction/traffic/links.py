"""Links to other data centres, as the calls over them went."""

import attrs
from absl import logging

from auburnjunction.base.logs import log_event
from auburnjunction.traffic.routing_settings import RoutingSettings

# How fast the shortest time seen of a data centre forgets.
LATENCY_WEIGHT = 0.01
# Nodes that must be silent before their data centre counts as cut off;
# one alone may have lost its power.
SILENT_NODES = 2


@attrs.define(slots=True)
class Link:
    """What was seen of one data centre."""

    latency_s: float | None = None
    # Nodes to which no connection came about since one answered there.
    silent: set[str] = attrs.field(factory=set)
    # Time from which one call may try a link that is cut.
    next_try_s: float = 0.0

    @property
    def is_cut(self) -> bool:
        """Whether the data centre seems to be cut off."""
        return len(self.silent) >= SILENT_NODES


class LinkTracker:
    """Latency of links, and which of them are cut.

    Calls do not wait for a data centre that is cut off; one at a time
    finds out whether it is back.
    """

    def __init__(self, settings: RoutingSettings):
        self._default_s = settings.link_latency_ms / 1000
        self._retry_s = settings.link_retry_ms / 1000
        self._links: dict[str, Link] = {}
        self._cut: set[str] = set()

    def estimate_s(self, data_centre: str) -> float:
        """Return the shortest time seen for a call there, in seconds."""
        link = self._links.get(data_centre)
        if link is None or link.latency_s is None:
            return self._default_s
        return link.latency_s

    def find_closed(self, now_s: float) -> frozenset[str]:
        """Return the data centres to which no call should go now."""
        if not self._cut:
            return frozenset()
        return frozenset(
            name for name in self._cut if now_s < self._links[name].next_try_s
        )

    def note_call(self, data_centre: str, now_s: float) -> None:
        """Note that a call is about to go there."""
        if data_centre in self._cut:
            self._links[data_centre].next_try_s = now_s + self._retry_s

    def note_answer(self, data_centre: str) -> None:
        """Note that a node there has answered."""
        if data_centre in self._cut:
            self._cut.discard(data_centre)
            log_event("data centre reached again", reached=data_centre)
        link = self._links.get(data_centre)
        if link is not None and link.silent:
            link.silent.clear()

    def note_silence(self, data_centre: str, node: str, now_s: float) -> None:
        """Note that no connection to a node there came about in time."""
        link = self._find(data_centre)
        link.silent.add(node)
        if not link.is_cut:
            return
        link.next_try_s = now_s + self._retry_s
        if data_centre not in self._cut:
            self._cut.add(data_centre)
            log_event(
                "data centre cut off",
                logging.WARNING,
                unreached=data_centre,
                silent_nodes=sorted(link.silent),
            )

    def learn_latency(self, data_centre: str, latency_s: float) -> None:
        """Learn from the time of a call less that of its work."""
        link = self._find(data_centre)
        known_s = link.latency_s
        if known_s is None or latency_s < known_s:
            link.latency_s = latency_s
        else:
            link.latency_s = known_s + LATENCY_WEIGHT * (latency_s - known_s)

    def _find(self, data_centre: str) -> Link:
        return self._links.setdefault(data_centre, Link())
