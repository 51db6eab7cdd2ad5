"""Correction of estimated waits for a slot by measured ones."""

# Weight of a new wait in the exponentially weighted moving averages, which
# span about ten waits; a full queue of six slots turns over in that many.
SAMPLE_WEIGHT = 0.1
# Bounds of the correction factor: a queue that drains faster than expected
# at most halves an estimate, and overtaking calls at most quadruple it.
CORRECTION_BOUNDS = (0.5, 4.0)
# Half-life of a correction without new samples. A call refused because of the
# correction yields no sample, so without decay the refusals would persist;
# the same holds for ESTIMATE_HALF_LIFE_S in limits.py.
CORRECTION_HALF_LIFE_S = 1.0


class WaitEstimator:
    """Tracks the ratio of measured waits to those estimated from the queue.

    The queue at arrival does not include calls that overtake later, and
    the mean duration of all calls is a poor estimate for the waiting ones
    where many short calls overtake long ones.
    """

    def __init__(self):
        self._expected_s = 0.0
        self._measured_s = 0.0
        self._updated_s = 0.0

    def correction(self, now_s: float) -> float:
        """Return the factor to multiply an expected wait by."""
        if not self._expected_s:
            return 1.0
        low, high = CORRECTION_BOUNDS
        factor = min(high, max(low, self._measured_s / self._expected_s))
        decay = 0.5 ** ((now_s - self._updated_s) / CORRECTION_HALF_LIFE_S)
        return 1.0 + (factor - 1.0) * decay

    def record_wait(
        self, expected_s: float, measured_s: float, now_s: float
    ) -> None:
        """Record the expected and the measured length of an ended wait."""
        self._updated_s = now_s
        self._expected_s += SAMPLE_WEIGHT * (expected_s - self._expected_s)
        self._measured_s += SAMPLE_WEIGHT * (measured_s - self._measured_s)
