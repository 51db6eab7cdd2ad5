"""Order of waiting tickets: by arrival, or fair among organisations."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import chain
from typing import Protocol

# Work of a ticket whose duration is not known yet; the rounds need an amount
# above 0.
MIN_WORK_S = 0.001
# Organisations without tickets that stay in the round; the state of an
# instance is bounded by this and by its queue.
MAX_IDLE = 64


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
    earned, the mean of all that wait, and what it has left from before. One
    that had no tickets comes before those that have had a turn, so that it
    waits for none that always has tickets queued. To keep it from coming
    first again and again, it stays in the round when it has no tickets left,
    until its next turn.
    """

    def __init__(self):
        # Organisations before their first turn, and the others in the order
        # of their turns.
        self._new: OrderedDict[str, OrderedDict[Queued, None]] = OrderedDict()
        self._old: OrderedDict[str, OrderedDict[Queued, None]] = OrderedDict()
        # Work that waits, and that may start.
        self._work_s: dict[str, float] = {}
        self._deficits_s: dict[str, float] = {}
        # The organisation whose turn has begun.
        self._turn: str | None = None
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Queued]:
        rounds = chain(self._new.values(), self._old.values())
        return chain.from_iterable(rounds)

    @property
    def organisations(self) -> set[str]:
        """Organisations with tickets or state."""
        return {*self._new, *self._old}

    def push(self, ticket: Queued) -> None:
        """Add a ticket behind the others of its organisation."""
        name = ticket.organisation
        tickets = self._find_tickets(name)
        if tickets is None:
            tickets = self._new[name] = OrderedDict()
            self._work_s[name] = self._deficits_s[name] = 0.0
        tickets[ticket] = None
        self._work_s[name] += _find_work(ticket)
        self._size += 1

    def pop_first(self) -> Queued:
        """Remove and return the next ticket."""
        quantum_s = sum(self._work_s.values()) / self._size
        quantum_s = max(quantum_s, MIN_WORK_S)
        while True:
            name, tickets = next(iter((self._new or self._old).items()))
            if not tickets:
                self._forget(name)
                continue
            if name != self._turn:
                self._turn = name
                self._deficits_s[name] += quantum_s
            ticket = next(iter(tickets))
            work_s = _find_work(ticket)
            if work_s <= self._deficits_s[name]:
                self._deficits_s[name] -= work_s
                self.remove(ticket)
                return ticket
            self._end_turn(name)

    def pop_last(self) -> Queued:
        """Remove the newest ticket of those with the most work queued."""
        name = max(
            (name for name in self._work_s if self._find_tickets(name)),
            key=self._work_s.__getitem__,
        )
        ticket = next(reversed(self._find_tickets(name)))
        self.remove(ticket)
        return ticket

    def remove(self, ticket: Queued) -> None:
        """Remove a ticket."""
        name = ticket.organisation
        tickets = self._find_tickets(name)
        del tickets[ticket]
        self._size -= 1
        self._work_s[name] -= _find_work(ticket)
        if not self._size:
            self._clear()
        elif not tickets:
            self._set_idle(name)

    def count_ahead(self, ticket: Queued) -> float:
        """Return how many tickets start before a new one.

        Each other organisation starts as much work until then as the one of
        the new ticket, as far as it has any.
        """
        name = ticket.organisation
        work_s = self._work_s.get(name, 0.0) + _find_work(ticket)
        rounds = [self._new]
        if name in self._old:
            rounds.append(self._old)
        ahead = float(len(self._find_tickets(name) or ()))
        for other, tickets in chain.from_iterable(r.items() for r in rounds):
            if other != name and tickets:
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

    def _find_tickets(self, name: str) -> OrderedDict[Queued, None] | None:
        tickets = self._new.get(name)
        return self._old.get(name) if tickets is None else tickets

    def _end_turn(self, name: str) -> None:
        self._turn = None
        if name in self._new:
            self._old[name] = self._new.pop(name)
        else:
            self._old.move_to_end(name)

    def _set_idle(self, name: str) -> None:
        """Keep an organisation without tickets in the round."""
        self._work_s[name] = self._deficits_s[name] = 0.0
        if name in self._new:
            self._old[name] = self._new.pop(name)
        if self._turn == name:
            self._turn = None
        idle = [other for other, tickets in self._old.items() if not tickets]
        if len(idle) > MAX_IDLE:
            self._forget(idle[0])

    def _forget(self, name: str) -> None:
        del self._old[name]
        del self._work_s[name]
        del self._deficits_s[name]

    def _clear(self) -> None:
        self._new.clear()
        self._old.clear()
        self._work_s.clear()
        self._deficits_s.clear()
        self._turn = None


def _find_work(ticket: Queued) -> float:
    return max(ticket.work_s, MIN_WORK_S)
