"""Which nodes of the fleet this node hears from."""

import math
from collections.abc import Callable, Mapping

import attrs

from auburnjunction.rollouts.counters import EvidenceBook

# Time for which the highest number of nodes known stays in force, so that
# those of a partition are not taken for all.
PEAK_HOLD_S = 30.0
# Time after its start in which a node that knows no other is taken to be cut
# off, so that it judges nothing alone.
ALONE_S = 10.0
# Interval at which the nodes are counted.
COUNT_INTERVAL_S = 0.5


@attrs.frozen(slots=True)
class Contact:
    """Nodes heard from lately, and whether they send to the target only."""

    heard: Mapping[str, bool]
    # Highest number of nodes known lately.
    peak: int
    # Whether this node is the only one for good.
    is_alone: bool = False

    @property
    def has_others(self) -> bool:
        """Whether any other node is heard from, if there is one."""
        return len(self.heard) > 1 or self.is_alone

    @property
    def has_majority(self) -> bool:
        """Whether most of the nodes known lately are heard from."""
        return self.has_others and 2 * len(self.heard) > self.peak

    @property
    def has_unheard(self) -> bool:
        """Whether nodes known lately are not heard from.

        They may be cut off from this one and still reach the store.
        """
        return len(self.heard) < self.peak

    @property
    def are_full(self) -> bool:
        """Whether all nodes heard from send to the target only."""
        return all(self.heard.values())


class FleetContacts:
    """Finds the contact of this node with the others."""

    def __init__(
        self, count_nodes: Callable[[], int], contact_s: float, now_s: float
    ):
        self._count_nodes = count_nodes
        self._contact_s = contact_s
        self._started_s = now_s
        self._peak, self._peak_s = 1, now_s
        self._observed_s = -math.inf

    def observe(self, now_s: float) -> None:
        """Count the nodes known, at most once in COUNT_INTERVAL_S."""
        if now_s - self._observed_s < COUNT_INTERVAL_S:
            return
        self._observed_s = now_s
        count = self._count_nodes()
        if count >= self._peak or now_s - self._peak_s > PEAK_HOLD_S:
            self._peak, self._peak_s = count, now_s

    def find(self, book: EvidenceBook, now_s: float) -> Contact:
        """Return the contact; nodes silent for contact_s are not heard."""
        self.observe(now_s)
        is_alone = self._peak == 1 and now_s - self._started_s >= ALONE_S
        heard = book.find_nodes(now_s - self._contact_s)
        return Contact(heard, self._peak, is_alone)
