"""Whether a call would outlast one of the nodes that carry it."""

import math

from absl import logging

from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.logs import log_event
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.limits import ServiceTimes

# Number of mean deviations added to the mean duration of a call when checking
# that it will end before this node or its entry node shuts down.
SHUTDOWN_DEVIATIONS = 4.0


class ShutdownChecker:
    """Refuses calls that would outlast this node or their entry node."""

    def __init__(self, lifetime: NodeLifetime, times: ServiceTimes):
        self._lifetime = lifetime
        self._times = times

    def find_end(self, call: Call) -> float:
        """Return when the first of the call's nodes shuts down."""
        return min(self._lifetime.end_s, call.answer_limit_s)

    def check(self, call: Call, now_s: float, wait_s: float = 0.0) -> None:
        """Raise NotRunError if the call would outlast one of its nodes."""
        error = self.find_error(call, now_s, wait_s)
        if error is not None:
            raise error

    def find_error(
        self, call: Call, now_s: float, wait_s: float = 0.0
    ) -> NotRunError | None:
        """Return an error if the call would outlast one of its nodes.

        It starts after the expected wait.
        """
        end_s = self.find_end(call)
        # A call ends at its deadline, whatever is expected of it.
        if call.deadline_s <= end_s:
            return None
        left_s = end_s - now_s
        duration_s = self._find_duration(call, now_s)
        if wait_s + duration_s <= left_s:
            return None
        is_own = self._lifetime.end_s <= call.answer_limit_s
        return NotRunError(
            f"expected wait {wait_s:.3f} s and duration {duration_s:.3f} s "
            f"exceed the {left_s:.3f} s until "
            f"{'this node' if is_own else 'the entry node'} shuts down",
            ErrorCode.DRAINING if is_own else ErrorCode.SHUTDOWN,
        )

    def log_abandoned_run(
        self, call: Call, start_s: float, now_s: float
    ) -> None:
        """Log how long a run took that a shutdown may have cut off.

        Runs that end while no node of the call shuts down are not logged.
        """
        end_s = self.find_end(call)
        if end_s == math.inf:
            return
        log_event(
            "run abandoned during a shutdown",
            logging.WARNING,
            request_id=call.request_id,
            route=call.route,
            ran_s=round(now_s - start_s, 3),
            expected_s=round(self._find_duration(call, start_s), 3),
            shutdown_left_s=round(end_s - now_s, 3),
            limit_left_s=round(call.deadline_s - now_s, 3),
        )

    def _find_duration(self, call: Call, now_s: float) -> float:
        """Return a duration that the call will most likely not exceed.

        A backend server that has just started may have answered no call of
        the route; the latency objective is an upper bound then.
        """
        duration_s = self._times.find_duration(call.route, SHUTDOWN_DEVIATIONS)
        if duration_s is None:
            return max(0.0, min(call.target_s, call.deadline_s) - now_s)
        return duration_s
