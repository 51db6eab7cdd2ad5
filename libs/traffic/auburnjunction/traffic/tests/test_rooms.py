"""Decisions on room along a request, without network."""

import pytest

from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.fair_shares import divide_fairly
from auburnjunction.traffic.nested_calls import (
    NestedCallTracker,
    NestedTally,
    format_nested_report,
    parse_nested_report,
)
from auburnjunction.traffic.room_gates import RoomGate
from auburnjunction.traffic.rooms import (
    MAX_ORGANISATIONS,
    MIN_ADMITTED,
    RouteProfiles,
    ServiceRoom,
    divide_by_rank,
)
from auburnjunction.traffic.tests.owner_support import make_call

HIGH, LOW = Priority.HIGH, Priority.LOW


@pytest.mark.parametrize(
    ("amount", "demands", "parts"),
    [
        (9, {"a": 1, "b": 2, "c": 3}, {"a": 1, "b": 2, "c": 3}),
        (3, {"a": 7.5, "b": 1, "c": 1}, {"a": 1, "b": 1, "c": 1}),
        (4, {"a": 7.5, "b": 0.5, "c": 1}, {"a": 2.5, "b": 0.5, "c": 1}),
        (0, {"a": 1}, {"a": 0}),
        (1, {}, {}),
    ],
)
def test_large_demands_lose_first(amount, demands, parts):
    """Guards against one organisation taking the room of the others."""
    assert divide_fairly(amount, demands) == pytest.approx(parts)


@pytest.mark.parametrize(
    ("share", "demand", "shares"),
    [
        # The least urgent lose first, and keep a little.
        (0.8, {HIGH: {"": 60}, LOW: {"": 40}}, {HIGH: 1, LOW: 0.5}),
        (0.3, {HIGH: {"": 60}, LOW: {"": 40}}, {HIGH: 0.5, LOW: MIN_ADMITTED}),
        (1.0, {HIGH: {"": 60}, LOW: {"": 40}}, {HIGH: 1, LOW: 1}),
    ],
)
def test_the_least_urgent_lose_room_first(share, demand, shares):
    """Guards against urgent requests refused before less urgent ones."""
    found = divide_by_rank(share, demand)
    assert found == pytest.approx({(p, ""): s for p, s in shares.items()})


@pytest.mark.parametrize(
    "value",
    [b"a=x/1/1", b"a=1/2/0", b"a=2/1", b"a", b"=/", b"\xff\xfe=1", b""],
)
def test_malformed_reports_are_left_out(value):
    """Guards against failed answers after a damaged or foreign header."""
    assert parse_nested_report(value) == {}


def test_reports_are_read_as_sent():
    report = {"a,b=/": NestedTally(3, 2, 1), "c": NestedTally(1, 0)}
    assert parse_nested_report(format_nested_report(report)) == report


def test_tracker_keeps_nothing_of_ended_requests():
    """Guards against growth by nested calls that outlive their request."""
    tracker = NestedCallTracker()
    tracker.start_request("1")
    tracker.record_call("1", "back", True)
    tracker.record_call("1", "back", False)
    tracker.record_call("2", "back", False)
    assert tracker.end_request("1") == {"back": NestedTally(2, 1)}
    tracker.record_call("1", "back", True)
    assert tracker.end_request("1") == {}


def test_profile_follows_the_calls_of_a_route():
    profiles = RouteProfiles()
    profiles.record("r", {})
    assert profiles.find("r") == {}
    for _ in range(100):
        profiles.record("r", {"back": NestedTally(2, 0)})
        profiles.record("r", {})
    assert profiles.find("r")["back"] == pytest.approx(1.0, abs=0.1)


def test_routes_that_do_without_a_refused_call_are_not_held_back():
    """Guards against refusals of requests that would succeed."""
    profiles = RouteProfiles()
    for number in range(40):
        refused = {"back": NestedTally(1, 1, 1)}
        profiles.record("needs", refused, number % 8 > 0)
        profiles.record("tolerates", refused, number % 8 == 0)
    assert profiles.find("needs")
    assert not profiles.find("tolerates")


def feed(room, capacity, seconds, start_s=0.0, rate=100):
    """Feed a room with what a service of a capacity in calls a second does.

    Return the admitted calls of each priority and the refused nested calls
    of the last second.
    """
    admitted, refused = {HIGH: 0, LOW: 0}, 0
    steps = int(seconds * rate)
    used = 0.0
    for step in range(steps):
        now_s = start_s + step / rate
        priority = (HIGH, LOW)[step % 2]
        room.add_demand(priority, "", 1.0, now_s)
        used = max(0.0, used - capacity / rate)
        portion = room.find_portion(priority, "", now_s)
        if portion is not None and not portion.admit():
            continue
        fits = used < 1.0
        used += fits
        room.record_results(1, not fits, now_s)
        if step >= steps - rate:
            admitted[priority] += 1
            refused += not fits
    return admitted, refused


