"""Service-level objectives and their burn rate windows."""

import attrs

from auburnjunction.base.settings import check_not_empty, check_range
from auburnjunction.commands.mixes import PRIORITIES

ANY_SERVICE = "*"
DAY_S = 86_400.0
MAX_WINDOW_S = 366 * DAY_S


@attrs.frozen
class Objective:
    """Target share of good calls for a service and priority.

    A call is good when it ended ok, and within latency_ms if that is set.
    Service * applies to every service.
    """

    priority: str = attrs.field(validator=attrs.validators.in_(PRIORITIES))
    good_share: float = attrs.field(validator=check_range(0.0, 0.999_999))
    # 0 means no limit.
    latency_ms: float = attrs.field(
        default=0.0, validator=check_range(0, 300_000)
    )
    service: str = attrs.field(default=ANY_SERVICE, validator=check_not_empty)

    def applies(self, service: str, priority: str) -> bool:
        """Return whether the objective applies to a service and priority."""
        same_service = self.service in (ANY_SERVICE, service)
        return same_service and self.priority == priority


DEFAULT_OBJECTIVES = (
    Objective("critical", 0.999, 500.0),
    Objective("high", 0.995, 250.0),
    Objective("normal", 0.99, 1000.0),
    Objective("low", 0.95),
)


@attrs.frozen
class BurnWindow:
    """Fires when the burn rates over a long and a short window are high.

    Both must be above max_burn. At a burn rate of 1 the error budget is
    used up exactly at the end of its period.
    """

    name: str = attrs.field(validator=check_not_empty)
    long_s: float = attrs.field(validator=check_range(0.001, MAX_WINDOW_S))
    short_s: float = attrs.field(validator=check_range(0.001, MAX_WINDOW_S))
    max_burn: float = attrs.field(validator=check_range(0.001, 1_000_000))
    severity: str = attrs.field(
        default="page", validator=attrs.validators.in_(("page", "ticket"))
    )


DEFAULT_WINDOWS = (
    BurnWindow("1h/5m", 3600.0, 300.0, 14.4),
    BurnWindow("6h/30m", 21_600.0, 1800.0, 6.0),
    BurnWindow("3d/6h", 259_200.0, 21_600.0, 1.0, "ticket"),
)


@attrs.frozen
class ReportSettings:
    """Objectives, burn rate windows and the error budget period."""

    # The first one that applies is used; DEFAULT_OBJECTIVES come last.
    objectives: tuple[Objective, ...] = ()
    windows: tuple[BurnWindow, ...] = attrs.field(
        default=DEFAULT_WINDOWS, validator=check_not_empty
    )
    period_s: float = attrs.field(
        default=30 * DAY_S, validator=check_range(0.001, MAX_WINDOW_S)
    )
    # Factor on every window and the period, to shorten them for tests.
    time_scale: float = attrs.field(
        default=1.0, validator=check_range(0.000_001, 1.0)
    )
    # Minimum number of calls in the long window for it to fire.
    min_calls: int = attrs.field(
        default=10, validator=check_range(1, 1_000_000)
    )

    def find_objective(self, service: str, priority: str) -> Objective:
        """Return the objective that applies to a service and priority."""
        for objective in (*self.objectives, *DEFAULT_OBJECTIVES):
            if objective.applies(service, priority):
                return objective
        raise ValueError(f"{priority!r} is not a priority")

    @property
    def scaled_windows(self) -> tuple[BurnWindow, ...]:
        """The windows, multiplied by time_scale."""
        return tuple(
            attrs.evolve(
                window,
                long_s=window.long_s * self.time_scale,
                short_s=window.short_s * self.time_scale,
            )
            for window in self.windows
        )

    @property
    def scaled_period_s(self) -> float:
        """The error budget period, multiplied by time_scale."""
        return self.period_s * self.time_scale
