"""Retry budgets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.retries import RetryBudget, RetryBudgets
from auburnjunction.traffic.routing_settings import RoutingSettings

STEPS = st.lists(
    st.one_of(st.just("try"), st.just("retry"), st.floats(0, 30).map(abs)),
    max_size=200,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    steps=STEPS,
    share=st.sampled_from([0.0, 0.1, 0.25]),
    floor_per_s=st.sampled_from([0.0, 0.1, 2.0]),
)
def test_retries_never_exceed_share_and_floor(steps, share, floor_per_s):
    cfg = RoutingSettings(retry_share=share, retry_floor_per_s=floor_per_s)
    budget = RetryBudget(cfg, 0.0)
    now_s, tries, retries = 0.0, 0, 0
    for step in steps:
        if step == "try":
            budget.record_first_attempt()
            tries += 1
        elif step == "retry":
            retries += budget.try_spend(now_s)
        else:
            now_s += step
        bound = share * tries + floor_per_s * now_s + 1
        assert retries <= bound + 1e-6


@pytest.mark.parametrize(
    ("tries", "wait_s", "retries"),
    [(0, 0, 1), (10, 0, 1), (20, 0, 2), (10_000, 0, 10), (0, 10, 2)],
)
def test_budget_grants_accumulated_retries(tries, wait_s, retries):
    budget = RetryBudget(RoutingSettings(), 0.0)
    for _ in range(tries):
        budget.record_first_attempt()
    granted = 0
    while budget.try_spend(wait_s):
        granted += 1
    assert granted == retries


def test_priorities_have_separate_budgets():
    budgets = RetryBudgets(RoutingSettings())
    low = budgets.get("s", Priority.LOW, 0.0)
    assert low.try_spend(0.0)
    assert not low.try_spend(0.0)
    assert budgets.get("s", Priority.CRITICAL, 0.0).try_spend(0.0)
