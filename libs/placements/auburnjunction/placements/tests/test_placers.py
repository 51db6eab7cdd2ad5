"""Choice of data centres under different loads, without a network.

The home data centre is "a", "b" is in its region, "c" in another one.
"""

import random

import attrs
import pytest

from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.placements.costs import Demand
from auburnjunction.placements.placers import Outcome, Placer
from auburnjunction.placements.reports import LoadReport
from auburnjunction.placements.settings import PlacementSettings

REGIONS = {"a": "north", "b": "north", "c": "south"}
LINKS_S = {"a": 0.001, "b": 0.011, "c": 0.024}
WORK_S = 0.05
SMALL_KB = 1.0
UPLOAD_KB = 60.0
FREE = (0.3, 1.0)
BUSY = (0.7, 1.5)
SLOWER = (0.8, 2.6)
LATE = (0.9, 8.0)
FULL = (3.0, 8.0)
DEMAND = Demand("orders", "route", SMALL_KB, 0.25)


def make_instance(data_centre, name="i"):
    return Instance(
        instance=f"{name}-{data_centre}",
        service="orders",
        state=InstanceState.READY,
        slots=10,
        load_percent=0,
        node=f"node-{name}-{data_centre}",
        data_centre=data_centre,
        host="h",
        peer_port=1,
    )


def make_placer(**settings):
    return Placer(
        PlacementSettings(regions=REGIONS, **settings),
        "a",
        random.Random(1),
        LINKS_S.__getitem__,
    )


def add_answer(placer, data_centre, state, now_s):
    """Record an answer of a data centre with a load and a stretch."""
    load, stretch = state
    report = LoadReport(int(10 * load), 0, 10, run_s=WORK_S)
    outcome = Outcome(report, WORK_S * stretch, 1000)
    placer.record_answer(make_instance(data_centre), "route", outcome, now_s)


def run(placer, states, demand=DEMAND, start_s=0.0, duration_s=5.0):
    """Return how many of the last 100 calls went to each data centre."""
    counts = dict.fromkeys(REGIONS, 0)
    steps = int(duration_s * 100)
    for step in range(steps):
        now_s = start_s + step / 100
        for name, state in states.items():
            add_answer(placer, name, state, now_s)
        chosen = placer.draw_data_centre(demand, lambda: {"b", "c"}, now_s)
        counts[chosen] += step >= steps - 100
    return counts


@pytest.mark.parametrize(
    ("home", "near", "far", "expected"),
    [
        (FREE, FREE, FREE, ""),
        (BUSY, FREE, FREE, ""),
        (SLOWER, FREE, FREE, "b"),
        (SLOWER, FULL, FREE, ""),
        (LATE, FREE, FREE, "b"),
        (LATE, LATE, FREE, "c"),
        (LATE, FULL, FREE, "c"),
        (FULL, FULL, FULL, ""),
        (LATE, LATE, LATE, ""),
        (LATE, FULL, FULL, ""),
    ],
)
def test_calls_leave_an_overloaded_data_centre(home, near, far, expected):
    """Late at home: the region takes calls, and another one only then."""
    counts = run(make_placer(), {"a": home, "b": near, "c": far})
    if not expected:
        assert counts == {"a": 100, "b": 0, "c": 0}
    else:
        assert counts[expected] >= 20
        assert counts["a"] + counts[expected] == 100


@pytest.mark.parametrize(
    ("demand", "leaves"),
    [
        (DEMAND, True),
        (attrs.evolve(DEMAND, kilobytes=UPLOAD_KB), False),
        (attrs.evolve(DEMAND, objective_left_s=5.0), True),
        (
            attrs.evolve(DEMAND, objective_left_s=5.0, kilobytes=UPLOAD_KB),
            False,
        ),
    ],
    ids=["small", "upload", "in time elsewhere and here", "upload in time"],
)
def test_uploads_stay_when_small_calls_leave(demand, leaves):
    """The bytes of an upload cost more than its being late here."""
    placer = make_placer()
    run(placer, {"a": LATE, "b": FREE})
    counts = run(placer, {"a": LATE, "b": FREE}, demand, 5.0, 1.0)
    assert (counts["b"] > 0) is leaves


