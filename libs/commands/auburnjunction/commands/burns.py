"""Burn rates and error budgets, computed from series of calls."""

import attrs

from auburnjunction.commands.call_series import (
    CallCounts,
    CallSeries,
    SeriesKey,
    SeriesSet,
)
from auburnjunction.commands.mixes import PRIORITIES
from auburnjunction.commands.objectives import (
    BurnWindow,
    Objective,
    ReportSettings,
)

PLOT_POINTS = 120
SEVERITIES = ("ok", "ticket", "page")


@attrs.frozen
class BurnRate:
    """Burn rates over the long and the short window of a pair."""

    window: str
    severity: str
    max_burn: float
    long_burn: float
    short_burn: float
    firing: bool

    @property
    def burn(self) -> float:
        """The lower of both rates, which is compared with the limit."""
        return min(self.long_burn, self.short_burn)


@attrs.frozen
class BurnPoint:
    """Burn rate and budget left at one time, in seconds since the epoch."""

    time_s: float
    burn: float
    budget_left: float


@attrs.frozen
class ServiceBurn:
    """Objective of one service and priority, and how it is met."""

    service: str
    priority: str
    objective: Objective
    counts: CallCounts
    good_share: float
    # Remaining share of the error budget; negative when it is exceeded.
    budget_left: float
    burns: tuple[BurnRate, ...]
    points: tuple[BurnPoint, ...]

    @property
    def state(self) -> str:
        """The highest severity among the firing windows, or ok."""
        firing = [burn.severity for burn in self.burns if burn.firing]
        return max(firing, key=SEVERITIES.index, default="ok")


@attrs.frozen
class BurnReport:
    """Burn rates of all services at the time of the last call."""

    time_s: float
    source: str
    services: tuple[ServiceBurn, ...]

    @property
    def state(self) -> str:
        """The highest severity among the services, or ok."""
        states = [service.state for service in self.services]
        return max(states, key=SEVERITIES.index, default="ok")


class BurnCalculator:
    """Computes burn rates according to the settings of a report."""

    def __init__(self, settings: ReportSettings):
        self._settings = settings
        self._windows = settings.scaled_windows
        self._period_s = settings.scaled_period_s

    def report(self, series_set: SeriesSet, source: str) -> BurnReport:
        """Return the burn rates of all series, highest priority first."""
        end_s = series_set.last_s
        services = [
            self._report_series(key, series, end_s)
            for key, series in series_set
        ]
        services.sort(
            key=lambda item: (PRIORITIES.index(item.priority), item.service)
        )
        return BurnReport(end_s, source, tuple(services))

    def _report_series(
        self, key: SeriesKey, series: CallSeries, end_s: float
    ) -> ServiceBurn:
        objective = self._settings.find_objective(key.service, key.priority)
        counts = series.count(end_s - self._period_s, end_s)
        return ServiceBurn(
            service=key.service,
            priority=key.priority,
            objective=objective,
            counts=counts,
            good_share=1.0 - counts.bad_share,
            budget_left=compute_budget_left(counts, objective),
            burns=tuple(
                self._evaluate_window(series, objective, window, end_s)
                for window in self._windows
            ),
            points=self._sample_points(series, objective, end_s),
        )

    def _evaluate_window(
        self,
        series: CallSeries,
        objective: Objective,
        window: BurnWindow,
        end_s: float,
    ) -> BurnRate:
        long = series.count(end_s - window.long_s, end_s)
        short = series.count(end_s - window.short_s, end_s)
        long_burn = compute_burn_rate(long, objective)
        short_burn = compute_burn_rate(short, objective)
        exceeded = min(long_burn, short_burn) > window.max_burn
        return BurnRate(
            window=window.name,
            severity=window.severity,
            max_burn=window.max_burn,
            long_burn=long_burn,
            short_burn=short_burn,
            firing=exceeded and long.calls >= self._settings.min_calls,
        )

    def _sample_points(
        self, series: CallSeries, objective: Objective, end_s: float
    ) -> tuple[BurnPoint, ...]:
        """Return points of the burn rate and the budget for plots.

        The burn rate is that over the first short window, or over the
        step between two points where that is longer.
        """
        start_s = max(series.first_s, end_s - self._period_s)
        step_s = (end_s - start_s) / PLOT_POINTS
        window_s = max(self._windows[0].short_s, step_s)
        points = []
        for index in range(1, PLOT_POINTS + 1):
            time_s = start_s + index * step_s
            recent = series.count(time_s - window_s, time_s)
            within_period = series.count(time_s - self._period_s, time_s)
            point = BurnPoint(
                time_s,
                compute_burn_rate(recent, objective),
                compute_budget_left(within_period, objective),
            )
            points.append(point)
        return tuple(points)


def compute_burn_rate(counts: CallCounts, objective: Objective) -> float:
    """Return the share of bad calls divided by the share allowed."""
    return counts.bad_share / (1.0 - objective.good_share)


def compute_budget_left(counts: CallCounts, objective: Objective) -> float:
    """Return the share of the error budget that these calls leave.

    The value is negative when the budget is exceeded.
    """
    return 1.0 - compute_burn_rate(counts, objective)
