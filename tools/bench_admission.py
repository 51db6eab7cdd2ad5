"""Measures one owner node under overload, against two baselines.

One owner and a simulated backend server share a process and communicate
over loopback. A case is a deployment and the priority that floods the
owner, and runs in its own process.
The baselines are FIFO without limits and strict priority without
shares. Prints a table and writes JSON.
"""

import argparse
import gc
import json
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path

import attrs
import curio
from admission_targets import aggregate_runs, check_targets, print_case

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.services import Service
from auburnjunction.traffic.admissions import AdmissionSettings, Discipline
from auburnjunction.traffic.calls import Call, TrafficError
from auburnjunction.traffic.instances import InstanceOwner
from auburnjunction.traffic.meters import OwnerMetrics

HOST = "127.0.0.1"
CLOCK = SystemClock()
LOAD_FACTORS = (0.5, 1.0, 2.0, 4.0)
REPEATS = 3
WARM_UP_S = 0.5
WINDOW_S = 3.5
DEADLINE_S = 0.5
LAG_INTERVAL_S = 0.02
# Offered by each priority that does not flood, as a share of capacity.
BACKGROUND_SHARES = {
    Priority.CRITICAL: 0.15,
    Priority.HIGH: 0.15,
    Priority.NORMAL: 0.1,
    Priority.LOW: 0.1,
}
FLOODS = (Priority.LOW, Priority.CRITICAL)
BASELINE_QUEUE_LIMIT = 100_000


@attrs.frozen
class Deployment:
    """Slots and connections of an instance, and its mean service time."""

    slots: int
    connections: int
    service_time_s: float

    @property
    def capacity(self) -> float:
        """Calls per second that the slots can process."""
        return self.slots / self.service_time_s


DEPLOYMENTS = {
    "tuttipullo": Deployment(6, 130, 0.02),
    "karafka": Deployment(18, 120, 0.04),
}


@attrs.define
class Sample:
    """One call: its arrival time and, if it succeeded, its latency."""

    priority: Priority
    arrival_s: float
    latency_s: float | None = None

    @property
    def good(self) -> bool:
        """Whether the response arrived within the caller's deadline."""
        return self.latency_s is not None and self.latency_s <= DEADLINE_S

    @property
    def end_s(self) -> float:
        """Time at which the response arrived."""
        return self.arrival_s + self.latency_s


@attrs.define
class Backend:
    """Simulated backend server that counts started and wasted requests."""

    service_time_s: float
    rng: random.Random
    started: int = 0
    wasted: int = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run a request; it is wasted if cancelled or past its deadline."""
        if request.header(b"x-sent-s") is None:
            return HttpResponse(404)
        self.started += 1
        end_s = CLOCK.monotonic() + float(request.header(b"x-remaining-s"))
        end_s -= time.time() - float(request.header(b"x-sent-s"))
        try:
            await curio.sleep(self.service_time_s * self.rng.uniform(0.5, 1.5))
        except curio.CancelledError:
            self.wasted += 1
            raise
        self.wasted += CLOCK.monotonic() > end_s
        return HttpResponse(200, [], b"done")


def make_rates(capacity: float, flood: Priority, factor: float) -> dict:
    """Return calls per second by priority; their sum is factor * capacity."""
    rates = {p: share * capacity for p, share in BACKGROUND_SHARES.items()}
    others = sum(rate for p, rate in rates.items() if p is not flood)
    rates[flood] = factor * capacity - others
    return rates


def make_settings(design: str) -> tuple[AdmissionSettings, Service]:
    """Return the settings of the design or of a baseline."""
    service = Service("bench", attempt_timeout_ms=5000)
    match design:
        case "fifo":
            cfg = AdmissionSettings(
                discipline=Discipline.FIFO,
                deadline_checks=False,
                adaptive_limit=False,
            )
            return cfg, attrs.evolve(service, queue_limit=BASELINE_QUEUE_LIMIT)
        case _:
            return AdmissionSettings(discipline=Discipline(design)), service


def make_call(number: int, priority: Priority, arrival_s: float) -> Call:
    """Return a call whose deadline is relative to its arrival."""
    headers = [
        (b"host", b"bench"),
        (b"x-remaining-s", b"%f" % DEADLINE_S),
        (b"x-sent-s", b"%f" % time.time()),
    ]
    return Call(
        request_id=str(number),
        route="bench",
        service="bench",
        priority=priority,
        repeatable=True,
        claims=ClaimMode.NONE,
        deadline_s=arrival_s + DEADLINE_S,
        revision=1,
        request=HttpRequest(b"GET", b"/", headers),
    )


async def run_sample(owner: InstanceOwner, number: int, sample: Sample):
    """Run one call and record its latency if it succeeds."""
    call = make_call(number, sample.priority, sample.arrival_s)
    try:
        await owner.run_call(call)
    except TrafficError:
        return
    sample.latency_s = CLOCK.monotonic() - sample.arrival_s


async def record_lag(lags: list[float]) -> None:
    """Record the event loop's lag periodically, in milliseconds."""
    while True:
        start_s = CLOCK.monotonic()
        await curio.sleep(LAG_INTERVAL_S)
        lags.append((CLOCK.monotonic() - start_s - LAG_INTERVAL_S) * 1000)


