"""Shares of organisations in the queue of an instance, without network."""

import random
from collections import Counter

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.fair_queues import (
    MAX_IDLE,
    ArrivalOrder,
    FairOrder,
)
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.queues import QueueFullError, Ticket, make_queue
from auburnjunction.traffic.slots import AdmissionController
from auburnjunction.traffic.tests.owner_support import CLOCK, make_call

CFG = AdmissionSettings(fair_shares=True)


def make_ticket(organisation="", work_s=0.1, **fields):
    fields.setdefault("priority", Priority.NORMAL)
    return Ticket(organisation=organisation, work_s=work_s, **fields)


def fill(order, **counts):
    for organisation, count in counts.items():
        for _ in range(count):
            order.push(make_ticket(organisation))


def pop_names(order, count):
    return Counter(order.pop_first().organisation for _ in range(count))


@pytest.mark.parametrize(
    ("waiting", "started", "shares"),
    [
        ({"a": 30, "b": 4, "c": 4}, 12, {"a": 4, "b": 4, "c": 4}),
        # Room that others do not use is lent.
        ({"a": 30, "b": 2}, 12, {"a": 10, "b": 2}),
    ],
)
def test_starts_are_shared_evenly(waiting, started, shares):
    """Guards against a queue that one organisation fills for the others."""
    order = FairOrder()
    fill(order, **waiting)
    assert pop_names(order, started) == shares


def test_shares_are_of_work_time():
    """Guards against an organisation that gains by longer calls."""
    order = FairOrder()
    for _ in range(40):
        order.push(make_ticket("long", 0.4))
        order.push(make_ticket("short", 0.1))
    started = pop_names(order, 40)
    assert started["short"] / started["long"] == pytest.approx(4, rel=0.25)


@attrs.define
class Play:
    """Operations on two orders with the same tickets."""

    fair: FairOrder = attrs.field(factory=FairOrder)
    arrival: ArrivalOrder = attrs.field(factory=ArrivalOrder)

    def apply(self, operation, work_s):
        if operation == "push" or not len(self.fair):
            ticket = make_ticket("", work_s)
            self.fair.push(ticket)
            self.arrival.push(ticket)
            return
        if operation == "remove":
            ticket = next(iter(self.arrival))
            self.fair.remove(ticket)
            self.arrival.remove(ticket)
            return
        first = getattr(self.fair, operation)()
        assert first is getattr(self.arrival, operation)()


OPERATIONS = st.sampled_from(
    ["push", "push", "pop_first", "pop_last", "remove"]
)


@given(st.lists(st.tuples(OPERATIONS, st.floats(0, 5)), max_size=60))
def test_order_of_arrival_without_organisations(operations):
    """Guards against other behaviour in deployments without organisations."""
    play = Play()
    for operation, work_s in operations:
        play.apply(operation, work_s)
        assert len(play.fair) == len(play.arrival)
        assert list(play.fair) == list(play.arrival)
        ticket = make_ticket("", 0.1)
        assert play.fair.count_ahead(ticket) == len(play.arrival)
        assert not play.fair.exceeds_share(ticket)


@given(
    st.lists(
        st.tuples(OPERATIONS, st.sampled_from("abc"), st.floats(0, 5)),
        max_size=80,
    )
)
def test_state_is_that_of_organisations_in_the_round(operations):
    """Guards against state that outlives the tickets, or is missing."""
    order = FairOrder()
    for operation, organisation, work_s in operations:
        if operation == "push" or not len(order):
            order.push(make_ticket(organisation, work_s))
        elif operation == "remove":
            order.remove(next(iter(order)))
        else:
            getattr(order, operation)()
        names = {ticket.organisation for ticket in order}
        assert len(list(order)) == len(order)
        assert names <= order.organisations
        assert len(order) or not order.organisations
        for state in (order._work_s, order._deficits_s):
            assert set(state) == order.organisations


def test_state_is_bounded():
    """Guards against memory that grows with the number of organisations."""
    order = FairOrder()
    fill(order, large=8)
    for number in range(10 * MAX_IDLE):
        order.push(make_ticket(f"o{number}"))
        order.pop_first()
    assert len(order.organisations) <= MAX_IDLE + 8


def test_a_full_queue_evicts_the_organisation_with_the_most_work():
    """Guards against refusals of those that use less than their share."""
    queue = make_queue(CFG, 8)
    for _ in range(7):
        queue.push(make_ticket("large"))
    queue.push(make_ticket("small"))
    for _ in range(3):
        assert queue.push(make_ticket("small")).organisation == "large"
    with pytest.raises(QueueFullError):
        queue.push(make_ticket("large"))
    assert len(queue) == 8