def test_admitted_rate_follows_the_room_of_the_nested_service():
    """Guards against runs that fail as the service that they call is full."""
    room = ServiceRoom(0.0)
    admitted, refused = feed(room, capacity=70, seconds=8)
    assert 50 <= sum(admitted.values()) <= 85
    assert refused <= 0.2 * sum(admitted.values())
    assert admitted[HIGH] > admitted[LOW]
    # All are admitted again once there is room.
    feed(room, capacity=1000, seconds=20, start_s=8.0)
    assert room.share == 1.0


def test_what_exceeds_a_fair_share_is_refused_first():
    """Guards against refusals that hit all organisations alike."""
    room = ServiceRoom(0.0)
    names = [f"o{index}" for index in range(9)]
    for step in range(40):
        now_s = step / 100
        for name in names:
            room.add_demand(HIGH, name, 1.0, now_s)
        room.add_demand(HIGH, "large", 7.5, now_s)
        room.record_results(10, 5 * (step < 30), now_s)
    assert room.share < 1.0
    assert room.find_portion(HIGH, "large", 0.4).share < 0.7
    for name in names:
        assert room.find_portion(HIGH, name, 0.4).share == 1.0


def test_share_recovers_without_evidence():
    """Guards against a route that stays refused as none of it runs."""
    room = ServiceRoom(0.0)
    feed(room, capacity=1, seconds=4)
    assert room.share < 0.5
    for step in range(400):
        room.find_portion(HIGH, "", 4.0 + step / 20)
    assert room.share == 1.0


def test_demand_of_many_organisations_is_bounded():
    room = ServiceRoom(0.0)
    for number in range(10 * MAX_ORGANISATIONS):
        room.add_demand(HIGH, f"o{number}", 1.0, 0.0)
    assert len(room._demand) <= MAX_ORGANISATIONS + len(Priority)


def overload(gate, service="back"):
    for step in range(100):
        gate.record_nested(service, True, step / 50)


def count_admitted(gate, call, attempts=100, start_s=2.0):
    admitted = 0
    for step in range(attempts):
        try:
            gate.check(call, start_s + step / 1000)
        except NotRunError as exc:
            assert exc.retry_after_s > 0
            continue
        admitted += 1
    return admitted


def test_requests_without_known_nested_calls_are_admitted():
    """Guards against refusals on a new route or after a restart."""
    gate = RoomGate()
    overload(gate)
    assert count_admitted(gate, make_call()) == 100


def test_requests_that_call_a_full_service_are_refused():
    gate = RoomGate()
    call = make_call()
    gate.record_report(call, {"back": NestedTally(2, 0)}, False, 0.0)
    count_admitted(gate, call, start_s=0.0)
    overload(gate)
    assert count_admitted(gate, call) < 60
    assert gate.refusals["back", "nested"] > 40
    # One with a reserved place is admitted in any case.
    gate.check(call, 2.2, reserved=True)


@pytest.mark.parametrize(
    ("target_s", "is_return", "admitted"),
    [(2.4, True, True), (2.1, True, False), (2.1, False, True)],
)
def test_late_returns_give_way_while_there_is_little_room(
    target_s, is_return, admitted
):
    """Guards against late answers that cost others theirs in time."""
    gate = RoomGate()
    call = make_call()
    gate.record_report(call, {"back": NestedTally(2, 0)}, False, 0.0)
    gate.tracker.profiles.record_duration(call.route, 0.2)
    call.target_s = target_s
    # While there is room, a late answer is better than none.
    gate.check(call, 2.0, is_return=is_return)
    count_admitted(gate, make_call(), start_s=0.0)
    overload(gate)
    found = False
    for _ in range(50):
        try:
            gate.check(call, 2.0, is_return=is_return)
        except NotRunError:
            continue
        found = True
    assert found is admitted


def test_direct_requests_give_way_to_more_urgent_nested_calls():
    """Guards against uploads that take the room of nested lookups."""
    gate = RoomGate()
    lookup = make_call(priority=Priority.CRITICAL)
    upload = make_call(priority=Priority.LOW)
    upload.service = upload.route = "back"
    gate.record_report(lookup, {"back": NestedTally(1, 0)}, False, 0.0)
    for step in range(20):
        gate.check(lookup, step / 50)
        count_admitted(gate, upload, 1, step / 50)
        # Half are refused, and the share is decreased once.
        gate.record_nested("back", step % 2 == 0, step / 50)
    assert count_admitted(gate, lookup, start_s=0.4) == 100
    assert count_admitted(gate, upload, start_s=0.4) < 90