async def offer_calls(owner, rates, rng) -> list[Sample]:
    """Offer calls in an open loop with exponential interarrival times."""
    samples = []
    priorities, weights = list(rates), list(rates.values())
    start_s = due_s = CLOCK.monotonic()
    async with curio.TaskGroup(wait=None) as group:
        while due_s < start_s + WARM_UP_S + WINDOW_S:
            due_s += rng.expovariate(sum(weights))
            delay_s = due_s - CLOCK.monotonic()
            if delay_s > 0:
                await curio.sleep(delay_s)
            priority = rng.choices(priorities, weights)[0]
            sample = Sample(priority, due_s)
            samples.append(sample)
            await group.spawn(run_sample, owner, len(samples), sample)
        await curio.sleep(DEADLINE_S)
    return samples


async def run_once(deployment, flood, factor, design, seed) -> dict:
    """Return the figures of one run."""
    rng = random.Random(seed)
    backend = Backend(deployment.service_time_s, rng)
    cfg, service = make_settings(design)
    async with open_server(HOST, 0, backend.handle, CLOCK) as server:
        owner = InstanceOwner(
            cfg,
            "bench-1",
            service,
            Address(HOST, server.port),
            deployment.slots,
            deployment.connections,
            CLOCK,
            OwnerMetrics(),
        )
        rates = make_rates(deployment.capacity, flood, factor)
        lags: list[float] = []
        lag_task = await curio.spawn(record_lag, lags, daemon=True)
        start_s = CLOCK.monotonic() + WARM_UP_S
        samples = await offer_calls(owner, rates, rng)
        await lag_task.cancel()
    result = {
        priority.name.lower(): summarize(
            [s for s in samples if s.priority is priority], start_s
        )
        for priority in Priority
    }
    add_shares(result)
    good_per_s = sum(figures["good_per_s"] for figures in result.values())
    result["all"] = {
        "goodput_share_of_capacity": good_per_s / deployment.capacity,
        "wasted_share": backend.wasted / max(1, backend.started),
        "loop_lag_p99_ms": statistics.quantiles(lags, n=100)[98],
    }
    return result


def add_shares(result: dict) -> None:
    """Add the fraction of its guarantee that each lower priority got.

    The guarantee is a share of the calls that ended in the window, or
    all offered calls if those are fewer. One call is added to allow for
    rounding.
    """
    total = sum(figures["ended_in_window"] for figures in result.values())
    for priority in list(Priority)[1:]:
        figures = result[priority.name.lower()]
        guaranteed = AdmissionSettings().shares.of(priority) * total
        expected = min(guaranteed, figures["offered_per_s"] * WINDOW_S)
        ended = figures["ended_in_window"] + 1
        figures["kept_of_guarantee"] = ended / expected


def summarize(samples: list[Sample], start_s: float) -> dict:
    """Return goodput and latency of the calls of one priority.

    Calls are assigned to the window by their arrival, except in
    ended_in_window, which counts them by their end.
    """
    all_samples = samples
    samples = [s for s in samples if s.arrival_s >= start_s]
    latencies = sorted(s.latency_s * 1000 for s in samples if s.good)
    cuts = statistics.quantiles(latencies, n=100) if len(latencies) > 1 else []
    return {
        "offered_per_s": len(samples) / WINDOW_S,
        "good_per_s": len(latencies) / WINDOW_S,
        "ended_in_window": sum(
            s.good and start_s <= s.end_s < start_s + WINDOW_S
            for s in all_samples
        ),
        "good_share": len(latencies) / max(1, len(samples)),
        "p50_ms": cuts[49] if cuts else None,
        "p99_ms": cuts[98] if cuts else None,
    }


def run_case(deployment_name: str, flood: Priority) -> dict:
    """Return the figures of one deployment and flood."""
    deployment = DEPLOYMENTS[deployment_name]
    plan = [("shares", factor) for factor in LOAD_FACTORS]
    plan += [("strict", LOAD_FACTORS[-1]), ("fifo", LOAD_FACTORS[-1])]
    runs: dict = {f"{design} {factor}x": [] for design, factor in plan}
    # Collections during a run would take long, as every sample is retained.
    gc.disable()
    for repeat in range(REPEATS):
        for design, factor in plan:
            gc.collect()
            runs[f"{design} {factor}x"].append(
                curio.run(run_once, deployment, flood, factor, design, repeat)
            )
    return {name: aggregate_runs(results) for name, results in runs.items()}


def run_all() -> dict:
    """Run all cases concurrently, each in its own process."""
    procs = {}
    for deployment in DEPLOYMENTS:
        for flood in FLOODS:
            name = f"{deployment}/{flood.name.lower()}"
            procs[name] = subprocess.Popen(
                [sys.executable, __file__, "--case", name],
                stdout=subprocess.PIPE,
            )
    return {
        name: json.loads(proc.communicate()[0]) for name, proc in procs.items()
    }


def main() -> int:
    """Run the benchmark; return 1 when a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, help="JSON file to write")
    parser.add_argument("--case", help="run one deployment/flood only")
    args = parser.parse_args()
    if args.case:
        deployment, flood = args.case.split("/")
        case = run_case(deployment, Priority[flood.upper()])
        json.dump(case, sys.stdout)
        return 0
    cases = run_all()
    missed = 0
    for name, case in cases.items():
        flood = Priority[name.rpartition("/")[2].upper()]
        targets = check_targets(case, flood)
        missed += sum(not row["met"] for row in targets)
        print_case(name, case, targets)
        cases[name] = {"runs": case, "targets": targets}
    if args.output:
        args.output.parent.mkdir(parents=True, exist_ok=True)
        args.output.write_text(json.dumps(cases, indent=2))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
