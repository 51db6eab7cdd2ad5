"""Tests of the verdicts, the share and the exposure, in simulations."""

import random

import attrs
import pytest

from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.rollouts.baselines import choose_version
from auburnjunction.rollouts.exposures import make_budget
from auburnjunction.rollouts.orders import Phase
from auburnjunction.rollouts.schedules import (
    Situation,
    may_accept,
    plan_share,
)
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.tests.simulations import (
    BEHAVIOURS,
    RAMP_S,
    RESERVE_S,
    Simulation,
)
from auburnjunction.rollouts.verdicts import Assessment

SETTINGS = RolloutSettings(enabled=True)
ROLLBACK_S = SETTINGS.rollback_ms / 1000


@pytest.mark.parametrize("behaviour", BEHAVIOURS, ids=lambda b: b.name)
def test_simulated_roll_out(behaviour):
    result = Simulation(behaviour, seed=1).run()
    if behaviour.name.startswith("good"):
        assert result.phase is Phase.ACCEPTED
        assert result.ended_s < RAMP_S + RESERVE_S / 2
        return
    assert result.phase is Phase.CONDEMNED
    assert result.last_s < result.fiftieth_s + ROLLBACK_S
    # A version that turns bad after its acceptance may get more.
    if "10 s" not in behaviour.name:
        assert result.exposed <= result.find_limit(SETTINGS)


# Guards against services with few requests whose roll-outs never end.
@pytest.mark.parametrize("rate_per_s", [1, 5, 20])
def test_good_version_with_few_requests(rate_per_s):
    result = Simulation(BEHAVIOURS[0], 3, rate_per_s=rate_per_s).run()
    assert result.phase is Phase.ACCEPTED
    assert result.ended_s < RAMP_S + RESERVE_S / 2


@pytest.mark.parametrize("nodes", [1, 12, 61, 1000])
@pytest.mark.parametrize("per_node", [1, 7, 200])
def test_exposure_stays_in_its_bounds(nodes, per_node):
    rng = random.Random(2)
    sent = 0
    for _ in range(nodes):
        budget = make_budget(SETTINGS, nodes, rng)
        for _ in range(per_node):
            budget.draw("read", 1.0, 4.0, True, rng.random())
        sent += budget.sent
    limit = SETTINGS.exposure_share * nodes * per_node
    assert sent <= limit + SETTINGS.exposure_slack


SITUATION = Situation(0.5, Assessment(answers=500), None, 150, 150, 17)


# Each row: changed fields, and bounds of the share.
SHARES = [
    ({}, 0.05, 0.06),
    # The versions' first answers are awaited with a smaller share.
    ({"progress": 0.1, "assessment": Assessment()}, 0.02, 0.03),
    # No instance of the target is ready, or no other node is heard from.
    ({"target_slots": 0}, 0.0, 0.0),
    ({"has_contact": False}, 0.0, 0.0),
    # The target has room for a third of the requests only.
    ({"progress": 0.9, "accepted_progress": 0.6, "target_slots": 50},
     0.3, 0.34),
    ({"progress": 0.91, "accepted_progress": 0.6}, 1.0, 1.0),
]  # fmt: skip


@pytest.mark.parametrize("fields, low, high", SHARES)
def test_share(fields, low, high):
    situation = attrs.evolve(SITUATION, **fields)
    assert low <= plan_share(situation, 0.1, 0.0) <= high


def test_suspicion_stops_the_raise():
    situation = attrs.evolve(
        SITUATION,
        progress=0.8,
        accepted_progress=0.6,
        assessment=Assessment(log_ratio=5.0),
    )
    assert plan_share(situation, 0.1, 0.12) == 0.12


ACCEPTANCES = [
    ({}, False),
    ({"progress": 0.7}, False),
    ({"progress": 0.7, "assessment": Assessment(is_accepted=True)}, True),
    ({"progress": 0.8, "assessment": Assessment(requests=50)}, True),
    ({"progress": 0.8, "assessment": Assessment(requests=5000)}, False),
    ({"progress": 0.8, "assessment": Assessment(3.0, is_accepted=True)},
     False),
    ({"is_in_force": True}, True),
    # A restarted node may not see the old instances yet.
    ({"old_slots": 0}, False),
]  # fmt: skip


@pytest.mark.parametrize("fields, is_accepted", ACCEPTANCES)
def test_acceptance(fields, is_accepted):
    assert may_accept(attrs.evolve(SITUATION, **fields)) is is_accepted


def make_instances(version, starts_ms):
    return [
        Instance(
            f"{version}-{i}", "orders", InstanceState.READY, 3, 0, "n", "a",
            "127.0.0.1", 1, (), start_ms, version,
        )
        for i, start_ms in enumerate(starts_ms)
    ]  # fmt: skip


VERSIONS = [
    # The version that was there first, though fewer are left of it.
    ([("v1", [5, 6]), ("v2", [90_000] * 3)], "v1"),
    # One of its instances was restarted.
    ([("v1", [5, 6, 95_000]), ("v2", [90_000] * 3)], "v1"),
    # All started together: the version of most instances.
    ([("v1", [5, 6]), ("v2", [7, 8, 9])], "v2"),
    ([], None),
]


@pytest.mark.parametrize("groups, expected", VERSIONS)
def test_version_in_force(groups, expected):
    instances = [i for group in groups for i in make_instances(*group)]
    assert choose_version(instances) == expected
