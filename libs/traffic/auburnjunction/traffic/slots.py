"""Slots of one backend server, and the calls that hold or await them."""

import math
import random
from contextlib import asynccontextmanager

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Call, NotRunError, UnknownRunError
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.queues import (
    QueueFullError,
    Ticket,
    TicketState,
    WaitQueue,
    make_queue,
)
from auburnjunction.traffic.waits import WaitEstimator

# Deviations above the mean that a call's duration is taken to have where
# it must end before the node does.
END_DEVIATIONS = 4.0


class SlotGate:
    """Grants the slots of one backend server, each to one call."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        limit: SlotLimit,
        queue_limit: int,
        clock: Clock,
    ):
        self.running = 0
        self._cfg = cfg
        self._limit = limit
        self._clock = clock
        self._queue: WaitQueue = make_queue(cfg, queue_limit)
        self._draining_since_s: float | None = None
        self._end_s = math.inf
        self._random = random.Random()
        self._waits = WaitEstimator()

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._draining_since_s is not None

    def set_queue_limit(self, queue_limit: int) -> None:
        """Change how many calls may wait; those that wait stay."""
        self._queue.set_limit(queue_limit)

    def set_end(self, end_s: float) -> None:
        """Refuse calls that may not have ended by a time of the clock."""
        self._end_s = end_s

    def start_draining(self) -> None:
        """Refuse new calls from now on."""
        if self._draining_since_s is None:
            self._draining_since_s = self._clock.monotonic()

    def stop_draining(self) -> None:
        """Take new calls again."""
        self._draining_since_s = None

    @asynccontextmanager
    async def hold_slot(self, call: Call):
        """Hold a slot for the length of the block.

        Raise NotRunError when none is granted in time.
        """
        await self._enter(call)
        try:
            yield
        except (curio.CancelledError, UnknownRunError):
            await self._release_late()
            raise
        except BaseException:
            await self._release()
            raise
        await self._release()

    async def refuse_waiting(self) -> None:
        """Refuse the calls that wait, if draining forbids their start."""
        while self._queue and self._is_start_forbidden():
            await self._refuse(self._queue.pop(), *_DRAINING)

    async def _enter(self, call: Call) -> None:
        now_s = self._clock.monotonic()
        if self.draining or self._ends_too_late(call, now_s):
            raise NotRunError(*_DRAINING)
        duration_s = self._estimate(call, now_s)
        ticket = Ticket(
            call.priority,
            self._find_latest_start(call, duration_s),
            call.nested,
        )
        if now_s > ticket.latest_start_s:
            raise NotRunError(
                f"takes about {duration_s:.3f} s, and "
                f"{call.deadline_s - now_s:.3f} s are left",
                ErrorCode.TIMEOUT,
            )
        if not self._queue and self.running < self._limit.value:
            self.running += 1
            return
        if call.prompt:
            raise NotRunError(*_BUSY)
        self._check_wait(call, ticket, now_s)
        try:
            evicted = self._queue.push(ticket)
        except QueueFullError as exc:
            exc.retry_after_s = self._find_retry_after(0.0)
            raise
        if evicted is not None:
            await self._refuse(evicted, *_EVICTED)
        await self._dispatch()
        await self._wait(ticket, ticket.latest_start_s - now_s)

    def _ends_too_late(self, call: Call, now_s: float) -> bool:
        if self._end_s == math.inf:
            return False
        duration_s = self._limit.times.estimate(
            call.route, END_DEVIATIONS, now_s
        )
        return now_s + duration_s > self._end_s

    def _estimate(self, call: Call, now_s: float) -> float:
        if not self.running:
            # An idle backend server shows whether the estimate still holds.
            return 0.0
        return self._limit.times.estimate(
            call.route, self._cfg.deadline_deviations, now_s
        )

    def _find_latest_start(self, call: Call, duration_s: float) -> float:
        if not self._cfg.deadline_checks:
            return float("inf")
        return call.deadline_s - duration_s

    def _check_wait(self, call: Call, ticket: Ticket, now_s: float) -> None:
        """Refuse a call that would wait for too long.

        Under lasting overload a queue that serves every call late serves
        no more of them than one that serves fewer in time.
        """
        ahead = self._queue.count_ahead(ticket)
        # One more call must end before the first that waits starts.
        turn_s = self._limit.times.mean_s / self._limit.value
        ticket.queued_s, ticket.expected_s = now_s, (ahead + 1) * turn_s
        wait_s = ticket.expected_s * self._waits.correction(now_s)
        latest_s = ticket.latest_start_s
        if not self._cfg.late_waits and not call.nested:
            latest_s = min(latest_s, self._find_latest_wait(call, now_s))
        excess_s = now_s + wait_s - latest_s
        if excess_s > 0:
            raise NotRunError(
                f"would wait about {wait_s:.3f} s behind {ahead:.0f} of "
                f"{len(self._queue)} calls, {excess_s:.3f} s too long; "
                f"{self.running} of {self._limit.value} slots are held",
                ErrorCode.TIMEOUT,
                self._find_retry_after(excess_s),
            )

    def _find_latest_wait(self, call: Call, now_s: float) -> float:
        """Return when a call must start to meet its objective, most likely.

        Under overload the queue grows to whatever is let in, so that
        without a margin every second call would be late.
        """
        duration_s = self._limit.times.estimate(
            call.route, self._cfg.objective_deviations, now_s
        )
        return call.target_s - duration_s

    def _find_retry_after(self, excess_s: float) -> float:
        """Return when the queue will have room, spread over callers.

        A caller that comes back too early has spent its retry.
        """
        wait_s = excess_s + self._limit.times.mean_s
        return wait_s * self._random.uniform(0.5, 1.5)

    async def _wait(self, ticket: Ticket, limit_s: float) -> None:
        try:
            if limit_s == float("inf"):
                await ticket.event.wait()
            else:
                async with curio.ignore_after(limit_s):
                    await ticket.event.wait()
        except curio.CancelledError:
            await self._abandon(ticket)
            raise
        if ticket.state is TicketState.WAITING:
            await self._abandon(ticket)
            raise NotRunError(*_TOO_LATE)
        if ticket.error is not None:
            raise ticket.error

    async def _abandon(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            ticket.state = TicketState.REFUSED
        elif ticket.state is TicketState.GRANTED:
            await self._release()

    async def _release(self) -> None:
        self.running -= 1
        await self._dispatch()

    async def _release_late(self) -> None:
        """Give the slot back when the backend server has stopped too.

        It notices only after a while that a connection was closed.
        """
        grace_s = min(self._cfg.cancel_grace_s, self._limit.times.mean_s)
        if grace_s:
            await curio.spawn(self._release_after, grace_s, daemon=True)
        else:
            await self._release()

    async def _release_after(self, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        await self._release()

    async def _dispatch(self) -> None:
        await self.refuse_waiting()
        now_s = self._clock.monotonic()
        while self._queue and self.running < self._limit.value:
            ticket = self._queue.pop()
            if not ticket.nested:
                seen_s = now_s - ticket.queued_s
                self._waits.learn(ticket.expected_s, seen_s, now_s)
            if now_s > ticket.latest_start_s:
                await self._refuse(ticket, *_TOO_LATE)
                continue
            self.running += 1
            ticket.state = TicketState.GRANTED
            await ticket.event.set()

    async def _refuse(
        self, ticket: Ticket, message: str, code: ErrorCode
    ) -> None:
        ticket.state = TicketState.REFUSED
        ticket.error = NotRunError(message, code)
        await ticket.event.set()

    def _is_start_forbidden(self) -> bool:
        if self._draining_since_s is None:
            return False
        age_s = self._clock.monotonic() - self._draining_since_s
        return age_s >= self._cfg.drain_start_limit_s


_DRAINING = ("the backend server is draining", ErrorCode.DRAINING)
_TOO_LATE = ("the call cannot end by its deadline", ErrorCode.TIMEOUT)
_BUSY = ("no slot is free", ErrorCode.BUSY)
_EVICTED = ("a more urgent call took the place", ErrorCode.OVERLOADED)
