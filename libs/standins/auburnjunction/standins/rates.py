"""Limits and counts operations by the second."""

from auburnjunction.base.clocks import Clock


class RateMeter:
    """Counts operations and the highest number of them in one second."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._second = -1
        self._count_in_second = 0
        self.total = 0
        self.peak_per_s = 0

    def admit(self, limit_per_s: int) -> bool:
        """Count an operation unless this second's limit has been reached.

        Return whether it was counted. Refused operations are not counted.
        """
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._count_in_second = 0
        if self._count_in_second >= limit_per_s:
            return False
        self._count_in_second += 1
        self.total += 1
        self.peak_per_s = max(self.peak_per_s, self._count_in_second)
        return True

    def reset_peak(self) -> None:
        """Reset the highest count of one second to 0."""
        self.peak_per_s = 0
