"""What a node may spend of the quotas of organisations."""

import math
import random

import attrs

from auburnjunction.base.sums import SlidingSum
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.limits import (
    ACCOUNTING_SLOTS,
    NO_LIMITS,
    QuotaLimits,
    find_limits,
)
from auburnjunction.organisations.paced_parts import (
    MIN_PACED_PART,
    PacedPart,
)
from auburnjunction.organisations.rosters import Roster
from auburnjunction.organisations.settings import OrganisationSettings

# A lease lasts about a second, and outlives one lost report.
LEASE_S = 1.5
# Interval of reports. A shift of demand is followed within two of them.
REPORT_INTERVAL_S = 0.5
# Demand, in seconds, that a lease is to cover: until the next report has been
# answered, which a busy node may delay.
HORIZON_S = 1.0
# Part of the wished credit below which more is asked for.
REFILL_SHARE = 0.6
# Weight of the last interval in the estimate of the demand. With 0.5, twice as
# many messages were sent for 5 in 100 fewer waits; a rise of the demand shows
# by requests that wait.
RATE_WEIGHT = 0.2
# Time after a refusal by the home node in which requests are refused without
# another question. Reports ask again at this interval anyway.
MAX_REFUSING_S = REPORT_INTERVAL_S
# Minimum Retry-After when the home node has not answered: the time until the
# next question may be answered.
UNANSWERED_RETRY_S = 0.2
# Least spread of the Retry-After of requests that are refused together.
MIN_SPREAD = 1.25
# Expected requests below which a lease would mostly expire unused. With 0.25,
# 13 in 100 fewer requests waited in a simulation of 73 organisations at 61
# nodes, for 1.8 times as many messages.
MIN_EXPECTED = 0.5


@attrs.frozen(slots=True)
class Report:
    """What this node did with its leases; the counts are totals."""

    organisation: str
    account: int = 0
    used: int = 0
    returned: int = 0
    refunded: int = 0
    # Credit that this node would like to have.
    wish: int = 0


@attrs.frozen(slots=True)
class Grant:
    """A home node's answer to a report."""

    organisation: str
    account: int = 0
    granted: int = 0
    # Time from the sending of the report for which all that is granted may
    # be used; 0 leaves that of the last report in force.
    lease_s: float = 0.0
    # If less was granted than wished for: time until the first request, and
    # until all that nodes wish for, have room.
    room_s: float = 0.0
    full_room_s: float = 0.0


@attrs.define(slots=True, eq=False)
class Charge:
    """One request's charge, which may be refunded once."""

    organisation: str
    charged_s: float
    # Account of the lease that was charged; None for the equal part.
    account: int | None = None
    is_refunded: bool = False


class Holding:
    """What this node may spend of the quota of one organisation."""

    def __init__(self, window_s: float):
        self.organisation: Organisation | None = None
        self.limits: QuotaLimits = NO_LIMITS
        # This node's equal part, and the roster's version it was found by.
        self.part = 0
        self.roster_version = -1
        self.spent = SlidingSum(window_s, ACCOUNTING_SLOTS)
        # Instead of the sum, if the part is large enough.
        self.paced: PacedPart | None = None
        self.home = ""
        self.account = 0
        self.granted = 0
        self.used = 0
        self.returned = 0
        self.refunded = 0
        self.acknowledged_refunds = 0
        self.expires_s = -math.inf
        # Requests since the last report, and their rate.
        self.attempts = 0
        self.rate_per_s = 0.0
        # Requests that wait for the answer of the home node.
        self.waiting = 0
        self.refusing_until_s = -math.inf
        self.room_s = -math.inf
        self.full_room_s = -math.inf
        self.answered_s = -math.inf

    def answer_age_s(self, now_s: float) -> float:
        """Return the age of the home node's last answer."""
        return now_s - self.answered_s

    def describe_answer(self, now_s: float) -> str:
        """Return the home node and the age of its last answer as text."""
        if math.isinf(self.answered_s):
            return f"home node {self.home or 'unknown'} has not answered"
        age_s = self.answer_age_s(now_s)
        return f"home node {self.home} has answered {age_s:.3f} s ago"

    @property
    def credit(self) -> int:
        """Requests that the lease still grants."""
        return self.granted - self.used - self.returned

    @property
    def wish(self) -> int:
        """Credit that this node expects to need."""
        expected = self.rate_per_s * HORIZON_S
        if expected < MIN_EXPECTED:
            return self.waiting
        return self.waiting + math.ceil(expected + math.sqrt(expected))

    def open_account(self, home: str, number: int) -> None:
        """Start with a new account, for example at another home node."""
        if home != self.home:
            self.answered_s = -math.inf
        self.home = home
        self.account = number
        self.granted = self.used = self.returned = 0
        self.refunded = self.acknowledged_refunds = 0
        self.expires_s = -math.inf

    def drop_expired(self, now_s: float) -> None:
        """Return what an expired lease has left."""
        if now_s >= self.expires_s and self.credit > 0:
            self.returned += self.credit


