"""Times of return of refused callers, without network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.traffic.return_ledgers import (
    EARLY_S,
    LATE_S,
    MAX_RETURN_SHARE,
    MIN_RETURN_S,
    PLACE_SHARE,
    ReturnLedger,
)


def make_ledger(rate=20.0):
    """Return a ledger that has seen a rate of answers until now (0 s)."""
    ledger = ReturnLedger()
    for step in range(200):
        ledger.record_answer(-(200 - step) / rate)
    return ledger


def test_places_are_spread_over_the_room():
    """Guards against callers that return together and are refused again."""
    ledger = make_ledger(20.0)
    places = [ledger.reserve(3.0, 9.0, 0.0) for _ in range(20)]
    reserved = [place.delay_s for place in places if place.reserved]
    gaps = [b - a for a, b in zip(reserved, reserved[1:], strict=False)]
    assert gaps == pytest.approx([1 / (20 * PLACE_SHARE)] * len(gaps), rel=0.1)
    # The others are told the longest time that they honour.
    assert len(reserved) < 20
    assert {p.delay_s for p in places if not p.reserved} == {1.0}


@pytest.mark.parametrize(
    ("left_s", "latest_s", "reserved"),
    [(3.0, 9.0, True), (3.0, 0.01, False), (0.03, 9.0, False), (0, 9, False)],
)
def test_no_place_is_promised_that_would_be_late(left_s, latest_s, reserved):
    place = make_ledger().reserve(left_s, latest_s, 0.0)
    assert place.reserved is reserved
    assert place.delay_s <= left_s * MAX_RETURN_SHARE


def test_nothing_is_promised_without_answers():
    """Guards against promises of a service that answers nothing."""
    assert not ReturnLedger().reserve(3.0, 9.0, 0.0).reserved


@pytest.mark.parametrize(
    ("offset_s", "taken"),
    [
        (0.0, True),
        (LATE_S * 0.9, True),
        (LATE_S * 1.1, False),
        (-EARLY_S * 0.9, True),
        (-EARLY_S * 1.1, False),
    ],
)
def test_a_place_is_taken_once_at_about_its_time(offset_s, taken):
    """Guards against callers that gain by returning early."""
    ledger = make_ledger(5.0)
    place = ledger.reserve(30.0, 9.0, 0.0)
    now_s = place.delay_s + offset_s
    assert ledger.take(now_s) is taken
    assert not ledger.take(now_s)


@given(
    st.lists(st.tuples(st.floats(0, 1), st.floats(0, 10)), max_size=80),
    st.floats(1, 200),
)
def test_promises_stay_within_the_drain_rate(refusals, rate):
    """Whatever the refusals, places are no denser than the room."""
    ledger = make_ledger(rate)
    now_s, places = 0.0, []
    for step_s, left_s in refusals:
        now_s += step_s / 100
        place = ledger.reserve(left_s, now_s + 5.0, now_s)
        if place.reserved:
            assert place.delay_s >= MIN_RETURN_S - 1e-9
            places.append(now_s + place.delay_s)
    assert places == sorted(places)
    # The estimate of the rate exceeds the true one by up to half after a
    # single answer in a half-life.
    for first, second in zip(places, places[1:], strict=False):
        assert second - first >= 0.5 / (rate * PLACE_SHARE)
