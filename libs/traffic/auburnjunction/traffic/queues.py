"""Bounded queues of calls waiting for a slot."""

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum, auto
from itertools import chain
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
from auburnjunction.traffic.calls import Call, NotRunError

# Upper bound of a priority's credit, which it also accumulates while none of
# its tickets wait.
MAX_CREDIT_STARTS = 2.0
# Minimum number of places reserved for a guaranteed share, unless
# an eighth of the queue is less.
MIN_RESERVED_PLACES = 4


class QueueFullError(NotRunError):
    """The queue has no place for a call of this priority."""

    code = ErrorCode.OVERLOADED


class TicketState(Enum):
    """Whether a ticket waits, was granted a slot or was refused."""

    WAITING = auto()
    GRANTED = auto()
    REFUSED = auto()


@attrs.define(eq=False, slots=True)
class Ticket:
    """A waiting call; the event is set when its state changes."""

    priority: Priority
    latest_start_s: float = float("inf")
    # Whether the call is made for a request that is already running.
    nested: bool = False
    # Whether the answer will miss its latency objective in any case.
    late: bool = False
    # When the call was queued, and the wait estimated from the queue then.
    queued_s: float = 0.0
    expected_wait_s: float = 0.0
    call: Call | None = None
    state: TicketState = TicketState.WAITING
    error: NotRunError | None = None
    event: curio.Event = attrs.field(factory=curio.Event)


class WaitQueue(Protocol):
    """Waiting tickets in the order in which they are granted slots."""

    def __len__(self) -> int:
        """Return the number of waiting tickets."""

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the waiting tickets, in any order."""

    def set_limit(self, limit: int) -> None:
        """Change the queue limit; tickets already waiting are kept."""

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket and return the one evicted for it, if any.

        Raise QueueFullError when the queue is full and none can be evicted.
        """

    def pop(self) -> Ticket:
        """Remove and return the next ticket; the queue is not empty."""

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many starts precede a new ticket if none overtakes it."""

    def count(self, priority: Priority) -> int:
        """Return the number of waiting tickets of a priority."""


class FifoQueue:
    """Tickets in the order of arrival, regardless of priority."""

    def __init__(self, limit: int):
        self._limit = limit
        self._tickets: OrderedDict[Ticket, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._tickets)

    def set_limit(self, limit: int) -> None:
        """Change the queue limit; tickets already waiting are kept."""
        self._limit = limit

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; raise QueueFullError when the queue is full."""
        if len(self._tickets) >= self._limit:
            raise QueueFullError(f"the queue is full (limit {self._limit})")
        self._tickets[ticket] = None
        return None

    def pop(self) -> Ticket:
        """Remove and return the oldest ticket."""
        return self._tickets.popitem(last=False)[0]

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        del self._tickets[ticket]

    def count_ahead(self, ticket: Ticket) -> float:
        """Return the number of waiting tickets; all precede a new one."""
        return len(self._tickets)

    def count(self, priority: Priority) -> int:
        """Return the number of waiting tickets of a priority."""
        return sum(t.priority is priority for t in self._tickets)


