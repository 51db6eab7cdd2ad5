"""Time sources, injected so that tests can control the time."""

import time
from datetime import UTC, datetime
from typing import Protocol

import curio


class Clock(Protocol):
    """Source of the current time and of delays."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def boottime(self) -> float:
        """Return seconds since an arbitrary start, suspended time included.

        Never decreases; its start may differ from that of monotonic.
        """

    async def sleep(self, delay_s: float) -> None:
        """Wait for the given number of seconds."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases.

        Includes the time during which the process was stopped.
        """
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds since the boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s: float) -> None:
        """Wait for the given number of seconds."""
        await curio.sleep(delay_s)


class ManualClock:
    """Clock for tests that moves only through advance and sleep."""

    def __init__(self, start_s: float = 1000.0):
        self._time_s = start_s
        self._suspended_s = 0.0

    def now(self) -> datetime:
        """Return the simulated time as a UTC datetime."""
        return datetime.fromtimestamp(self._time_s, UTC)

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self._time_s

    def boottime(self) -> float:
        """Return the simulated time plus the time in suspend."""
        return self._time_s + self._suspended_s

    def suspend(self, duration_s: float) -> None:
        """Let time pass that monotonic does not count."""
        self._suspended_s += duration_s

    def advance(self, delay_s: float) -> None:
        """Advance the clock."""
        self._time_s += delay_s

    async def sleep(self, delay_s: float) -> None:
        """Advance the clock and yield to other tasks."""
        self.advance(delay_s)
        await curio.sleep(0)
