"""Limits on the rate of calls that backend servers set in their responses."""

from auburnjunction.base.logs import log_event


class RateLimiter:
    """Rate limit of one backend server, as its responses name it."""

    def __init__(self, instance: str):
        self._instance = instance
        self._limit_per_s: float | None = None
        self._named_s = 0.0

    @property
    def limit_per_s(self) -> float | None:
        """Calls per second that the backend server takes; None if any."""
        return self._limit_per_s

    def update(
        self, limit_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Apply the limit in a response, or its absence.

        A response without a limit lifts it unless its call was sent before
        the limit was named last, as responses overtake each other.
        """
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
