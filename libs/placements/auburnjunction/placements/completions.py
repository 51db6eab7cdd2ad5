"""Model of the time until an answer of an instance or a data centre."""

import math

import attrs

from auburnjunction.placements.reports import USUAL_SPEED, LoadReport
from auburnjunction.placements.settings import PlacementSettings

# Weight of an answer in the learned speed factor of an instance, and its
# bounds: instances of a service differ by factors of 0.6 to 1.6.
FACTOR_WEIGHT = 0.05
MIN_FACTOR = 0.3
MAX_FACTOR = 10.0
# Weight of an answer in the usual duration and size of a route.
WORK_WEIGHT = 0.05
# Answers until an instance counts as warm, and how much longer the first one
# is taken to run.
WARM_ANSWERS = 8
COLD_FACTOR = 1.5
# Uncertainty of the number of calls at an instance, in calls, with a report
# that has just been made and with one that has no weight.
FRESH_SPREAD = 0.3
OLD_SPREAD = 0.8
# Share of the spread that a call must expect to wait for, on average, at an
# instance which has exactly as many calls as slots: E[max(0, N(0, 1))].
MEAN_EXCESS = 0.4
# Time constant of the averages of a data centre.
POOL_TIME_S = 0.5
# Mean load and stretch of a data centre without recent answers.
UNKNOWN_LOAD = 0.6
UNKNOWN_STRETCH = 1.2
# Share of refused attempts from which a data centre counts as full.
FULL_REFUSAL_SHARE = 0.1
# Bounds of the time for which a data centre that has refused calls counts as
# full: without calls there are no reports, so the next call is a trial.
MIN_HOLD_S = 1.0
MAX_HOLD_S = 8.0
# Least weight of an answer in the averages of a data centre, so that a burst
# of answers at one moment counts.
MIN_POOL_WEIGHT = 0.05
# The same for a lost call: one is enough for its data centre to count as full.
MIN_LOSS_WEIGHT = 0.2


@attrs.define(slots=True)
class InstanceFigures:
    """What is known of one instance."""

    in_flight: int = 0
    # Calls of this node that were sent after the latest report.
    sent_since: int = 0
    report: LoadReport | None = None
    received_s: float = 0.0
    # Duration of its runs as a multiple of the usual one.
    factor: float = 1.0
    answers: int = 0
    born_ms: int = 0


@attrs.define(slots=True)
class RouteFigures:
    """Usual duration at the usual speed, and bytes of request and answer."""

    work_s: float = 0.0
    answer_kb: float = 0.0


@attrs.define(slots=True)
class PoolFigures:
    """Averages of the instances of one service in one data centre.

    The stretch is the time that calls spend at owner nodes as a multiple of
    the usual duration of a run.
    """

    load: float = UNKNOWN_LOAD
    stretch: float = UNKNOWN_STRETCH
    refusals: float = 0.0
    updated_s: float = -math.inf
    # Until when the data centre counts as full, and the length of that time.
    full_until_s: float = -math.inf
    hold_s: float = 0.0

    def is_known(self, now_s: float, limit_s: float) -> bool:
        """Return whether a call has ended there within the limit."""
        return now_s - self.updated_s < limit_s

    def is_full(self, full_load: float, now_s: float) -> bool:
        """Return whether calls must expect to wait long or be refused."""
        if self.load >= full_load or self.refusals >= FULL_REFUSAL_SHARE:
            return True
        return now_s < self.full_until_s

    def hold(self, now_s: float) -> None:
        """Let the data centre count as full after a refusal.

        The time doubles with each trial that is refused after it.
        """
        if now_s < self.full_until_s:
            return
        self.hold_s = min(MAX_HOLD_S, max(MIN_HOLD_S, 2 * self.hold_s))
        self.full_until_s = now_s + self.hold_s

    def add_answer(self, load: float, stretch: float, now_s: float) -> None:
        """Record an answer with the load of its instance."""
        if load < 1.0:
            self.hold_s = 0.0
            self.full_until_s = -math.inf
        weight = self._take_weight(now_s)
        self.load += weight * (load - self.load)
        self.stretch += weight * (stretch - self.stretch)
        self.refusals -= weight * self.refusals

    def add_refusal(self, load: float, now_s: float, is_lost: bool) -> None:
        """Record a refusal; is_lost unless the call was only not queued."""
        weight = self._take_weight(now_s)
        if is_lost:
            weight = max(weight, MIN_LOSS_WEIGHT)
        self.load += weight * (max(1.0, load) - self.load)
        if is_lost:
            self.refusals += weight * (1.0 - self.refusals)

    def _take_weight(self, now_s: float) -> float:
        age_s = now_s - self.updated_s
        self.updated_s = now_s
        return max(MIN_POOL_WEIGHT, 1.0 - math.exp(-age_s / POOL_TIME_S))


