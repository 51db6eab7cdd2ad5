"""Adaptive limit and slow start of a backend server."""

import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.limits import SlotLimit

SLOTS = 18


def make_limit(clock, cold=False, **options):
    return SlotLimit(AdmissionSettings(**options), SLOTS, 120, clock, cold)


def run_calls(limit, clock, count, duration_s):
    """Run calls at the limit; duration_s maps their number to seconds."""
    for _ in range(count):
        running = limit.value
        clock.advance(0.002)
        limit.add_sample(Priority.NORMAL, duration_s(running), running)


@pytest.mark.parametrize(
    ("adaptive", "low", "high"), [(True, 7, 13), (False, SLOTS, SLOTS)]
)
def test_limit_falls_to_the_capacity_of_the_backend_server(
    adaptive, low, high
):
    clock = ManualClock()
    limit = make_limit(clock, adaptive_limit=adaptive)
    run_calls(limit, clock, 200, lambda running: 0.02)
    assert limit.value == SLOTS
    # More than six concurrent calls only raise the latency.
    run_calls(limit, clock, 600, lambda running: 0.02 * max(1, running / 6))
    assert low <= limit.value <= high
    run_calls(limit, clock, 600, lambda running: 0.02)
    assert limit.value == SLOTS


def test_slowdown_unrelated_to_the_limit_becomes_the_baseline():
    clock = ManualClock()
    limit = make_limit(clock)
    run_calls(limit, clock, 200, lambda running: 0.02)
    run_calls(limit, clock, 100, lambda running: 0.1)
    assert limit.value < SLOTS
    run_calls(limit, clock, 400, lambda running: 0.1)
    assert limit.value == SLOTS


def test_change_of_the_traffic_mix_is_no_slowdown():
    clock = ManualClock()
    limit = make_limit(clock)
    durations = {Priority.CRITICAL: 0.005, Priority.LOW: 0.08}
    for priority, count in ((Priority.CRITICAL, 300), (Priority.LOW, 300)):
        for _ in range(count):
            limit.add_sample(priority, durations[priority], SLOTS)
            assert limit.value == SLOTS


def test_sheds_lower_the_limit_once_per_mean_duration_to_its_floor():
    clock = ManualClock()
    limit = make_limit(clock)
    run_calls(limit, clock, 60, lambda running: 0.02)
    clock.advance(0.1)
    limit.add_shed()
    lowered = limit.value
    assert lowered == 14
    limit.add_shed()
    assert limit.value == lowered
    for _ in range(20):
        clock.advance(0.1)
        limit.add_shed()
    assert limit.value == 6
    run_calls(limit, clock, 600, lambda running: 0.02)
    assert limit.value == SLOTS


def test_cold_backend_server_ramps_up():
    clock = ManualClock()
    limit = make_limit(clock, cold=True, ramp_duration_s=10)
    values = []
    for _ in range(11):
        values.append(limit.value)
        clock.advance(1)
    assert values[0] == 7
    assert values == sorted(values)
    assert values[5] < SLOTS == values[10]
    limit.ramp.restart()
    assert limit.value == 7
