"""Bounded queues of calls that wait for a slot."""

from collections import OrderedDict
from enum import Enum, auto
from typing import Protocol

import attrs
import curio

from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.admissions import (
    AdmissionSettings,
    Discipline,
    PriorityShares,
)
from auburnjunction.traffic.calls import NotRunError

# Starts that a priority may save up while none of its tickets wait.
MAX_CREDIT = 2.0
# Places that a guaranteed share keeps in a queue long enough for them.
LEAST_PLACES = 4


class QueueFullError(NotRunError):
    """The queue holds no place for a call of this priority."""

    code = ErrorCode.OVERLOADED


class TicketState(Enum):
    """What became of a waiting call."""

    WAITING = auto()
    GRANTED = auto()
    REFUSED = auto()


@attrs.define(eq=False, slots=True)
class Ticket:
    """One call that waits; the event is set when its state changes."""

    priority: Priority
    latest_start_s: float = float("inf")
    # Whether the call is made for a request that has begun already.
    nested: bool = False
    # When it began to wait, and for how long the queue suggested.
    queued_s: float = 0.0
    expected_s: float = 0.0
    state: TicketState = TicketState.WAITING
    error: NotRunError | None = None
    event: curio.Event = attrs.field(factory=curio.Event)


class WaitQueue(Protocol):
    """Waiting tickets in the order in which they get slots."""

    def __len__(self) -> int:
        """Return the number of waiting tickets."""

    def set_limit(self, limit: int) -> None:
        """Change how many tickets may wait; those that wait stay."""

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket and return the one evicted for it, if any.

        Raise QueueFullError when there is no place for it.
        """

    def pop(self) -> Ticket:
        """Remove and return the next ticket; the queue is not empty."""

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many starts come before a new ticket, at best."""

    def count(self, priority: Priority) -> int:
        """Return the number of waiting tickets of a priority."""


class FifoQueue:
    """Tickets in the order of arrival, without regard to priority."""

    def __init__(self, limit: int):
        self._limit = limit
        self._tickets: OrderedDict[Ticket, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def set_limit(self, limit: int) -> None:
        """Change how many tickets may wait; those that wait stay."""
        self._limit = limit

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; raise QueueFullError when the queue is full."""
        if len(self._tickets) >= self._limit:
            raise QueueFullError("the queue is full")
        self._tickets[ticket] = None
        return None

    def pop(self) -> Ticket:
        """Remove and return the ticket that came first."""
        return self._tickets.popitem(last=False)[0]

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        del self._tickets[ticket]

    def count_ahead(self, ticket: Ticket) -> float:
        """Return the number of all waiting tickets."""
        return len(self._tickets)

    def count(self, priority: Priority) -> int:
        """Return the number of waiting tickets of a priority."""
        return sum(t.priority is priority for t in self._tickets)


class Lane:
    """Tickets of one priority; nested calls come before new work."""

    def __init__(self):
        self._nested: OrderedDict[Ticket, None] = OrderedDict()
        self._fresh: OrderedDict[Ticket, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._nested) + len(self._fresh)

    @property
    def has_fresh(self) -> bool:
        """Whether new work waits."""
        return bool(self._fresh)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind those of its kind."""
        self._part(ticket)[ticket] = None

    def pop_first(self) -> Ticket:
        """Remove and return the next ticket."""
        return (self._nested or self._fresh).popitem(last=False)[0]

    def pop_last(self) -> Ticket:
        """Remove and return the ticket that can best be done without."""
        return (self._fresh or self._nested).popitem(last=True)[0]

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        del self._part(ticket)[ticket]

    def count_ahead(self, ticket: Ticket) -> int:
        """Return how many of the lane would come before a new ticket."""
        return len(self._nested) if ticket.nested else len(self)

    def _part(self, ticket: Ticket) -> OrderedDict[Ticket, None]:
        return self._nested if ticket.nested else self._fresh


class PriorityQueue:
    """Tickets by priority, with a guaranteed share for each lower one.

    While more urgent tickets wait, each start earns a lower priority
    credit in the size of its share; a whole credit buys the next start.
    The share also keeps places in a full queue, else a flood of urgent
    calls would evict all others before their turn.
    """

    def __init__(self, limit: int, shares: PriorityShares | None):
        self._lanes = {priority: Lane() for priority in Priority}
        self._shares = {
            priority: shares.of(priority) if shares else 0.0
            for priority in Priority
        }
        self._credits = dict.fromkeys(Priority, 0.0)
        self._size = 0
        self.set_limit(limit)

    def __len__(self) -> int:
        return self._size

    def set_limit(self, limit: int) -> None:
        """Change how many tickets may wait; those that wait stay."""
        self._limit = limit
        self._kept_places = {
            priority: _count_kept_places(share, limit)
            for priority, share in self._shares.items()
        }

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket and return the one evicted for it, if any.

        Raise QueueFullError when no less urgent ticket can be evicted.
        """
        evicted = None
        if self._size >= self._limit:
            evicted = self._evict_for(ticket)
        self._lanes[ticket.priority].push(ticket)
        self._size += 1
        return evicted

    def pop(self) -> Ticket:
        """Remove and return the next ticket; the queue is not empty."""
        priority = self._pick()
        ticket = self._lanes[priority].pop_first()
        self._size -= 1
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        self._lanes[ticket.priority].remove(ticket)
        self._size -= 1

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many starts come before a new ticket, at best."""
        priority = ticket.priority
        ahead = sum(
            len(lane)
            for other, lane in self._lanes.items()
            if other < priority
        )
        ahead += self._lanes[priority].count_ahead(ticket)
        share = self._shares[priority]
        if not share:
            return ahead
        return min(ahead, (len(self._lanes[priority]) + 1) / share)

    def count(self, priority: Priority) -> int:
        """Return the number of waiting tickets of a priority."""
        return len(self._lanes[priority])

    def _pick(self) -> Priority:
        waiting = [p for p, lane in self._lanes.items() if lane]
        first = waiting[0]
        for priority in Priority:
            if priority > first:
                credit = self._credits[priority] + self._shares[priority]
                self._credits[priority] = min(credit, MAX_CREDIT)
        if len(waiting) == 1:
            return first
        richest = max(waiting[1:], key=self._credits.__getitem__)
        if self._credits[richest] < 1.0:
            return first
        self._credits[richest] -= 1.0
        return richest

    def _evict_for(self, ticket: Ticket) -> Ticket:
        priority = ticket.priority
        keeps_place = self._size_beyond_share(priority) < 0
        for other in reversed(Priority):
            if other <= priority and not keeps_place:
                break
            if other is not priority and self._size_beyond_share(other) > 0:
                ticket = self._lanes[other].pop_last()
                self._size -= 1
                return ticket
        if ticket.nested and self._lanes[priority].has_fresh:
            self._size -= 1
            return self._lanes[priority].pop_last()
        raise QueueFullError("the queue is full")

    def _size_beyond_share(self, priority: Priority) -> int:
        return len(self._lanes[priority]) - self._kept_places[priority]


def _count_kept_places(share: float, limit: int) -> int:
    if not share:
        return 0
    return max(1, int(share * limit), min(LEAST_PLACES, limit // 8))


def make_queue(cfg: AdmissionSettings, limit: int) -> WaitQueue:
    """Return an empty queue of the discipline that the settings name."""
    match cfg.discipline:
        case Discipline.FIFO:
            return FifoQueue(limit)
        case Discipline.STRICT:
            return PriorityQueue(limit, None)
        case _:
            return PriorityQueue(limit, cfg.shares)
