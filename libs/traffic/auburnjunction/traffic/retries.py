"""Retry budgets that the nodes of a fleet share without coordination.

Each node spends its part of a fleet-wide limit: a share of the first
attempts that it has seen within the window, and an equal part of the slack.
"""

import math
import random
from collections.abc import Callable

from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.routing_settings import RoutingSettings

NodeCounter = Callable[[], int]

# Sums of shares may be slightly below a whole token by rounding.
MIN_WHOLE_TOKEN = 1.0 - 1e-9

# Interval at which the number of nodes is read.
COUNT_INTERVAL_S = 1.0
# Time for which the highest number of nodes seen stays in force. The nodes of
# a data centre that was cut off still count, as those beyond the cut go on
# with their own parts.
PEAK_HOLD_S = 60.0


def count_one() -> int:
    """Return 1, for a node without others."""
    return 1


class FleetSize:
    """Highest number of nodes known recently."""

    def __init__(self, count_nodes: NodeCounter):
        self._count_nodes = count_nodes
        self._peak = 1
        self._peak_s = -math.inf
        self._read_s = -math.inf

    def read(self, now_s: float) -> int:
        """Return the highest number of nodes within PEAK_HOLD_S."""
        if now_s - self._read_s >= COUNT_INTERVAL_S:
            self._read_s = now_s
            count = max(1, self._count_nodes())
            if count >= self._peak or now_s - self._peak_s > PEAK_HOLD_S:
                self._peak, self._peak_s = count, now_s
        return self._peak


class Allowance:
    """This node's part of a service's slack, refilled within a window."""

    def __init__(self, settings: RoutingSettings, fleet: FleetSize):
        self._slack = settings.retry_slack
        self._window_s = settings.retry_window_s
        self._fleet = fleet
        self._spent = 0.0
        self._updated_s = 0.0

    def part(self, now_s: float) -> float:
        """Return this node's part of the slack for one window."""
        return self._slack / self._fleet.read(now_s)

    def find_left(self, now_s: float) -> float:
        """Return the retries left, which may be a fraction of one."""
        age_s = now_s - self._updated_s
        self._spent *= math.exp(-age_s / self._window_s)
        self._updated_s = now_s
        return max(0.0, self.part(now_s) - self._spent)

    def spend(self, amount: float) -> None:
        """Take a part of what find_left has returned."""
        self._spent += amount


class RetryBudget:
    """Budget of retries of one service and priority on this node.

    First attempts add tokens, which expire within the window, so that the
    stored tokens of many quiet nodes never add up to more than the fleet
    earned in a window. A node that earns less than one token in a window
    stakes what it has: of a thousand nodes with a tenth of a token each,
    about a hundred may retry.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        allowance: Allowance,
        now_s: float,
        rng: random.Random,
    ):
        self._share = settings.retry_share
        self._burst = settings.retry_burst
        self._window_s = settings.retry_window_s
        self._allowance = allowance
        self._tokens = 0.0
        # First attempts within about one window.
        self._attempts = 0.0
        self._updated_s = now_s
        self._random = rng.random

    def record_first_attempt(self, now_s: float) -> None:
        """Add the share of a token that a first attempt yields."""
        self._expire(now_s)
        self._attempts += 1.0
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self, now_s: float) -> bool:
        """Spend a token on a retry; return whether one was available."""
        self._expire(now_s)
        total = self._tokens + self._allowance.find_left(now_s)
        if total >= MIN_WHOLE_TOKEN:
            self._take(min(1.0, total))
            return True
        if self._share * self._attempts + self._allowance.part(now_s) >= 1.0:
            return False
        self._take(total)
        return self._random() < total

    def _take(self, amount: float) -> None:
        earned = min(amount, self._tokens)
        self._tokens -= earned
        self._allowance.spend(amount - earned)

    def _expire(self, now_s: float) -> None:
        factor = math.exp((self._updated_s - now_s) / self._window_s)
        self._tokens *= factor
        self._attempts *= factor
        self._updated_s = now_s


class RetryBudgets:
    """Retry budgets by service and priority.

    The priorities of a service share its allowance.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        count_nodes: NodeCounter = count_one,
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._fleet = FleetSize(count_nodes)
        self._rng = rng or random.Random()
        self._allowances: dict[str, Allowance] = {}
        self._budgets: dict[tuple[str, Priority], RetryBudget] = {}

    def get(
        self, service: str, priority: Priority, now_s: float
    ) -> RetryBudget:
        """Return the budget of a service and priority."""
        key = (service, priority)
        budget = self._budgets.get(key)
        if budget is None:
            allowance = self._allowances.setdefault(
                service, Allowance(self._settings, self._fleet)
            )
            budget = RetryBudget(self._settings, allowance, now_s, self._rng)
            self._budgets[key] = budget
        return budget
