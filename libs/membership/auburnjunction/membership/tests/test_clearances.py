"""Evidence for requests under which backend servers have crashed."""

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.membership.clearances import (
    CLEARANCE_S,
    MAX_ANSWERED,
    MAX_CLEARANCES,
    MAX_SENT_CLEARANCES,
    AnsweredRequests,
    Clearance,
    decode_clearances,
    encode_clearances,
)
from auburnjunction.membership.crash_updates import CrashUpdate, select_update
from auburnjunction.membership.crashes import CRASH_LIMIT, Crash, CrashLog
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.tests.support import run_cluster, wait_until
from auburnjunction.schema import control_pb2 as pb

HARMLESS = b"harmless"
POISON = b"poison"
# The users' limit (contact_ms) from an event until nodes know of it.
CONTACT_S = 3.0


def make_crashes(clock, fingerprint=HARMLESS, count=CRASH_LIMIT, first=0):
    return [
        Crash(fingerprint, f"i{number}", 1, clock.monotonic())
        for number in range(first, first + count)
    ]


# Guards against a harmless request that is refused though this node has seen
# it answered, and against the release of one that has no answer since.
@pytest.mark.parametrize(
    ("answered_s", "is_held"),
    [
        # Seconds from the crashes to the answer; None if there is none.
        (None, True),
        (1.0, False),
        (-1.0, False),
        (-CLEARANCE_S, False),
        (-CLEARANCE_S - 1.0, True),
    ],
)
def test_answer_lifts_the_quarantine(answered_s, is_held):
    clock = ManualClock()
    cleared = []
    log = CrashLog(clock, cleared.extend)
    if answered_s is not None and answered_s < 0:
        log.record_answer(HARMLESS)
        clock.advance(-answered_s)
    log.add(make_crashes(clock))
    log.add(make_crashes(clock, POISON))
    if answered_s is not None and answered_s > 0:
        assert log.find_hold(HARMLESS)
        clock.advance(answered_s)
        log.record_answer(HARMLESS)
    assert bool(log.find_hold(HARMLESS)) is is_held
    assert log.find_hold(POISON)
    assert [c.fingerprint for c in cleared] == [HARMLESS] * (not is_held)


def test_answer_counts_although_many_others_follow_before_the_third_crash():
    clock = ManualClock()
    log = CrashLog(clock)
    log.add(make_crashes(clock, count=CRASH_LIMIT - 1))
    log.record_answer(HARMLESS)
    for number in range(2 * MAX_ANSWERED):
        log.record_answer(b"%d" % number)
    log.add(make_crashes(clock, count=1, first=CRASH_LIMIT))
    assert not log.find_hold(HARMLESS)


# Guards against a clearance without an end: a later version of a service may
# crash under a request that an earlier one has answered.
@pytest.mark.parametrize(
    ("after_s", "is_held"), [(CLEARANCE_S, False), (CLEARANCE_S + 1, True)]
)
def test_clearance_expires(after_s, is_held):
    clock = ManualClock()
    log = CrashLog(clock)
    log.clear([Clearance(HARMLESS, clock.monotonic())])
    clock.advance(after_s)
    log.add(make_crashes(clock))
    assert bool(log.find_hold(HARMLESS)) is is_held


def test_clearance_drops_only_the_crashes_that_it_covers():
    clock = ManualClock()
    log = CrashLog(clock)
    answered_s = clock.monotonic()
    log.add(make_crashes(clock))
    clock.advance(CLEARANCE_S + 1)
    log.add(make_crashes(clock, first=CRASH_LIMIT))
    early = Clearance(HARMLESS, answered_s)
    assert log.clear([early]) == [early]
    assert log.clear([early]) == []
    assert log.count_crashes(HARMLESS) == CRASH_LIMIT
    late = Clearance(HARMLESS, answered_s + 2)
    assert log.clear([late]) == [late]
    assert log.clear([late]) == []
    assert log.count_crashes(HARMLESS) == 0


