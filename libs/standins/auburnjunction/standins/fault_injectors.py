"""Fault injection for a backend server stand-in."""

import random

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.standins.faults import BackendFaults


@attrs.frozen
class BackendSettings:
    """Identity, limits and service times of a backend server stand-in."""

    service: str
    instance: str
    slots: int = 6
    connections: int = 130
    delay_ms: float = 5.0
    # Service times are drawn uniformly from delay_ms * (1 ± jitter).
    jitter: float = 0.2
    seed: int = 1


class BackendFaultInjector:
    """Draws service times and random faults, and times freezes."""

    def __init__(self, settings: BackendSettings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self._service_time_rng = random.Random(settings.seed)
        self.set_faults(BackendFaults())

    def set_faults(self, faults: BackendFaults) -> None:
        """Replace the faults and reseed their random numbers."""
        now_s = self._clock.monotonic()
        self.faults = faults
        self._fault_rng = random.Random(faults.seed)
        self._cold_until_s = now_s + faults.cold_s
        self._frozen_until_s = now_s + faults.freeze_s

    @property
    def frozen(self) -> bool:
        """Whether requests and announcements are held back by a freeze."""
        return self._clock.monotonic() < self._frozen_until_s

    async def wait_while_frozen(self) -> None:
        """Wait until the freeze is over; return at once without one."""
        while self.frozen:
            remaining_s = self._frozen_until_s - self._clock.monotonic()
            await self._clock.sleep(max(remaining_s, 0.0))

    def draw_service_time_s(self) -> float:
        """Return the service time of the next request."""
        jitter = self._settings.jitter
        share = 1 + self._service_time_rng.uniform(-jitter, jitter)
        factor = self.faults.slow_factor
        if self._clock.monotonic() < self._cold_until_s:
            factor *= self.faults.cold_factor
        return self._settings.delay_ms / 1000 * share * factor

    def draw_fault(self, share: float) -> bool:
        """Return whether a fault of this share hits the current request."""
        return share > 0 and self._fault_rng.random() < share
