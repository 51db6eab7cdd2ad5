"""Room of called services: what share of the demand for them is admitted.

The evidence is how many nested calls a service refuses, or answers too late
for the requests that make them. Pure decisions.
"""

import math
from collections import OrderedDict

import attrs

from auburnjunction.traffic.calls import Rank
from auburnjunction.traffic.fair_shares import divide_fairly
from auburnjunction.traffic.nested_calls import (
    MAX_CALLED_SERVICES,
    NestedReport,
)

# Weight of a request in the moving average of the calls that its route makes.
PROFILE_WEIGHT = 0.05
# The same for requests with a refused nested call that fail, which are fewer,
# and the share below which a route does without the calls.
FAILING_WEIGHT = 0.1
MIN_FAILING = 0.5
MAX_ROUTES = 1024
MAX_SERVICES = 256
# Organisations with a demand of their own for a service and rank; the
# others share one.
MAX_ORGANISATIONS = 128
OTHER_ORGANISATIONS = "*"
# Half-life of the demand, about the length of a burst's rise.
DEMAND_HALF_LIFE_S = 1.0
# Demands below this many calls are dropped.
MIN_DEMAND = 0.01
# A window of evidence is at least this long and has this many nested calls.
# A node makes and sees 30 to 80 of them in a second.
WINDOW_S = 0.2
MIN_RESULTS = 8
# Congested share of nested calls that is no sign of overload: a few meet a
# full or slow instance while the service has room.
TOLERATED_SHARE = 0.1
# Decrease of the admitted share in a window by the congested share above that,
# its upper bound, and the least share.
DECREASE_GAIN = 0.5
MAX_DECREASE = 0.2
MIN_SHARE = 0.3
# Increase of the admitted share in a second, of the whole demand.
INCREASE_PER_S = 0.1
# Time after the last congested window until which the share rises in
# proportion to itself; otherwise a small share overshoots each time.
CALM_S = 2.0
# Evidence after a decrease that is ignored: requests admitted before it still
# make their nested calls.
HOLD_S = 0.3
# Share of the demand of each rank and organisation that is admitted in any
# case, so that none is without service.
MIN_ADMITTED = 0.05


