"""Log of crashes, and how nodes share it."""

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.membership.crashes import (
    CRASH_LIMIT,
    FIRST_HOLD_S,
    JOINT_HOLD_S,
    MAX_CRASHES,
    MAX_FINGERPRINTS,
    MAX_HOLD_S,
    MAX_SENT_RECORDS,
    SUSPICION_S,
    Crash,
    CrashLog,
    decode_crashes,
    encode_crashes,
)
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.tests.support import run_cluster, wait_until

POISON = b"poison"
# The users' limit (contact_ms) from an event until nodes know of it.
CONTACT_S = 3.0


def make_log():
    clock = ManualClock()
    return CrashLog(clock), clock


def add_crashes(log, clock, count, fingerprint=POISON, first=0):
    """Add crashes of different backend servers, now."""
    return log.add(
        Crash(fingerprint, f"i{number}", 1, clock.monotonic())
        for number in range(first, first + count)
    )


@pytest.mark.parametrize(
    ("crashes", "after_s", "hold_s", "count"),
    [
        (1, 0.0, 0.0, 1),
        (CRASH_LIMIT - 1, 0.0, 0.0, CRASH_LIMIT - 1),
        (CRASH_LIMIT - 1, SUSPICION_S, 0.0, 0),
        (CRASH_LIMIT, 0.0, FIRST_HOLD_S, CRASH_LIMIT),
        (CRASH_LIMIT, 20.0, FIRST_HOLD_S - 20, CRASH_LIMIT),
        # Released; one further crash is enough.
        (CRASH_LIMIT, FIRST_HOLD_S, 0.0, CRASH_LIMIT),
        (CRASH_LIMIT + 1, 0.0, 2 * FIRST_HOLD_S, CRASH_LIMIT + 1),
        (MAX_CRASHES, 0.0, MAX_HOLD_S, MAX_CRASHES),
        (MAX_CRASHES, 2 * MAX_HOLD_S, 0.0, 0),
    ],
)
def test_quarantine_begins_at_the_limit_and_ends(
    crashes, after_s, hold_s, count
):
    log, clock = make_log()
    add_crashes(log, clock, crashes)
    clock.advance(after_s)
    assert log.find_hold(POISON) == pytest.approx(hold_s)
    assert log.count_crashes(POISON) == count
    assert log.find_hold(b"other") == 0.0


def test_crash_of_one_incarnation_counts_once():
    log, clock = make_log()
    for _ in range(CRASH_LIMIT):
        add_crashes(log, clock, 1)
    assert log.count_crashes(POISON) == 1
    log.add([Crash(POISON, "i0", 2, clock.monotonic())])
    assert log.count_crashes(POISON) == 2


# Guards against a log that grows with the requests that run when backend
# servers crash, and against losing the most suspicious of them.
def test_log_is_bounded_and_keeps_those_with_most_crashes():
    log, clock = make_log()
    add_crashes(log, clock, CRASH_LIMIT)
    for number in range(2 * MAX_FINGERPRINTS):
        clock.advance(0.001)
        add_crashes(log, clock, 1, b"%d" % number)
    assert log.find_hold(POISON)
    assert not log.count_crashes(b"0")
    assert log.count_crashes(b"%d" % (2 * MAX_FINGERPRINTS - 1))
    add_crashes(log, clock, 2 * MAX_CRASHES)
    assert log.count_crashes(POISON) == MAX_CRASHES
    selected = log.select()
    assert len(selected) == MAX_SENT_RECORDS
    assert {c.fingerprint for c in selected[:MAX_CRASHES]} == {POISON}


# Guards against a request that is sent without an end once its log is full.
@pytest.mark.parametrize("crashes", [CRASH_LIMIT, MAX_CRASHES])
def test_crash_after_the_release_quarantines_again(crashes):
    log, clock = make_log()
    add_crashes(log, clock, crashes)
    clock.advance(log.find_hold(POISON))
    assert not log.find_hold(POISON)
    assert add_crashes(log, clock, 1, first=crashes)
    assert log.find_hold(POISON)
    assert log.count_crashes(POISON) <= MAX_CRASHES
    # Peers may send the crash that has been replaced.
    old = Crash(POISON, "i0", 1, clock.monotonic() - MAX_HOLD_S)
    assert not log.add([old])


def test_equal_logs_have_equal_digests():
    log, clock = make_log()
    other, other_clock = make_log()
    assert log.digest == other.digest == 0
    add_crashes(log, clock, 3)
    add_crashes(other, other_clock, 2)
    assert log.digest != other.digest
    add_crashes(other, other_clock, 1, first=2)
    assert log.digest == other.digest


