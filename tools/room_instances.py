"""Backend servers with the product's admission, in simulated time."""

import heapq
import itertools
from collections.abc import Callable

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.queues import QueueFullError, Ticket, TicketState
from auburnjunction.traffic.slots import AdmissionController

SLOTS = 3
QUEUE_LIMIT = 8


class EventQueue:
    """Simulated time and the events in it."""

    def __init__(self):
        self.now_s = 0.0
        self._events: list = []
        self._numbers = itertools.count()

    def monotonic(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Run all events."""
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


class SimulatedInstance(AdmissionController):
    """A backend server whose admission takes no real time."""

    def __init__(self, cfg: AdmissionSettings, events: EventQueue, rng):
        limit = SlotLimit(cfg, SLOTS, 100, events)
        super().__init__(cfg, limit, QUEUE_LIMIT, events)
        self._random = rng
        self._events = events
        self.speed = rng.uniform(0.6, 1.6)
        self.times = limit.times

    def has_free_slot(self) -> bool:
        """Return whether a call would start at once."""
        return not self.waiting and self._may_start(self._events.now_s)

    def expected_wait(self, call: Call) -> float:
        """Return the wait that a fail-fast call would be told."""
        ticket = self._make_ticket(call)
        return self._estimate_wait(ticket, self._events.now_s)

    def offer(self, call: Call, on_start, on_refusal) -> None:
        """Admit a call, now or later, or refuse it."""
        now_s = self._events.now_s
        ticket = self._make_ticket(call)
        ticket.call = (call, on_start, on_refusal)
        if self.has_free_slot():
            self._start_call(now_s)
            on_start(self)
            return
        try:
            self._check_wait(call, ticket, now_s)
            evicted = self._queue.push(ticket)
        except QueueFullError as exc:
            exc.retry_after_s = self._find_retry_after(0.0)
            on_refusal(exc)
            return
        except NotRunError as exc:
            on_refusal(exc)
            return
        if evicted is not None:
            self._end(evicted, "evicted")
        self._events.after(
            max(0.0, ticket.latest_start_s - now_s),
            lambda: self._expire(ticket),
        )

    def end_call(self, route: str, started_s: float) -> None:
        """Release a slot and start the calls that wait."""
        now_s = self._events.now_s
        self.running -= 1
        self._limit.add_sample(route, now_s - started_s, self.running)
        while self._queue and self._may_start(now_s):
            ticket = self._queue.pop()
            self._record_wait(ticket, now_s)
            if now_s > ticket.latest_start_s:
                self._end(ticket, "too late")
                continue
            self._start_call(now_s)
            ticket.state = TicketState.GRANTED
            ticket.call[1](self)

    def _make_ticket(self, call: Call) -> Ticket:
        now_s = self._events.now_s
        duration_s = self._estimate_duration(call, now_s)
        return Ticket(
            call.priority,
            self._find_latest_start(call, duration_s),
            call.nested,
            returning=call.returning,
        )

    def _expire(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            self._end(ticket, "too late")

    def _end(self, ticket: Ticket, reason: str) -> None:
        ticket.state = TicketState.REFUSED
        ticket.call[2](NotRunError(reason, ErrorCode.TIMEOUT, 0.1))
