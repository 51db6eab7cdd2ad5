"""Tests of load plans, callers and the check of executions."""

import attrs
import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.settings import SettingsError, configure_settings
from auburnjunction.commands.loads import run_load
from auburnjunction.commands.mixes import CallMix, Flood, LoadPlan
from auburnjunction.commands.tests.support import make_plan, open_node

POST = {"method": "POST", "repeatable": False, "body_bytes": 40}


def run_against(steps, **options):
    async def main():
        async with open_node(steps) as (node, address):
            result = await run_load(
                make_plan(address, **options), SystemClock()
            )
            return node, result

    return curio.run(main)


@pytest.mark.parametrize(
    ("steps", "options", "outcome", "attempts_each"),
    [
        (["ok"], {}, "ok", 1),
        (["ok"], POST, "ok", 1),
        (["fail"], {}, "failed", 1),
        (["refuse"], {}, "not_run", 3),
        (["unknown"], {}, "unknown", 3),
        (["unknown"], POST, "unknown", 3),
        (["unknown"], POST | {"keyed": False}, "unknown", 1),
        (["drop"], POST | {"keyed": False}, "unknown", 1),
        (["wrong"], {}, "wrong", 1),
    ],
)
def test_caller_classifies_and_retries_calls(
    steps, options, outcome, attempts_each
):
    _, result = run_against(steps, check=False, **options)
    (row,) = result.by_priority
    assert row.due == row.sent == getattr(row, outcome) > 0
    assert row.attempts == row.sent * attempts_each


def test_unknown_then_refused_stays_unknown():
    _, result = run_against(
        ["unknown", "refuse"], check=False, rate_per_s=20.0
    )
    (row,) = result.by_priority
    assert row.unknown == 1
    assert row.not_run == row.sent - 1


@pytest.mark.parametrize(
    ("steps", "options", "found"),
    [
        (["ok"], POST, {}),
        (["refuse"], POST, {}),
        (["duplicate"], POST, {"doubled"}),
        (["duplicate"], {}, set()),
        (["drop"], POST, {"doubled"}),
        (["false_refuse"], POST | {"attempts": 1}, {"ran_although_refused"}),
        (["no_execution"], {}, {"lost"}),
    ],
)
def test_history_check_finds_violations(steps, options, found):
    node, result = run_against(steps, **options)
    history = result.history
    kinds = ("doubled", "ran_although_refused", "lost")
    assert {kind for kind in kinds if getattr(history, kind)} == set(found)
    assert bool(result.violations) is bool(found)
    assert history.executions == len(node.executions)
    assert bool(history.examples) is bool(found)


def test_latency_is_measured_from_due_time():
    async def main():
        clock = SystemClock()
        async with open_node(["ok"]) as (_, address):
            plan = make_plan(address, check=False, rate_per_s=100.0)
            result = await run_load(plan, clock)
            latency = result.by_priority[0].latency
            assert 0 < latency.p50_ms <= latency.p99_ms <= latency.max_ms

    curio.run(main)


def test_calls_beyond_max_calls_are_not_sent():
    async def main():
        async with open_node(["ok"]) as (node, address):
            values = {
                "nodes": [address],
                "mixes": [{"name": "m", "path": "/m", "rate_per_s": 500.0}],
                "duration_s": 0.2,
                "max_calls": 3,
            }
            plan = configure_settings(values, LoadPlan)
            result = await run_load(plan, SystemClock())
            assert result.sent == node.calls == 3
            assert result.not_sent == result.due - 3 > 0

    curio.run(main)


def test_warm_up_calls_are_checked_but_not_counted():
    async def main():
        async with open_node(["ok"]) as (node, address):
            plan = attrs.evolve(make_plan(address), warm_up_s=0.1)
            result = await run_load(plan, SystemClock())
            assert result.duration_s == 0.1
            assert 0 < result.sent < node.calls
            assert result.history.checked_calls == node.calls

    curio.run(main)


@pytest.mark.parametrize(
    ("elapsed_s", "rate_per_s"), [(0.0, 10), (1.0, 40), (2.9, 40), (3.0, 10)]
)
def test_flood_adds_to_the_rate_while_active(elapsed_s, rate_per_s):
    flood = Flood(rate_per_s=30, start_s=1, duration_s=2)
    mix = CallMix(name="m", path="/m", rate_per_s=10, floods=(flood,))
    assert mix.find_rate_per_s(elapsed_s) == rate_per_s


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"nodes": ["nowhere"]}, "nodes"),
        ({"nodes": []}, "nodes"),
        ({"mixes": []}, "mixes"),
        ({"speed": 1}, "speed"),
        ({"duration_s": -1}, "duration_s"),
        (
            {"mixes": [{"name": "m", "path": "/", "rate_per_s": -1}]},
            "mixes.0.rate_per_s",
        ),
    ],
)
def test_invalid_plan_error_names_its_field(change, field):
    values = {
        "nodes": ["127.0.0.1:1"],
        "mixes": [{"name": "m", "path": "/m", "rate_per_s": 1.0}],
    }
    with pytest.raises(SettingsError) as caught:
        configure_settings(values | change, LoadPlan)
    assert caught.value.field == field
