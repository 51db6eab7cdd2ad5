"""Sending of calls: attempts at instances, retries and backoff."""

import random

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.services import Instance
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.call_forwarders import PeerRunner
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    Call,
    CallRunner,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.instance_trackers import (
    COOLDOWN_CODES,
    InstanceTracker,
)
from auburnjunction.traffic.retries import (
    NodeCounter,
    RetryBudget,
    RetryBudgets,
    count_one,
)
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings

# Codes of refusals after which another instance may accept the call.
RETRIED_REFUSAL_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.DRAINING,
        ErrorCode.UNRESPONSIVE,
        ErrorCode.UNREACHABLE,
        ErrorCode.UNAVAILABLE,
        ErrorCode.SHED,
        ErrorCode.MISPLACED,
        ErrorCode.TIMEOUT,
    }
)


@attrs.define(slots=True)
class CallTrace:
    """Record of one call for the access log and the metrics."""

    request_id: str
    started_s: float
    service: str = ""
    priority: int = 0
    revision: int = 0
    instance: str = ""
    attempts: int = 0
    spills: int = 0
    route: str = ""
    nested: bool = False
    reason: str = ""
    retry_after_s: float = 0.0


@attrs.define(slots=True)
class AttemptState:
    """State of a call across its attempts."""

    # Maximum number of backend servers that are sent the call, and of
    # attempts, including those that nodes refuse but not fail-fast attempts
    # refused as busy.
    max_sent: int
    max_tried: int
    # Budget of retries after refusals by nodes.
    refusal_budget: RetryBudget
    tried: set[str] = attrs.field(factory=set)
    # Number of backend servers that were sent the call.
    sent_count: int = 0
    # Instances without a free slot that refused a fail-fast attempt, and the
    # number of fail-fast attempts left.
    busy: set[str] = attrs.field(factory=set)
    fail_fast_attempts_left: int = 0
    error_so_far: TrafficError | None = None
    answer: Answer | None = None

    @property
    def is_exhausted(self) -> bool:
        """Whether the limits of the call allow no further attempt."""
        if len(self.tried) - len(self.busy) >= self.max_tried:
            return True
        return self.sent_count >= self.max_sent

    def add_error(self, error: TrafficError) -> None:
        """Record an attempt that ended without an answer."""
        did_not_run = isinstance(error, NotRunError)
        self.sent_count += not did_not_run or error.code is ErrorCode.SHED
        self.error_so_far = _combine_errors(self.error_so_far, error)

    def add_busy(self, instance: str) -> None:
        """Record an instance that refused a fail-fast attempt."""
        self.busy.add(instance)
        self.fail_fast_attempts_left -= 1

    def allow_queueing(self) -> bool:
        """Let busy instances queue the call; return whether there are any."""
        if not self.busy:
            return False
        self.tried -= self.busy
        self.busy.clear()
        self.fail_fast_attempts_left = 0
        return True

    def add_answer(self, answer: Answer) -> None:
        """Record the answer of a backend server."""
        self.sent_count += 1
        self.answer = answer

    def get_result(self, call: Call) -> Answer:
        """Return the last answer, or raise the error of all attempts."""
        if self.answer is not None:
            return self.answer
        raise self.error_so_far or NotRunError(
            f"no instance of {call.service} can take the call"
        )


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
    ):
        self._location = location
        self._balancer = balancer
        self._instance_tracker = instance_tracker
        self._local_runner = local_runner
        self._peer_runner = peer_runner
        self._clock = clock
        self._retry_budgets = RetryBudgets(settings, count_nodes, rng)
        share = settings.refused_retry_share
        self._refusal_budgets = RetryBudgets(
            attrs.evolve(settings, retry_share=share), count_nodes, rng
        )
        self._max_attempts = settings.max_attempts
        self._fail_fast_attempts = settings.prompt_attempts
        self._backoff_s = settings.retry_backoff_ms / 1000
        self._random = rng.random

    async def send_call(self, routed: RoutedCall, trace: CallTrace) -> Answer:
        """Return a complete answer; raise NotRunError or UnknownRunError.

        NotRunError means that the call ran in none of its attempts.
        """
        call = routed.call
        now_s = self._clock.monotonic()
        budget = self._retry_budgets.get(call.service, call.priority, now_s)
        budget.record_first_attempt(now_s)
        refusal_budget = self._refusal_budgets.get(
            call.service, call.priority, now_s
        )
        refusal_budget.record_first_attempt(now_s)
        max_sent = self._find_max_sent(routed)
        attempts = AttemptState(
            max_sent,
            self._max_attempts,
            refusal_budget,
            fail_fast_attempts_left=self._fail_fast_attempts,
        )
        while True:
            now_s = self._clock.monotonic()
            instance = self._choose_instance(routed, attempts, now_s)
            if instance is None:
                return attempts.get_result(call)
            attempts.tried.add(instance.instance)
            self._record_attempt(instance, trace)
            try:
                is_fail_fast = self._fails_fast(routed, attempts, now_s)
                answer = await self._run_attempt(
                    routed, instance, now_s, is_fail_fast
                )
            except TrafficError as exc:
                if exc.code is ErrorCode.BUSY:
                    attempts.add_busy(instance.instance)
                    continue
                attempts.add_error(exc)
                if not self._may_retry_error(call, exc, budget, attempts):
                    return attempts.get_result(call)
            else:
                attempts.add_answer(answer)
                if not self._may_retry_answer(call, answer, budget, attempts):
                    return answer
            await self._back_off(call, len(attempts.tried))

    def _find_max_sent(self, routed: RoutedCall) -> int:
        """Return how many backend servers may be sent the call."""
        return routed.route.max_attempts or self._max_attempts

    def _choose_instance(
        self,
        routed: RoutedCall,
        attempts: AttemptState,
        now_s: float,
    ) -> Instance | None:
        if now_s >= routed.call.deadline_s:
            attempts.add_error(
                NotRunError("the deadline has passed", ErrorCode.TIMEOUT)
            )
            return None
        instance = self._balancer.choose(routed, attempts.tried, now_s)
        if instance is None and attempts.allow_queueing():
            return self._balancer.choose(routed, attempts.tried, now_s)
        return instance

    def _fails_fast(
        self, routed: RoutedCall, attempts: AttemptState, now_s: float
    ) -> bool:
        """Return whether the next attempt needs a free slot at once."""
        if attempts.fail_fast_attempts_left <= 0:
            return False
        return self._balancer.has_untried_local(routed, attempts.tried, now_s)

    def _record_attempt(self, instance: Instance, trace: CallTrace) -> None:
        trace.attempts += 1
        trace.instance = instance.instance
        if instance.data_centre != self._location.data_centre:
            trace.spills += 1

    async def _run_attempt(
        self,
        routed: RoutedCall,
        instance: Instance,
        now_s: float,
        is_fail_fast: bool,
    ) -> Answer:
        instance_tracker = self._instance_tracker
        call = _make_attempt_call(routed, now_s)
        if is_fail_fast:
            call = attrs.evolve(call, fail_fast=True)
        instance_tracker.start_call(instance)
        try:
            answer = await self._run(call, instance)
        except TrafficError as exc:
            instance_tracker.record_error(instance, exc)
            raise
        except BaseException:
            instance_tracker.record_cancellation(instance)
            raise
        finally:
            instance_tracker.end_call(instance)
        latency_s = self._clock.monotonic() - now_s
        instance_tracker.record_answer(instance, answer, latency_s)
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
        elif not call.repeatable or error.code is ErrorCode.CONFLICT:
            return False
        return budget.try_spend(self._clock.monotonic())

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


def _make_attempt_call(routed: RoutedCall, now_s: float) -> Call:
    """Return the call with its deadline cut to the attempt timeout."""
    call = routed.call
    limit_s = now_s + routed.service.attempt_timeout_ms / 1000
    if limit_s >= call.deadline_s:
        return call
    return attrs.evolve(call, deadline_s=limit_s)


def _combine_errors(
    error_so_far: TrafficError | None, error: TrafficError
) -> TrafficError:
    """Return the error for all attempts; unknown outcomes prevail."""
    if isinstance(error_so_far, UnknownRunError):
        return error_so_far
    return error
