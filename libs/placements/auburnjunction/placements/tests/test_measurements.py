"""Speeds that a backend server reports against those that are measured."""

import random

import pytest

from auburnjunction.placements.measurements import SpeedMeter
from auburnjunction.placements.reports import ServerLoad

RUN_S = 0.05


def run_calls(reported, real, count=320, routes=(1.0,)):
    """Return a meter after calls; speeds are functions of the call number."""
    rng = random.Random(1)
    meter = SpeedMeter()
    for number in range(count):
        load = ServerLoad(0, 0, 3, reported(number))
        meter.record_load(load, float(number))
        index = number % len(routes)
        work_s = RUN_S * routes[index] * rng.lognormvariate(0, 0.2)
        meter.record_run(str(index), work_s * real(number) / 100)
    return meter


def slow_in_turns(number):
    return 250.0 if number // 20 % 2 else 100.0


@pytest.mark.parametrize(
    ("reported", "is_trusted"),
    [
        (slow_in_turns, True),
        (lambda n: 60.0 + n * 37 % 200, False),
        (lambda n: 350.0 - slow_in_turns(n), False),
    ],
    ids=["true", "random", "opposite"],
)
@pytest.mark.parametrize("routes", [(1.0,), (1.0, 10.0)])
def test_instance_with_changing_speed(reported, is_trusted, routes):
    """False speeds are replaced by measured ones, true ones are kept."""
    meter = run_calls(reported, slow_in_turns, routes=routes)
    assert meter.is_trusted is is_trusted
    report = meter.make_report(1, 2, 3, 320.0)
    if is_trusted:
        assert report.speed == slow_in_turns(319)
    else:
        # 2.5 times slower at the end, compared with a mean of both.
        assert 120 <= report.speed <= 200


def test_owner_node_counts_calls_itself():
    """Reported numbers of calls can't hide those that the node has sent."""
    meter = run_calls(lambda n: 100.0, lambda n: 100.0)
    report = meter.make_report(3, 5, 3, 300.0)
    assert (report.running, report.waiting, report.slots) == (3, 5, 3)


def test_no_report_without_figures():
    meter = SpeedMeter()
    meter.record_run("route", 0.1)
    assert meter.make_report(1, 0, 3, 0.0) is None
