"""Sliding sums."""

from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.base.sums import SlidingSum

WINDOW_S = 5.0
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, 5), st.integers(0, 5)),
    max_size=60,
)


@given(STEPS)
def test_amounts_that_are_taken_back_make_no_room_for_others(steps):
    """Guards against a sum below what a window holds after refunds.

    Refunded amounts are the latest that were added: these stay in the
    window longest.
    """
    total = SlidingSum(WINDOW_S, 20)
    kept: list[list[float]] = []
    now_s = 100.0
    for delay_s, amount, refund in steps:
        now_s += delay_s
        total.add(amount, now_s)
        kept.append([now_s, amount])
        for entry in reversed(kept):
            if entry[0] > now_s - WINDOW_S:
                taken = min(refund, entry[1])
                entry[1] -= taken
                refund -= taken
                total.remove_oldest(taken, now_s)
        expected = sum(a for t, a in kept if t > now_s - WINDOW_S)
        assert total.find_total(now_s) >= expected


@given(STEPS)
def test_delay_ends_when_the_amount_has_left(steps):
    total = SlidingSum(WINDOW_S, 20)
    now_s = 100.0
    for delay_s, amount, wanted in steps:
        now_s += delay_s
        total.add(amount, now_s)
        before = total.find_total(now_s)
        delay_s = total.find_delay(min(wanted, before), now_s)
        ages = [age_s for age_s, _ in total.list_amounts(now_s)]
        assert ages == sorted(ages, reverse=True)
        copy = SlidingSum(WINDOW_S, 20)
        for age_s, held in total.list_amounts(now_s):
            copy.add(held, now_s - age_s)
        later_s = now_s + delay_s + 1e-6
        assert copy.find_total(now_s) == before
        assert total.find_total(later_s) <= before - min(wanted, before)
        now_s = later_s
