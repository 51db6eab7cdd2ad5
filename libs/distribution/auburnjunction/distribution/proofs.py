"""Proof that the configuration of a node is the one in force."""

import math
from collections.abc import Callable

from auburnjunction.base.clocks import Clock
from auburnjunction.model.snapshots import RevisionMark

MS_PER_S = 1000
# Ages above this are not passed on, so that they fit the message field.
MAX_AGE_MS = 3_600_000


class HeadProof:
    """Age of the latest proof that no higher revision is in force.

    The platform evaluates a read of the head at some moment after its
    request was sent, also in a long poll, so only the start of the request
    is a sound time. Ages of other nodes are taken from responses only: the
    time at which a received request was sent is not known here. The time
    base counts suspended time.
    """

    def __init__(self, clock: Clock, find_mark: Callable[[], RevisionMark]):
        self._clock = clock
        self._find_mark = find_mark
        self._proven_s = -math.inf

    def now(self) -> float:
        """Return the time base of record_read and record_peer_proof."""
        return self._clock.boottime()

    def record_read(self, head: RevisionMark, start_s: float) -> None:
        """Record a read of the head whose request was sent at start_s."""
        if self._covers(head):
            self._proven_s = max(self._proven_s, start_s)

    def record_peer_proof(
        self, mark: RevisionMark, age_ms: int, request_s: float
    ) -> None:
        """Record the proof in a response to a request sent at request_s.

        It holds here only if the revision in force is not below the mark
        that the peer had when it stated the age.
        """
        if self._covers(mark):
            proven_s = request_s - age_ms / MS_PER_S
            self._proven_s = max(self._proven_s, proven_s)

    @property
    def age_s(self) -> float:
        """Seconds since the latest proof; infinite without one."""
        return max(0.0, self._clock.boottime() - self._proven_s)

    @property
    def age_ms(self) -> int | None:
        """The age for other nodes, rounded up; None without a recent proof."""
        age_ms = self.age_s * MS_PER_S
        return math.ceil(age_ms) if age_ms <= MAX_AGE_MS else None

    def _covers(self, mark: RevisionMark) -> bool:
        """Return whether the revision in force is the mark's or a later one.

        The same revision with another content proves nothing.
        """
        own = self._find_mark()
        return own.revision > mark.revision or own == mark
