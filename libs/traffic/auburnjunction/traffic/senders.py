"""Attempts of one call: choice of instance, retries and backoff."""

import random

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.services import Instance
from auburnjunction.traffic.balancers import Balancer, Place
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    Call,
    CallRunner,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.observations import HOLDING_CODES, Observer
from auburnjunction.traffic.peers import PeerRunner
from auburnjunction.traffic.retries import RetryBudget, RetryBudgets
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings

# Refusals that another instance may not give.
RETRIED_REFUSALS = frozenset(
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
    """What happened to one call, for its log line and metrics."""

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
class Attempts:
    """What the attempts of one call have come to."""

    # Instances that may be sent the call, and nodes that may be asked.
    limit: int
    most_tried: int
    # Budget of attempts after refusals by nodes.
    refusals: RetryBudget
    tried: set[str] = attrs.field(factory=set)
    # Instances that were sent the call.
    reached: int = 0
    # Instances without a free slot, which were not asked to queue the call,
    # and how many more may be asked so.
    busy: set[str] = attrs.field(factory=set)
    prompts_left: int = 0
    worst: TrafficError | None = None
    answer: Answer | None = None

    @property
    def is_exhausted(self) -> bool:
        """Whether no other instance may be tried."""
        if len(self.tried) - len(self.busy) >= self.most_tried:
            return True
        return self.reached >= self.limit

    def add_error(self, error: TrafficError) -> None:
        """Note an attempt without an answer."""
        is_unsent = isinstance(error, NotRunError)
        self.reached += not is_unsent or error.code is ErrorCode.SHED
        self.worst = _find_worst(self.worst, error)

    def add_busy(self, instance: str) -> None:
        """Note an instance without a free slot."""
        self.busy.add(instance)
        self.prompts_left -= 1

    def return_to_busy(self) -> bool:
        """Let the busy instances queue the call; tell if there are any."""
        if not self.busy:
            return False
        self.tried -= self.busy
        self.busy.clear()
        self.prompts_left = 0
        return True

    def add_answer(self, answer: Answer) -> None:
        """Note an answer of a backend server."""
        self.reached += 1
        self.answer = answer

    def conclude(self, call: Call) -> Answer:
        """Return the best answer; raise what is true of all attempts."""
        if self.answer is not None:
            return self.answer
        raise self.worst or NotRunError(
            f"no instance of {call.service} can take the call"
        )


class CallSender:
    """Sends calls to instances; the only layer that retries."""

    def __init__(
        self,
        place: Place,
        balancer: Balancer,
        observer: Observer,
        local: CallRunner,
        peers: PeerRunner,
        clock: Clock,
        settings: RoutingSettings,
        rng: random.Random,
    ):
        self._place = place
        self._balancer = balancer
        self._observer = observer
        self._local = local
        self._peers = peers
        self._clock = clock
        self._budgets = RetryBudgets(settings)
        share = settings.refused_retry_share
        self._refusals = RetryBudgets(
            attrs.evolve(settings, retry_share=share)
        )
        self._max_attempts = settings.max_attempts
        self._prompt_attempts = settings.prompt_attempts
        self._backoff_s = settings.retry_backoff_ms / 1000
        self._random = rng.random

    async def send_call(self, routed: RoutedCall, trace: CallTrace) -> Answer:
        """Return a whole answer; raise NotRunError or UnknownRunError.

        NotRunError means that no attempt ran.
        """
        call = routed.call
        now_s = self._clock.monotonic()
        budget = self._budgets.get(call.service, call.priority, now_s)
        budget.record_first_try()
        refusals = self._refusals.get(call.service, call.priority, now_s)
        refusals.record_first_try()
        limit = self._find_limit(routed)
        attempts = Attempts(
            limit,
            self._max_attempts,
            refusals,
            prompts_left=self._prompt_attempts,
        )
        while True:
            now_s = self._clock.monotonic()
            instance = self._choose(routed, attempts, now_s)
            if instance is None:
                return attempts.conclude(call)
            attempts.tried.add(instance.instance)
            self._note_attempt(instance, trace)
            try:
                is_prompt = self._is_prompt(routed, attempts, now_s)
                answer = await self._attempt(
                    routed, instance, now_s, is_prompt
                )
            except TrafficError as exc:
                if exc.code is ErrorCode.BUSY:
                    attempts.add_busy(instance.instance)
                    continue
                attempts.add_error(exc)
                if not self._may_retry(call, exc, budget, attempts):
                    return attempts.conclude(call)
            else:
                attempts.add_answer(answer)
                if not self._may_improve(call, answer, budget, attempts):
                    return answer
            await self._back_off(call, len(attempts.tried))

    def _find_limit(self, routed: RoutedCall) -> int:
        """Return how many instances may be sent the call."""
        return routed.route.max_attempts or self._max_attempts

    def _choose(
        self,
        routed: RoutedCall,
        attempts: Attempts,
        now_s: float,
    ) -> Instance | None:
        if now_s >= routed.call.deadline_s:
            attempts.add_error(
                NotRunError("the deadline has passed", ErrorCode.TIMEOUT)
            )
            return None
        instance = self._balancer.choose(routed, attempts.tried, now_s)
        if instance is None and attempts.return_to_busy():
            return self._balancer.choose(routed, attempts.tried, now_s)
        return instance

    def _is_prompt(
        self, routed: RoutedCall, attempts: Attempts, now_s: float
    ) -> bool:
        """Tell whether to look for a free slot before the call waits."""
        if attempts.prompts_left <= 0:
            return False
        return self._balancer.has_other_near(routed, attempts.tried, now_s)

    def _note_attempt(self, instance: Instance, trace: CallTrace) -> None:
        trace.attempts += 1
        trace.instance = instance.instance
        if instance.data_centre != self._place.data_centre:
            trace.spills += 1

    async def _attempt(
        self,
        routed: RoutedCall,
        instance: Instance,
        now_s: float,
        is_prompt: bool,
    ) -> Answer:
        observer = self._observer
        call = _limit_attempt(routed, now_s)
        if is_prompt:
            call = attrs.evolve(call, prompt=True)
        observer.start_call(instance)
        try:
            answer = await self._run(call, instance)
        except TrafficError as exc:
            observer.record_error(instance, exc)
            raise
        except BaseException:
            observer.release(instance)
            raise
        finally:
            observer.end_call(instance)
        latency_s = self._clock.monotonic() - now_s
        observer.record_answer(instance, answer, latency_s)
        return answer

    async def _run(self, call: Call, instance: Instance) -> Answer:
        if instance.node == self._place.node:
            return await self._local.run_call(call, instance.instance)
        return await self._peers.forward_call(call, instance)

    def _may_retry(
        self,
        call: Call,
        error: TrafficError,
        budget: RetryBudget,
        attempts: Attempts,
    ) -> bool:
        if attempts.is_exhausted:
            return False
        if isinstance(error, NotRunError):
            if error.code not in RETRIED_REFUSALS:
                return False
            # The instance is held back from now on, so that these
            # retries are bounded by the calls already under way.
            if error.code in HOLDING_CODES:
                return True
            # No backend server was sent the call, so that the retry adds
            # nothing to what they get.
            if error.code is not ErrorCode.SHED:
                now_s = self._clock.monotonic()
                return attempts.refusals.take(now_s)
        elif not call.repeatable or error.code is ErrorCode.CONFLICT:
            return False
        return budget.take(self._clock.monotonic())

    def _may_improve(
        self,
        call: Call,
        answer: Answer,
        budget: RetryBudget,
        attempts: Attempts,
    ) -> bool:
        """Tell whether another instance may give a better answer."""
        if answer.response.status < FIRST_SERVER_ERROR or not call.repeatable:
            return False
        if attempts.is_exhausted:
            return False
        return budget.take(self._clock.monotonic())

    async def _back_off(self, call: Call, attempts: int) -> None:
        delay_s = self._backoff_s * 2 ** (attempts - 1) * self._random()
        remaining_s = call.deadline_s - self._clock.monotonic()
        if delay_s < remaining_s:
            await self._clock.sleep(delay_s)


def _limit_attempt(routed: RoutedCall, now_s: float) -> Call:
    """Return the call with the deadline of one attempt."""
    call = routed.call
    limit_s = now_s + routed.service.attempt_timeout_ms / 1000
    if limit_s >= call.deadline_s:
        return call
    return attrs.evolve(call, deadline_s=limit_s)


def _find_worst(
    worst: TrafficError | None, error: TrafficError
) -> TrafficError:
    """Return what is true of all attempts: unknown beats not run."""
    if isinstance(worst, UnknownRunError):
        return worst
    return error
