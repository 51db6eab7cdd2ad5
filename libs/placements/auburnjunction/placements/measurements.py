"""Speed of a backend server, as reported and as its owner node measures it."""

import math
from collections import OrderedDict

import attrs

from auburnjunction.placements.reports import (
    MAX_SPEED,
    MIN_SPEED,
    USUAL_SPEED,
    LoadReport,
    ServerLoad,
)

# Weight of a run in the usual duration of its route. A slow-down of 0.6 s
# takes about 15 runs at three slots and must not become the usual speed.
USUAL_WEIGHT = 0.02
# Weight of a run in the errors of both predictions.
ERROR_WEIGHT = 0.05
# Weight of a run in the measured speed, which has to follow a slow-down of
# some hundred milliseconds.
SPEED_WEIGHT = 0.3
# Reported speeds are given up when they predict durations this much worse than
# no speed does; the margin keeps noise from switching back and forth.
DISTRUST_RATIO = 1.15
# Routes with averages; the oldest are evicted first.
MAX_ROUTES = 256


@attrs.define(slots=True)
class UsualRun:
    """Usual duration of a route, with and without the speed."""

    scaled_s: float
    plain_s: float
    count: int = 1

    def add(self, run_s: float, speed: float) -> None:
        """Average a further run; the first ones count equally."""
        self.count += 1
        weight = max(USUAL_WEIGHT, 1.0 / self.count)
        self.scaled_s += weight * (run_s / speed - self.scaled_s)
        self.plain_s += weight * (run_s - self.plain_s)


class SpeedMeter:
    """Compares the speeds that a backend server reports with its durations.

    The reported speed is passed on while it predicts durations about as well
    as ignoring it does; otherwise the measured one is.
    """

    def __init__(self):
        # Usual durations with and without regard to the reported speed.
        self._usual: OrderedDict[str, UsualRun] = OrderedDict()
        self._reported_error = 0.0
        self._plain_error = 0.0
        self._measured = USUAL_SPEED
        self._reported = USUAL_SPEED
        self._reported_s = -math.inf

    @property
    def is_trusted(self) -> bool:
        """Whether the reported speed is passed on."""
        return self._reported_error <= DISTRUST_RATIO * self._plain_error

    @property
    def is_known(self) -> bool:
        """Whether the backend server has reported any figures."""
        return self._reported_s > -math.inf

    def record_load(self, load: ServerLoad, now_s: float) -> None:
        """Record the figures of a response."""
        self._reported = load.speed
        self._reported_s = now_s

    def record_run(self, route: str, run_s: float) -> None:
        """Record the duration of a run; its response set the speed."""
        speed = self._reported / USUAL_SPEED
        usual = self._usual.get(route)
        if run_s <= 0:
            return
        if usual is None:
            if len(self._usual) >= MAX_ROUTES:
                self._usual.popitem(last=False)
            self._usual[route] = UsualRun(run_s / speed, run_s)
            return
        error = abs(math.log(run_s / (usual.scaled_s * speed)))
        self._reported_error += ERROR_WEIGHT * (error - self._reported_error)
        error = abs(math.log(run_s / usual.plain_s))
        self._plain_error += ERROR_WEIGHT * (error - self._plain_error)
        measured = USUAL_SPEED * run_s / usual.plain_s
        measured = min(MAX_SPEED, max(MIN_SPEED, measured))
        self._measured += SPEED_WEIGHT * (measured - self._measured)
        usual.add(run_s, speed)

    def make_report(
        self,
        running: int,
        waiting: int,
        slots: int,
        now_s: float,
        run_s: float = 0.0,
    ) -> LoadReport | None:
        """Return the report to entry nodes; None before any figures."""
        if not self.is_known:
            return None
        speed = self._reported if self.is_trusted else self._measured
        age_s = max(0.0, now_s - self._reported_s)
        return LoadReport(running, waiting, slots, speed, age_s, run_s)
