"""Order of waiting tickets: by arrival, or fair among organisations."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import chain
from typing import Protocol

# Work of a ticket whose duration is not known yet; the rounds need an amount
# above 0.
MIN_WORK_S = 0.001


class Queued(Protocol):
    """A ticket, its organisation and the time that its call will take."""

    organisation: str
    work_s: float


class TicketOrder(Protocol):
    """Waiting tickets of one kind, in the order in which they start."""

    def __len__(self) -> int:
        """Return the number of tickets."""

    def __iter__(self) -> Iterator[Queued]:
        """Iterate over the tickets, in any order."""

    def push(self, ticket: Queued) -> None:
        """Add a ticket."""

    def pop_first(self) -> Queued:
        """Remove and return the next ticket."""

    def pop_last(self) -> Queued:
        """Remove and return the ticket to evict first."""

    def remove(self, ticket: Queued) -> None:
        """Remove a ticket."""

    def count_ahead(self, ticket: Queued) -> float:
        """Return how many tickets start before a new one."""

    def exceeds_share(self, ticket: Queued) -> bool:
        """Return whether a new ticket should replace the one to evict."""


class ArrivalOrder:
    """Tickets in the order of arrival."""

    def __init__(self):
        self._tickets: OrderedDict[Queued, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[Queued]:
        return iter(self._tickets)

    def push(self, ticket: Queued) -> None:
        """Add a ticket."""
        self._tickets[ticket] = None

    def pop_first(self) -> Queued:
        """Remove and return the oldest ticket."""
        return self._tickets.popitem(last=False)[0]

    def pop_last(self) -> Queued:
        """Remove and return the newest ticket."""
        return self._tickets.popitem(last=True)[0]

    def remove(self, ticket: Queued) -> None:
        """Remove a ticket."""
        del self._tickets[ticket]

    def count_ahead(self, ticket: Queued) -> float:
        """Return the number of tickets."""
        return len(self._tickets)

    def exceeds_share(self, ticket: Queued) -> bool:
        """Return False: nobody has a share."""
        return False


class FairOrder:
    """Deficit round robin among organisations, by estimated work time.

    In its turn, an organisation may start tickets for the work that it has
    earned, the mean of all that wait, and what it has left from before. Only
    organisations with tickets have any state.
    """

    def __init__(self):
        # In the order of their turns.
        self._tickets: OrderedDict[str, OrderedDict[Queued, None]] = (
            OrderedDict()
        )
        # Work that waits, and that may start.
        self._work_s: dict[str, float] = {}
        self._deficits_s: dict[str, float] = {}
        # The organisation whose turn has begun.
        self._turn: str | None = None
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Queued]:
        return chain.from_iterable(self._tickets.values())

    def push(self, ticket: Queued) -> None:
        """Add a ticket behind the others of its organisation."""
        name = ticket.organisation
        tickets = self._tickets.get(name)
        if tickets is None:
            tickets = self._tickets[name] = OrderedDict()
            self._work_s[name] = self._deficits_s[name] = 0.0
        tickets[ticket] = None
        self._work_s[name] += _find_work(ticket)
        self._size += 1

    def pop_first(self) -> Queued:
        """Remove and return the next ticket."""
        quantum_s = sum(self._work_s.values()) / self._size
        quantum_s = max(quantum_s, MIN_WORK_S)
        while True:
            name = next(iter(self._tickets))
            if name != self._turn:
                self._turn = name
                self._deficits_s[name] += quantum_s
            ticket = next(iter(self._tickets[name]))
            work_s = _find_work(ticket)
            if work_s <= self._deficits_s[name]:
                self._deficits_s[name] -= work_s
                self.remove(ticket)
                return ticket
            self._tickets.move_to_end(name)
            self._turn = None

    def pop_last(self) -> Queued:
        """Remove the newest ticket of those with the most work queued."""
        name = max(self._work_s, key=self._work_s.__getitem__)
        ticket = next(reversed(self._tickets[name]))
        self.remove(ticket)
        return ticket

    def remove(self, ticket: Queued) -> None:
        """Remove a ticket, and the state of its organisation if it has none.

        An organisation that returns earns nothing for the time in between.
        """
        name = ticket.organisation
        tickets = self._tickets[name]
        del tickets[ticket]
        self._size -= 1
        self._work_s[name] -= _find_work(ticket)
        if not tickets:
            del self._tickets[name]
            del self._work_s[name]
            del self._deficits_s[name]
            if self._turn == name:
                self._turn = None

    def count_ahead(self, ticket: Queued) -> float:
        """Return how many tickets start before a new one.

        Each other organisation starts as much work until then as the one of
        the new ticket, as far as it has any.
        """
        name = ticket.organisation
        own = self._tickets.get(name, ())
        work_s = self._work_s.get(name, 0.0) + _find_work(ticket)
        ahead = float(len(own))
        for other, tickets in self._tickets.items():
            if other != name:
                started = min(1.0, work_s / self._work_s[other])
                ahead += len(tickets) * started
        return ahead

    def exceeds_share(self, ticket: Queued) -> bool:
        """Return whether another organisation has more work queued.

        It must have more than that of the new ticket would have with it.
        """
        if not self._size:
            return False
        work_s = self._work_s.get(ticket.organisation, 0.0)
        work_s += _find_work(ticket)
        return max(self._work_s.values()) > work_s


def _find_work(ticket: Queued) -> float:
    return max(ticket.work_s, MIN_WORK_S)
