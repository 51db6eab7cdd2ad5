"""Leases of local backend servers and detection of pauses."""

import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.membership.leases import (
    GONE_RETENTION_S,
    LeaseTable,
    round_load,
)
from auburnjunction.membership.pauses import PauseDetector
from auburnjunction.membership.tests.support import make_announcement

LIMIT_S = 3.0


@pytest.mark.parametrize(
    ("states", "shown"),
    [
        (["starting"], "starting"),
        (["starting", "ready"], "ready"),
        (["ready", "leaving"], "leaving"),
        (["ready", "leaving", "ready"], "leaving"),
        (["ready", "leaving", "starting", "ready"], "ready"),
        (["ready", "leaving", "gone"], "gone"),
        (["ready", "leaving", "gone", "ready"], "ready"),
    ],
)
@pytest.mark.parametrize("draining", [False, True])
def test_state_after_announcements(states, shown, draining):
    leases = LeaseTable(ManualClock())
    for state in states:
        lease = leases.renew(make_announcement(state=state))
        lease.draining = draining
    if draining and shown in ("starting", "ready"):
        shown = "leaving"
    assert lease.published_state.name.lower() == shown


# Guards against a departure that is ignored, and acknowledged, because another
# announcement of the incarnation has a higher sequence; and against one of an
# earlier incarnation that retires the next.
@pytest.mark.parametrize(
    ("born_ms", "state", "shown"),
    [
        (20, "leaving", "leaving"),
        (20, "gone", "gone"),
        (20, "ready", "ready"),
        (10, "leaving", "ready"),
        (10, "gone", "ready"),
    ],
)
def test_departure_with_a_lower_sequence_is_applied(born_ms, state, shown):
    leases = LeaseTable(ManualClock())
    leases.renew(make_announcement(born_ms=20, sequence=1000))
    late = make_announcement(state=state, born_ms=born_ms, sequence=5)
    lease = leases.renew(late)
    assert lease.state.name.lower() == shown
    # It is final for its incarnation.
    later = make_announcement(born_ms=20, sequence=1001)
    assert leases.renew(later).state.name.lower() == shown
    newer = make_announcement(born_ms=30, sequence=1)
    assert leases.renew(newer).state.name.lower() == "ready"


def test_lease_expires_unless_it_is_renewed():
    clock = ManualClock()
    leases = LeaseTable(clock)
    leases.renew(make_announcement("a", lease_s=5))
    leases.renew(make_announcement("b", lease_s=9))
    assert leases.shortest_s == 5
    clock.advance(4.9)
    assert leases.expire() == []
    leases.renew(make_announcement("b", lease_s=9))
    clock.advance(0.2)
    assert [x.announcement.instance for x in leases.expire()] == ["a"]
    assert leases.shortest_s == 9
    clock.advance(GONE_RETENTION_S)
    leases.expire()
    assert leases.get("a") is None


@pytest.mark.parametrize(
    ("load_percent", "shown"),
    [(0, 0), (12, 0), (13, 25), (40, 50), (99, 100)],
)
def test_load_is_rounded_to_coarse_steps(load_percent, shown):
    assert round_load(load_percent) == shown


def make_detector():
    clock = ManualClock()
    return clock, PauseDetector(clock, lambda: LIMIT_S)


def test_short_gaps_are_no_pause():
    clock, detector = make_detector()
    for _ in range(5):
        clock.advance(LIMIT_S)
        assert detector.is_current
        detector.tick()


@pytest.mark.parametrize("checks_before_tick", [True, False])
def test_pause_ends_with_a_later_exchange(checks_before_tick):
    clock, detector = make_detector()
    began_s = clock.monotonic()
    clock.advance(LIMIT_S + 0.1)
    if checks_before_tick:
        assert not detector.is_current
    detector.tick()
    # The response was in the socket buffer during the pause.
    detector.record_exchange(began_s)
    assert not detector.is_current
    detector.record_exchange(clock.monotonic())
    assert detector.is_current
    assert detector.pause_count == 1


def test_pause_does_not_end_before_leases_are_checked():
    clock, detector = make_detector()
    clock.advance(LIMIT_S + 0.1)
    assert not detector.is_current
    detector.record_exchange(clock.monotonic())
    assert not detector.is_current
    detector.tick()
    detector.record_exchange(clock.monotonic())
    assert detector.is_current
