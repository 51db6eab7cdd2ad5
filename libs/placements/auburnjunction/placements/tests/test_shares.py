"""Shares for other data centres: bounds, logs and stability."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.placements import shares
from auburnjunction.placements.shares import ShareTable

CHANGE_PER_S = 0.25
GAINS = st.none() | st.floats(-1e6, 1e6)


@given(
    st.lists(
        st.tuples(
            st.floats(0, 3), st.dictionaries(st.sampled_from("bcd"), GAINS)
        ),
        max_size=40,
    )
)
def test_shares_rise_slowly_and_stay_within_their_bound(steps):
    table = ShareTable(0.5, CHANGE_PER_S)
    now_s = 0.0
    before = {}
    for elapsed_s, gains in steps:
        now_s += elapsed_s
        table.step("orders", gains, now_s)
        values = {name: table.get("orders", name) for name in "bcd"}
        assert sum(values.values()) <= 0.5 + 1e-9
        for name, value in values.items():
            rise = value - before.get(name, 0.0)
            assert rise <= CHANGE_PER_S * shares.MAX_STEP_S + 1e-9
            if gains.get(name) is None:
                assert value == 0.0
        before = values


@pytest.mark.parametrize("nodes", [1, 14])
def test_share_settles_between_two_uneven_data_centres(nodes):
    """One is at 1.2 of its room, the other at 0.5; nodes see old loads."""
    tables = [ShareTable(0.5, CHANGE_PER_S) for _ in range(nodes)]
    rng = random.Random(1)
    seen = []
    history = []
    for step in range(600):
        now_s = step * 0.1
        share = sum(t.get("orders", "b") for t in tables) / nodes
        history.append(share)
        seen.append((1.2 * (1 - share), 0.5 + 1.2 * share))
        for table in tables:
            # Reports are 50 to 500 ms old.
            home, there = seen[max(0, step - rng.randint(1, 5))]
            gain_ms = 100 * (home - there) - 5
            table.step("orders", {"b": gain_ms}, now_s)
    settled = history[300:]
    assert max(settled) - min(settled) < 0.05
    assert 0.2 < settled[-1] < 0.4


def test_share_is_zero_at_once_when_the_other_side_is_full():
    table = ShareTable(0.5, CHANGE_PER_S)
    for step in range(20):
        table.step("orders", {"b": 50.0}, step * 0.1)
    assert table.draw("orders", 0.1) == "b"
    table.clear("orders", "b", 2.0)
    assert table.draw("orders", 0.0) == ""


def test_log_lines_of_changing_shares_are_limited(monkeypatch):
    lines = []
    monkeypatch.setattr(
        shares, "log_event", lambda *args, **fields: lines.append(fields)
    )
    table = ShareTable(0.5, 10.0)
    for step in range(100):
        gain_ms = 100.0 * (-1) ** (step // 5)
        table.step("orders", {"b": gain_ms}, step * 0.1)
    assert 1 <= len(lines) <= math.ceil(10.0 / shares.LOG_INTERVAL_S) + 1
