"""Choice of data centres and instances by expected completion."""

import math
from collections.abc import Callable, Collection
from random import Random

import attrs

from auburnjunction.model.services import Instance
from auburnjunction.placements.bounded_tables import get_or_add
from auburnjunction.placements.completions import (
    WORK_WEIGHT,
    CompletionModel,
    InstanceFigures,
    PoolFigures,
    RouteFigures,
)
from auburnjunction.placements.costs import CostModel, Demand, Level
from auburnjunction.placements.reports import LoadReport
from auburnjunction.placements.settings import PlacementSettings
from auburnjunction.placements.shares import ShareTable
from auburnjunction.placements.traffic_counts import TrafficCounts

# Instances, routes and pairs of service and data centre with figures; the
# oldest are evicted first.
MAX_INSTANCES = 8192
MAX_ROUTES = 1024
MAX_POOLS = 1024
# Time without a report after which a service counts as one that reports none.
FIGURES_LIMIT_S = 30.0
# Duration of a route before its first answer; all instances are then compared
# by their calls alone.
DEFAULT_WORK_S = 0.02
UNKNOWN_POOL = PoolFigures()
BYTES_PER_KB = 1024
# Head of a message between nodes: 400 to 700 bytes in the users' calls.
HEAD_KB = 0.6

# Returns the round trip to a data centre in seconds.
LinkEstimator = Callable[[str], float]


@attrs.frozen(slots=True)
class Outcome:
    """How an answered call went, as the entry node saw it."""

    report: LoadReport | None
    owner_duration_s: float
    # Of the body of the answer.
    answer_bytes: int


