"""Evidence that a home node reaches most of the nodes."""

import math

from auburnjunction.organisations.rosters import Roster

# Time after which an exchange with a data centre is no evidence any more.
CONTACT_HOLD_S = 2.0
# Time after an exchange at which the data centre is probed.
PROBE_AFTER_S = 1.0


class ContactLog:
    """Last successful exchange of this node with each data centre.

    A data centre counts with all its nodes: partitions cut off single nodes
    or whole data centres. Only exchanges that this node has started count,
    from their start, as messages that it receives may have been waiting
    while its process was paused.
    """

    def __init__(self, node: str, roster: Roster):
        self._node = node
        self._roster = roster
        self._contacts: dict[str, float] = {}

    def record(self, node: str, started_s: float) -> None:
        """Record an exchange with a node that was successful."""
        name = self._roster.find_data_centre(node)
        if name and node != self._node:
            before_s = self._contacts.get(name, -math.inf)
            self._contacts[name] = max(before_s, started_s)

    def find_majority_time(self, now_s: float) -> float:
        """Return the latest time at which most nodes were reached.

        Return -infinity if they never were.
        """
        needed = self._roster.node_count / 2
        if needed < 1:
            return now_s
        own = self._roster.find_data_centre(self._node)
        # This node itself needs no exchange.
        reached = 1
        counts = self._roster.count_by_data_centre()
        times = sorted(self._contacts.items(), key=lambda item: -item[1])
        for name, time_s in times:
            reached += counts[name] - (name == own)
            if reached > needed:
                return time_s
        return -math.inf

    def has_majority(self, now_s: float) -> bool:
        """Whether most of the nodes were reached recently."""
        return now_s - self.find_majority_time(now_s) < CONTACT_HOLD_S

    def list_due(self, now_s: float) -> list[str]:
        """Return the data centres to probe."""
        return [
            name
            for name in self._roster.count_by_data_centre()
            if now_s - self._contacts.get(name, -math.inf) >= PROBE_AFTER_S
        ]
