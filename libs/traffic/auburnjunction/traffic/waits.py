"""Estimates of how long a call waits for a slot, corrected by waits seen."""

# Share of a new wait in the moving sums; a full queue of six slots turns
# over in about ten waits.
WEIGHT = 0.1
# Bounds of the correction: a queue that empties early helps at most by
# half, and calls that overtake slow one at most to a quarter.
CORRECTIONS = (0.5, 4.0)
# Time in seconds in which a correction without new waits halves: calls that
# are refused for it bring none, as with durations of routes.
HALF_LIFE_S = 1.0


class WaitEstimator:
    """Learns by what factor calls wait longer than their queue tells.

    The queue at an arrival says nothing of the calls that overtake later,
    and the mean duration of all calls little of those that wait, where
    many short calls pass the long ones by.
    """

    def __init__(self):
        self._expected_s = 0.0
        self._seen_s = 0.0
        self._learnt_s = 0.0

    def correction(self, now_s: float) -> float:
        """Return the factor from the expected to the usual wait."""
        if not self._expected_s:
            return 1.0
        least, most = CORRECTIONS
        factor = min(most, max(least, self._seen_s / self._expected_s))
        fading = 0.5 ** ((now_s - self._learnt_s) / HALF_LIFE_S)
        return 1.0 + (factor - 1.0) * fading

    def learn(self, expected_s: float, seen_s: float, now_s: float) -> None:
        """Take in a wait that has just ended, and what was expected."""
        self._learnt_s = now_s
        self._expected_s += WEIGHT * (expected_s - self._expected_s)
        self._seen_s += WEIGHT * (seen_s - self._seen_s)