class CompletionModel:
    """Expected time until an answer, without the network."""

    def __init__(self, settings: PlacementSettings):
        self._limit_s = settings.report_age_ms / 1000
        self._busy_half_life_s = settings.busy_half_life_ms / 1000
        self._speed_half_life_s = settings.speed_half_life_ms / 1000

    def estimate(
        self,
        figures: InstanceFigures,
        slots: int,
        pool_load: float,
        work_s: float,
        now_s: float,
    ) -> float:
        """Return the expected wait and run of a call at an instance.

        An old report gives way to the mean load of the data centre and to the
        usual speed.
        """
        report = figures.report
        weight = speed_weight = 0.0
        speed = 1.0
        reported = 0
        if report is not None:
            slots = report.slots
            age_s = now_s - figures.received_s
            if age_s < self._limit_s:
                weight = 0.5 ** (age_s / self._busy_half_life_s)
                reported = report.busy
            age_s += report.age_s
            if age_s < self._limit_s:
                speed_weight = 0.5 ** (age_s / self._speed_half_life_s)
                speed += speed_weight * (report.speed / USUAL_SPEED - 1.0)
        busy = weight * reported + (1.0 - weight) * pool_load * slots
        busy = max(busy + figures.sent_since, figures.in_flight)
        run_s = work_s * figures.factor * speed
        if figures.answers < WARM_ANSWERS:
            missing = 1.0 - figures.answers / WARM_ANSWERS
            run_s *= 1.0 + (COLD_FACTOR - 1.0) * missing
        # Expected number of calls that must end before this one starts.
        excess = busy + 1.0 - slots
        spread = FRESH_SPREAD + (1.0 - weight) * OLD_SPREAD
        ahead = MEAN_EXCESS * spread * math.exp(-abs(excess) / spread)
        if excess > 0:
            ahead += excess
        return run_s * (1.0 + ahead / slots)

    def add_answer(
        self,
        figures: InstanceFigures,
        route: RouteFigures,
        report: LoadReport,
        now_s: float,
    ) -> None:
        """Learn from the answer of an instance."""
        self.add_report(figures, report, now_s)
        figures.answers += 1
        if report.run_s <= 0:
            return
        usual_s = report.run_s / (report.speed / USUAL_SPEED)
        if not route.work_s:
            route.work_s = usual_s
            return
        # The first answers of an instance count for more.
        weight = max(FACTOR_WEIGHT, 1.0 / (figures.answers + 1))
        factor = usual_s / route.work_s
        figures.factor += weight * (factor - figures.factor)
        figures.factor = min(MAX_FACTOR, max(MIN_FACTOR, figures.factor))
        error_s = usual_s / figures.factor - route.work_s
        route.work_s += WORK_WEIGHT * error_s

    def add_report(
        self, figures: InstanceFigures, report: LoadReport, now_s: float
    ) -> None:
        """Replace the report on an instance."""
        figures.report = report
        figures.received_s = now_s
        figures.sent_since = 0