def test_nested_call_leaves_sooner():
    """A nested call fails its parent, so that its wait weighs more."""
    placer = make_placer()
    for state, name in ((FREE, "a"), (FREE, "b")):
        add_answer(placer, name, state, 0.0)
    others = {"b"}
    assert not placer.choose_after_wait(DEMAND, 0.12, others, 0.01)
    nested = attrs.evolve(DEMAND, nested=True)
    assert placer.choose_after_wait(nested, 0.18, others, 0.01) == "b"
    assert not placer.choose_after_wait(nested, 0.01, others, 0.01)


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [
        (FREE, FREE, "b"),
        (LATE, FREE, "c"),
        (FULL, FREE, "c"),
        (LATE, LATE, "b"),
        (FULL, LATE, ""),
        (FULL, FULL, ""),
    ],
)
def test_refused_call_goes_to_the_region_first(near, far, expected):
    """Elsewhere only if it is taken there, and far only in time."""
    placer = make_placer()
    for step in range(100):
        add_answer(placer, "b", near, step / 100)
        add_answer(placer, "c", far, step / 100)
    chosen = placer.choose_after_refusal(DEMAND, {"b", "c"}, 1.0)
    assert chosen == expected


def test_share_is_zero_once_the_other_side_refuses():
    """Refusals of a burst elsewhere outweigh reports from before it.

    Trials follow after 1 s, and later ones less often.
    """
    placer = make_placer()
    states = {"a": LATE, "b": FREE}
    assert run(placer, states)["b"] > 20
    trials = []
    for step in range(2000):
        now_s = 5.0 + step / 100
        add_answer(placer, "a", LATE, now_s)
        chosen = placer.draw_data_centre(DEMAND, lambda: {"b"}, now_s)
        if chosen == "b":
            trials.append(now_s)
            placer.record_refusal(make_instance("b"), None, now_s, True)
    assert 2 <= len(trials) <= 6
    gaps = [b - a for a, b in zip(trials, trials[1:], strict=False)]
    assert all(gap >= 1.0 for gap in gaps)


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_home_without_news_sends_nothing_away(is_cut_off):
    """Figures older than a second are no ground to leave.

    The nodes of a data centre that is cut off refuse nothing and say nothing.
    """
    placer = make_placer()
    run(placer, {"a": LATE, "b": FREE})
    counts = dict.fromkeys("abc", 0)
    for step in range(300):
        now_s = 6.5 + step / 100
        if is_cut_off:
            add_answer(placer, "a", FREE, now_s)
        chosen = placer.draw_data_centre(DEMAND, lambda: {"b"}, now_s)
        counts[chosen] += 1
    assert counts["a"] == 300


def test_service_without_figures_is_not_placed():
    placer = make_placer()
    outcome = Outcome(None, 0.1, 1000)
    placer.record_answer(make_instance("a"), "route", outcome, 0.0)
    assert not placer.has_figures("orders", 0.0)
    add_answer(placer, "a", FREE, 0.0)
    assert placer.has_figures("orders", 1.0)
    assert not placer.has_figures("orders", 100.0)


def test_new_incarnation_loses_the_figures_of_the_old_one():
    placer = make_placer()
    old = make_instance("a")
    slow = Outcome(LoadReport(9, 9, 10, 500.0, 0.0, 0.5), 0.5, 1)
    placer.record_answer(old, "route", slow, 0.0)
    before_s = placer.estimate_at(old, "route", 0.01, True)
    new = attrs.evolve(old, born_ms=2)
    assert placer.estimate_at(new, "route", 0.01, True) < before_s / 2


def test_tables_stay_bounded():
    placer = make_placer()
    for number in range(10_000):
        placer.record_start(make_instance(f"dc-{number}"), 10)
        add_answer(placer, f"dc-{number}", FREE, float(number))
    assert len(placer.traffic.calls) <= 65
    assert len(placer._instances) <= 8192
    assert len(placer._pools) <= 1024
