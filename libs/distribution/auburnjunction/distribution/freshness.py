"""Staleness of a node with respect to the platform's head."""

from auburnjunction.base.clocks import Clock

MS_PER_S = 1000


class ReadFreshness:
    """Time of the latest head read known to a node, its own or a peer's.

    The revision in force on the node is at least the head at that time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last_read_s: float | None = None
        self.started_s = clock.monotonic()

    def record_read(self, read_s: float) -> None:
        """Record a read that began at this local monotonic time."""
        if self._last_read_s is None or read_s > self._last_read_s:
            self._last_read_s = read_s

    def record_peer_read(self, age_ms: int, request_s: float) -> None:
        """Record a read of a peer, reported in a response.

        The request was sent at request_s, in local monotonic time, so the
        computed time of the read is never later than the actual one.
        """
        self.record_read(request_s - age_ms / MS_PER_S)

    @property
    def age_s(self) -> float:
        """Seconds since the latest read, or since the start if none."""
        return self._clock.monotonic() - (self._last_read_s or self.started_s)

    @property
    def age_ms(self) -> int | None:
        """Milliseconds since the latest read; None if there is none."""
        if self._last_read_s is None:
            return None
        age_s = self._clock.monotonic() - self._last_read_s
        return max(0, round(age_s * MS_PER_S))

    def is_newer(self, time_s: float) -> bool:
        """Return whether the latest read began after a local time."""
        return self._last_read_s is not None and self._last_read_s > time_s

    @property
    def is_confirmed(self) -> bool:
        """Whether a head read after the start of this node is known."""
        return (
            self._last_read_s is not None
            and self._last_read_s >= self.started_s
        )