class Lane:
    """Tickets of one priority.

    Nested calls precede top-level calls, and late ones come last: a slot
    that serves them is lost for an answer that is still in time.
    """

    def __init__(self):
        self._nested: OrderedDict[Ticket, None] = OrderedDict()
        self._top_level: OrderedDict[Ticket, None] = OrderedDict()
        self._late: OrderedDict[Ticket, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._nested) + len(self._top_level) + len(self._late)

    def __iter__(self) -> Iterator[Ticket]:
        return chain(self._nested, self._top_level, self._late)

    @property
    def has_top_level(self) -> bool:
        """Whether any top-level call waits."""
        return bool(self._top_level or self._late)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind the others of its kind."""
        self._tickets_like(ticket)[ticket] = None

    def pop_first(self) -> Ticket:
        """Remove and return the next ticket."""
        tickets = self._nested or self._top_level or self._late
        return tickets.popitem(last=False)[0]

    def pop_last(self) -> Ticket:
        """Remove and return the ticket to evict first."""
        tickets = self._late or self._top_level or self._nested
        return tickets.popitem(last=True)[0]

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        del self._tickets_like(ticket)[ticket]

    def count_ahead(self, ticket: Ticket) -> int:
        """Return how many tickets of the lane precede a new ticket."""
        if ticket.nested:
            return len(self._nested)
        if ticket.late:
            return len(self)
        return len(self._nested) + len(self._top_level)

    def _tickets_like(self, ticket: Ticket) -> OrderedDict[Ticket, None]:
        if ticket.nested:
            return self._nested
        return self._late if ticket.late else self._top_level


class PriorityQueue:
    """Tickets by priority, with a guaranteed share for each lower priority.

    While more urgent tickets wait, each start adds a lower priority's share
    to its credit; a credit of at least 1 is spent on the next start. The
    share also reserves places in the queue, because otherwise a flood of
    urgent calls would evict all others before they could start.
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

    def __iter__(self) -> Iterator[Ticket]:
        return chain.from_iterable(self._lanes.values())

    def set_limit(self, limit: int) -> None:
        """Change the queue limit; tickets already waiting are kept."""
        self._limit = limit
        self._reserved_places = {
            priority: _count_reserved_places(share, limit)
            for priority, share in self._shares.items()
        }

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket and return the one evicted for it, if any.

        Raise QueueFullError when the queue is full and none can be evicted.
        """
        evicted = None
        if self._size >= self._limit:
            evicted = self._evict_for(ticket)
        self._lanes[ticket.priority].push(ticket)
        self._size += 1
        return evicted

    def pop(self) -> Ticket:
        """Remove and return the next ticket; the queue is not empty."""
        priority = self._select_priority()
        ticket = self._lanes[priority].pop_first()
        self._size -= 1
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        self._lanes[ticket.priority].remove(ticket)
        self._size -= 1

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many starts precede a new ticket if none overtakes it."""
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

    def _select_priority(self) -> Priority:
        waiting = [p for p, lane in self._lanes.items() if lane]
        most_urgent = waiting[0]
        for priority in Priority:
            if priority > most_urgent:
                credit = self._credits[priority] + self._shares[priority]
                self._credits[priority] = min(credit, MAX_CREDIT_STARTS)
        if len(waiting) == 1:
            return most_urgent
        most_credited = max(waiting[1:], key=self._credits.__getitem__)
        if self._credits[most_credited] < 1.0:
            return most_urgent
        self._credits[most_credited] -= 1.0
        return most_credited

    def _evict_for(self, ticket: Ticket) -> Ticket:
        priority = ticket.priority
        has_reserved_place = self._excess_over_reserved(priority) < 0
        for other in reversed(Priority):
            if other <= priority and not has_reserved_place:
                break
            if other is not priority and self._excess_over_reserved(other) > 0:
                ticket = self._lanes[other].pop_last()
                self._size -= 1
                return ticket
        if ticket.nested and self._lanes[priority].has_top_level:
            self._size -= 1
            return self._lanes[priority].pop_last()
        raise QueueFullError(f"the queue is full (limit {self._limit})")

    def _excess_over_reserved(self, priority: Priority) -> int:
        return len(self._lanes[priority]) - self._reserved_places[priority]


def _count_reserved_places(share: float, limit: int) -> int:
    if not share:
        return 0
    return max(1, int(share * limit), min(MIN_RESERVED_PLACES, limit // 8))


def make_queue(cfg: AdmissionSettings, limit: int) -> WaitQueue:
    """Return an empty queue with the configured discipline."""
    match cfg.discipline:
        case Discipline.FIFO:
            return FifoQueue(limit)
        case Discipline.STRICT:
            return PriorityQueue(limit, None)
        case _:
            return PriorityQueue(limit, cfg.shares)
