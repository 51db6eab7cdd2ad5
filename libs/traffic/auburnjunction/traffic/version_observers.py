"""Counts the answers of instances for the judgement of their versions."""

from collections.abc import Awaitable, Callable

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.services import Instance
from auburnjunction.rollouts.selectors import RunningCall, VersionSelector
from auburnjunction.traffic.call_forwarders import ReusedConnectionError
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    Call,
    NotRunError,
    TrafficError,
)
from auburnjunction.traffic.instance_trackers import NEUTRAL_CODES

Runner = Callable[[Call, Instance], Awaitable[Answer]]


class VersionObserver:
    """Runs attempts and tells the version selector how they ended."""

    def __init__(self, versions: VersionSelector, clock: Clock):
        self._versions = versions
        self._clock = clock

    async def run(self, call: Call, instance: Instance, run: Runner) -> Answer:
        """Run an attempt; count its answer or failure."""
        started_s = self._clock.monotonic()
        running = self._versions.start_call(instance)
        try:
            answer = await run(call, instance)
        except TrafficError as exc:
            self._record_error(running, call, exc, started_s)
            raise
        except BaseException:
            self._versions.end_call(running, call.route, False)
            raise
        # The time at the owner node leaves out the network path.
        duration_s = answer.owner_duration_s
        self._versions.end_call(
            running,
            call.route,
            True,
            is_bad=answer.response.status >= FIRST_SERVER_ERROR,
            duration_s=duration_s or self._clock.monotonic() - started_s,
        )
        return answer

    def _record_error(
        self,
        running: RunningCall,
        call: Call,
        error: TrafficError,
        started_s: float,
    ) -> None:
        """Count a failure unless the call or its way may have caused it."""
        is_counted = not (
            isinstance(error, NotRunError | ReusedConnectionError)
            or error.code in NEUTRAL_CODES
        )
        self._versions.end_call(
            running,
            call.route,
            is_counted,
            is_bad=True,
            is_timeout=error.code is ErrorCode.TIMEOUT,
            duration_s=self._clock.monotonic() - started_s,
        )
