"""Limits on the calls that run concurrently at a backend server."""

import math
from collections import OrderedDict

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.traffic.admissions import AdmissionSettings

MEAN_WEIGHT = 0.1
# Routes with moving averages; the oldest entries are evicted first.
MAX_ROUTES = 1024
SLOW_MEAN_WEIGHT = 0.01
# Samples from which the deviation of a route is known; with fewer, it is at
# least the assumed share of the mean where calls must not take longer.
MIN_DEVIATION_SAMPLES = 8
ASSUMED_DEVIATION = 0.25
# Half-life of an estimate without new samples; within it, even the least
# frequent kind of call comes several times.
ESTIMATE_HALF_LIFE_S = 1.0
# Time constant with which the baseline follows a rising mean; it follows a
# falling mean at once.
BASELINE_RISE_S = 60.0
# If the slowdown at the lowest limit exceeds this share of the initial
# slowdown, the number of concurrent calls is not its cause.
UNRELATED_SLOWDOWN_SHARE = 0.75


@attrs.define(slots=True)
class RouteTimes:
    """Moving averages of the durations of calls on one route."""

    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0
    slow_mean_s: float = 0.0
    baseline_s: float = 0.0
    updated_s: float = 0.0

    def add(self, duration_s: float, now_s: float) -> None:
        """Record the duration of a call that has just ended."""
        self.count += 1
        error_s = duration_s - self.mean_s
        self.mean_s += max(MEAN_WEIGHT, 1 / self.count) * error_s
        if self.count > 1:
            error_s = abs(error_s) - self.deviation_s
            self.deviation_s += MEAN_WEIGHT * error_s
        weight = max(SLOW_MEAN_WEIGHT, 1 / self.count)
        self.slow_mean_s += weight * (duration_s - self.slow_mean_s)
        self._update_baseline(now_s)

    def _update_baseline(self, now_s: float) -> None:
        rise_s = self.slow_mean_s - self.baseline_s
        if rise_s > 0 and self.count > 1 / SLOW_MEAN_WEIGHT:
            rise_s *= min(1.0, (now_s - self.updated_s) / BASELINE_RISE_S)
        self.baseline_s += rise_s
        self.updated_s = now_s


class ServiceTimes:
    """Moving averages of the durations of calls, by route.

    Durations of the routes of one service may differ by a factor of ten,
    even within one priority.
    """

    def __init__(self):
        self.mean_s = 0.0
        self._times: OrderedDict[str, RouteTimes] = OrderedDict()

    def add(self, route: str, duration_s: float, now_s: float) -> None:
        """Record the duration of a call that has just ended."""
        self._get_or_create(route).add(duration_s, now_s)
        if not self.mean_s:
            self.mean_s = duration_s
        self.mean_s += MEAN_WEIGHT * (duration_s - self.mean_s)

    def _get_or_create(self, route: str) -> RouteTimes:
        times = self._times.get(route)
        if times is None:
            if len(self._times) >= MAX_ROUTES:
                self._times.popitem(last=False)
            times = self._times[route] = RouteTimes()
        return times

    def estimate(self, route: str, deviations: float, now_s: float) -> float:
        """Return the mean duration plus a number of mean deviations.

        A call refused because of the estimate yields no sample, so the
        estimate decays while there are none.
        """
        times = self._times.get(route)
        if times is None:
            return 0.0
        age_s = max(0.0, now_s - times.updated_s)
        decay = 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S)
        return decay * (times.mean_s + deviations * times.deviation_s)

    def find_duration(self, route: str, deviations: float) -> float | None:
        """Return the mean duration plus deviations, however old it is.

        Return None for a route without samples.
        """
        times = self._times.get(route)
        if times is None:
            return None
        deviation_s = times.deviation_s
        if times.count < MIN_DEVIATION_SAMPLES:
            deviation_s = max(deviation_s, times.mean_s * ASSUMED_DEVIATION)
        return times.mean_s + deviations * deviation_s

    def find_slowdown(self, route: str) -> float:
        """Return the ratio of the recent mean to the baseline."""
        times = self._get_or_create(route)
        return times.mean_s / times.baseline_s if times.baseline_s else 1.0

    def reset_baselines(self) -> None:
        """Reset the baseline of each route to its recent mean."""
        for times in self._times.values():
            times.slow_mean_s = times.baseline_s = times.mean_s


