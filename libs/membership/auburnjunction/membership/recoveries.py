"""Recovery period after a restart, in which departures may be unknown."""

import enum

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.settings import MembershipSettings

MILLISECONDS_PER_SECOND = 1000
# A read of the table that takes longer does not show that the table was able
# to save a departure just before.
PROMPT_READ_S = 0.5
# Time for the first read of the table and the first exchanges with other
# nodes, which mostly show that no departure was lost.
FIRST_CONTACTS_S = 0.4
# Announcements that arrive while the process is stopped are read later. Time
# without a call counts up to this only, so that they are not taken for new.
MAX_STEP_S = 0.5


class Trust(enum.Enum):
    """Whether a "ready" is known to be later than any departure."""

    CONFIRMED = enum.auto()
    # The backend server is in use, but may have left before the restart.
    PROVISIONAL = enum.auto()
    # It is not in use until an announcement is confirmed.
    WITHHELD = enum.auto()


class RecoveryPeriod:
    """Time after a restart in which departures may be unknown to the node.

    A departure that the former process acknowledged while the table was
    down is lost if no node that held it is left. An announcement sent
    before it says "ready" all the same, and may arrive after the restart.
    Its content does not tell it from a new one. Its arrival does, as delays
    are limited; and so does a number of announcements that can't all be
    late, which a backend server soon sends if it repeats refused ones.
    Fewer are enough if the table answers at the start: only an outage that
    ended between the two processes can then have lost a departure.

    The period ends early once it is known that none was lost.
    """

    def __init__(self, cfg: MembershipSettings, clock: Clock):
        self._cfg = cfg
        self._clock = clock
        self._max_late = cfg.max_late_announcements
        self._has_ended = False
        self._elapsed_s = 0.0
        self._seen_s = clock.monotonic()
        now_s = clock.now().timestamp()
        # Start of this process in milliseconds since the epoch.
        self.started_ms = int(now_s * MILLISECONDS_PER_SECOND)

    @property
    def is_active(self) -> bool:
        """Whether a "ready" may still be from before a lost departure."""
        limit_s = self._cfg.max_announcement_delay_s
        return not self._has_ended and self.measure_age() < limit_s

    @property
    def first_contacts_left_s(self) -> float:
        """Time until the first contacts are mostly made."""
        return max(0.0, FIRST_CONTACTS_S - self.measure_age())

    def is_former(self, announcement: Announcement) -> bool:
        """Return whether its incarnation was born before this process.

        One without born_ms is not taken for a former one.
        """
        return 0 < announcement.born_ms < self.started_ms

    def assess(self, announcement: Announcement, count: int) -> Trust:
        """Return whether a ready announcement that arrives now is confirmed.

        count is the number of different announcements of its incarnation
        that have arrived. Incarnations that were born since the start are
        confirmed. So are those without born_ms, of which no departure is
        kept.
        """
        if not self.is_former(announcement) or not self.is_active:
            return Trust.CONFIRMED
        is_past_minimum = self.measure_age() >= self._cfg.min_confirmation_s
        if count > self._max_late and is_past_minimum:
            return Trust.CONFIRMED
        return self.find_unconfirmed_trust()

    def find_unconfirmed_trust(self) -> Trust:
        """Return the present trust of a lease that is not confirmed.

        Must be called a few times per second, to measure the time.
        """
        if self._has_ended:
            return Trust.CONFIRMED
        if self.measure_age() < self._cfg.provisional_use_s:
            return Trust.PROVISIONAL
        return Trust.WITHHELD

    def record_first_read(self, found_row: bool, duration_s: float) -> None:
        """Record the read at the start of the former process's row.

        A process writes its row soon after its start, so that without one
        there was none.
        """
        if not found_row:
            self._end("no former process")
        elif duration_s <= PROMPT_READ_S:
            self._max_late = self._cfg.max_late_announcements_prompt

    def record_witness(self, incarnation_ms: int) -> None:
        """Record the earliest incarnation of this node that a peer has known.

        The peer has returned the departures of all since. Those of earlier
        ones can't be undone by now if it began early enough.
        """
        limit_s = self._cfg.max_announcement_delay_s
        age_ms = self.started_ms - incarnation_ms
        if incarnation_ms and age_ms >= limit_s * MILLISECONDS_PER_SECOND:
            self._end("another node knows the former process")

    def _end(self, reason: str) -> None:
        if not self._has_ended:
            self._has_ended = True
            log_event("no departure was lost", reason=reason)

    def measure_age(self) -> float:
        """Return the time since the start, stops of the process left out."""
        now_s = self._clock.monotonic()
        self._elapsed_s += min(now_s - self._seen_s, MAX_STEP_S)
        self._seen_s = now_s
        return self._elapsed_s
