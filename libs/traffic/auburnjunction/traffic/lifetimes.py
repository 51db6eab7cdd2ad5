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
        self._callers_left_s = -math.inf
        self._end_s = math.inf

    @property
    def end_s(self) -> float:
        """Monotonic time by which calls must have ended; infinity if any."""
        return self._end_s

    @property
    def is_ending(self) -> bool:
        """Whether the node shuts down."""
        return self._end_s < math.inf

    def set_end(self, callers_left_s: float, shutdown_s: float) -> None:
        """Set the monotonic times of a shutdown that has begun.

        By the first one, callers have moved to other nodes; at the second
        one, connections are closed.
        """
        self._callers_left_s = callers_left_s
        self._end_s = shutdown_s - ANSWER_MARGIN_S

    def find_return_delay(self) -> float:
        """Return the seconds after which callers reach other nodes."""
        return max(0.0, self._callers_left_s - self._clock.monotonic())
