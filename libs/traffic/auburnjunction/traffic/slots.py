"""Admission of calls to the slots of one backend server."""

import math
import random
from contextlib import asynccontextmanager

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Call, NotRunError, UnknownRunError
from auburnjunction.traffic.key_checks import RefusalFinder, find_no_refusal
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.queues import (
    QueueFullError,
    Ticket,
    TicketState,
    WaitQueue,
    make_queue,
)
from auburnjunction.traffic.rate_limits import RateLimiter
from auburnjunction.traffic.shutdown_checks import ShutdownChecker
from auburnjunction.traffic.waits import WaitEstimator


class AdmissionController:
    """Admits calls to one backend server; each holds a slot while it runs."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        limit: SlotLimit,
        queue_limit: int,
        clock: Clock,
        rate_limiter: RateLimiter | None = None,
        lifetime: NodeLifetime | None = None,
        find_refusal: RefusalFinder = find_no_refusal,
    ):
        self._find_refusal = find_refusal
        self.running = 0
        self._rate_limiter = rate_limiter or RateLimiter("")
        self._is_dispatch_scheduled = False
        self._cfg = cfg
        self._limit = limit
        self._clock = clock
        self._queue: WaitQueue = make_queue(cfg, queue_limit)
        self._draining_since_s: float | None = None
        self._shutdown = ShutdownChecker(
            lifetime or NodeLifetime(clock), limit.times
        )
        self._random = random.Random()
        self._wait_estimator = WaitEstimator()
        self._overtaking_estimator = (
            WaitEstimator() if cfg.separate_waits else None
        )

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._draining_since_s is not None

    def check_start(self, call: Call) -> None:
        """Raise NotRunError if a call with a slot may not be sent any more.

        Once draining has begun, it may within the drain start limit.
        """
        if self._is_past_drain_start_limit():
            raise NotRunError(*_DRAINING)
        self._shutdown.check(call, self._clock.monotonic())
        self._check_key(call)

    def log_abandoned_run(self, call: Call, start_s: float) -> None:
        """Log a run that was abandoned while a node of its call shut down."""
        self._shutdown.log_abandoned_run(
            call, start_s, self._clock.monotonic()
        )

    def _check_key(self, call: Call) -> None:
        error = self._find_refusal(call)
        if error is not None:
            raise error

    def set_queue_limit(self, queue_limit: int) -> None:
        """Change the queue limit; calls already waiting are kept."""
        self._queue.set_limit(queue_limit)

    def start_draining(self, refuses_waiting: bool = False) -> None:
        """Refuse new calls, and with refuses_waiting those that wait."""
        if self._draining_since_s is None:
            self._draining_since_s = self._clock.monotonic()
        if refuses_waiting:
            self._draining_since_s = -math.inf

    def stop_draining(self) -> None:
        """Admit new calls again."""
        self._draining_since_s = None

    @asynccontextmanager
    async def hold_slot(self, call: Call):
        """Hold a slot for the duration of the block.

        Raise NotRunError if the call is refused.
        """
        await self._acquire(call)
        try:
            yield
        except (curio.CancelledError, UnknownRunError):
            await self._release_after_grace()
            raise
        except BaseException:
            await self._release()
            raise
        await self._release()

    async def refuse_waiting(self) -> None:
        """Refuse the waiting calls that cannot be served any more.

        These are all if the drain start limit has passed, and those that
        would outlast this node or their entry node, or whose key is no
        longer accepted.
        """
        await self._refuse_if_drained()
        for ticket in list(self._queue):
            error = self._find_refusal(ticket.call)
            if error and ticket.state is TicketState.WAITING:
                self._queue.remove(ticket)
                await self._refuse(ticket, error)
        limited = [
            t
            for t in self._queue
            if self._shutdown.find_end(t.call) < math.inf
        ]
        now_s = self._clock.monotonic()
        for ticket in limited:
            wait_s = self._find_remaining_wait(ticket, now_s)
            error = self._shutdown.find_error(ticket.call, now_s, wait_s)
            # Others may have been granted a slot or refused meanwhile.
            if error and ticket.state is TicketState.WAITING:
                self._queue.remove(ticket)
                await self._refuse(ticket, error)

    async def _refuse_if_drained(self) -> None:
        """Refuse all waiting calls if the drain start limit has passed."""
        while self._queue and self._is_past_drain_start_limit():
            await self._refuse(self._queue.pop(), NotRunError(*_DRAINING))

    async def _acquire(self, call: Call) -> None:
        now_s = self._clock.monotonic()
        if self.draining:
            raise NotRunError(*_DRAINING)
        self._shutdown.check(call, now_s)
        duration_s = self._estimate_duration(call, now_s)
        ticket = Ticket(
            call.priority,
            self._find_latest_start(call, duration_s),
            call.nested,
            returning=call.returning,
            organisation=call.organisation,
            route_priority=call.route_priority,
            call=call,
        )
        if now_s > ticket.latest_start_s:
            raise NotRunError(
                f"estimated duration {duration_s:.3f} s exceeds the "
                f"{call.deadline_s - now_s:.3f} s left to the deadline",
                ErrorCode.TIMEOUT,
            )
        if not self._queue and self._may_start(now_s):
            self._start_call(now_s)
            return
        if self._cfg.fair_shares:
            duration_s = self._limit.times.find_duration(call.route, 0.0)
            ticket.work_s = duration_s or self._limit.times.mean_s
        if call.fail_fast:
            raise NotRunError(*_BUSY, self._estimate_wait(ticket, now_s))
        self._check_key(call)
        self._check_wait(call, ticket, now_s)
        try:
            evicted = self._queue.push(ticket)
        except QueueFullError as exc:
            exc.retry_after_s = self._find_retry_after(0.0)
            raise
        if evicted is not None:
            await self._refuse(evicted, NotRunError(*_EVICTED))
        await self._dispatch()
        await self._wait_for_slot(ticket, ticket.latest_start_s - now_s)

    def _estimate_duration(self, call: Call, now_s: float) -> float:
        if not self.running:
            # While the backend server is idle, admit the call, so that its
            # duration updates an estimate that may be outdated.
            return 0.0
        return self._limit.times.estimate(
            call.route, self._cfg.deadline_deviations, now_s
        )

    def _find_latest_start(self, call: Call, duration_s: float) -> float:
        if not self._cfg.deadline_checks:
            return float("inf")
        return call.deadline_s - duration_s

    def _check_wait(self, call: Call, ticket: Ticket, now_s: float) -> None:
        """Refuse a call that would wait too long.

        Under sustained overload, a queue that serves every call late has no
        higher throughput than one that serves fewer calls in time. A call
        that is late already, mostly because it returns after a refusal,
        waits only while no call of its priority can still be in time.
        """
        latest_s = ticket.latest_start_s
        if not self._cfg.late_waits and not call.nested:
            latest_s = self._apply_objective(call, ticket, now_s)
        wait_s = self._estimate_wait(ticket, now_s)
        self._shutdown.check(call, now_s, wait_s)
        excess_s = now_s + wait_s - latest_s
        if excess_s > 0:
            raise NotRunError(
                f"estimated wait {wait_s:.3f} s behind "
                f"{self._queue.count_ahead(ticket):.0f} of "
                f"{len(self._queue)} calls is {excess_s:.3f} s too long; "
                f"{self.running} of {self._limit.value} slots in use",
                ErrorCode.TIMEOUT,
                self._find_retry_after(excess_s),
            )

    def _apply_objective(
        self, call: Call, ticket: Ticket, now_s: float
    ) -> float:
        """Return the latest start of a call that waits.

        Mark its ticket if it will be late in any case. Under overload the
        queue grows until its wait reaches the admitted maximum, so without
        a margin every second call would be late, and every second late one
        would miss its deadline.
        """
        duration_s = self._limit.times.estimate(
            call.route, self._cfg.objective_deviations, now_s
        )
        objective_s = call.target_s - duration_s
        if objective_s >= now_s:
            return min(ticket.latest_start_s, objective_s)
        ticket.late = True
        ticket.latest_start_s = call.deadline_s - duration_s
        if self._queue.count_ahead(
            Ticket(ticket.priority, route_priority=ticket.route_priority)
        ):
            # Calls that can be in time would keep overtaking it.
            return objective_s
        return ticket.latest_start_s

    def _estimate_wait(self, ticket: Ticket, now_s: float) -> float:
        """Return the expected wait of a new ticket, and record it there."""
        ahead = self._queue.count_ahead(ticket)
        # A running call must end before the first waiting call starts.
        slot_interval_s = self._limit.times.mean_s / self._limit.value
        rate_wait_s = self._rate_limiter.find_delay(now_s)
        rate_wait_s += ahead * self._rate_limiter.interval_s
        ticket.queued_s = now_s
        ticket.expected_wait_s = max(
            (ahead + 1) * slot_interval_s, rate_wait_s
        )
        correction = self._find_estimator(ticket).correction(now_s)
        # No call can start sooner than the rate limit lets it.
        return max(ticket.expected_wait_s * correction, rate_wait_s)

    def _find_estimator(self, ticket: Ticket) -> WaitEstimator:
        """Return the estimator of the ticket's waits.

        The calls that overtake first attempts prolong the waits of these. A
        correction from such waits would refuse nested calls that find room.
        """
        if self._overtaking_estimator is None:
            return self._wait_estimator
        if ticket.nested or ticket.returning:
            return self._overtaking_estimator
        return self._wait_estimator

    def _record_wait(self, ticket: Ticket, now_s: float) -> None:
        estimator = self._find_estimator(ticket)
        if ticket.late:
            return
        if ticket.nested and estimator is self._wait_estimator:
            return
        waited_s = now_s - ticket.queued_s
        estimator.record_wait(ticket.expected_wait_s, waited_s, now_s)

    def _find_remaining_wait(self, ticket: Ticket, now_s: float) -> float:
        """Return the expected rest of a ticket's wait; 0 if it is overdue."""
        wait_s = ticket.expected_wait_s
        wait_s *= self._find_estimator(ticket).correction(now_s)
        return max(0.0, ticket.queued_s + wait_s - now_s)

    def _find_retry_after(self, excess_s: float) -> float:
        """Return a delay after which the queue should have room.

        It is jittered, to spread the retries of different callers. A caller
        that retries too early has used up its retry.
        """
        wait_s = excess_s + self._limit.times.mean_s
        return wait_s * self._random.uniform(0.5, 1.5)

    async def _wait_for_slot(self, ticket: Ticket, limit_s: float) -> None:
        try:
            if limit_s == float("inf"):
                await ticket.event.wait()
            else:
                async with curio.ignore_after(limit_s):
                    await ticket.event.wait()
        except curio.CancelledError:
            await self._withdraw(ticket)
            raise
        if ticket.state is TicketState.WAITING:
            await self._withdraw(ticket)
            raise NotRunError(*_TOO_LATE)
        if ticket.error is not None:
            raise ticket.error

    async def _withdraw(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            self._queue.remove(ticket)
            ticket.state = TicketState.REFUSED
        elif ticket.state is TicketState.GRANTED:
            await self._release()

    async def _release(self) -> None:
        self.running -= 1
        await self._dispatch()

    async def _release_after_grace(self) -> None:
        """Release the slot after a grace period.

        The backend server keeps running the call until it notices that
        the connection was closed.
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
        await self._refuse_if_drained()
        now_s = self._clock.monotonic()
        while self._queue and self._may_start(now_s):
            ticket = self._queue.pop()
            self._record_wait(ticket, now_s)
            if now_s > ticket.latest_start_s:
                await self._refuse(ticket, NotRunError(*_TOO_LATE))
                continue
            error = self._shutdown.find_error(ticket.call, now_s)
            error = error or self._find_refusal(ticket.call)
            if error is not None:
                await self._refuse(ticket, error)
                continue
            self._start_call(now_s)
            ticket.state = TicketState.GRANTED
            await ticket.event.set()
        if self._queue and self.running < self._limit.value:
            await self._schedule_dispatch(now_s)

    def _may_start(self, now_s: float) -> bool:
        """Return whether a slot is free and the rate limit allows a call."""
        has_slot = self.running < self._limit.value
        return has_slot and not self._rate_limiter.find_delay(now_s)

    def _start_call(self, now_s: float) -> None:
        self.running += 1
        self._rate_limiter.start_call(now_s)

    async def _schedule_dispatch(self, now_s: float) -> None:
        """Dispatch again as soon as the rate limit allows a call."""
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            delay_s = self._rate_limiter.find_delay(now_s)
            await curio.spawn(self._dispatch_after, delay_s, daemon=True)

    async def _dispatch_after(self, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        self._is_dispatch_scheduled = False
        await self._dispatch()

    async def _refuse(self, ticket: Ticket, error: NotRunError) -> None:
        ticket.state = TicketState.REFUSED
        ticket.error = error
        await ticket.event.set()

    def _is_past_drain_start_limit(self) -> bool:
        if self._draining_since_s is None:
            return False
        age_s = self._clock.monotonic() - self._draining_since_s
        return age_s >= self._cfg.drain_start_limit_s


_DRAINING = ("the backend server is draining", ErrorCode.DRAINING)
_TOO_LATE = ("the call cannot end by its deadline", ErrorCode.TIMEOUT)
_BUSY = ("no slot is free", ErrorCode.BUSY)
_EVICTED = (
    "evicted from the queue by a more urgent call",
    ErrorCode.OVERLOADED,
)