class QuotaHolder:
    """Charges requests to this node's equal parts and leases.

    Nothing of the equal parts may be spent before parts_from_s, unless they
    are paced: an earlier process of this node may have spent them within the
    same window.
    """

    def __init__(
        self,
        settings: OrganisationSettings,
        roster: Roster,
        parts_from_s: float,
        rng: random.Random,
    ):
        self._settings = settings
        self._window_s = settings.accounting_s
        self._roster = roster
        self._parts_from_s = parts_from_s
        self._rng = rng
        self._holdings: dict[str, Holding] = {}

    def start_fresh(self) -> None:
        """Spend the equal parts at once: nothing has been spent yet."""
        self._parts_from_s = -math.inf

    def try_charge(
        self, organisation: Organisation, now_s: float
    ) -> Charge | None:
        """Charge one request, or return None if nothing is at hand."""
        holding = self._find_holding(organisation, now_s)
        if self._try_take_part(holding, now_s):
            return Charge(organisation.name, now_s)
        if now_s < holding.expires_s and holding.credit > 0:
            holding.used += 1
            return Charge(organisation.name, now_s, holding.account)
        return None

    def _try_take_part(self, holding: Holding, now_s: float) -> bool:
        """Charge one request to the equal part, if there is room."""
        if holding.paced is not None:
            return holding.paced.try_take(now_s)
        if now_s < self._parts_from_s or holding.part <= 0:
            return False
        if holding.spent.find_total(now_s) + 1 > holding.part:
            return False
        holding.spent.add(1, now_s)
        return True

    def count_attempt(self, name: str) -> None:
        """Count a request towards the estimate of the demand."""
        self._holdings[name].attempts += 1

    def get_holding(self, name: str) -> Holding:
        """Return the holding of an organisation that has been charged."""
        return self._holdings[name]

    def refund(self, charge: Charge, now_s: float) -> bool:
        """Take back a charge; return whether it still counted.

        A charge that has been taken back or has left the window does not.
        """
        holding = self._holdings.get(charge.organisation)
        if charge.is_refunded or holding is None:
            return False
        charge.is_refunded = True
        age_s = now_s - charge.charged_s
        if charge.account is None:
            if age_s >= self._window_s:
                return False
            if holding.paced is not None:
                holding.paced.put_back(now_s)
            else:
                holding.spent.remove_oldest(1, now_s)
            return True
        # The home node gets it with a later report. Half of the window is
        # left for that: the home node forgets an account after the time.
        if age_s >= self._window_s / 2 or charge.account != holding.account:
            return False
        holding.refunded += 1
        return True

    def find_refusal(
        self, organisation: Organisation, now_s: float
    ) -> float | None:
        """Return the Retry-After of a refusal, or None to ask first."""
        holding = self._find_holding(organisation, now_s)
        if now_s >= holding.refusing_until_s:
            return None
        return self.find_room(organisation, now_s)

    def find_room(self, organisation: Organisation, now_s: float) -> float:
        """Return the time until a refused request should find room.

        The times are drawn from the span in which the home node expects to
        have room for all, so that callers do not return at once.
        """
        holding = self._find_holding(organisation, now_s)
        first_s = max(UNANSWERED_RETRY_S, holding.room_s - now_s)
        last_s = max(MIN_SPREAD * first_s, holding.full_room_s - now_s)
        delay_s = self._rng.uniform(first_s, last_s)
        if holding.part > 0:
            part_s = self._find_part_delay(holding, now_s)
            delay_s = min(delay_s, max(UNANSWERED_RETRY_S, part_s))
        return delay_s

    def _find_part_delay(self, holding: Holding, now_s: float) -> float:
        if holding.paced is not None:
            return holding.paced.find_delay(now_s)
        spent_s = holding.spent.find_delay(1, now_s)
        return max(spent_s, self._parts_from_s - now_s)

    def make_report(self, name: str, home: str, now_s: float) -> Report:
        """Return the report for the home node; unneeded credit is returned."""
        holding = self._holdings[name]
        if holding.home != home:
            holding.open_account(home, 0)
        holding.drop_expired(now_s)
        wish = holding.wish
        holding.returned += max(0, holding.credit - wish)
        return Report(
            name,
            holding.account,
            holding.used,
            holding.returned,
            holding.refunded,
            wish,
        )

    def apply_grant(
        self,
        grant: Grant,
        report: Report,
        home: str,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply the answer to a report that was sent at sent_s.

        The lease counts from the sending, so that it ends here before it
        ends at the home node.
        """
        holding = self._holdings[grant.organisation]
        if holding.home != home:
            return
        if grant.account != holding.account:
            holding.open_account(home, grant.account)
        else:
            holding.acknowledged_refunds = report.refunded
        holding.answered_s = now_s
        holding.drop_expired(now_s)
        holding.granted = max(holding.granted, grant.granted)
        if grant.lease_s:
            holding.expires_s = sent_s + grant.lease_s
        holding.drop_expired(now_s)
        if not holding.credit and grant.room_s > 0:
            self._refuse(holding, grant.room_s, grant.full_room_s, now_s)
        else:
            holding.refusing_until_s = -math.inf

    def record_failure(self, names: list[str], now_s: float) -> None:
        """Refuse requests for a while: the home node has not answered."""
        for name in names:
            room_s = UNANSWERED_RETRY_S
            self._refuse(self._holdings[name], room_s, MAX_REFUSING_S, now_s)

    def list_due(self, now_s: float, elapsed_s: float) -> list[str]:
        """Return the organisations about which to report now.

        Call it once in an interval, which has taken elapsed_s.
        """
        return [
            name
            for name, holding in self._holdings.items()
            if self._is_due(holding, now_s, elapsed_s)
        ]

    def _is_due(
        self, holding: Holding, now_s: float, elapsed_s: float
    ) -> bool:
        rate_per_s = holding.attempts / elapsed_s if elapsed_s else 0.0
        holding.attempts = 0
        holding.rate_per_s += RATE_WEIGHT * (rate_per_s - holding.rate_per_s)
        wish = holding.wish
        credit = holding.credit if now_s < holding.expires_s else 0
        if wish and holding.limits.leased:
            ends_soon = holding.expires_s - now_s < 2 * REPORT_INTERVAL_S
            return credit < REFILL_SHARE * wish or ends_soon
        return credit > 0 or holding.refunded > holding.acknowledged_refunds

    def _refuse(
        self,
        holding: Holding,
        room_s: float,
        full_room_s: float,
        now_s: float,
    ) -> None:
        holding.room_s = now_s + room_s
        holding.full_room_s = now_s + full_room_s
        holding.refusing_until_s = now_s + min(room_s, MAX_REFUSING_S)

    def _find_holding(
        self, organisation: Organisation, now_s: float
    ) -> Holding:
        holding = self._holdings.get(organisation.name)
        if holding is None:
            holding = Holding(self._window_s)
            self._holdings[organisation.name] = holding
        version = self._roster.version
        is_known = holding.organisation is organisation
        if is_known and holding.roster_version == version:
            return holding
        holding.organisation = organisation
        holding.roster_version = version
        holding.limits = find_limits(organisation, self._settings)
        holding.part = holding.limits.find_part(
            self._roster.node_count, self._roster.find_rank(organisation.name)
        )
        self._set_pace(holding, now_s)
        return holding

    def _set_pace(self, holding: Holding, now_s: float) -> None:
        """Pace the equal part if it is large enough."""
        if (
            not self._settings.quota_equal_share
            or holding.part < MIN_PACED_PART
        ):
            holding.paced = None
            return
        if holding.paced is None:
            # Nobody has spent the part within the window if this process runs
            # for as long.
            is_full = (
                now_s >= self._parts_from_s
                and not holding.spent.find_total(now_s)
            )
            holding.paced = PacedPart(self._window_s, now_s, is_full)
        holding.paced.set_part(holding.part, now_s)
