"""Sending of calls: attempts at instances, retries and backoff."""

import math
import random
from typing import Protocol

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.membership.crashes import CrashLog
from auburnjunction.model.services import Instance
from auburnjunction.traffic.attempts import (
    AttemptPlanner,
    AttemptState,
    PlannedAttempt,
)
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.call_forwarders import PeerRunner
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    Call,
    CallRunner,
    NotRunError,
    TrafficError,
)
from auburnjunction.traffic.instance_trackers import (
    COOLDOWN_CODES,
    InstanceTracker,
)
from auburnjunction.traffic.key_checks import RefusalFinder, find_no_refusal
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.quarantines import Quarantine
from auburnjunction.traffic.retries import (
    NodeCounter,
    RetryBudget,
    RetryBudgets,
    count_one,
)
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.version_observers import VersionObserver

# Crashes of backend servers that ran a request after which a call with it is
# not retried. One may be a coincidence.
MAX_RETRIED_CRASHES = 1
# Codes of refusals after which another instance may accept the call.
RETRIED_REFUSAL_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.DRAINING,
        ErrorCode.UNRESPONSIVE,
        ErrorCode.UNREACHABLE,
        ErrorCode.UNAVAILABLE,
        ErrorCode.SHED,
        ErrorCode.SHUTDOWN,
        ErrorCode.STALE,
        ErrorCode.MISPLACED,
        ErrorCode.TIMEOUT,
    }
)


class Sender(Protocol):
    """Sends calls, under whatever conditions."""

    async def send_call(
        self, routed: RoutedCall, trace: "CallTrace"
    ) -> Answer:
        """Return a complete answer; raise NotRunError or UnknownRunError."""


@attrs.define(slots=True)
class CallTrace:
    """Record of one call for the access log and the metrics."""

    request_id: str
    started_s: float
    # Monotonic time until which its caller waits; infinity until it is routed.
    deadline_s: float = math.inf
    service: str = ""
    priority: int = 0
    revision: int = 0
    instance: str = ""
    # Attempts, among them those refused because no slot was free.
    attempts: int = 0
    busy: int = 0
    spills: int = 0
    route: str = ""
    nested: bool = False
    reason: str = ""
    retry_after_s: float = 0.0
    # Further fields of the access log: the evidence of a refusal.
    details: dict | None = None


