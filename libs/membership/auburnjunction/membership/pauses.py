"""Detection of pauses of this process."""

from collections.abc import Callable

from auburnjunction.base.clocks import Clock


class PauseDetector:
    """Detects pauses of this process, after which its view is stale.

    A pause is a gap between two ticks above the limit. The view is
    current again after the next tick and a successful exchange that
    began after the pause was detected.
    """

    def __init__(self, clock: Clock, limit_s: Callable[[], float]):
        self._clock = clock
        self._limit_s = limit_s
        self._tick_s = clock.monotonic()
        self._pause_detected_s: float | None = None
        self._has_ticked = True
        self.pause_count = 0

    @property
    def is_current(self) -> bool:
        """Whether the view is current; False from a pause to an exchange."""
        self._detect_pause()
        return self._pause_detected_s is None

    def tick(self) -> None:
        """Record that this process runs and has checked its leases."""
        self._detect_pause()
        self._tick_s = self._clock.monotonic()
        self._has_ticked = True

    def record_exchange(self, started_s: float) -> None:
        """Record the success of an exchange that began at started_s."""
        self._detect_pause()
        if self._pause_detected_s is None or not self._has_ticked:
            return
        if started_s >= self._pause_detected_s:
            self._pause_detected_s = None

    @property
    def stale_for_s(self) -> float:
        """Seconds since the pause was detected; 0 if current."""
        if self._pause_detected_s is None:
            return 0.0
        return self._clock.monotonic() - self._pause_detected_s

    def _detect_pause(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._tick_s > self._limit_s():
            self.pause_count += 1
            self._pause_detected_s = now_s
            self._tick_s = now_s
            self._has_ticked = False
