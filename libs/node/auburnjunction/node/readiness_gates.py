"""Decides whether a node may take calls."""

from typing import Protocol

from auburnjunction.base.clocks import Clock

# After a pause, time for the distributor to receive a higher revision that
# was seen in a gossip exchange.
RECOVERY_HOLD_S = 0.25


class PauseSource(Protocol):
    """Source of the pauses of this process; implemented by Membership."""

    @property
    def is_current(self) -> bool:
        """Whether membership is current; False after a pause.

        It is True again after a successful exchange that began after the
        pause, or once the node counts as isolated.
        """

    @property
    def pause_count(self) -> int:
        """Number of pauses detected since the start."""


class RevisionSource(Protocol):
    """State of the revision in force; implemented by Distributor."""

    @property
    def is_ready(self) -> bool:
        """Whether start-up is done and a configuration is in force."""

    @property
    def is_behind(self) -> bool:
        """Whether a peer has offered a revision above the one in force."""


class ReadinessGate:
    """Decides whether the node may take calls now.

    After a pause of the process, the node takes no calls until its
    membership is current again and the revision seen in the first exchange
    with a peer is in force.
    """

    def __init__(
        self, pauses: PauseSource, revisions: RevisionSource, clock: Clock
    ):
        self.leaving = False
        self._pauses = pauses
        self._revisions = revisions
        self._clock = clock
        self._seen_pauses = pauses.pause_count
        self._recovering = False
        self._resumed_s: float | None = None

    @property
    def is_current(self) -> bool:
        """Whether start-up is done and recovery from any pause is complete."""
        return self._revisions.is_ready and self._has_caught_up()

    def find_unready_reason(self) -> str:
        """Return why the node is not ready, or an empty string if it is."""
        if self.leaving:
            return "leaving"
        if not self._revisions.is_ready:
            return "no configuration in force"
        if not self._has_caught_up():
            return "catching up after a pause"
        return ""

    def _has_caught_up(self) -> bool:
        self._detect_pauses()
        if not self._pauses.is_current:
            self._recovering = True
            self._resumed_s = None
            return False
        if not self._recovering:
            return True
        return self._try_end_recovery()

    def _detect_pauses(self) -> None:
        count = self._pauses.pause_count
        if count != self._seen_pauses:
            self._seen_pauses = count
            self._recovering = True
            self._resumed_s = None

    def _try_end_recovery(self) -> bool:
        now_s = self._clock.monotonic()
        if self._resumed_s is None:
            self._resumed_s = now_s
        if now_s - self._resumed_s < RECOVERY_HOLD_S:
            return False
        self._recovering = self._revisions.is_behind
        return not self._recovering
