"""Bounded queues of calls waiting for a slot."""

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum, auto
from itertools import chain, product
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
from auburnjunction.traffic.calls import Call, NotRunError, Rank
from auburnjunction.traffic.fair_queues import (
    ArrivalOrder,
    FairOrder,
    TicketOrder,
)

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
    # Whether the caller returns at the time that it was promised.
    returning: bool = False
    # The organisation and the expected duration of the call.
    organisation: str = ""
    work_s: float = 0.0
    # Priority of its route where the priority is the organisation's.
    route_priority: Priority | None = None
    call: Call | None = None
    state: TicketState = TicketState.WAITING
    error: NotRunError | None = None
    event: curio.Event = attrs.field(factory=curio.Event)

    @property
    def rank(self) -> Rank:
        """Its priority, and that of its route within the same priority."""
        return self.priority, self.route_priority or self.priority


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
    """Tickets of one rank.

    Nested calls precede top-level calls, those of callers that return at the
    time that they were promised precede first attempts, and late ones come
    last: a slot that serves them is lost for an answer that is still in time.
    """

    def __init__(self, fair: bool = False):
        self._nested = ArrivalOrder()
        self._returning = ArrivalOrder()
        self._top_level: TicketOrder = FairOrder() if fair else ArrivalOrder()
        self._late = ArrivalOrder()
        self._kinds: tuple[TicketOrder, ...] = (
            self._nested,
            self._returning,
            self._top_level,
            self._late,
        )
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        return chain.from_iterable(self._kinds)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket to the others of its kind."""
        self._size += 1
        self._tickets_like(ticket).push(ticket)

    def pop_first(self) -> Ticket:
        """Remove and return the next ticket."""
        self._size -= 1
        return next(kind for kind in self._kinds if kind).pop_first()

    def pop_last(self) -> Ticket:
        """Remove and return the ticket to evict first."""
        self._size -= 1
        return next(kind for kind in reversed(self._kinds) if kind).pop_last()

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        self._size -= 1
        self._tickets_like(ticket).remove(ticket)

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many tickets of the lane precede a new ticket."""
        own = self._tickets_like(ticket)
        earlier = self._kinds[: self._kinds.index(own)]
        return sum(map(len, earlier)) + own.count_ahead(ticket)

    def evict_for(self, ticket: Ticket) -> Ticket | None:
        """Remove and return a ticket that a new one replaces, if any.

        Nested calls and returning callers replace first attempts and late
        ones. Of first attempts, one replaces another of an organisation that
        has more work queued.
        """
        replaced = 0
        if ticket.nested:
            replaced = len(self) - len(self._nested)
        elif ticket.returning and not ticket.late:
            replaced = len(self._top_level) + len(self._late)
        if replaced:
            return self.pop_last()
        own = self._tickets_like(ticket)
        if own is self._top_level and own.exceeds_share(ticket):
            self._size -= 1
            return own.pop_last()
        return None

    def _tickets_like(self, ticket: Ticket) -> TicketOrder:
        if ticket.nested:
            return self._nested
        if ticket.late:
            return self._late
        return self._returning if ticket.returning else self._top_level


class PriorityQueue:
    """Tickets by rank, with a guaranteed share for each lower rank.

    Where organisations have priorities, those of routes order the tickets
    within them. While more urgent tickets wait, each start adds a lower
    rank's share to its credit; a credit of at least 1 is spent on the next
    start. The
    share also reserves places in the queue, because otherwise a flood of
    urgent calls would evict all others before they could start.
    """

    def __init__(
        self, limit: int, shares: PriorityShares | None, fair: bool = False
    ):
        self._fair = fair
        ranks: list[Rank] = list(product(Priority, Priority))
        self._lanes = {rank: Lane(fair) for rank in ranks}
        self._shares = {
            rank: shares.of(max(rank)) if shares else 0.0 for rank in ranks
        }
        self._credits = dict.fromkeys(ranks, 0.0)
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
            rank: _count_reserved_places(share, limit)
            for rank, share in self._shares.items()
        }

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket and return the one evicted for it, if any.

        Raise QueueFullError when the queue is full and none can be evicted.
        """
        evicted = None
        if self._size >= self._limit:
            evicted = self._evict_for(ticket)
        self._lanes[ticket.rank].push(ticket)
        self._size += 1
        return evicted

    def pop(self) -> Ticket:
        """Remove and return the next ticket; the queue is not empty."""
        ticket = self._lanes[self._select_rank()].pop_first()
        self._size -= 1
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        self._lanes[ticket.rank].remove(ticket)
        self._size -= 1

    def count_ahead(self, ticket: Ticket) -> float:
        """Return how many starts precede a new ticket if none overtakes it."""
        rank = ticket.rank
        ahead = sum(
            len(lane) for other, lane in self._lanes.items() if other < rank
        )
        lane = self._lanes[rank]
        ahead_in_lane = lane.count_ahead(ticket)
        ahead += ahead_in_lane
        share = self._shares[rank]
        if not share:
            return ahead
        place = ahead_in_lane if self._fair else len(lane)
        return min(ahead, (place + 1) / share)

    def count(self, priority: Priority) -> int:
        """Return the number of waiting tickets of a priority."""
        return sum(len(self._lanes[priority, other]) for other in Priority)

    def _select_rank(self) -> Rank:
        waiting = [p for p, lane in self._lanes.items() if lane]
        most_urgent = waiting[0]
        for rank, share in self._shares.items():
            if rank > most_urgent:
                credit = self._credits[rank] + share
                self._credits[rank] = min(credit, MAX_CREDIT_STARTS)
        if len(waiting) == 1:
            return most_urgent
        most_credited = max(waiting[1:], key=self._credits.__getitem__)
        if self._credits[most_credited] < 1.0:
            return most_urgent
        self._credits[most_credited] -= 1.0
        return most_credited

    def _evict_for(self, ticket: Ticket) -> Ticket:
        rank = ticket.rank
        has_reserved_place = self._excess_over_reserved(rank) < 0
        for other in reversed(self._lanes):
            if other <= rank and not has_reserved_place:
                break
            if other != rank and self._excess_over_reserved(other) > 0:
                ticket = self._lanes[other].pop_last()
                self._size -= 1
                return ticket
        evicted = self._lanes[rank].evict_for(ticket)
        if evicted is not None:
            self._size -= 1
            return evicted
        raise QueueFullError(f"the queue is full (limit {self._limit})")

    def _excess_over_reserved(self, rank: Rank) -> int:
        return len(self._lanes[rank]) - self._reserved_places[rank]


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
            return PriorityQueue(limit, None, cfg.fair_shares)
        case _:
            return PriorityQueue(limit, cfg.shares, cfg.fair_shares)
