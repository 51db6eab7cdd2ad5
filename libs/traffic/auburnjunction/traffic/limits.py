"""Limits on the calls that run at one time at a backend server."""

import math
from collections import OrderedDict

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.traffic.admissions import AdmissionSettings

MEAN_WEIGHT = 0.1
# Routes whose durations are kept; the oldest go first.
MAX_ROUTES = 1024
SLOW_MEAN_WEIGHT = 0.01
# Time in seconds in which an estimate without new durations halves: some
# calls of the least frequent kind come in it.
ESTIMATE_HALF_LIFE_S = 1.0
# The baseline follows a falling mean at once and a rising one slowly.
BASELINE_RISE_S = 60.0
# Slowdown that is left at the lowest limit, as a share of the first,
# from which the limit is not what makes calls slow.
UNRELATED_SHARE = 0.75


@attrs.define(slots=True)
class RouteTimes:
    """Moving averages of the time that calls of one route take."""

    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0
    slow_mean_s: float = 0.0
    baseline_s: float = 0.0
    seen_s: float = 0.0

    def add(self, duration_s: float, now_s: float) -> None:
        """Take in the duration of one call that ended now."""
        self.count += 1
        error_s = duration_s - self.mean_s
        self.mean_s += max(MEAN_WEIGHT, 1 / self.count) * error_s
        if self.count > 1:
            error_s = abs(error_s) - self.deviation_s
            self.deviation_s += MEAN_WEIGHT * error_s
        weight = max(SLOW_MEAN_WEIGHT, 1 / self.count)
        self.slow_mean_s += weight * (duration_s - self.slow_mean_s)
        self._move_baseline(now_s)

    def _move_baseline(self, now_s: float) -> None:
        rise_s = self.slow_mean_s - self.baseline_s
        if rise_s > 0 and self.count > 1 / SLOW_MEAN_WEIGHT:
            rise_s *= min(1.0, (now_s - self.seen_s) / BASELINE_RISE_S)
        self.baseline_s += rise_s
        self.seen_s = now_s


class ServiceTimes:
    """Moving averages of the time that calls take, by route.

    The routes of one service may differ in their work by a factor of
    ten, also where they have one priority.
    """

    def __init__(self):
        self.mean_s = 0.0
        self._times: OrderedDict[str, RouteTimes] = OrderedDict()

    def add(self, route: str, duration_s: float, now_s: float) -> None:
        """Take in the duration of one call that ended now."""
        self._find(route).add(duration_s, now_s)
        if not self.mean_s:
            self.mean_s = duration_s
        self.mean_s += MEAN_WEIGHT * (duration_s - self.mean_s)

    def _find(self, route: str) -> RouteTimes:
        times = self._times.get(route)
        if times is None:
            if len(self._times) >= MAX_ROUTES:
                self._times.popitem(last=False)
            times = self._times[route] = RouteTimes()
        return times

    def estimate(self, route: str, deviations: float, now_s: float) -> float:
        """Return a duration in seconds, a number of deviations high.

        Calls that are refused on an estimate bring no new durations, so
        it fades while none come.
        """
        times = self._times.get(route)
        if times is None:
            return 0.0
        age_s = max(0.0, now_s - times.seen_s)
        fading = 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S)
        return fading * (times.mean_s + deviations * times.deviation_s)

    def find_slowdown(self, route: str) -> float:
        """Return the recent mean as a multiple of the usual one."""
        times = self._find(route)
        return times.mean_s / times.baseline_s if times.baseline_s else 1.0

    def accept(self) -> None:
        """Take the recent means as the usual ones."""
        for times in self._times.values():
            times.slow_mean_s = times.baseline_s = times.mean_s


class ColdRamp:
    """Share of the slots that a freshly started backend server gets."""

    def __init__(self, cfg: AdmissionSettings, clock: Clock, cold: bool):
        self._cfg = cfg
        self._clock = clock
        self._start_s: float | None = None
        if cold:
            self.restart()

    def restart(self) -> None:
        """Begin again; the backend server has just started."""
        self._start_s = self._clock.monotonic()

    @property
    def share(self) -> float:
        """Share of the slots, rising from the initial one to 1."""
        if self._start_s is None:
            return 1.0
        age_s = self._clock.monotonic() - self._start_s
        if age_s >= self._cfg.ramp_duration_s:
            self._start_s = None
            return 1.0
        initial = self._cfg.ramp_initial_share
        return initial + (1 - initial) * age_s / self._cfg.ramp_duration_s


class SlotLimit:
    """Number of calls that may run at one time.

    It rises by one for each window of calls that used all of it at
    usual latency, and falls by a factor when calls slow down or are
    shed: additive increase, multiplicative decrease. When calls stay
    as slow at the lowest limit, the limit is not the cause, and the
    latency is taken as the usual one from then on.
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
        self.ramp = ColdRamp(cfg, clock, cold)
        self._cfg = cfg
        self._clock = clock
        self._connections = connections
        self._slots = self._adaptive = min(slots, connections)
        self._first_slowdown = 0.0
        self._start_window()

    def set_capacity(self, slots: int, connections: int) -> None:
        """Take over the slots and connections that were announced.

        The pool of connections is fixed, so more of them count only
        for a new owner.
        """
        slots = min(slots, connections, self._connections)
        if slots != self._slots:
            self._slots = self._adaptive = slots

    @property
    def value(self) -> int:
        """The limit in force, at least one."""
        ramped = math.ceil(self._slots * self.ramp.share)
        return max(1, min(int(self._adaptive), ramped))

    def add_sample(self, route: str, duration_s: float, running: int) -> None:
        """Take in a call that ran, and how many ran beside it."""
        self.times.add(route, duration_s, self._clock.monotonic())
        self._samples += 1
        self._slowdowns += self.times.find_slowdown(route)
        self._saturated |= running >= int(self._adaptive)
        if self._samples >= max(self._cfg.limit_window_calls, self._slots):
            self._end_window()

    def add_shed(self) -> None:
        """Take in a call that the backend server shed."""
        if self._clock.monotonic() >= self._next_decrease_s:
            self._decrease()

    def _end_window(self) -> None:
        slowdown = self._slowdowns / self._samples
        if slowdown > self._cfg.limit_slowdown:
            self._react(slowdown)
        else:
            self._first_slowdown = 0.0
            if self._saturated:
                self._adaptive = min(self._slots, self._adaptive + 1)
        self._start_window()

    def _react(self, slowdown: float) -> None:
        if not self._first_slowdown:
            self._first_slowdown = slowdown
        lowest = self._adaptive <= self._floor
        if lowest and slowdown > UNRELATED_SHARE * self._first_slowdown:
            self.times.accept()
            self._first_slowdown = 0.0
            self._adaptive = self._slots
        else:
            self._decrease()

    @property
    def _floor(self) -> float:
        return max(1.0, self._slots * self._cfg.limit_floor_share)

    def _decrease(self) -> None:
        if not self._cfg.adaptive_limit:
            return
        lower = self._adaptive * self._cfg.limit_decrease
        self._adaptive = max(self._floor, lower)
        self._start_window()

    def _start_window(self) -> None:
        self._samples = 0
        self._slowdowns = 0.0
        self._saturated = False
        # Calls already in flight say nothing of the new limit.
        self._next_decrease_s = self._clock.monotonic() + self.times.mean_s