class CallSender:
    """Sends calls to instances; no other layer retries."""

    def __init__(
        self,
        location: NodeLocation,
        balancer: Balancer,
        instance_tracker: InstanceTracker,
        local_runner: CallRunner,
        peer_runner: PeerRunner,
        clock: Clock,
        settings: RoutingSettings,
        rng: random.Random,
        count_nodes: NodeCounter = count_one,
        quarantine: Quarantine | None = None,
        lifetime: NodeLifetime | None = None,
        find_refusal: RefusalFinder = find_no_refusal,
        version_observer: VersionObserver | None = None,
    ):
        self._find_refusal = find_refusal
        self._version_observer = version_observer
        self._lifetime = lifetime or NodeLifetime(clock)
        self._quarantine = quarantine or Quarantine(CrashLog(clock))
        self._location = location
        self._balancer = balancer
        self._planner = AttemptPlanner(balancer, settings)
        self._instance_tracker = instance_tracker
        self._local_runner = local_runner
        self._peer_runner = peer_runner
        self._clock = clock
        self._retry_budgets = RetryBudgets(settings, count_nodes, rng)
        share = settings.refused_retry_share
        self._refusal_budgets = RetryBudgets(
            attrs.evolve(settings, retry_share=share), count_nodes, rng
        )
        self._backoff_s = settings.retry_backoff_ms / 1000
        self._random = rng.random

    async def send_call(self, routed: RoutedCall, trace: CallTrace) -> Answer:
        """Return a complete answer; raise NotRunError or UnknownRunError.

        NotRunError means that the call ran in none of its attempts.
        """
        if self._quarantine.is_on_probation(routed.call):
            return await self._send_probe(routed, trace)
        self._quarantine.check(routed.call)
        return await self._send_with_retries(routed, trace)

    async def _send_with_retries(
        self, routed: RoutedCall, trace: CallTrace
    ) -> Answer:
        call = routed.call
        budget, attempts = self._start(routed)
        while True:
            now_s = self._clock.monotonic()
            planned = self._plan_attempt(routed, attempts, now_s)
            if planned is None:
                return attempts.get_result(call)
            self._record_attempt(planned.instance, trace)
            try:
                answer = await self._run_attempt(
                    routed, attempts, planned, now_s
                )
            except TrafficError as exc:
                if exc.code is ErrorCode.BUSY:
                    attempts.add_busy(planned.instance, exc.retry_after_s)
                    trace.busy += 1
                    continue
                attempts.add_error(exc, _was_sent(exc))
                if not self._may_retry_error(call, exc, budget, attempts):
                    return attempts.get_result(call)
            else:
                attempts.add_answer(answer)
                if not self._may_retry_answer(call, answer, budget, attempts):
                    return answer
            await self._back_off(call, attempts.ended_count)

    async def _send_probe(
        self, routed: RoutedCall, trace: CallTrace
    ) -> Answer:
        """Run a request on probation once, at the instance for its probes."""
        _, attempts = self._start(routed)
        now_s = self._clock.monotonic()
        error = self._find_attempt_error(routed, now_s)
        if error is not None:
            raise error
        instance = self._quarantine.choose_probed(
            routed.call, self._balancer.list_eligible(routed)
        )
        self._record_attempt(instance, trace)
        routed = attrs.evolve(
            routed, call=attrs.evolve(routed.call, probe=True)
        )
        return await self._run_attempt(
            routed,
            attempts,
            PlannedAttempt(instance, False),
            now_s,
        )

    def _start(self, routed: RoutedCall) -> tuple[RetryBudget, AttemptState]:
        """Count the call in its budgets; return its retry budget and state."""
        call = routed.call
        now_s = self._clock.monotonic()
        budget = self._retry_budgets.get(call.service, call.priority)
        budget.record_first_attempt(now_s)
        if call.repeated:
            budget.record_retry(now_s)
        refusal_budget = self._refusal_budgets.get(call.service, call.priority)
        refusal_budget.record_first_attempt(now_s)
        return budget, self._planner.start(routed, refusal_budget)

    def _plan_attempt(
        self,
        routed: RoutedCall,
        attempts: AttemptState,
        now_s: float,
    ) -> PlannedAttempt | None:
        error = self._find_attempt_error(routed, now_s)
        if error is not None:
            attempts.add_error(error, False)
            return None
        return self._planner.plan(routed, attempts, now_s)

    def _find_attempt_error(
        self, routed: RoutedCall, now_s: float
    ) -> NotRunError | None:
        """Return why no attempt of a call may begin, or None."""
        call = routed.call
        if now_s >= call.deadline_s:
            return NotRunError("the deadline has passed", ErrorCode.TIMEOUT)
        end_s = self._lifetime.end_s
        if now_s >= end_s:
            return NotRunError("this node shuts down", ErrorCode.SHUTDOWN)
        limit_s = _find_attempt_limit(routed, now_s)
        # Without a nested call, the request that it is made for would fail,
        # and that one has been taken.
        if not call.nested and not self._lifetime.may_take(limit_s, now_s):
            return NotRunError(
                f"the limit of {limit_s - now_s:.3f} s exceeds the "
                f"{end_s - now_s:.3f} s until this node shuts down",
                ErrorCode.SHUTDOWN,
            )
        return self._find_refusal(call)

    def _record_attempt(self, instance: Instance, trace: CallTrace) -> None:
        trace.attempts += 1
        trace.instance = instance.instance
        if instance.data_centre != self._location.data_centre:
            trace.spills += 1

    async def _run_attempt(
        self,
        routed: RoutedCall,
        attempts: AttemptState,
        planned: PlannedAttempt,
        now_s: float,
    ) -> Answer:
        instance_tracker = self._instance_tracker
        instance = planned.instance
        call = _make_attempt_call(routed, now_s)
        rate_limit_per_s = instance_tracker.find_rate_limit(instance)
        if (
            planned.fail_fast
            or attempts.sent_count
            or rate_limit_per_s is not None
            or self._lifetime.is_ending
        ):
            call = attrs.evolve(
                call,
                fail_fast=planned.fail_fast,
                repeated=call.repeated or attempts.sent_count > 0,
                rate_limit_per_s=rate_limit_per_s,
                answer_limit_s=self._lifetime.end_s,
            )
        instance_tracker.start_call(instance, len(call.request.body))
        try:
            if self._version_observer is None:
                answer = await self._run(call, instance)
            else:
                answer = await self._version_observer.run(
                    call, instance, self._run
                )
        except TrafficError as exc:
            instance_tracker.record_error(instance, exc)
            raise
        except BaseException:
            instance_tracker.record_cancellation(instance)
            raise
        finally:
            instance_tracker.end_call(instance)
        latency_s = self._clock.monotonic() - now_s
        instance_tracker.record_answer(instance, answer, latency_s, call.route)
        return answer

    async def _run(self, call: Call, instance: Instance) -> Answer:
        if instance.node == self._location.node:
            return await self._local_runner.run_call(call, instance.instance)
        return await self._peer_runner.forward_call(call, instance)

    def _may_retry_error(
        self,
        call: Call,
        error: TrafficError,
        budget: RetryBudget,
        attempts: AttemptState,
    ) -> bool:
        if attempts.is_exhausted:
            return False
        if isinstance(error, NotRunError):
            if error.code not in RETRIED_REFUSAL_CODES:
                return False
            # The instance is in cooldown from now on, so that only calls
            # already in flight to it cause such retries.
            if error.code in COOLDOWN_CODES:
                return True
            # No backend server was sent the call, so that the retry does
            # not add to their load.
            if error.code is not ErrorCode.SHED:
                now_s = self._clock.monotonic()
                return attempts.refusal_budget.try_spend(now_s)
        elif not self._may_repeat(call, error, attempts):
            return False
        return budget.try_spend(self._clock.monotonic())

    def _may_repeat(
        self, call: Call, error: TrafficError, attempts: AttemptState
    ) -> bool:
        """Return whether a call that may have run may run again."""
        if not call.repeatable or error.code is ErrorCode.CONFLICT:
            return False
        if error.code is not ErrorCode.CRASHED:
            return True
        known = self._quarantine.count_crashes(call)
        return max(known, attempts.crash_count) <= MAX_RETRIED_CRASHES

    def _may_retry_answer(
        self,
        call: Call,
        answer: Answer,
        budget: RetryBudget,
        attempts: AttemptState,
    ) -> bool:
        """Return whether to retry a server error at another instance."""
        if answer.response.status < FIRST_SERVER_ERROR or not call.repeatable:
            return False
        if attempts.is_exhausted:
            return False
        return budget.try_spend(self._clock.monotonic())

    async def _back_off(self, call: Call, attempts: int) -> None:
        delay_s = self._backoff_s * 2 ** (attempts - 1) * self._random()
        remaining_s = call.deadline_s - self._clock.monotonic()
        if delay_s < remaining_s:
            await self._clock.sleep(delay_s)


def _find_attempt_limit(routed: RoutedCall, now_s: float) -> float:
    """Return the monotonic time by which an attempt begun now has ended."""
    timeout_s = routed.service.attempt_timeout_ms / 1000
    return min(routed.call.deadline_s, now_s + timeout_s)


def _make_attempt_call(routed: RoutedCall, now_s: float) -> Call:
    """Return the call with its deadline cut to the attempt timeout."""
    call = routed.call
    limit_s = _find_attempt_limit(routed, now_s)
    if limit_s >= call.deadline_s:
        return call
    return attrs.evolve(call, deadline_s=limit_s)


def _was_sent(error: TrafficError) -> bool:
    """Return whether a backend server was sent the call."""
    return not isinstance(error, NotRunError) or error.code is ErrorCode.SHED
