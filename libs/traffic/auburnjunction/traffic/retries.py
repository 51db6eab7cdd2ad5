"""Retry budgets that the nodes of a fleet share without coordination.

Each node spends its part of a fleet-wide limit: a share of the first
attempts that it has seen within the window, and an equal part of the slack.
"""

import math
import random
from collections.abc import Callable

from auburnjunction.base.sums import SlidingSum
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.routing_settings import RoutingSettings

NodeCounter = Callable[[], int]

# Sums of shares may be slightly below a whole retry by rounding.
MIN_WHOLE_RETRY = 1.0 - 1e-9
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
    """This node's part of a service's slack within a window."""

    def __init__(self, settings: RoutingSettings, fleet: FleetSize):
        self._slack = settings.retry_slack
        self._fleet = fleet
        self._spent = SlidingSum(settings.retry_window_s)

    def find_part(self, now_s: float) -> float:
        """Return this node's part, which may be a fraction of a retry."""
        return self._slack / self._fleet.read(now_s)

    def find_left(self, now_s: float) -> float:
        """Return what is left of the part."""
        spent = self._spent.find_total(now_s)
        return max(0.0, self.find_part(now_s) - spent)

    def spend(self, amount: float, now_s: float) -> None:
        """Take a part of what find_left has returned."""
        self._spent.add(amount, now_s)


class RetryBudget:
    """Budget of retries of one service and priority on this node.

    Within any window, retries are at most a share of the first attempts and
    this node's part of the slack. A node whose limit is below one retry in
    a window stakes what it has: of a thousand nodes with a tenth of a retry
    each, about a hundred may retry.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        allowance: Allowance,
        rng: random.Random,
    ):
        self._share = settings.retry_share
        self._allowance = allowance
        self._attempts = SlidingSum(settings.retry_window_s)
        self._spent = SlidingSum(settings.retry_window_s)
        self._random = rng.random

    def record_first_attempt(self, now_s: float) -> None:
        """Count a first attempt."""
        self._attempts.add(1.0, now_s)

    def record_retry(self, now_s: float) -> None:
        """Count a retry that another budget has granted.

        A call made for a request that is itself a retry is one.
        """
        self._spent.add(1.0, now_s)

    def try_spend(self, now_s: float) -> bool:
        """Take one retry from the budget; return whether it had one."""
        earned = self._share * self._attempts.find_total(now_s)
        left = max(0.0, earned - self._spent.find_total(now_s))
        total = left + self._allowance.find_left(now_s)
        if total >= MIN_WHOLE_RETRY:
            self._take(1.0, left, now_s)
            return True
        if not total or earned + self._allowance.find_part(now_s) >= 1.0:
            return False
        self._take(total, left, now_s)
        return self._random() < total

    def _take(self, amount: float, left: float, now_s: float) -> None:
        from_share = min(amount, left)
        self._spent.add(from_share, now_s)
        self._allowance.spend(amount - from_share, now_s)


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

    def get(self, service: str, priority: Priority) -> RetryBudget:
        """Return the budget of a service and priority."""
        key = (service, priority)
        budget = self._budgets.get(key)
        if budget is None:
            allowance = self._allowances.setdefault(
                service, Allowance(self._settings, self._fleet)
            )
            budget = RetryBudget(self._settings, allowance, self._rng)
            self._budgets[key] = budget
        return budget