class Placer:
    """Chooses where calls go; what it believes of others has an age."""

    def __init__(
        self,
        settings: PlacementSettings,
        data_centre: str,
        rng: Random,
        estimate_link: LinkEstimator,
    ):
        self._settings = settings
        self.data_centre = self._data_centre = data_centre
        self.samples = settings.samples
        self._random = rng.random
        self._estimate_link = estimate_link
        self._costs = CostModel(settings, data_centre)
        self._model = CompletionModel(settings)
        self._limit_s = settings.report_age_ms / 1000
        self._instances: dict[str, InstanceFigures] = {}
        self._routes: dict[tuple[str, str], RouteFigures] = {}
        self._pools: dict[tuple[str, str], PoolFigures] = {}
        # Time of the latest report by service.
        self._reported_s: dict[str, float] = {}
        self.traffic = TrafficCounts()
        self.shares = ShareTable(
            settings.max_share, settings.share_change_per_s
        )

    def record_start(self, instance: Instance, body_bytes: int = 0) -> None:
        """Record a call that is about to be sent."""
        self.traffic.add_call(instance.data_centre, body_bytes)
        figures = self._find_instance(instance)
        figures.in_flight += 1
        figures.sent_since += 1

    def record_end(self, instance: Instance) -> None:
        """Record the end of a call with any outcome."""
        figures = self._find_instance(instance)
        figures.in_flight = max(0, figures.in_flight - 1)
        figures.sent_since = min(figures.sent_since, figures.in_flight)

    def record_answer(
        self, instance: Instance, route: str, outcome: Outcome, now_s: float
    ) -> None:
        """Learn from an answer; without a report, only for its pool."""
        self.traffic.add_bytes(instance.data_centre, outcome.answer_bytes)
        report = outcome.report
        if report is None:
            return
        service = instance.service
        figures = self._find_instance(instance)
        usual = self._find_route(service, route)
        self._model.add_answer(figures, usual, report, now_s)
        answer_kb = HEAD_KB + outcome.answer_bytes / BYTES_PER_KB
        if not usual.answer_kb:
            usual.answer_kb = answer_kb
        usual.answer_kb += WORK_WEIGHT * (answer_kb - usual.answer_kb)
        self._reported_s[service] = now_s
        if usual.work_s:
            stretch = outcome.owner_duration_s / usual.work_s
            self._find_pool(service, instance.data_centre).add_answer(
                report.busy / report.slots, stretch, now_s
            )

    def record_refusal(
        self,
        instance: Instance,
        report: LoadReport | None,
        now_s: float,
        is_lost: bool,
    ) -> None:
        """Learn from a refusal, or a call that was lost on its way.

        is_lost is false if the owner node only had no free slot. Without a
        report the instance counts as full.
        """
        figures = self._find_instance(instance)
        if report is None:
            busy = max(instance.slots, figures.in_flight)
            if figures.report is not None:
                busy = max(busy, figures.report.busy)
            report = LoadReport(busy, 0, instance.slots)
            if figures.report is not None:
                age_s = now_s - figures.received_s + figures.report.age_s
                report = attrs.evolve(
                    report, speed=figures.report.speed, age_s=age_s
                )
        self._model.add_report(figures, report, now_s)
        pool = self._find_pool(instance.service, instance.data_centre)
        pool.add_refusal(report.busy / report.slots, now_s, is_lost)
        if instance.data_centre == self._data_centre:
            return
        if pool.is_full(self._settings.full_load, now_s):
            pool.hold(now_s)
            self.shares.clear(instance.service, instance.data_centre, now_s)

    def has_figures(self, service: str, now_s: float) -> bool:
        """Return whether instances of the service send reports."""
        reported_s = self._reported_s.get(service)
        return reported_s is not None and now_s - reported_s < FIGURES_LIMIT_S

    def estimate_at(
        self, instance: Instance, route: str, now_s: float, is_own: bool
    ) -> float:
        """Return the expected completion of a call at an instance."""
        key = (instance.service, route)
        usual = self._routes.get(key)
        work_s = usual.work_s if usual is not None else 0.0
        expected_s = self._model.estimate(
            self._find_instance(instance),
            instance.slots,
            self._get_pool(instance.service, instance.data_centre, now_s).load,
            work_s or DEFAULT_WORK_S,
            now_s,
        )
        if is_own:
            return expected_s
        return expected_s + self._estimate_link(instance.data_centre)

    def estimate_in(
        self, demand: Demand, data_centre: str, now_s: float
    ) -> float:
        """Return the expected completion of a call in a data centre."""
        usual = self._routes.get((demand.service, demand.route))
        work_s = usual.work_s if usual is not None else 0.0
        pool = self._get_pool(demand.service, data_centre, now_s)
        link_s = self._estimate_link(data_centre)
        return (work_s or DEFAULT_WORK_S) * pool.stretch + link_s

    def is_full(self, service: str, data_centre: str, now_s: float) -> bool:
        """Return whether a data centre is known to be full."""
        pool = self._get_pool(service, data_centre, now_s)
        return pool.is_full(self._settings.full_load, now_s)

    def is_in_time(
        self, demand: Demand, data_centre: str, now_s: float
    ) -> bool:
        """Return whether a call would be taken and answered in time there."""
        if self.is_full(demand.service, data_centre, now_s):
            return False
        expected_s = self.estimate_in(demand, data_centre, now_s)
        return expected_s <= demand.objective_left_s

    def draw_data_centre(
        self, demand: Demand, others: Callable[[], Collection[str]], now_s
    ) -> str:
        """Return the data centre of a call's first attempt.

        others returns the other data centres with instances; it is called a
        few times a second.
        """
        service = demand.service
        if self.shares.is_step_due(service, now_s):
            self._step(demand, others(), now_s)
        chosen = self.shares.draw(service, self._random())
        if not chosen:
            return self._data_centre
        home = self.estimate_in(demand, self._data_centre, now_s)
        gain_ms = self._find_gain(demand, chosen, home, now_s)
        if gain_ms is None or gain_ms <= 0:
            return self._data_centre
        if not self._may_cross(demand, chosen, home, others, now_s):
            return self._data_centre
        return chosen

    def choose_after_wait(
        self,
        demand: Demand,
        wait_s: float,
        others: Collection[str],
        now_s: float,
    ) -> str:
        """Return the data centre for a call that must wait in its own one.

        wait_s is the shortest wait that instances there have told. Calls that
        are not nested leave only if they would be late; return "" to stay.
        """
        usual = self._find_route(demand.service, demand.route)
        home_s = wait_s + (usual.work_s or DEFAULT_WORK_S)
        is_late = home_s > demand.objective_left_s
        if not is_late and not demand.nested:
            return ""
        return self._choose_best(demand, home_s, others, now_s)

    def choose_after_refusal(
        self, demand: Demand, others: Collection[str], now_s: float
    ) -> str:
        """Return the data centre for a call that its own one refused.

        Return "" if none would take the call in time.
        """
        home_s = self.estimate_in(demand, self._data_centre, now_s)
        if demand.objective_left_s < math.inf:
            # The caller has to come back, so that the call will be late.
            home_s = max(home_s, demand.objective_left_s)
        return self._choose_best(demand, home_s, others, now_s, True)

    def find_nearest(
        self, demand: Demand, others: Collection[str], now_s: float
    ) -> str:
        """Return the data centre for a call that can't stay, or ""."""
        find_level = self._costs.find_level
        return min(
            others,
            key=lambda name: (
                find_level(name),
                self.is_full(demand.service, name, now_s),
                self.estimate_in(demand, name, now_s),
            ),
            default="",
        )

    def _choose_best(
        self,
        demand: Demand,
        home_s: float,
        others: Collection[str],
        now_s: float,
        is_refused: bool = False,
    ) -> str:
        is_failing = is_refused or home_s > demand.objective_left_s
        in_time, late = [], []
        for name in others:
            level = self._costs.find_level(name)
            if level is Level.OTHER_REGION and not is_failing:
                continue
            gain_ms = self._find_gain(demand, name, home_s, now_s, is_refused)
            if gain_ms is None or gain_ms <= 0:
                continue
            if self.is_in_time(demand, name, now_s):
                # Lower levels first, then greater gains.
                in_time.append((level, -gain_ms, name))
            elif level is Level.REGION:
                late.append((level, -gain_ms, name))
        found = in_time or late
        return min(found)[2] if found else ""

    def _step(
        self, demand: Demand, others: Collection[str], now_s: float
    ) -> None:
        home_s = self.estimate_in(demand, self._data_centre, now_s)
        pool = self._pools.get((demand.service, self._data_centre))
        is_known = pool is not None and pool.is_known(now_s, self._limit_s)
        gains: dict[str, float | None] = {}
        for name in others:
            gain_ms = None
            if is_known and self._may_cross(
                demand, name, home_s, lambda: others, now_s
            ):
                gain_ms = self._find_gain(demand, name, home_s, now_s)
            gains[name] = gain_ms
        self.shares.step(demand.service, gains, now_s)

    def _may_cross(
        self,
        demand: Demand,
        data_centre: str,
        home_s: float,
        others: Callable[[], Collection[str]],
        now_s: float,
    ) -> bool:
        """Return whether a call may go to a data centre of its level.

        One of another region needs that the call would be late or refused in
        this region, and in time there.
        """
        find_level = self._costs.find_level
        if find_level(data_centre) is not Level.OTHER_REGION:
            return True
        service = demand.service
        if home_s <= demand.objective_left_s and not self.is_full(
            service, self._data_centre, now_s
        ):
            return False
        if not self.is_in_time(demand, data_centre, now_s):
            return False
        return not any(
            find_level(name) is Level.REGION
            and self.is_in_time(demand, name, now_s)
            for name in others()
        )

    def _find_gain(
        self,
        demand: Demand,
        data_centre: str,
        home_s: float,
        now_s: float,
        is_refused: bool = False,
    ) -> float | None:
        """Return the gain of leaving, in ms; None if full there."""
        service = demand.service
        there = self._get_pool(service, data_centre, now_s)
        if there.is_full(self._settings.full_load, now_s):
            return None
        home = self._get_pool(service, self._data_centre, now_s)
        refused_share = 1.0 if is_refused else home.refusals
        there_s = self.estimate_in(demand, data_centre, now_s)
        level = self._costs.find_level(data_centre)
        usual = self._routes.get((service, demand.route))
        answer_kb = usual.answer_kb if usual is not None else 0.0
        return (
            self._costs.find_loss_ms(demand, home_s, refused_share)
            - self._costs.find_loss_ms(demand, there_s, there.refusals)
            - self._costs.find_price_ms(level, demand.kilobytes + answer_kb)
            - self._settings.min_gain_ms
        )

    def _get_pool(
        self, service: str, data_centre: str, now_s: float
    ) -> PoolFigures:
        pool = self._pools.get((service, data_centre))
        if pool is None:
            return UNKNOWN_POOL
        if now_s < pool.full_until_s or pool.is_known(now_s, self._limit_s):
            return pool
        return UNKNOWN_POOL

    def _find_pool(self, service: str, data_centre: str) -> PoolFigures:
        key = (service, data_centre)
        return get_or_add(self._pools, key, PoolFigures, MAX_POOLS)

    def _find_route(self, service: str, route: str) -> RouteFigures:
        key = (service, route)
        return get_or_add(self._routes, key, RouteFigures, MAX_ROUTES)

    def _find_instance(self, instance: Instance) -> InstanceFigures:
        figures = get_or_add(
            self._instances,
            instance.instance,
            InstanceFigures,
            MAX_INSTANCES,
        )
        if figures.born_ms != instance.born_ms:
            # A new incarnation may be another version on another host.
            in_flight = figures.in_flight
            figures = self._instances[instance.instance] = InstanceFigures(
                in_flight, born_ms=instance.born_ms
            )
        return figures
