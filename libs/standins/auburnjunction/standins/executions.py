"""Records of the requests that a backend server has run."""

from enum import StrEnum

import attrs

from auburnjunction.base.clocks import Clock

MAX_EXECUTIONS = 1_000_000


class ExecutionState(StrEnum):
    """State of an execution."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.define(slots=True)
class Execution:
    """One run of one request; times in seconds since the epoch."""

    call_id: str
    key: str
    method: str
    target: str
    instance: str
    started_s: float
    ended_s: float = 0.0
    state: ExecutionState = ExecutionState.RUNNING
    # Whether the deadline passed while it ran.
    late: bool = False


@attrs.frozen
class ExecutionPage:
    """Some executions and the index at which the next page begins."""

    executions: list[Execution]
    next: int
    total: int


class ExecutionLog:
    """Executions in the order of their start, up to MAX_EXECUTIONS."""

    def __init__(self, clock: Clock, instance: str):
        self._clock = clock
        self._instance = instance
        self._executions: list[Execution] = []

    def start(
        self, call_id: str, key: str, method: str, target: str
    ) -> Execution:
        """Record the start of a request's execution."""
        execution = Execution(
            call_id, key, method, target, self._instance, self._now_s()
        )
        if len(self._executions) < MAX_EXECUTIONS:
            self._executions.append(execution)
        return execution

    def end(self, execution: Execution, state: ExecutionState) -> None:
        """Record the end of an execution and its final state."""
        execution.ended_s = self._now_s()
        execution.state = state

    def read_page(self, after: int, limit: int) -> ExecutionPage:
        """Return at most limit executions, starting at index after."""
        page = self._executions[after : after + limit]
        return ExecutionPage(page, after + len(page), len(self._executions))

    def _now_s(self) -> float:
        return self._clock.now().timestamp()
