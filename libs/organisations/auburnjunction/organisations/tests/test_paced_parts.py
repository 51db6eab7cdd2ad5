"""Equal parts of quotas that are spent at a bounded pace."""

from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.organisations.paced_parts import (
    MIN_PACED_PART,
    PacedPart,
)

WINDOW_S = 6.0


# Guards against a node that spends its part twice within a window, because it
# restarts, takes back charges or waits before a surge.
@given(
    part=st.integers(MIN_PACED_PART, 60),
    steps=st.lists(
        st.tuples(st.floats(0, 3), st.integers(0, 40), st.booleans()),
        max_size=30,
    ),
)
def test_part_holds_in_any_window_across_restarts(part, steps):
    now_s = 100.0
    paced = PacedPart(WINDOW_S, now_s, True)
    paced.set_part(part, now_s)
    runs_s = []
    for delay_s, requests, restarts in steps:
        now_s += delay_s
        if restarts:
            paced = PacedPart(WINDOW_S, now_s, False)
            paced.set_part(part, now_s)
        runs_s += [now_s for _ in range(requests) if paced.try_take(now_s)]
    for start_s in runs_s:
        end_s = start_s + WINDOW_S
        assert sum(start_s <= s <= end_s for s in runs_s) <= part


# Guards against a restarted node that refuses the usual demand for a window.
def test_restarted_part_earns_at_once():
    paced = PacedPart(WINDOW_S, 0.0, False)
    paced.set_part(36, 0.0)
    assert not paced.try_take(0.0)
    delay_s = paced.find_delay(0.0)
    assert delay_s < 0.25
    assert paced.try_take(delay_s + 0.001)
