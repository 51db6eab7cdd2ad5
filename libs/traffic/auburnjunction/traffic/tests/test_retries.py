"""Retry budgets of one node and of a fleet, without a network."""

import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.sums import WINDOW_SLOTS
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.retries import (
    PEAK_HOLD_S,
    FleetSize,
    RetryBudgets,
)
from auburnjunction.traffic.routing_settings import RoutingSettings

STEPS = st.lists(
    st.one_of(st.just("try"), st.just("retry"), st.floats(0, 30).map(abs)),
    max_size=200,
)
WINDOW_S = 10.0


class NeverRandom(random.Random):
    """Grants no retry for less than a whole token."""

    def random(self):
        return 1.0


def make_budget(share=0.1, slack=0.0):
    cfg = RoutingSettings(
        retry_share=share, retry_slack=slack, retry_window_s=WINDOW_S
    )
    return RetryBudgets(cfg, rng=NeverRandom()).get("s", Priority.HIGH)


def count_since(times_s, start_s):
    return sum(time_s >= start_s for time_s in times_s)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    steps=STEPS,
    share=st.sampled_from([0.0, 0.1, 0.25]),
    slack=st.sampled_from([0.0, 1.0, 5.0]),
)
def test_retries_of_any_window_keep_share_and_slack(steps, share, slack):
    budget = make_budget(share, slack)
    now_s, tries_s, retries_s = 0.0, [], []
    for step in steps:
        if step == "try":
            budget.record_first_attempt(now_s)
            tries_s.append(now_s)
        elif step == "retry":
            if budget.try_spend(now_s):
                retries_s.append(now_s)
        else:
            now_s += step
        # First attempts of up to one slot more count.
        slot_s = WINDOW_S / 10
        tries = count_since(tries_s, now_s - WINDOW_S - slot_s)
        retries = count_since(retries_s, now_s - WINDOW_S)
        assert retries <= share * tries + slack + 1e-6


@pytest.mark.parametrize(
    ("tries", "age_s", "slack", "retries"),
    [
        (0, 0, 0, 0),
        (9, 0, 0, 0),
        (10, 0, 0, 1),
        (1000, 9, 0, 100),
        # First attempts before the window no longer count.
        (1000, 12, 0, 0),
        # The slack is there without first attempts, and again later.
        (0, 0, 3, 3),
        (0, 100, 3, 3),
    ],
)
def test_budget_grants_what_the_window_allows(tries, age_s, slack, retries):
    budget = make_budget(slack=slack)
    for _ in range(tries):
        budget.record_first_attempt(0.0)
    granted = 0
    while budget.try_spend(age_s):
        granted += 1
    assert granted == retries


def test_calls_of_repeated_requests_use_the_budget():
    budget = make_budget()
    for _ in range(20):
        budget.record_first_attempt(0.0)
    budget.record_retry(0.0)
    assert budget.try_spend(0.0)
    assert not budget.try_spend(0.0)


def test_priorities_earn_separately_and_share_the_slack():
    cfg = RoutingSettings(retry_slack=1)
    budgets = RetryBudgets(cfg, rng=NeverRandom())
    low = budgets.get("s", Priority.LOW)
    critical = budgets.get("s", Priority.CRITICAL)
    for _ in range(10):
        critical.record_first_attempt(0.0)
    assert low.try_spend(0.0)
    assert not low.try_spend(0.0)
    assert critical.try_spend(0.0)
    assert not critical.try_spend(0.0)


@pytest.mark.parametrize(
    ("counts", "ages_s", "size"),
    [
        ((5, 9), (0, 2), 9),
        # A cut halves the view; the other half still spends its part.
        ((10, 5), (0, 2), 10),
        ((10, 5), (0, PEAK_HOLD_S + 1), 5),
        ((0,), (0,), 1),
    ],
)
def test_fleet_size_is_the_recent_peak(counts, ages_s, size):
    known = iter(counts)
    fleet = FleetSize(lambda: next(known))
    assert [fleet.read(age_s) for age_s in ages_s][-1] == size


@attrs.define
class PerNodeBucket:
    """Rejected: buckets of fixed size on each node and for each priority."""

    share: float
    tokens: float = 1.0
    burst: float = 2.0

    def record_first_attempt(self, _now_s):
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_spend(self, _now_s):
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


RATIO = 0.2
# Part of the limit that nodes use; the rest is for calls of repeated runs.
USED_SHARE = 0.5
REQUESTS_PER_S = 100
CALM_S = 30
STORM_S = 12
PRIORITIES = (Priority.CRITICAL, Priority.HIGH, Priority.LOW)


