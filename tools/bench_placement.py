"""Compares the placement of calls with the choice without it, simulated.

Entry nodes, links and backend servers are simulated in virtual time, with the
planner, balancer and tracker of the product; there is no network. Both choices
see the same calls. Prints a table for docs/design/placement.md.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics
import time
from collections.abc import Callable

import attrs

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Instance, InstanceState, Service
from auburnjunction.placements.measurements import SpeedMeter
from auburnjunction.placements.placers import Placer
from auburnjunction.placements.reports import ServerLoad
from auburnjunction.placements.settings import PlacementSettings
from auburnjunction.traffic.attempts import AttemptPlanner
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.calls import Answer, Call, NotRunError
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.retries import RetryBudget
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings

SERVICE = Service("orders", attempt_timeout_ms=2000)
SLOTS = 3
QUEUE_LIMIT = 6
MEAN_WORK_S = 0.06
# Deviation of the logarithm of the work of a call.
WORK_SIGMA = 0.3
OBJECTIVE_S = 0.25
DEADLINE_S = 1.0
HOP_S = 0.0005
UPLOAD_BYTES = 60_000
CALL_BYTES = 1_000
ANSWER_BYTES = 2_000
UPLOAD_SHARE = 0.1
# Calls made for a running request, which have less time.
NESTED_SHARE = 0.3
NESTED_DEADLINE_S = 0.4
SLOW_FACTOR = 2.5
SLOW_S = 0.6
# Interval at which the present speed of a host changes, and by how much.
JITTER_S = 0.08
JITTER = 0.2
WARM_UP_S = 5.0
# Settings of the users' platform (platform/settings.py).
ROUTING = RoutingSettings(
    refused_spill_priority=4,
    prompt_attempts=2,
    remote_prompt_attempts=2,
    connect_timeout_ms=250.0,
)
ROUTES = {
    "call": Route("call", "/call", "orders", repeatable=True),
    "upload": Route("upload", "/upload", "orders", repeatable=True),
}


@attrs.frozen
class Scenario:
    """A fleet and its load."""

    name: str
    # Data centre to region, and to its one-way delays.
    regions: dict[str, str]
    one_way_s: float
    instances: int
    entries: int
    # Mean use of the slots, and the swing of the demand of a data centre.
    use: float
    swing: float = 0.0
    period_s: float = 20.0
    slow_share: float = 0.0
    # Share of instances that always report the usual speed and no calls.
    false_share: float = 0.0


class Server:
    """A backend server with slots and the queue of its owner node."""

    def __init__(self, sim: "Simulation", instance: Instance, index: int):
        self.sim = sim
        self.instance = instance
        rng = sim.rng
        self.base = rng.uniform(0.5, 1.6)
        self.running = 0
        self.queue: list = []
        self.meter = SpeedMeter()
        self.slow_until_s = 0.0
        self.is_false = rng.random() < sim.scenario.false_share
        self.jitter_seed = rng.random() * 1000
        if sim.scenario.slow_share:
            self._plan_slowdown()

    def _plan_slowdown(self) -> None:
        share = self.sim.scenario.slow_share
        mean_s = SLOW_S * (1 - share) / share
        at_s = self.sim.now_s + self.sim.rng.expovariate(1 / mean_s)
        self.sim.schedule(at_s, self._slow_down)

    def _slow_down(self) -> None:
        self.slow_until_s = self.sim.now_s + SLOW_S
        self.sim.schedule(self.slow_until_s, self._plan_slowdown)

    @property
    def speed(self) -> float:
        """Present speed; 1 is usual, greater is slower."""
        step = int(self.sim.now_s / JITTER_S + self.jitter_seed)
        noise = random.Random(step * 7919 + int(self.jitter_seed)).random()
        slow = SLOW_FACTOR if self.sim.now_s < self.slow_until_s else 1.0
        return slow * (1.0 + JITTER * (2 * noise - 1))

    def receive(self, attempt: "Attempt") -> None:
        """Start, queue or refuse a call."""
        if self.running < SLOTS:
            self._start(attempt)
            return
        ahead = len(self.queue) + 1
        wait_s = ahead * MEAN_WORK_S * self.base * self.speed / SLOTS
        if attempt.fail_fast:
            self._refuse(attempt, ErrorCode.BUSY, wait_s)
        elif len(self.queue) >= QUEUE_LIMIT or (
            self.sim.now_s + wait_s > attempt.call.deadline_s
        ):
            self._refuse(attempt, ErrorCode.OVERLOADED, 0.0)
        else:
            self.queue.append(attempt)

    def _refuse(self, attempt, code, wait_s: float) -> None:
        error = NotRunError("refused", code, wait_s)
        error.report = self._make_report(0.0)
        attempt.reply(error)

    def _start(self, attempt: "Attempt") -> None:
        self.running += 1
        run_s = attempt.work * MEAN_WORK_S * self.base * self.speed
        attempt.run_s = run_s
        end_s = self.sim.now_s + run_s
        self.sim.schedule(end_s, lambda: self._end(attempt))

    def _end(self, attempt: "Attempt") -> None:
        self.running -= 1
        speed = 100.0 if self.is_false else 100.0 * self.speed
        now_s = self.sim.now_s
        load = ServerLoad(self.running, len(self.queue), SLOTS, speed)
        self.meter.record_load(load, now_s)
        self.meter.record_run(attempt.call.route, attempt.run_s)
        if self.queue:
            self._start(self.queue.pop(0))
        response = HttpResponse(200, [], b"x" * ANSWER_BYTES)
        held_s = now_s - attempt.received_s
        load = (self.running + len(self.queue)) / SLOTS
        answer = Answer(response, load, held_s)
        answer.report = self._make_report(attempt.run_s)
        attempt.reply(answer)

    def _make_report(self, run_s: float):
        waiting = len(self.queue)
        return self.meter.make_report(
            self.running, waiting, SLOTS, self.sim.now_s, run_s
        )


@attrs.define(eq=False)
class Attempt:
    """One attempt of a call at a server."""

    sim: "Simulation"
    call: Call
    fail_fast: bool
    work: float
    one_way_s: float
    on_reply: Callable
    received_s: float = 0.0
    run_s: float = 0.0

    def send(self, server: Server) -> None:
        """Carry the call to the owner node."""

        def receive() -> None:
            self.received_s = self.sim.now_s
            server.receive(self)

        self.sim.schedule(self.sim.now_s + self.one_way_s, receive)

    def reply(self, result) -> None:
        """Carry the result to the entry node."""
        at_s = self.sim.now_s + self.one_way_s
        self.sim.schedule(at_s, lambda: self.on_reply(result))


@attrs.define
class Tally:
    """What was measured after the warm-up."""

    completions_s: list[float] = attrs.field(factory=list)
    calls: int = 0
    refused: int = 0
    late: int = 0
    zone_bytes: int = 0
    region_bytes: int = 0
    errors: list[float] = attrs.field(factory=list)
    predicted_s: float = 0.0
    measured_s: float = 0.0
    # Error of a model that knows all but the work of the call.
    floor_s: float = 0.0
    ages_s: list[float] = attrs.field(factory=list)

    def add_prediction(
        self, expected_s: float, latency_s: float, run_s: float, work: float
    ) -> None:
        """Compare a prediction with what was measured."""
        if not expected_s:
            return
        self.errors.append(abs(expected_s - latency_s))
        self.predicted_s += expected_s
        self.measured_s += latency_s
        self.floor_s += abs(run_s - run_s / work)


class Entry:
    """An entry node with the planner of the product."""

    def __init__(self, sim: "Simulation", name: str, data_centre: str):
        self.sim = sim
        self.data_centre = data_centre
        clock = sim.clock
        outliers = OutlierTracker(ROUTING)
        self.tracker = InstanceTracker(outliers, clock, ROUTING)
        rng = random.Random(f"{sim.seed} {name}")
        if sim.is_placing:
            self.tracker.placer = Placer(
                attrs.evolve(sim.settings, regions=sim.scenario.regions),
                data_centre,
                rng,
                self.tracker.estimate_link_latency_s,
            )
        location = NodeLocation(name, data_centre)
        self.balancer = Balancer(
            location, sim, outliers, self.tracker, ROUTING, rng
        )
        self.planner = AttemptPlanner(self.balancer, ROUTING)

    def begin(
        self, route: str, body: bytes, work: float, nested: bool
    ) -> None:
        """Take a call from a caller."""
        now_s = self.sim.now_s
        call = Call(
            request_id="r",
            route=route,
            service=SERVICE.name,
            priority=Priority.NORMAL,
            repeatable=True,
            claims=ClaimMode.NONE,
            deadline_s=now_s + (NESTED_DEADLINE_S if nested else DEADLINE_S),
            nested=nested,
            revision=1,
            request=HttpRequest(b"POST", b"/", [], body),
            target_s=now_s + OBJECTIVE_S,
        )
        routed = RoutedCall(call, ROUTES[route], SERVICE)
        budget = RetryBudget(ROUTING, lambda: 1, random.Random(0))
        state = self.planner.start(routed, budget)
        self._attempt(routed, state, work, now_s)

    def _attempt(self, routed, state, work: float, begun_s: float) -> None:
        sim, now_s = self.sim, self.sim.now_s
        is_measured = begun_s >= WARM_UP_S
        planned = None
        if now_s < routed.call.deadline_s and not state.is_exhausted:
            planned = self.planner.plan(routed, state, now_s)
        if planned is None:
            self._finish(begun_s, None)
            return
        instance = planned.instance
        expected_s = self._predict(routed, instance, is_measured)
        size = len(routed.call.request.body)
        self.tracker.start_call(instance, size)
        if is_measured:
            self._count_bytes(instance.data_centre, size)

        def receive(result) -> None:
            self.tracker.end_call(instance)
            if isinstance(result, NotRunError):
                self._handle_refusal(state, instance, result)
                self._attempt(routed, state, work, begun_s)
                return
            latency_s = sim.now_s - now_s
            route = routed.call.route
            self.tracker.record_answer(instance, result, latency_s, route)
            if is_measured:
                self._count_bytes(instance.data_centre, ANSWER_BYTES)
                sim.tally.add_prediction(
                    expected_s, latency_s, result.report.run_s, work
                )
            self._finish(begun_s, sim.now_s - begun_s)

        Attempt(
            sim,
            routed.call,
            planned.fail_fast,
            work,
            sim.find_one_way_s(self.data_centre, instance.data_centre),
            receive,
        ).send(sim.servers[instance.instance])

    def _handle_refusal(self, state, instance, error: NotRunError) -> None:
        self.tracker.record_error(instance, error)
        if error.code is ErrorCode.BUSY:
            state.add_busy(instance, error.retry_after_s)
        else:
            state.add_error(error, False)

    def _predict(self, routed, instance, is_measured: bool) -> float:
        placer, now_s = self.tracker.placer, self.sim.now_s
        if placer is None or not is_measured:
            return 0.0
        figures = placer._instances.get(instance.instance)
        if figures is not None and figures.report is not None:
            self.sim.tally.ages_s.append(now_s - figures.received_s)
        return placer.estimate_at(instance, routed.call.route, now_s, False)

    def _count_bytes(self, data_centre: str, size: int) -> None:
        regions = self.sim.scenario.regions
        if data_centre == self.data_centre:
            return
        if regions[data_centre] == regions[self.data_centre]:
            self.sim.tally.zone_bytes += size
        else:
            self.sim.tally.region_bytes += size

    def _finish(self, begun_s: float, duration_s: float | None) -> None:
        if begun_s < WARM_UP_S:
            return
        tally = self.sim.tally
        tally.calls += 1
        tally.refused += duration_s is None
        tally.late += duration_s is None or duration_s > OBJECTIVE_S
        if duration_s is not None:
            tally.completions_s.append(duration_s)


class Simulation:
    """One run of a scenario with or without placement."""

    def __init__(self, scenario, seed: int, is_placing: bool, settings):
        self.scenario = scenario
        self.seed = seed
        self.is_placing = is_placing
        self.settings = settings
        cfg = scenario
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1)
        self.clock = ManualClock(0.0)
        self.tally = Tally()
        self._events: list = []
        self._order = itertools.count()
        names = list(scenario.regions)
        self.instances = [
            make_instance(f"i{n}-{dc}", dc)
            for dc in names
            for n in range(scenario.instances)
        ]
        self.servers = {
            i.instance: Server(self, i, n)
            for n, i in enumerate(self.instances)
        }
        # Calls per second that a data centre can run, on average.
        slowed = 1 - cfg.slow_share * (1 - 1 / SLOW_FACTOR)
        self._full_rate = (
            slowed
            * sum(SLOTS / s.base for s in self.servers.values())
            / (MEAN_WORK_S * len(names))
        )
        self.entries = [
            Entry(self, f"node-i{n}-{dc}", dc)
            for dc in names
            for n in range(scenario.entries)
        ]

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.clock.monotonic()

    def find_instances(self, _service: str) -> list[Instance]:
        """Return all instances."""
        return self.instances

    def find_one_way_s(self, one: str, two: str) -> float:
        """Return the delay from one data centre to another."""
        if one == two:
            return HOP_S
        return HOP_S + self.scenario.one_way_s

    def schedule(self, at_s: float, action: Callable) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def run(self, duration_s: float) -> Tally:
        """Run until the time and return the measurements."""
        for index, data_centre in enumerate(self.scenario.regions):
            members = [e for e in self.entries if e.data_centre == data_centre]
            for entry in members:
                self._plan_arrival(entry, index, len(members))
        while self._events and self._events[0][0] < duration_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(at_s - self.now_s)
            action()
        return self.tally

    def _plan_arrival(self, entry: Entry, index: int, count: int) -> None:
        cfg = self.scenario
        rate = cfg.use * self._full_rate * (1 + cfg.swing) / count
        rng = random.Random(self.arrivals.random())
        phase = math.pi * index

        def arrive() -> None:
            gap_s = rng.expovariate(rate)
            self.schedule(self.now_s + gap_s, arrive)
            angle = 2 * math.pi * self.now_s / cfg.period_s + phase
            demand = 1 + cfg.swing * math.sin(angle)
            keep = rng.random() < demand / (1 + cfg.swing)
            kind = rng.random()
            is_upload = kind < UPLOAD_SHARE
            work = rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
            if keep:
                size = UPLOAD_BYTES if is_upload else CALL_BYTES
                route = "upload" if is_upload else "call"
                nested = not is_upload and kind < UPLOAD_SHARE + NESTED_SHARE
                entry.begin(route, b"x" * size, work, nested)

        self.schedule(rng.expovariate(rate), arrive)


def make_instance(name: str, data_centre: str) -> Instance:
    """Return an instance with its own node."""
    return Instance(
        instance=name,
        service=SERVICE.name,
        state=InstanceState.READY,
        slots=SLOTS,
        load_percent=0,
        node=f"node-{name}",
        data_centre=data_centre,
        host="h",
        peer_port=1,
    )


SCENARIOS = (
    Scenario(
        "uneven speeds, few entries",
        {"a": "r"}, 0.0, 28, 8, 0.75, slow_share=1 / 7,
    ),
    Scenario(
        "uneven speeds, an entry for each",
        {"a": "r"}, 0.0, 28, 28, 0.75, slow_share=1 / 7,
    ),
    Scenario(
        "the same, a quarter reports falsely",
        {"a": "r"}, 0.0, 28, 8, 0.75, slow_share=1 / 7, false_share=0.25,
    ),
    Scenario(
        "swing 0.55, one region",
        {"a": "r", "b": "r"}, 0.0054, 14, 14, 0.7, swing=0.55,
    ),
    Scenario(
        "swing 0.55, two regions",
        {"a": "r", "b": "s"}, 0.012, 14, 14, 0.7, swing=0.55,
    ),
    Scenario(
        "both full, two regions",
        {"a": "r", "b": "s"}, 0.012, 14, 14, 1.2,
    ),
)  # fmt: skip


def find_percentile(values: list[float], share: float) -> float:
    """Return a percentile of a list."""
    return sorted(values)[int(share * (len(values) - 1))] if values else 0.0


def print_row(name: str, tally: Tally, duration_s: float) -> None:
    """Print one row of the table."""
    done = tally.completions_s
    mean_ms = statistics.fmean(done) * 1000
    p95, p99 = (find_percentile(done, s) * 1000 for s in (0.95, 0.99))
    per_s = 1024 * (duration_s - WARM_UP_S)
    print(
        f"| {name} | {mean_ms:.1f} | {p95:.0f} | {p99:.0f} "
        f"| {100 * tally.late / tally.calls:.2f} "
        f"| {100 * tally.refused / tally.calls:.2f} "
        f"| {tally.zone_bytes / per_s:.0f} "
        f"| {tally.region_bytes / per_s:.0f} |"
    )


def print_error(tally: Tally) -> None:
    """Print the error of the model and the ages of the reports used."""
    if not tally.errors:
        return
    mean_s = statistics.fmean(tally.errors)
    bias = tally.predicted_s / tally.measured_s
    floor_ms = 1000 * tally.floor_s / len(tally.errors)
    ages = [find_percentile(tally.ages_s, s) * 1000 for s in (0.1, 0.5, 0.9)]
    print(
        f"  model: mean absolute error {mean_s * 1000:.1f} ms, of which "
        f"{floor_ms:.1f} ms are due to the work of single calls; "
        f"predicted/measured {bias:.2f}; ages of reports p10 {ages[0]:.0f}, "
        f"p50 {ages[1]:.0f}, p90 {ages[2]:.0f} ms"
    )


def measure_choice(is_placing: bool, settings) -> float:
    """Return the microseconds of a plan of a first attempt."""
    sim = Simulation(SCENARIOS[3], 1, is_placing, settings)
    sim.run(3.0)
    entry = sim.entries[0]
    now_s = sim.now_s
    call = Call(
        "r", "call", SERVICE.name, Priority.NORMAL, True, ClaimMode.NONE,
        now_s + 1, 1, HttpRequest(b"POST", b"/"), target_s=now_s + 0.25,
    )  # fmt: skip
    routed = RoutedCall(call, ROUTES["call"], SERVICE)
    budget = RetryBudget(ROUTING, lambda: 1, random.Random(0))
    best_s = math.inf
    for _ in range(20):
        started_s = time.perf_counter()
        for _ in range(200):
            state = entry.planner.start(routed, budget)
            entry.planner.plan(routed, state, now_s)
        best_s = min(best_s, (time.perf_counter() - started_s) / 200)
    return best_s * 1e6


def main() -> None:
    """Run all scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=45.0)
    parser.add_argument("--scenario", type=int, default=None)
    args = parser.parse_args()
    settings = PlacementSettings()
    print(f"seed {args.seed}, {args.duration_s:.0f} s of virtual time")
    print(
        "| scenario, choice | mean ms | p95 ms | p99 ms | late % | refused % "
        "| kB/s between data centres | kB/s between regions |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for index, scenario in enumerate(SCENARIOS):
        if args.scenario not in (None, index):
            continue
        for is_placing in (False, True):
            sim = Simulation(scenario, args.seed, is_placing, settings)
            tally = sim.run(args.duration_s)
            choice = "placement" if is_placing else "today"
            print_row(f"{scenario.name}: {choice}", tally, args.duration_s)
            print_error(tally)
    if args.scenario is None:
        for is_placing in (False, True):
            cost = measure_choice(is_placing, settings)
            print(f"plan of an attempt, placement {is_placing}: {cost:.1f} µs")


if __name__ == "__main__":
    main()
