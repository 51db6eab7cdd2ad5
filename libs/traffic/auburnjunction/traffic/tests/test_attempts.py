"""Plans of attempts: small instances with few slots, all busy or not."""

import attrs
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.attempts import AttemptPlanner
from auburnjunction.traffic.calls import NotRunError, UnknownRunError
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.routing_support import make_instance
from auburnjunction.traffic.tests.test_balancers import Fixture, make_routed

SETTINGS = RoutingSettings(prompt_attempts=2, remote_prompt_attempts=2)
LOCAL = {"n0": 0.1, "n1": 0.1}
REMOTE = {"f0": 0.1, "f1": 0.1, "f2": 0.1}


def make_planner(names, settings=SETTINGS):
    """Return a planner and the fixture of its balancer."""
    instances = [
        make_instance(name, data_centre="dc-1" if name[0] == "n" else "dc-2")
        for name in names
    ]
    fixture = Fixture(instances, **attrs.asdict(settings))
    return AttemptPlanner(fixture.balancer, settings), fixture


def plan_all(
    waits_s,
    timeout_s=1.0,
    spill=True,
    settings=SETTINGS,
    known_full=(),
    nested=True,
):
    """Return the attempts of a call while every instance is busy.

    waits_s maps instances to the waits that they expect. Some have just
    refused another call as busy.
    """
    planner, fixture = make_planner(waits_s, settings)
    for name in known_full:
        error = NotRunError("no slot is free", ErrorCode.BUSY)
        fixture.record_error(name, error)
    now_s = fixture.clock.monotonic()
    routed = make_routed(now_s + timeout_s, spill=spill)
    routed.call.nested = nested
    state = planner.start(routed, None)
    attempts = []
    while True:
        planned = planner.plan(routed, state, now_s)
        name = planned.instance.instance
        attempts.append((name, planned.fail_fast))
        if not planned.fail_fast:
            return attempts
        state.add_busy(planned.instance, waits_s[name])


@pytest.mark.parametrize(
    ("waits_s", "asked", "queued"),
    [
        # Short waits at home: no other data centre is asked.
        ({"n0": 0.1, "n1": 0.2, **REMOTE}, "nn", "n0"),
        ({"n0": 0.2, "n1": 0.1, **REMOTE}, "nn", "n1"),
        # Long waits at home: two elsewhere are asked, and the call waits
        # where the wait is shortest.
        ({"n0": 0.6, "n1": 0.5, **dict.fromkeys(REMOTE, 0.9)}, "nnff", "n1"),
        ({"n0": 0.6, "n1": 0.5, **dict.fromkeys(REMOTE, 0.3)}, "nnff", "f"),
        # The only instance at home is asked as well.
        ({"n0": 0.6, **dict.fromkeys(REMOTE, 0.9)}, "nff", "n0"),
        # A third one at home may have a free slot.
        ({"n0": 0.2, "n1": 0.2, "n2": 0.2}, "nn", "n"),
        ({"n0": 0.2}, "", "n0"),
    ],
)
def test_call_waits_where_the_wait_is_shortest(waits_s, asked, queued):
    attempts = plan_all(waits_s)
    assert "".join(name[0] for name, flag in attempts if flag) == asked
    assert attempts[-1][0].startswith(queued)


@pytest.mark.parametrize(
    ("timeout_s", "spill", "nested", "asked"),
    [
        (1.0, True, True, "nnf"),
        (3.0, True, True, "nn"),
        (1.0, False, True, "nn"),
        (1.0, True, False, "nn"),
    ],
)
def test_other_data_centres_are_asked_if_the_wait_is_long(
    timeout_s, spill, nested, asked
):
    """Longer than a quarter of the time left, for a nested call."""
    waits_s = {"n0": 0.5, "n1": 0.5, **REMOTE}
    attempts = plan_all(waits_s, timeout_s, spill, nested=nested)
    assert "".join(name[0] for name, flag in attempts if flag) == asked


def test_instances_elsewhere_that_are_known_to_be_full_are_not_asked():
    """In an overload of all data centres, asking them costs hops only."""
    waits_s = {"n0": 0.6, "n1": 0.5, **REMOTE}
    attempts = plan_all(waits_s, known_full=REMOTE)
    assert [name[0] for name, flag in attempts if flag] == ["n", "n"]
    assert attempts[-1] == ("n1", False)


@pytest.mark.parametrize("prompts", [0, 2])
@pytest.mark.parametrize("names", [["n0"], ["n0", "n1", "n2"], ["f0", "f1"]])
def test_ejected_instance_is_probed_until_a_call_has_succeeded(prompts, names):
    """A probe that is taken for a call must reach the instance."""
    settings = RoutingSettings(prompt_attempts=prompts, ejection_failures=1)
    planner, fixture = make_planner(names, settings)
    outliers = fixture.outlier_tracker
    outliers.record_failure(names[0], fixture.clock.monotonic())
    fixture.clock.advance(settings.ejection_max_ms)
    for _ in range(3):
        now_s = fixture.clock.monotonic()
        routed = make_routed(now_s + 1.0)
        planned = planner.plan(routed, planner.start(routed, None), now_s)
        assert planned.instance.instance == names[0]
        outliers.release_probe(names[0])


def test_call_waits_at_once_without_prompts():
    assert plan_all(LOCAL, settings=RoutingSettings())[0][1] is False


@pytest.mark.parametrize(
    ("errors", "expected"),
    [
        ([NotRunError("a"), NotRunError("b")], "b"),
        ([UnknownRunError("a"), NotRunError("b")], "a"),
        ([], "no instance of member-billing can take the call"),
    ],
)
def test_unknown_outcome_prevails_over_refusals(errors, expected):
    planner, fixture = make_planner(LOCAL)
    routed = make_routed(fixture.clock.monotonic() + 1.0)
    state = planner.start(routed, None)
    for error in errors:
        state.add_error(error, False)
    with pytest.raises((NotRunError, UnknownRunError), match=expected):
        state.get_result(routed.call)
