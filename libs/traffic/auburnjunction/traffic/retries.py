"""Retry budgets: retries are limited to a share of first attempts."""

from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.routing_settings import RoutingSettings

# Sums of shares may be slightly below a whole token by rounding.
ROUNDING_TOLERANCE = 1e-9
MIN_WHOLE_TOKEN = 1.0 - ROUNDING_TOLERANCE


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Retries never exceed share * first attempts + 1 + floor * seconds. If
    less than one token is left, the floor grants one as an advance, which
    the shares of later first attempts pay back before they add tokens.
    """

    def __init__(self, settings: RoutingSettings, now_s: float):
        self._share = settings.retry_share
        self._burst = settings.retry_burst
        self._floor_per_s = settings.retry_floor_per_s
        self._last_grant_s = now_s
        self._tokens = 1.0
        self._debt = 1.0

    def record_first_attempt(self) -> None:
        """Add the share of a token that a first attempt yields."""
        if self._debt > ROUNDING_TOLERANCE:
            self._debt = max(0.0, self._debt - self._share)
            return
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self, now_s: float) -> bool:
        """Spend a token on a retry; return whether one was available."""
        if self._tokens < MIN_WHOLE_TOKEN:
            self._grant_floor_token(now_s)
        if self._tokens < MIN_WHOLE_TOKEN:
            return False
        self._tokens -= 1.0
        return True

    def _grant_floor_token(self, now_s: float) -> None:
        if (now_s - self._last_grant_s) * self._floor_per_s < 1.0:
            return
        self._last_grant_s = now_s
        self._tokens += 1.0
        self._debt = 1.0


class RetryBudgets:
    """Retry budgets by service and priority."""

    def __init__(self, settings: RoutingSettings):
        self._settings = settings
        self._budgets: dict[tuple[str, Priority], RetryBudget] = {}

    def get(
        self, service: str, priority: Priority, now_s: float
    ) -> RetryBudget:
        """Return the budget of a service and priority."""
        key = (service, priority)
        budget = self._budgets.get(key)
        if budget is None:
            budget = RetryBudget(self._settings, now_s)
            self._budgets[key] = budget
        return budget
