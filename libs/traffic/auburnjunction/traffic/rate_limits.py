"""Limits on the rate of calls that backend servers set in their responses."""

from auburnjunction.base.logs import log_event

# Rate at which calls are sent to a backend server that takes fewer: without
# any, no response could lift the limit.
MIN_RATE_PER_S = 0.5


class RateLimiter:
    """Keeps the calls to one backend server within the rate that it names.

    Calls are spaced evenly (GCRA), but those that come within burst_s of each
    other may start at once: any span of t seconds has at most
    rate * (t + burst_s) + 1 of them. The owner node sees every call to its
    backend server, so no other node needs to know the limit.
    """

    def __init__(self, instance: str, burst_s: float = 0.0):
        self._instance = instance
        self._burst_s = burst_s
        # Time at which the next call would be due if all were spaced evenly.
        self._due_s = 0.0
        self._limit_per_s: float | None = None
        self._named_s = 0.0
        # Whether a response has named a limit, or that there is none.
        self._has_response = False

    @property
    def limit_per_s(self) -> float | None:
        """Calls per second that the backend server takes; None if any."""
        return self._limit_per_s

    @property
    def interval_s(self) -> float:
        """Time between calls that are spaced evenly; 0 without a limit."""
        if self._limit_per_s is None:
            return 0.0
        return 1.0 / max(MIN_RATE_PER_S, self._limit_per_s)

    def find_delay(self, now_s: float) -> float:
        """Return the time until the next call may start; 0 if it may now."""
        if self._limit_per_s is None:
            return 0.0
        return max(0.0, self._due_s - self._burst_s - now_s)

    def start_call(self, now_s: float) -> None:
        """Count a call that starts now."""
        self._due_s = max(self._due_s, now_s) + self.interval_s

    def adopt(self, limit_per_s: float) -> None:
        """Apply a limit that another node knows, until the first response.

        A node that has restarted would otherwise start as many calls as there
        are slots.
        """
        if self._has_response or self._limit_per_s is not None:
            return
        self._log_change(limit_per_s)
        self._limit_per_s = limit_per_s

    def reset(self) -> None:
        """Lift the limit, for a backend server that has started again."""
        self._limit_per_s = None

    def update(
        self, limit_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Apply the limit in a response, or its absence.

        A response without a limit lifts it unless its call was sent before
        the limit was named last, as responses overtake each other.
        """
        self._has_response = True
        if limit_per_s is None and sent_s < self._named_s:
            return
        if limit_per_s is not None:
            self._named_s = now_s
        if limit_per_s != self._limit_per_s:
            self._log_change(limit_per_s)
            self._limit_per_s = limit_per_s

    def _log_change(self, limit_per_s: float | None) -> None:
        log_event(
            "rate limit of a backend server",
            instance=self._instance,
            limit_per_s=limit_per_s,
            previous_per_s=self._limit_per_s,
        )
