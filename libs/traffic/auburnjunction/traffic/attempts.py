"""Plan of the attempts of a call: who is asked, and where the call waits."""

import attrs

from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.services import Instance
from auburnjunction.traffic.balancers import Balancer, Candidates
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.retries import RetryBudget
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings


@attrs.frozen(slots=True)
class PlannedAttempt:
    """An instance, and whether it must have a free slot at once."""

    instance: Instance
    fail_fast: bool


@attrs.frozen(slots=True)
class BusyInstance:
    """An instance that had no free slot, and its expected wait for one."""

    instance: Instance
    wait_s: float


@attrs.define(slots=True)
class AttemptState:
    """State of a call across its attempts."""

    # Maximum number of backend servers that are sent the call, and of
    # attempts, except for fail-fast ones refused as busy.
    max_sent: int
    max_tried: int
    # Budget of retries after refusals by nodes.
    refusal_budget: RetryBudget
    # Fail-fast attempts left in this data centre and in others.
    local_prompts_left: int = 0
    remote_prompts_left: int = 0
    tried: set[str] = attrs.field(factory=set)
    # Number of backend servers that were sent the call, and of attempts that
    # were not refused as busy.
    sent_count: int = 0
    ended_count: int = 0
    # Number of backend servers that crashed while they ran the call.
    crash_count: int = 0
    busy: list[BusyInstance] = attrs.field(factory=list)
    # Whether the call may now wait at an instance.
    is_queueing: bool = False
    error_so_far: TrafficError | None = None
    answer: Answer | None = None

    @property
    def is_exhausted(self) -> bool:
        """Whether the limits of the call allow no further attempt."""
        if self.ended_count >= self.max_tried:
            return True
        return self.sent_count >= self.max_sent

    @property
    def least_wait_s(self) -> float:
        """Shortest expected wait at an instance that was busy."""
        return min((busy.wait_s for busy in self.busy), default=0.0)

    def add_error(self, error: TrafficError, was_sent: bool) -> None:
        """Record an attempt that ended without an answer."""
        self.ended_count += 1
        self.sent_count += was_sent
        self.crash_count += error.code is ErrorCode.CRASHED
        if not isinstance(self.error_so_far, UnknownRunError):
            # An unknown outcome prevails over refusals.
            self.error_so_far = error

    def add_busy(self, instance: Instance, wait_s: float) -> None:
        """Record an instance that refused a fail-fast attempt."""
        self.busy.append(BusyInstance(instance, wait_s))

    def add_answer(self, answer: Answer) -> None:
        """Record the answer of a backend server."""
        self.ended_count += 1
        self.sent_count += 1
        self.answer = answer

    def start_queueing(self) -> Instance | None:
        """Let busy instances queue the call; return the one to wait at."""
        self.is_queueing = True
        if not self.busy:
            return None
        best = min(self.busy, key=lambda busy: busy.wait_s).instance
        self.tried -= {busy.instance.instance for busy in self.busy}
        self.busy.clear()
        return best

    def get_result(self, call: Call) -> Answer:
        """Return the last answer, or raise the error of all attempts."""
        if self.answer is not None:
            return self.answer
        raise self.error_so_far or NotRunError(
            f"no instance of {call.service} can take the call"
        )


class AttemptPlanner:
    """Plans the attempts of calls.

    A few instances of this data centre are asked for a free slot. If none
    has one, and the shortest wait among them takes much of the time that a
    nested call has, a few of other data centres are asked: if the call fails,
    so does the request that it is made for. Then the call waits where the
    expected wait is shortest.
    """

    def __init__(self, balancer: Balancer, settings: RoutingSettings):
        self._balancer = balancer
        self._local_prompts = settings.prompt_attempts
        self._remote_prompts = settings.remote_prompt_attempts
        self._max_attempts = settings.max_attempts

    def start(
        self, routed: RoutedCall, refusal_budget: RetryBudget
    ) -> AttemptState:
        """Return the state of a call before its first attempt."""
        return AttemptState(
            routed.route.max_attempts or self._max_attempts,
            self._max_attempts,
            refusal_budget,
            self._local_prompts,
            self._count_remote_prompts(routed),
        )

    def _count_remote_prompts(self, routed: RoutedCall) -> int:
        if routed.call.nested:
            return self._remote_prompts
        # A call that would be late here is offered to one other instance.
        return min(1, self._remote_prompts) if self._balancer.is_placing else 0

    def plan(
        self, routed: RoutedCall, state: AttemptState, now_s: float
    ) -> PlannedAttempt | None:
        """Return the next attempt, or None if no instance is left.

        The instance then counts as tried.
        """
        candidates = self._balancer.list_candidates(routed, state.tried, now_s)
        planned = None
        if not state.is_queueing:
            planned = self._plan_prompt(routed, state, candidates, now_s)
        if planned is None:
            planned = self._plan_queueing(routed, state, candidates, now_s)
        if planned is not None:
            state.tried.add(planned.instance.instance)
        return planned

    def _plan_prompt(
        self,
        routed: RoutedCall,
        state: AttemptState,
        candidates: Candidates,
        now_s: float,
    ) -> PlannedAttempt | None:
        if candidates.local and state.local_prompts_left > 0:
            state.local_prompts_left -= 1
            instance = self._balancer.choose_from(routed, candidates, now_s)
            if instance is None:
                return None
            return PlannedAttempt(
                instance, self._has_alternative(routed, state, candidates)
            )
        if not state.busy or state.remote_prompts_left <= 0:
            return None
        instance = self._balancer.choose_after_wait(
            routed, candidates, state.least_wait_s, now_s
        )
        if instance is None:
            return None
        state.remote_prompts_left -= 1
        return PlannedAttempt(instance, True)

    def _has_alternative(
        self, routed: RoutedCall, state: AttemptState, candidates: Candidates
    ) -> bool:
        """Return whether the call can be offered elsewhere if refused."""
        if candidates.has_fallback or state.busy:
            return True
        if len(candidates.local) > 1:
            return True
        has_remote = bool(candidates.remote) and routed.route.spill
        return has_remote and state.remote_prompts_left > 0

    def _plan_queueing(
        self,
        routed: RoutedCall,
        state: AttemptState,
        candidates: Candidates,
        now_s: float,
    ) -> PlannedAttempt | None:
        # An untried local instance may have a free slot.
        if not state.is_queueing and not candidates.local:
            best = state.start_queueing()
            if best is not None:
                return PlannedAttempt(best, False)
        state.is_queueing = True
        instance = self._balancer.choose_from(routed, candidates, now_s)
        if instance is None:
            instance = state.start_queueing()
        return PlannedAttempt(instance, False) if instance else None