class SlowStartRamp:
    """Slow start: the share of slots available after a start."""

    def __init__(self, cfg: AdmissionSettings, clock: Clock, cold: bool):
        self._cfg = cfg
        self._clock = clock
        self._start_s: float | None = None
        if cold:
            self.restart()

    def restart(self) -> None:
        """Restart the ramp because the backend server has just started."""
        self._start_s = self._clock.monotonic()

    @property
    def share(self) -> float:
        """Share of the slots, rising linearly from the initial share to 1."""
        if self._start_s is None:
            return 1.0
        age_s = self._clock.monotonic() - self._start_s
        if age_s >= self._cfg.ramp_duration_s:
            self._start_s = None
            return 1.0
        initial = self._cfg.ramp_initial_share
        return initial + (1 - initial) * age_s / self._cfg.ramp_duration_s


class SlotLimit:
    """Adaptive limit on concurrent calls (AIMD).

    Additive increase: the limit rises by one after each window in which it
    was reached without a slowdown. Multiplicative decrease: it falls by a
    factor when calls slow down or are shed. If calls remain as slow at the
    lowest limit, concurrency is not the cause, and their latency becomes
    the new baseline.
    """

    def __init__(
        self,
        cfg: AdmissionSettings,
        slots: int,
        connections: int,
        clock: Clock,
        cold: bool = False,
    ):
        self.times = ServiceTimes()
        self.ramp = SlowStartRamp(cfg, clock, cold)
        self._cfg = cfg
        self._clock = clock
        self._connections = connections
        self._slots = self._adaptive_limit = min(slots, connections)
        self._initial_slowdown = 0.0
        self._start_window()

    def set_capacity(self, slots: int, connections: int) -> None:
        """Set the announced slots and connections.

        The size of the connection pool is fixed, so additional connections
        take effect only with a new owner.
        """
        slots = min(slots, connections, self._connections)
        if slots != self._slots:
            self._slots = self._adaptive_limit = slots

    @property
    def value(self) -> int:
        """Limit in force, at least 1."""
        ramped = math.ceil(self._slots * self.ramp.share)
        return max(1, min(int(self._adaptive_limit), ramped))

    def add_sample(self, route: str, duration_s: float, running: int) -> None:
        """Record the duration of a call and the calls running at its end."""
        self.times.add(route, duration_s, self._clock.monotonic())
        self._samples += 1
        self._slowdowns += self.times.find_slowdown(route)
        self._saturated |= running >= int(self._adaptive_limit)
        if self._samples >= max(self._cfg.limit_window_calls, self._slots):
            self._end_window()

    def add_shed(self) -> None:
        """Record that the backend server shed a call."""
        if self._clock.monotonic() >= self._next_decrease_s:
            self._decrease()

    def _end_window(self) -> None:
        slowdown = self._slowdowns / self._samples
        if slowdown > self._cfg.limit_slowdown:
            self._handle_slowdown(slowdown)
        else:
            self._initial_slowdown = 0.0
            if self._saturated:
                self._adaptive_limit = min(
                    self._slots, self._adaptive_limit + 1
                )
        self._start_window()

    def _handle_slowdown(self, slowdown: float) -> None:
        if not self._initial_slowdown:
            self._initial_slowdown = slowdown
        at_floor = self._adaptive_limit <= self._floor
        if (
            at_floor
            and slowdown > UNRELATED_SLOWDOWN_SHARE * self._initial_slowdown
        ):
            self.times.reset_baselines()
            self._initial_slowdown = 0.0
            self._adaptive_limit = self._slots
        else:
            self._decrease()

    @property
    def _floor(self) -> float:
        return max(1.0, self._slots * self._cfg.limit_floor_share)

    def _decrease(self) -> None:
        if not self._cfg.adaptive_limit:
            return
        decreased = self._adaptive_limit * self._cfg.limit_decrease
        self._adaptive_limit = max(self._floor, decreased)
        self._start_window()

    def _start_window(self) -> None:
        self._samples = 0
        self._slowdowns = 0.0
        self._saturated = False
        # Calls already in flight were admitted under the previous limit.
        self._next_decrease_s = self._clock.monotonic() + self.times.mean_s
