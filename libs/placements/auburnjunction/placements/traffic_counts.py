"""Counts of calls and bytes by data centre."""

from collections import Counter

# Data centres that are counted apart; the rest is counted as OTHER, so that
# the number of time series is bounded.
MAX_DATA_CENTRES = 64
OTHER = "other"


class TrafficCounts:
    """Calls and bytes of bodies, in both directions, by data centre."""

    def __init__(self):
        self.calls: Counter = Counter()
        self.bytes: Counter = Counter()

    def add_call(self, data_centre: str, request_bytes: int) -> None:
        """Count a call that is sent to a data centre."""
        name = data_centre
        if name not in self.calls and len(self.calls) >= MAX_DATA_CENTRES:
            name = OTHER
        self.calls[name] += 1
        self.bytes[name] += request_bytes

    def add_bytes(self, data_centre: str, answer_bytes: int) -> None:
        """Count the answer to such a call."""
        name = data_centre if data_centre in self.calls else OTHER
        self.bytes[name] += answer_bytes