def make_shared(nodes, slack, sees=1.0):
    """Return the budgets of nodes that see a share of their fleet."""
    cfg = RoutingSettings(
        retry_share=RATIO * USED_SHARE,
        retry_slack=slack * USED_SHARE,
    )
    known = nodes

    def count():
        return known

    fleet = [
        RetryBudgets(cfg, count, random.Random(index))
        for index in range(nodes)
    ]
    for budgets in fleet:
        budgets.get("s", Priority.HIGH).try_spend(0.0)
    known = max(1, round(nodes * sees))
    return fleet


@attrs.define
class PerNodeBudgets:
    """Buckets of one node by priority."""

    buckets: dict = attrs.field(factory=dict)

    def get(self, _service, priority):
        return self.buckets.setdefault(
            priority, PerNodeBucket(RATIO * USED_SHARE)
        )


def play(fleet, heavy_share):
    """Return arrivals per second: first ones, and retries granted.

    After a calm time every request fails and wants a retry. A share of
    the traffic enters at the first node.
    """
    source = random.Random(7)
    firsts, retries = Counter(), Counter()
    for second in range(CALM_S + STORM_S):
        for index in range(REQUESTS_PER_S):
            now_s = second + index / REQUESTS_PER_S
            is_heavy = source.random() < heavy_share
            node = 0 if is_heavy else source.randrange(len(fleet))
            priority = source.choice(PRIORITIES)
            budget = fleet[node].get("s", priority)
            budget.record_first_attempt(now_s)
            firsts[second] += 1
            if second >= CALM_S:
                retries[second] += budget.try_spend(now_s)
    return firsts, retries


def find_worst_excess(firsts, retries, slack):
    """Return the greatest excess over the limit in any window."""
    window = int(WINDOW_S)
    excesses = []
    for start in range(CALM_S + STORM_S - window + 1):
        seconds = range(start, start + window)
        limit = RATIO * sum(firsts[s] for s in seconds) + slack
        excesses.append(sum(retries[s] for s in seconds) - limit)
    return max(excesses)


@pytest.mark.parametrize(
    ("nodes", "slack"), [(12, 62), (75, 198), (195, 430), (1000, 430)]
)
@pytest.mark.parametrize("sees", [1.0, 0.5])
@pytest.mark.parametrize("heavy_share", [0.0, 0.5])
def test_failure_of_a_whole_service_keeps_the_budget_of_the_fleet(
    nodes, slack, sees, heavy_share
):
    """Every request fails at once, also with uneven load or half cut off."""
    fleet = make_shared(nodes, slack, sees)
    firsts, retries = play(fleet, heavy_share)
    assert find_worst_excess(firsts, retries, slack) <= 0
    # The budget is of use: half of the part that nodes use is granted.
    limit = USED_SHARE * (RATIO * REQUESTS_PER_S * STORM_S + slack)
    assert sum(retries.values()) >= limit / 2


@pytest.mark.parametrize(("nodes", "slack"), [(25, 31), (195, 430)])
def test_calls_of_repeated_runs_fit_into_the_budget(nodes, slack):
    """Each run of one service calls another one, and both fail."""
    fleet = make_shared(nodes, slack)
    source = random.Random(7)
    firsts, retries = Counter(), Counter()
    for second in range(CALM_S + STORM_S):
        for index in range(REQUESTS_PER_S):
            now_s = second + index / REQUESTS_PER_S
            is_storm = second >= CALM_S
            outer = source.choice(fleet).get("outer", Priority.HIGH)
            outer.record_first_attempt(now_s)
            runs = 1 + (is_storm and outer.try_spend(now_s))
            for run in range(runs):
                inner = source.choice(fleet).get("inner", Priority.HIGH)
                inner.record_first_attempt(now_s)
                firsts[second] += 1
                if run:
                    inner.record_retry(now_s)
                    retries[second] += 1
                if is_storm:
                    retries[second] += inner.try_spend(now_s)
    assert find_worst_excess(firsts, retries, slack) <= 0


def test_buckets_of_fixed_size_exceed_the_budget_of_a_large_fleet():
    fleet = [PerNodeBudgets() for _ in range(1000)]
    firsts, retries = play(fleet, 0.0)
    assert find_worst_excess(firsts, retries, 430) > 0


def test_node_that_needs_retries_gets_them():
    """Only one node of 195 sees failures, in a 20th of its calls."""
    fleet = make_shared(195, 430)
    granted = wanted = 0
    for index in range(400):
        now_s = index * 0.1
        budget = fleet[0].get("s", Priority.HIGH)
        budget.record_first_attempt(now_s)
        if index % 20 == 0:
            wanted += 1
            granted += budget.try_spend(now_s)
    assert granted >= 0.9 * wanted


def test_first_attempts_of_calm_hours_are_not_kept():
    """A node on which no call fails never asks its budget."""
    budget = make_budget()
    for second in range(3600):
        budget.record_first_attempt(float(second))
    assert len(budget._attempts._slots) <= WINDOW_SLOTS + 1