# Guards against times of a peer's clock, which differs from the local one.
def test_message_carries_the_age_of_a_crash():
    log, clock = make_log()
    add_crashes(log, clock, CRASH_LIMIT)
    clock.advance(5.0)
    other, other_clock = make_log()
    other_clock.advance(1000.0)
    messages = encode_crashes(log.select(), clock)
    assert len(other.add(decode_crashes(messages, other_clock))) == 3
    assert other.find_hold(POISON) == pytest.approx(FIRST_HOLD_S - 5.0)


def report(cluster, index, instance):
    member = cluster[index]
    now_s = member.clock.monotonic()
    member.membership.report_crashes([Crash(POISON, instance, 1, now_s)])


def is_quarantined(member):
    return bool(member.membership.crashes.find_hold(POISON))


def lose_nothing(_cluster):
    """Inject no fault."""


def lose_a_third(cluster):
    cluster.network.drop_share = 0.33


# Guards against nodes that forward a quarantined request, because the crashes
# that others have reported have not reached them.
@pytest.mark.parametrize("lose", [lose_nothing, lose_a_third])
def test_crashes_seen_by_different_nodes_are_known_to_all_in_time(lose):
    async def scenario(cluster):
        lose(cluster)
        for index in range(CRASH_LIMIT):
            report(cluster, index, f"i{index}")
        await wait_until(
            lambda: all(is_quarantined(m) for m in cluster.running),
            CONTACT_S,
            "all members know of the crashes",
        )

    run_cluster(scenario, 8, MembershipSettings())


# Guards against nodes that forget a quarantine by their restart, or miss it
# while they are cut off.
@pytest.mark.parametrize("fault", ["restart of a witness", "cut"])
def test_nodes_learn_of_crashes_after_a_fault(fault):
    async def scenario(cluster):
        late = cluster[0]
        others = [m for m in cluster.members if m is not late]
        if fault == "cut":
            cluster.network.cut_both_ways([late], others)
            for index in range(1, 1 + CRASH_LIMIT):
                report(cluster, index, f"i{index}")
        else:
            for index in range(CRASH_LIMIT):
                report(cluster, index, f"i{index}")
        await wait_until(lambda: all(is_quarantined(m) for m in others))
        if fault == "cut":
            await curio.sleep(0.5)
            assert not is_quarantined(late)
            cluster.network.cuts.clear()
        else:
            await cluster.kill(late)
            await cluster.start(late)
        await wait_until(
            lambda: is_quarantined(late), CONTACT_S, "it knows them as well"
        )

    run_cluster(scenario, 5, MembershipSettings())


# Guards against a harmless request that is refused for minutes because one
# cause from outside ended all backend servers that ran it, and against the
# release of one that was sent from one backend server to the next.
@pytest.mark.parametrize(
    ("runs", "hold_s"),
    [
        # Start and crash of each run, in seconds.
        ([(0.0, 1.0), (0.2, 1.1), (0.4, 1.2)], JOINT_HOLD_S),
        ([(0.0, 1.0), (0.0, 1.0), (0.0, 1.0)], JOINT_HOLD_S),
        # The third run begins after the first crash.
        ([(0.0, 1.0), (0.2, 1.1), (1.05, 1.3)], FIRST_HOLD_S),
        ([(0.0, 0.05), (0.06, 0.1), (0.11, 0.2)], FIRST_HOLD_S),
        # Messages take longer than these runs, so that their order is unknown.
        ([(0.0, 0.1), (0.01, 0.1), (0.02, 0.1)], FIRST_HOLD_S),
        # A further run after the hold shows that the request is the cause.
        (
            [(0.0, 1.0), (0.0, 1.0), (0.0, 1.0), (12.0, 13.0)],
            2 * FIRST_HOLD_S,
        ),
    ],
)
def test_crashes_of_runs_side_by_side_are_held_for_a_short_time(runs, hold_s):
    log, clock = make_log()
    start_s = clock.monotonic()
    crashes = [
        Crash(POISON, f"i{n}", 1, start_s + crashed_s, crashed_s - started_s)
        for n, (started_s, crashed_s) in enumerate(runs)
    ]
    last_s = max(crashed_s for _, crashed_s in runs)
    clock.advance(last_s)
    other = CrashLog(clock)
    assert len(other.add(crashes)) == len(runs)
    # The result is the same at a node that receives the records.
    log.add(decode_crashes(encode_crashes(crashes, clock), clock))
    for known in (log, other):
        assert known.find_hold(POISON) == pytest.approx(hold_s, abs=0.01)
