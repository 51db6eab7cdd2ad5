"""Time elapsed since a caller's first attempt, estimated from timeouts."""

from collections import Counter, OrderedDict, deque

# Samples of each route, and the share of them that must be equal.
SAMPLES = 64
MIN_COMMON_SHARE = 0.25
MIN_SAMPLES = 8
MAX_ROUTES = 1024


class TimeoutHistory:
    """Recent timeouts of the calls of one route."""

    def __init__(self):
        self._samples: deque[int] = deque()
        self._counts: Counter[int] = Counter()

    def add(self, timeout_ms: int) -> None:
        """Add the timeout of a call, dropping the oldest sample."""
        if len(self._samples) >= SAMPLES:
            oldest = self._samples.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._samples.append(timeout_ms)
        self._counts[timeout_ms] += 1

    @property
    def common_ms(self) -> int:
        """Timeout of first attempts: the most common one; 0 if none is."""
        if len(self._samples) < MIN_SAMPLES:
            return 0
        # Of two as common, the longer one is of first attempts.
        count, timeout_ms = max(
            (count, timeout_ms) for timeout_ms, count in self._counts.items()
        )
        is_common = count >= MIN_COMMON_SHARE * len(self._samples)
        return timeout_ms if is_common else 0


class ElapsedTimeEstimator:
    """Estimates the time elapsed since a caller's first attempt.

    Callers of a route send the same timeout with each first attempt. One
    that returns after a refusal sends the time that it has left.
    """

    def __init__(self):
        self._histories: OrderedDict[str, TimeoutHistory] = OrderedDict()

    def estimate_ms(self, route: str, timeout_ms: int) -> int:
        """Record a timeout; return the milliseconds elapsed before it."""
        history = self._histories.get(route)
        if history is None:
            if len(self._histories) >= MAX_ROUTES:
                self._histories.popitem(last=False)
            history = self._histories[route] = TimeoutHistory()
        history.add(timeout_ms)
        return max(0, history.common_ms - timeout_ms)
