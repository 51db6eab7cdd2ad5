"""Callers that return after a refusal while a service is overloaded.

A simulation of one backend server in simulated time, without a network.
"""

import heapq
import itertools
import random

import attrs
import curio
import pytest

from auburnjunction.traffic import limits, waits
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.slots import AdmissionController
from auburnjunction.traffic.tests.owner_support import make_call
from auburnjunction.traffic.timeouts import ElapsedTimeEstimator

SLOTS = 6
# Calls of 0.12 s in slow motion, as no real time-out may end a wait.
SLOW_MOTION = 8000
WORK_S = 0.12 * SLOW_MOTION
OBJECTIVE_S = 3.3 * WORK_S
DEADLINE_S = 8.3 * WORK_S
# A refused caller waits at most this share of the time that it has left.
MAX_RETURN_SHARE = 1 / 3
CFG = AdmissionSettings(
    adaptive_limit=False,
    deadline_deviations=0.0,
    objective_deviations=2.0,
    late_waits=False,
)


class SimulatedTime:
    """Clock that advances to the next wake-up once all tasks wait."""

    def __init__(self):
        self._now_s = 0.0
        self._wake_ups = []
        self._numbers = itertools.count()

    def monotonic(self):
        return self._now_s

    async def sleep(self, delay_s):
        event = curio.Event()
        wake_up = (self._now_s + delay_s, next(self._numbers), event)
        heapq.heappush(self._wake_ups, wake_up)
        await event.wait()

    async def run(self):
        """Run until no task sleeps."""
        while True:
            for _ in range(10):
                await curio.sleep(0)
            if not self._wake_ups:
                return
            self._now_s, _, event = heapq.heappop(self._wake_ups)
            await event.set()


@pytest.fixture(autouse=True)
def slow_half_lives(monkeypatch):
    """Let estimates decay in slow motion as well."""
    for module, name in (
        (limits, "ESTIMATE_HALF_LIFE_S"),
        (waits, "CORRECTION_HALF_LIFE_S"),
    ):
        value = getattr(module, name) * SLOW_MOTION
        monkeypatch.setattr(module, name, value)


@attrs.define
class Tally:
    """Outcomes of callers, counted from their first attempts."""

    in_time: int = 0
    late: int = 0
    unserved: int = 0

    @property
    def late_share(self):
        return self.late / (self.in_time + self.late)


class Simulation:
    """Callers with one retry at a backend server with six slots."""

    def __init__(self, load, estimates_elapsed):
        self.clock = SimulatedTime()
        self.random = random.Random(5)
        self.load = load
        self.elapsed = ElapsedTimeEstimator() if estimates_elapsed else None
        limit = SlotLimit(CFG, SLOTS, 100, self.clock)
        self.limit = limit
        self.controller = AdmissionController(CFG, limit, 64, self.clock)
        self.controller._random = random.Random(6)
        self.tally = Tally()

    async def play(self, callers=800):
        tasks = [await curio.spawn(self.arrive, callers)]
        await self.clock.run()
        for task in tasks:
            await task.join()
        return self.tally

    async def arrive(self, callers):
        rate = self.load * SLOTS / WORK_S
        for _ in range(callers):
            await self.clock.sleep(self.random.expovariate(rate))
            await curio.spawn(self.call, daemon=True)

    async def call(self):
        start_s = self.clock.monotonic()
        for retries_left in (1, 0):
            left_s = start_s + DEADLINE_S - self.clock.monotonic()
            try:
                await self.attempt(left_s)
            except NotRunError as exc:
                if not retries_left:
                    break
                delay_s = min(exc.retry_after_s, left_s * MAX_RETURN_SHARE)
                await self.clock.sleep(delay_s)
                continue
            if self.clock.monotonic() - start_s <= OBJECTIVE_S:
                self.tally.in_time += 1
            else:
                self.tally.late += 1
            return
        self.tally.unserved += 1

    async def attempt(self, left_s):
        now_s = self.clock.monotonic()
        elapsed_s = 0.0
        if self.elapsed is not None:
            elapsed_s = self.elapsed.estimate_ms("route", int(left_s))
        call = attrs.evolve(
            make_call(),
            deadline_s=now_s + left_s,
            target_s=now_s + OBJECTIVE_S - elapsed_s,
        )
        async with self.controller.hold_slot(call):
            work_s = WORK_S * self.random.uniform(0.5, 1.5)
            await self.clock.sleep(work_s)
            running = self.controller.running
            self.limit.add_sample("route", work_s, running)


def play(load, estimates_elapsed):
    return curio.run(Simulation(load, estimates_elapsed).play)


@pytest.mark.parametrize("load", [1.2, 1.5, 2.5])
def test_overload_with_returning_callers(load):
    """Slots go to callers that can still be answered in time."""
    before, after = play(load, False), play(load, True)
    assert after.late_share <= 0.1
    assert after.late_share < before.late_share
    assert after.in_time > before.in_time
    # As many callers are served as before.
    served = before.in_time + before.late
    assert after.in_time + after.late >= 0.97 * served


def test_callers_that_return_to_a_calm_server_are_served():
    """Without overload, a late answer is better than none."""
    tally = play(0.7, True)
    assert tally.unserved <= 0.02 * (tally.in_time + tally.late)
