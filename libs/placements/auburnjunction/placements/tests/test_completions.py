"""Expected completion at one instance."""

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.placements.completions import (
    WARM_ANSWERS,
    CompletionModel,
    InstanceFigures,
    RouteFigures,
)
from auburnjunction.placements.reports import LoadReport
from auburnjunction.placements.settings import PlacementSettings

MODEL = CompletionModel(PlacementSettings())
WORK_S = 0.05


def make_figures(running=1, waiting=0, speed=100.0, **fields):
    report = LoadReport(running, waiting, 3, speed)
    fields.setdefault("answers", WARM_ANSWERS)
    return InstanceFigures(report=report, received_s=0.0, **fields)


def estimate(figures, now_s=0.05, pool_load=0.3):
    return MODEL.estimate(figures, 3, pool_load, WORK_S, now_s)


@pytest.mark.parametrize(
    "worse",
    [
        make_figures(speed=250.0),
        make_figures(running=3, waiting=3),
        make_figures(factor=1.6),
        make_figures(in_flight=4, sent_since=4),
        make_figures(answers=0),
    ],
    ids=["slow", "queue", "slow hardware", "own calls in flight", "cold"],
)
def test_instance_that_takes_longer_costs_more(worse):
    """Uneven speeds and queues; each must count with the next choice."""
    assert estimate(worse) > 1.2 * estimate(make_figures())


def test_slow_instance_without_news_recovers_within_a_second():
    slow = make_figures(running=3, waiting=9, speed=500.0)
    assert estimate(slow, 0.01) > 4 * estimate(make_figures(), 0.01)
    assert estimate(slow, 1.01) == pytest.approx(
        estimate(make_figures(), 1.01)
    )


def test_calls_in_flight_count_however_old_the_report_is():
    """A fast instance is not overrun on the ground of an old report."""
    figures = make_figures(running=0, in_flight=9, sent_since=9)
    assert estimate(figures, 30.0) > 2 * estimate(make_figures(), 30.0)


@given(
    st.builds(
        InstanceFigures,
        in_flight=st.integers(0, 1000),
        sent_since=st.integers(0, 1000),
        report=st.none()
        | st.builds(
            LoadReport,
            st.integers(0, 100_000),
            st.integers(0, 100_000),
            st.integers(1, 100),
            st.floats(20, 2000),
            st.floats(0, 100),
        ),
        answers=st.integers(0, 20),
    ),
    st.floats(0, 1e6),
    st.floats(0, 100),
)
def test_estimate_is_finite_and_rises_with_own_calls(figures, now_s, load):
    one = estimate(figures, now_s, load)
    more = attrs.evolve(figures, sent_since=figures.sent_since + 1)
    assert 0 < one < math.inf
    assert estimate(more, now_s, load) >= one - 1e-9


def test_factors_of_instances_are_learned():
    """Instances of one service differ in speed by 0.6 to 1.6."""
    route = RouteFigures()
    figures = {0.6: InstanceFigures(), 1.0: InstanceFigures()}
    figures[1.6] = InstanceFigures()
    for number in range(200):
        for factor, found in figures.items():
            report = LoadReport(1, 0, 3, 100.0, 0.0, WORK_S * factor)
            MODEL.add_answer(found, route, report, float(number))
    ratio = figures[1.6].factor / figures[0.6].factor
    assert ratio == pytest.approx(1.6 / 0.6, rel=0.1)
