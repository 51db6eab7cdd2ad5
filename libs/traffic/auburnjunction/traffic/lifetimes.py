"""Time that a node has left to carry calls."""

import math

from auburnjunction.base.clocks import Clock

# Time in which an answer that has arrived at this node reaches its caller.
ANSWER_MARGIN_S = 0.1


class NodeLifetime:
    """Until when a node carries calls; unlimited until it shuts down.

    Both sides of the node ask it: the entry side for the calls that it takes,
    the owner side for those to its backend servers.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._notice_end_s = math.inf
        self._estimates_end_s = math.inf
        self._end_s = math.inf

    @property
    def end_s(self) -> float:
        """Monotonic time by which calls must have ended; infinity if any."""
        return self._end_s

    @property
    def is_ending(self) -> bool:
        """Whether the node shuts down."""
        return self._end_s < math.inf

    def set_end(
        self,
        notice_end_s: float,
        shutdown_s: float,
        estimates_end_s: float | None = None,
    ) -> None:
        """Set the monotonic times of a shutdown that has begun.

        By the first one, callers have moved to other nodes if they can; at
        the second one, connections are closed; from the third one on, by
        default the first, expected durations don't suffice to take a call.
        """
        self._notice_end_s = notice_end_s
        if estimates_end_s is None:
            estimates_end_s = notice_end_s
        self._estimates_end_s = estimates_end_s
        self._end_s = shutdown_s - ANSWER_MARGIN_S

    def may_take(self, limit_s: float, now_s: float) -> bool:
        """Return whether a call with a monotonic time limit may be taken.

        While callers can't know of the shutdown yet, its expected duration
        decides, at its owner node: most calls end long before their limits.
        Later its limit decides, as nothing else bounds when it ends.
        """
        return now_s < self._estimates_end_s or limit_s <= self._end_s

    def find_return_delay(self) -> float:
        """Return the seconds after which callers don't reach this process.

        During the leaving notice they then use other nodes. Those that still
        call afterwards have no other node, and wait for the end of this one.
        """
        if not self.is_ending:
            return 0.0
        now_s = self._clock.monotonic()
        in_notice = now_s < self._notice_end_s
        return_s = self._notice_end_s if in_notice else self._end_s
        return max(0.0, return_s - now_s)