def serve(order, seconds=200, slots=3, work_s=0.1):
    """Return the longest waits of small organisations beside a large one.

    One organisation has 7.5 times its usual traffic, nine have theirs;
    together they offer 1.3 times what the slots carry.
    """
    rng = random.Random(7)
    rates = {f"o{index}": 1.0 for index in range(9)} | {"large": 7.5}
    scale = 1.3 * slots / work_s / sum(rates.values())
    arrivals = sorted(
        (rng.uniform(0, seconds), name)
        for name, rate in rates.items()
        for _ in range(int(rate * scale * seconds))
    )
    waits = {name: [] for name in rates}
    free_s = [0.0] * slots
    queued_s = {}
    while arrivals or len(order):
        free_s.sort()
        start_s = free_s[0]
        if arrivals and (not len(order) or arrivals[0][0] <= start_s):
            arrived_s, name = arrivals.pop(0)
            ticket = make_ticket(name, work_s)
            queued_s[ticket] = arrived_s
            order.push(ticket)
            if len(order) > 24:
                queued_s.pop(order.pop_last())
            free_s[0] = max(free_s[0], arrived_s)
            continue
        ticket = order.pop_first()
        waits[ticket.organisation].append(start_s - queued_s.pop(ticket))
        free_s[0] = start_s + work_s
    return waits


def test_a_surge_of_one_organisation_does_not_delay_the_others():
    """Guards against 7.5 times the traffic of one that the others pay for."""
    fair, arrival = serve(FairOrder()), serve(ArrivalOrder())

    def list_small(waits):
        return [w for name, ws in waits.items() if name != "large" for w in ws]

    fair, arrival = list_small(fair), list_small(arrival)
    # Served are nearly all of them, and within one round of the ten
    # organisations on three slots on average.
    offered = 9 * int(1.3 * 3 / 0.1 / 16.5 * 200)
    assert len(fair) >= 0.99 * offered > len(arrival)
    round_s = 10 * 0.1 / 3
    assert sum(fair) / len(fair) < round_s < sum(arrival) / len(arrival)


@pytest.mark.parametrize("separate", [False, True])
def test_waits_of_nested_calls_are_not_those_that_they_overtake(separate):
    """Guards against refusals of nested calls after long waits of others."""
    cfg = AdmissionSettings(separate_waits=separate, deadline_deviations=0)
    limit = SlotLimit(cfg, 1, 10, CLOCK)
    now_s = CLOCK.monotonic()
    for _ in range(20):
        limit.add_sample("route", 0.1, 1)
    controller = AdmissionController(cfg, limit, 64, CLOCK)
    controller.running = 1
    for _ in range(50):
        controller._record_wait(
            Ticket(Priority.NORMAL, expected_wait_s=0.1, queued_s=now_s - 0.5),
            now_s,
        )
    call = make_call(remaining_s=0.35)
    ticket = Ticket(Priority.NORMAL, call.deadline_s - 0.1, nested=True)
    try:
        controller._check_wait(call, ticket, CLOCK.monotonic())
        refused = False
    except NotRunError:
        refused = True
    assert refused is not separate


@pytest.mark.parametrize(
    ("fields", "position"),
    [
        ({"nested": True}, 1),
        ({"returning": True}, 2),
        ({}, 3),
        ({"late": True}, 4),
        ({"late": True, "returning": True}, 4),
    ],
)
def test_promised_places_come_before_first_attempts(fields, position):
    """Guards against a second refusal of callers that were told to return."""
    queue = make_queue(AdmissionSettings(), 8)
    waiting = [
        Ticket(Priority.NORMAL, nested=True),
        Ticket(Priority.NORMAL, returning=True),
        Ticket(Priority.NORMAL),
        Ticket(Priority.NORMAL, late=True),
    ]
    for ticket in waiting:
        queue.push(ticket)
    ticket = Ticket(Priority.NORMAL, **fields)
    assert (
        queue._lanes[Priority.NORMAL, Priority.NORMAL].count_ahead(ticket)
        == position
    )
    queue.push(ticket)
    popped = [queue.pop() for _ in range(5)]
    assert popped.index(ticket) == position


def test_a_full_queue_keeps_promised_places():
    """Guards against promises that the queue does not keep."""
    queue = make_queue(AdmissionSettings(), 2)
    first = Ticket(Priority.NORMAL)
    for ticket in (first, Ticket(Priority.NORMAL, returning=True)):
        queue.push(ticket)
    assert queue.push(Ticket(Priority.NORMAL, returning=True)) is first
    with pytest.raises(QueueFullError):
        queue.push(Ticket(Priority.NORMAL, returning=True))
    assert queue.push(Ticket(Priority.NORMAL, nested=True)) is not None
    assert queue.count(Priority.NORMAL) == 2