def test_clearances_are_bounded_and_expired_ones_are_not_sent():
    clock = ManualClock()
    log = CrashLog(clock)
    now_s = clock.monotonic()
    for number in range(MAX_CLEARANCES + 1):
        log.clear([Clearance(b"%d" % number, now_s)])
    assert len(log.clearances.select()) == MAX_SENT_CLEARANCES
    log.add(make_crashes(clock, b"0"))
    assert log.find_hold(b"0")
    log.add(make_crashes(clock, b"%d" % MAX_CLEARANCES))
    assert not log.find_hold(b"%d" % MAX_CLEARANCES)
    clock.advance(CLEARANCE_S)
    assert log.clearances.select() == []


def test_answered_requests_are_bounded():
    answered = AnsweredRequests()
    for number in range(MAX_ANSWERED + 10):
        answered.add(b"%d" % number, number)
        answered.add(b"popular", number)
    last = MAX_ANSWERED + 9
    assert answered.find_time(b"popular") == last
    assert answered.find_time(b"%d" % last) == last
    assert answered.find_time(b"0") < 0


# Guards against times of a peer's clock, which differs from the local one, and
# against incomplete records.
def test_message_carries_the_age_of_an_answer():
    clock = ManualClock()
    clearances = [Clearance(HARMLESS, clock.monotonic())]
    clock.advance(5.0)
    other_clock = ManualClock(start_s=9000.0)
    messages = encode_clearances(clearances, clock)
    messages.append(pb.ClearanceRecord(age_ms=1))
    [decoded] = decode_clearances(messages, other_clock)
    assert decoded == Clearance(HARMLESS, 8995.0)


def test_logs_that_differ_in_a_clearance_have_different_digests():
    clock = ManualClock()
    logs = [CrashLog(clock) for _ in range(2)]
    logs[0].clear([Clearance(HARMLESS, clock.monotonic())])
    assert logs[0].digest != logs[1].digest == 0
    logs[1].clear(select_update(logs[0]).clearances)
    assert logs[0].digest == logs[1].digest


def test_update_is_taken_in_parts_that_a_message_carries():
    update = CrashUpdate(
        clearances=[Clearance(b"%d" % n, 0.0) for n in range(100)]
    )
    assert len(update.take().clearances) == MAX_SENT_CLEARANCES
    assert len(update.take().clearances) == 100 - MAX_SENT_CLEARANCES
    assert not update


def report(cluster, index, fingerprint):
    member = cluster[index]
    now_s = member.clock.monotonic()
    crash = Crash(fingerprint, f"i{index}", 1, now_s)
    member.membership.report_crashes([crash])


def is_held(member, fingerprint):
    return bool(member.membership.crashes.find_hold(fingerprint))


def knows_all(members):
    return all(
        is_held(m, POISON) and not is_held(m, HARMLESS) for m in members
    )


async def end_fault(cluster, fault, others):
    """Heal the cut, or restart a node that has seen a crash."""
    if fault == "cut of the witness":
        await wait_until(lambda: all(is_held(m, POISON) for m in others))
        cluster.network.cuts.clear()
    if fault == "restart":
        await wait_until(lambda: knows_all(cluster.running))
        await cluster.kill(cluster[0])
        await cluster.start(cluster[0])


# Guards against nodes that go on refusing a harmless request which others have
# seen answered, and against those that let one through which crashes its
# backend servers: all of them must come to the same result in time.
@pytest.mark.parametrize(
    "fault", ["none", "a third lost", "restart", "cut of the witness"]
)
@pytest.mark.parametrize("answered", ["before", "after"])
def test_all_nodes_come_to_the_same_result(fault, answered):
    async def scenario(cluster):
        witness = cluster[4]
        others = [m for m in cluster.members if m is not witness]
        if answered == "before":
            witness.membership.crashes.record_answer(HARMLESS)
        cluster.network.drop_share = 0.33 * (fault == "a third lost")
        if fault == "cut of the witness":
            cluster.network.cut_both_ways([witness], others)
        for index in range(CRASH_LIMIT):
            report(cluster, index, HARMLESS)
            report(cluster, index, POISON)
        if answered == "after":
            await curio.sleep(0.2)
            witness.membership.crashes.record_answer(HARMLESS)
        await end_fault(cluster, fault, others)
        await wait_until(
            lambda: knows_all(cluster.running), CONTACT_S, "all agree"
        )

    run_cluster(scenario, 6, MembershipSettings())
