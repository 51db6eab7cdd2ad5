"""Times at which callers that were refused should return. Pure decisions."""

from collections import OrderedDict, deque

import attrs

from auburnjunction.traffic.calls import Rank
from auburnjunction.traffic.rooms import DecayingCount

# Callers honour a Retry-After up to this share of the time that they have
# left, and then try once more.
MAX_RETURN_SHARE = 1 / 3
# Shortest Retry-After: the queue has to drain by a call, and a caller opens a
# new connection for its return.
MIN_RETURN_S = 0.03
# Share of the calls that are answered in a second which may be promised to
# returning callers; the rest is for first attempts. Each place that is given
# to a return is one that a first attempt does not get.
PLACE_SHARE = 0.5
# A caller takes its place if it is at most this early or late, by its timer
# and connection.
EARLY_S = 0.03
LATE_S = 0.3
MAX_LEDGERS = 1024


@attrs.define(slots=True)
class Place:
    """Result of a refusal: when to return, and whether there is room then."""

    delay_s: float
    reserved: bool


class ReturnLedger:
    """Expected room for returning callers of one service and rank."""

    def __init__(self):
        self._answers = DecayingCount()
        # Times of reserved places, in order.
        self._places: deque[float] = deque()
        self._last_s = 0.0

    @property
    def last_place_s(self) -> float:
        """Time of the latest place that was reserved."""
        return self._last_s

    def record_answer(self, now_s: float) -> None:
        """Record a call that was answered, as evidence of the drain rate."""
        self._answers.add(1.0, now_s)

    def reserve(
        self, left_s: float, latest_start_s: float, now_s: float
    ) -> Place:
        """Reserve a place for a caller with the given time left.

        latest_start_s is when its call must start to be answered in time. A
        caller without a place returns as late as it can, when the load may
        have fallen.
        """
        self._drop_past(now_s)
        limit_s = max(0.0, left_s) * MAX_RETURN_SHARE
        rate = self._answers.find_rate(now_s) * PLACE_SHARE
        if rate > 0:
            place_s = max(now_s + MIN_RETURN_S, self._last_s + 1.0 / rate)
            if place_s <= min(now_s + limit_s, latest_start_s):
                self._places.append(place_s)
                self._last_s = place_s
                return Place(place_s - now_s, True)
        return Place(limit_s, False)

    def take(self, now_s: float) -> bool:
        """Take the place of a caller that returns now; False if none is."""
        self._drop_past(now_s)
        if not self._places or self._places[0] > now_s + EARLY_S:
            return False
        self._places.popleft()
        return True

    def _drop_past(self, now_s: float) -> None:
        while self._places and self._places[0] < now_s - LATE_S:
            self._places.popleft()


class ReturnLedgers:
    """Ledgers by service and rank, as this node sees them."""

    def __init__(self):
        self._ledgers: OrderedDict[tuple[str, Rank], ReturnLedger] = (
            OrderedDict()
        )

    def get(self, service: str, rank: Rank) -> ReturnLedger:
        """Return the ledger of a service and rank."""
        key = (service, rank)
        ledger = self._ledgers.get(key)
        if ledger is None:
            if len(self._ledgers) >= MAX_LEDGERS:
                self._ledgers.popitem(last=False)
            ledger = self._ledgers[key] = ReturnLedger()
        return ledger
