"""Order, guaranteed shares and bounds of the queue of waiting calls."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.admissions import (
    AdmissionSettings,
    Discipline,
    PriorityShares,
)
from auburnjunction.traffic.queues import (
    PriorityQueue,
    QueueFullError,
    Ticket,
    make_queue,
)

STARTS = 1000
LIMIT = 40
SHARES = PriorityShares(high=0.1, normal=0.05, low=0.05)
LOWER = (Priority.HIGH, Priority.NORMAL, Priority.LOW)


def make_test_queue(discipline):
    cfg = AdmissionSettings(discipline=discipline, shares=SHARES)
    return make_queue(cfg, LIMIT)


def push(queue, priority):
    try:
        queue.push(Ticket(priority))
    except QueueFullError:
        return False
    return True


@pytest.mark.parametrize(
    ("discipline", "guaranteed"), [("shares", True), ("strict", False)]
)
def test_lower_priorities_keep_their_share_in_a_flood(discipline, guaranteed):
    queue = make_test_queue(Discipline(discipline))
    starts = dict.fromkeys(Priority, 0)
    for _ in range(STARTS):
        for _ in range(4):
            push(queue, Priority.CRITICAL)
        for priority in LOWER:
            push(queue, priority)
        starts[queue.pop().priority] += 1
    shares_kept = all(starts[p] >= SHARES.of(p) * STARTS - 2 for p in LOWER)
    assert shares_kept is guaranteed
    assert starts[Priority.CRITICAL] >= 0.8 * STARTS - 2


@pytest.mark.parametrize(
    ("discipline", "max_ahead"), [("shares", 1), ("strict", 0), ("fifo", 30)]
)
def test_urgent_call_overtakes_a_flood_of_low_priority_calls(
    discipline, max_ahead
):
    queue = make_test_queue(Discipline(discipline))
    worst = 0
    for _ in range(STARTS):
        while len(queue) < 30:
            push(queue, Priority.LOW)
        push(queue, Priority.CRITICAL)
        ahead = 0
        while queue.pop().priority is not Priority.CRITICAL:
            ahead += 1
        worst = max(worst, ahead)
    assert worst == max_ahead


def test_saved_credit_is_bounded():
    queue = make_test_queue(Discipline.SHARES)
    for _ in range(STARTS):
        push(queue, Priority.CRITICAL)
        queue.pop()
    for _ in range(10):
        push(queue, Priority.CRITICAL)
        push(queue, Priority.LOW)
    first_starts = [queue.pop().priority for _ in range(4)]
    assert first_starts.count(Priority.LOW) <= 2


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a model of one list per priority."""

    def __init__(self):
        super().__init__()
        self.queue = PriorityQueue(6, SHARES)
        self.model = {priority: [] for priority in Priority}
        self.overtaken = dict.fromkeys(LOWER, 0)

    def size(self):
        return sum(map(len, self.model.values()))

    @rule(priority=st.sampled_from(Priority))
    def push(self, priority):
        ticket = Ticket(priority)
        full = self.size() >= 6
        try:
            evicted = self.queue.push(ticket)
        except QueueFullError:
            assert full
            # Less urgent priorities hold only their reserved places.
            assert all(len(self.model[p]) <= 1 for p in LOWER if p > priority)
            return
        assert full == (evicted is not None)
        if evicted is not None:
            assert self.model[evicted.priority].pop() is evicted
            less_urgent = evicted.priority > priority
            assert less_urgent or not self.model[priority]
        self.model[priority].append(ticket)

    @precondition(lambda self: self.size())
    @rule()
    def pop(self):
        ticket = self.queue.pop()
        assert self.model[ticket.priority].pop(0) is ticket
        for priority in LOWER:
            if priority is ticket.priority or not self.model[priority]:
                self.overtaken[priority] = 0
            else:
                self.overtaken[priority] += 1
                # One start in 1 / share, plus starts that other lower
                # priorities take with their credits.
                assert self.overtaken[priority] <= 1 / SHARES.of(priority) + 3

    @precondition(lambda self: self.size())
    @rule(data=st.data())
    def remove(self, data):
        waiting = [t for lane in self.model.values() for t in lane]
        ticket = data.draw(st.sampled_from(waiting))
        self.queue.remove(ticket)
        self.model[ticket.priority].remove(ticket)

    @invariant()
    def sizes_agree(self):
        assert len(self.queue) == self.size() <= 6
        for priority, lane in self.model.items():
            assert self.queue.count(priority) == len(lane)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)


# Guards against a flood of one organisation's less urgent routes that delays
# its urgent ones, because the organisation's priority replaces the routes'.
@pytest.mark.parametrize(
    ("ranks", "expected"),
    [
        # Priority of the organisation and of the route.
        ([(2, 3), (2, 1), (2, 2)], [(2, 1), (2, 2), (2, 3)]),
        ([(3, 1), (2, 4), (1, 4)], [(1, 4), (2, 4), (3, 1)]),
        ([(2, None), (2, 1), (2, 4)], [(2, 1), (2, None), (2, 4)]),
    ],
)
def test_routes_order_calls_within_the_priority_of_organisations(
    ranks, expected
):
    queue = PriorityQueue(8, None)
    for priority, route_priority in ranks:
        queue.push(
            Ticket(
                Priority(priority),
                route_priority=route_priority and Priority(route_priority),
            )
        )
    popped = [queue.pop() for _ in ranks]
    assert [(t.priority, t.route_priority) for t in popped] == expected
