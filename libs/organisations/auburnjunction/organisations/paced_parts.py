"""Equal parts of quotas that are spent at a bounded pace."""

# Share of a part that is earned evenly over the window. The rest may be spent
# at once, and is lost with the process: a part that is empty after a restart
# and earns from then on never exceeds, with what the earlier process has
# spent, the part in any window.
PACED_SHARE = 0.7
# Smallest part that is paced. The rest of a smaller one holds no whole
# request.
MIN_PACED_PART = 4


class PacedPart:
    """A node's part of a quota as a token bucket.

    In any span of s seconds, at most PACED_SHARE * part * s / window_s and
    the rest of the part are spent.
    """

    def __init__(self, window_s: float, now_s: float, is_full: bool):
        self._window_s = window_s
        self._part = 0
        self._tokens = 0.0
        self._updated_s = now_s
        self._is_full = is_full

    @property
    def _rate_per_s(self) -> float:
        return PACED_SHARE * self._part / self._window_s

    @property
    def _capacity(self) -> float:
        return (1 - PACED_SHARE) * self._part

    def set_part(self, part: int, now_s: float) -> None:
        """Change the number of requests within any window."""
        self._earn(now_s)
        self._part = part
        if self._is_full:
            self._is_full = False
            self._tokens = self._capacity
        self._tokens = min(self._tokens, self._capacity)

    def try_take(self, now_s: float) -> bool:
        """Take one request from the part; return whether it had one."""
        self._earn(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def put_back(self, now_s: float) -> None:
        """Return a request that has not run."""
        self._earn(now_s)
        self._tokens = min(self._tokens + 1, self._capacity)

    def find_delay(self, now_s: float) -> float:
        """Return the time until one request can be taken."""
        self._earn(now_s)
        missing = max(0.0, 1 - self._tokens)
        return missing / self._rate_per_s if self._part else self._window_s

    def _earn(self, now_s: float) -> None:
        earned = self._rate_per_s * max(0.0, now_s - self._updated_s)
        self._tokens = min(self._tokens + earned, self._capacity)
        self._updated_s = now_s