class DecayingCount:
    """A count that halves every DEMAND_HALF_LIFE_S."""

    __slots__ = ("_value", "_updated_s")

    def __init__(self):
        self._value = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add to the count."""
        self._value = self.find(now_s) + amount
        self._updated_s = now_s

    def find(self, now_s: float) -> float:
        """Return the count as of now."""
        if not self._value:
            return 0.0
        half_lives = (now_s - self._updated_s) / DEMAND_HALF_LIFE_S
        return self._value * 0.5**half_lives

    def find_rate(self, now_s: float) -> float:
        """Return the rate per second that would keep the count."""
        return self.find(now_s) * math.log(2) / DEMAND_HALF_LIFE_S


@attrs.define(slots=True)
class RouteProfile:
    """Nested calls of the requests of one route."""

    # Calls per request by called service.
    calls: dict[str, float] = attrs.field(factory=dict)
    # Share of requests that fail if a nested call is refused.
    failing: float = 1.0

    def record(self, report: NestedReport, failed: bool) -> None:
        """Record the nested calls of a request that has run."""
        for service in report:
            is_new = service not in self.calls
            if is_new and len(self.calls) < MAX_CALLED_SERVICES:
                self.calls[service] = float(report[service].calls)
        for service, calls in self.calls.items():
            tally = report.get(service)
            change = (tally.calls if tally else 0) - calls
            self.calls[service] = calls + PROFILE_WEIGHT * change
        if any(tally.refused for tally in report.values()):
            self.failing += FAILING_WEIGHT * (failed - self.failing)


class RouteProfiles:
    """Which services the requests of a route call, and how often."""

    def __init__(self):
        self._profiles: OrderedDict[str, RouteProfile] = OrderedDict()
        # Mean time to an answer by route.
        self._durations_s: OrderedDict[str, float] = OrderedDict()

    def record_duration(self, route: str, duration_s: float) -> None:
        """Record the time from a request to its answer."""
        mean_s = self._durations_s.get(route)
        if mean_s is None:
            if len(self._durations_s) >= MAX_ROUTES:
                self._durations_s.popitem(last=False)
            mean_s = duration_s
        mean_s += PROFILE_WEIGHT * (duration_s - mean_s)
        self._durations_s[route] = mean_s

    def find_duration(self, route: str) -> float:
        """Return the mean time to an answer; 0 if it is not known."""
        return self._durations_s.get(route, 0.0)

    def record(
        self, route: str, report: NestedReport, failed: bool = False
    ) -> None:
        """Record the nested calls of a request that has run."""
        profile = self._profiles.get(route)
        if profile is None:
            if not report:
                return
            if len(self._profiles) >= MAX_ROUTES:
                self._profiles.popitem(last=False)
            profile = self._profiles[route] = RouteProfile()
        profile.record(report, failed)

    def find(self, route: str) -> dict[str, float]:
        """Return the calls per request of a route by called service.

        They are none if its requests mostly succeed without these calls.
        """
        profile = self._profiles.get(route)
        if profile is None or profile.failing < MIN_FAILING:
            return {}
        return profile.calls


@attrs.define(slots=True)
class Portion:
    """Admitted share of a rank's or organisation's demand."""

    share: float = 1.0
    # Part of the next request that the share has earned so far.
    credit: float = 0.5

    def admit(self) -> bool:
        """Return whether to admit the next request, evenly by the share."""
        self.credit += self.share
        if self.credit < 1.0:
            return False
        self.credit = min(1.0, self.credit - 1.0)
        return True

    def charge(self) -> None:
        """Count a request that is admitted in any case."""
        self.credit = max(-2.0, self.credit + self.share - 1.0)


class ServiceRoom:
    """Admitted share of the demand for one called service.

    Additive increase, multiplicative decrease on the share of nested calls
    that are congested. The share is divided by rank, most urgent first,
    and within a rank evenly among organisations.
    """

    def __init__(self, now_s: float):
        self.share = 1.0
        # Congested share of nested calls in the last window with evidence of
        # overload, and when that ended.
        self.congested_share = 0.0
        self.congested_s = -math.inf
        self._calls = 0
        self._congested = 0
        self._window_s = self._updated_s = now_s
        self._ignored_until_s = now_s
        self._demand: dict[tuple[Rank, str], DecayingCount] = {}
        self._portions: dict[tuple[Rank, str], Portion] = {}

    def record_results(self, calls: int, congested: int, now_s: float) -> None:
        """Record nested calls that have ended."""
        if now_s < self._ignored_until_s:
            return
        self._calls += calls
        self._congested += congested
        self._end_window(now_s)

    def add_demand(
        self,
        rank: Rank,
        organisation: str,
        calls: float,
        now_s: float,
    ) -> None:
        """Record the calls of a request, whether or not it is admitted."""
        key = self._find_key(rank, organisation)
        count = self._demand.get(key)
        if count is None:
            count = self._demand[key] = DecayingCount()
        count.add(calls, now_s)

    def find_portion(
        self, rank: Rank, organisation: str, now_s: float
    ) -> Portion | None:
        """Return the portion in force, or None while all is admitted."""
        if self.share >= 1.0:
            return None
        if now_s - self._updated_s >= WINDOW_S:
            self._increase(now_s)
        return self._portions.get(self._find_key(rank, organisation))

    def find_rate(self, rank: Rank, organisation: str, now_s: float) -> float:
        """Return the calls per second that are demanded."""
        count = self._demand.get(self._find_key(rank, organisation))
        return count.find_rate(now_s) if count else 0.0

    def _find_key(self, rank: Rank, organisation: str) -> tuple[Rank, str]:
        key = (rank, organisation)
        if key in self._demand or len(self._demand) < MAX_ORGANISATIONS:
            return key
        return (rank, OTHER_ORGANISATIONS)

    def _end_window(self, now_s: float) -> None:
        if self._calls < MIN_RESULTS or now_s - self._window_s < WINDOW_S:
            return
        congested_share = self._congested / self._calls
        self._calls = self._congested = 0
        self._window_s = now_s
        if congested_share <= TOLERATED_SHARE:
            self._increase(now_s)
            return
        self.congested_share = congested_share
        self.congested_s = self._updated_s = now_s
        excess = (congested_share - TOLERATED_SHARE) / (1.0 - TOLERATED_SHARE)
        factor = 1.0 - min(MAX_DECREASE, DECREASE_GAIN * excess)
        self.share = max(MIN_SHARE, self.share * factor)
        self._ignored_until_s = self._window_s = now_s + HOLD_S
        self._divide(now_s)

    def _increase(self, now_s: float) -> None:
        if self.share < 1.0:
            increase = INCREASE_PER_S * (now_s - self._updated_s)
            if now_s - self.congested_s < CALM_S:
                increase *= self.share
            self.share = min(1.0, self.share + increase)
            self._divide(now_s)
        self._updated_s = now_s

    def _divide(self, now_s: float) -> None:
        """Divide the admitted share; the least urgent lose first."""
        demand: dict[Rank, dict[str, float]] = {}
        for key, count in list(self._demand.items()):
            calls = count.find(now_s)
            if calls < MIN_DEMAND:
                del self._demand[key]
            else:
                demand.setdefault(key[0], {})[key[1]] = calls
        shares = divide_by_rank(self.share, demand)
        previous = self._portions
        self._portions = {}
        for key, share in shares.items():
            portion = previous.get(key) or Portion()
            portion.share = share
            self._portions[key] = portion


def divide_by_rank(
    share: float, demand: dict[Rank, dict[str, float]]
) -> dict[tuple[Rank, str], float]:
    """Return the admitted share of each rank and organisation.

    The total is the given share of all demand, apart from MIN_ADMITTED.
    """
    room = share * sum(sum(calls.values()) for calls in demand.values())
    shares = {}
    for rank in sorted(demand):
        calls = demand[rank]
        taken = min(room, sum(calls.values()))
        room -= taken
        for organisation, part in divide_fairly(taken, calls).items():
            admitted = max(MIN_ADMITTED, part / calls[organisation])
            shares[rank, organisation] = min(1.0, admitted)
    return shares


class RoomTracker:
    """Rooms of the services that requests of this node call."""

    def __init__(self):
        self.profiles = RouteProfiles()
        self._rooms: OrderedDict[str, ServiceRoom] = OrderedDict()

    def find(self, service: str) -> ServiceRoom | None:
        """Return the room of a service, if nested calls to it are known."""
        return self._rooms.get(service)

    def record_results(
        self, service: str, calls: int, congested: int, now_s: float
    ) -> None:
        """Record nested calls to a service that have ended."""
        room = self._rooms.get(service)
        if room is None:
            if len(self._rooms) >= MAX_SERVICES:
                self._rooms.popitem(last=False)
            room = self._rooms[service] = ServiceRoom(now_s)
        room.record_results(calls, congested, now_s)

    def list_shares(self) -> dict[str, float]:
        """Return the admitted share by service, for metrics."""
        return {name: room.share for name, room in self._rooms.items()}
