"""The machines of a zone are stopped together while clients call."""

import asyncio
import math
import random
import signal
import time
from dataclasses import dataclass

from mesh import (
    BOUNDS,
    LIMITS,
    TROUBLE,
    Client,
    Instance,
    Machine,
    Message,
    Record,
    make_answer,
    make_route,
    make_service,
    open_instances,
    open_mesh,
    run_case,
)

# Requests of billing-pull on the site mes-trnava-grown: their work, the
# timeout and the latency objective of the route, and the deadline.
WORK_MEAN_MS = 340
WORK_SPREAD = 0.8
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
WORK_MAX_MS = 3600
TIMEOUT_MS = 2500
TARGET_MS = 1200
DEADLINE_MS = 5000
SITE_BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 6,
    "drain_ms": 3000,
    "config_apply_ms": 3000,
    "retry_slack": 192,
}
# Requests that the clients of one machine send in a second.
RATE_PER_S = 24
# Zone of each machine. Four of twelve are stopped at a time: on the site, a
# roll takes shares of 0.38 and 0.48 of the machines, four at a time.
ZONES = "aaaabbbbcccc"
ROLLS = "abcabca"
ROLL_S = 11.0
BEFORE_S = 5.0
# A request sent later than this after the SIGTERM must not be cut off.
LAST_SENT_S = 3.0
# A connection that ends later than this share of the route's timeout may have
# reached it.
TIMEOUT_SHARE = 0.95


@dataclass
class Sent:
    """A request of a client and how it ended."""

    machine: Machine
    request_id: str
    work_ms: int
    sent_s: float
    status: int = 0
    ended_s: float = 0.0


@dataclass
class Stop:
    """A SIGTERM of a machine; with TROUBLE=0 only its time."""

    machine: Machine
    time_s: float


class Billing(Instance):
    """Works on each request for as many milliseconds as its path says."""

    async def serve_request(self, request: Message, writer) -> None:
        """Run the request and answer it."""
        name = request.request_id
        self.runs[name] = self.runs.get(name, 0) + 1
        work_ms = int(request.path.rpartition("/")[2])
        await asyncio.sleep(work_ms / 1000)
        writer.write(make_answer(request))


class Platform:
    """Asks the nodes once a second if they are ready, as the pages say."""

    def __init__(self, machines: list[Machine], record: Record):
        self._machines = machines
        self._record = record
        self._misses = {machine.name: 0 for machine in machines}

    def is_in(self, machine: Machine) -> bool:
        """Return whether the node has not missed two questions in a row."""
        return self._misses[machine.name] < 2

    def has_new_work(self, machine: Machine) -> bool:
        """Return whether the machine's clients send new requests.

        They do while fewer than half of the nodes of its zone are in.
        """
        zone = [m for m in self._machines if m.zone == machine.zone]
        count = sum(self.is_in(m) for m in zone)
        return self.is_in(machine) or count < len(zone) / 2

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            states = await asyncio.gather(
                *(machine.is_ready() for machine in self._machines)
            )
            for machine, is_ready in zip(self._machines, states, strict=True):
                was_in = self.is_in(machine)
                misses = 0 if is_ready else self._misses[machine.name] + 1
                self._misses[machine.name] = misses
                if was_in != self.is_in(machine):
                    state = "in" if self.is_in(machine) else "out"
                    self._record.add(f"{machine.name} is {state}")
            await asyncio.sleep(1)


def draw_work_ms(rng: random.Random) -> int:
    """Return the work of one request."""
    mu = math.log(WORK_MEAN_MS) - WORK_SPREAD**2 / 2
    work_ms = rng.lognormvariate(mu, WORK_SPREAD)
    if rng.random() < TAIL_SHARE:
        work_ms *= TAIL_FACTOR
    return int(min(work_ms, WORK_MAX_MS))


async def send_request(sent: Sent, record: Record) -> None:
    """Send one request on a new connection and record its end."""
    try:
        async with Client(sent.machine) as client:
            path = f"/billing/{sent.work_ms}"
            response = await client.call(
                "GET", path, sent.request_id, DEADLINE_MS
            )
            sent.status = 0 if response is None else response.status
    except (OSError, asyncio.IncompleteReadError) as exc:
        record.add(f"{sent.request_id}: {exc!r}")
    sent.ended_s = time.monotonic()


async def run_clients(
    machine: Machine, platform: Platform, record: Record, all_sent: list[Sent]
) -> None:
    """Send requests at a steady rate until cancelled."""
    rng = random.Random(machine.name)
    tasks: set[asyncio.Task] = set()
    for number in range(10_000):
        await asyncio.sleep(1 / RATE_PER_S)
        work_ms = draw_work_ms(rng)
        if not platform.has_new_work(machine):
            continue
        name = f"{machine.name}-{number}"
        sent = Sent(machine, name, work_ms, time.monotonic())
        all_sent.append(sent)
        task = asyncio.create_task(send_request(sent, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def stop(machine: Machine, record: Record, stops: list[Stop]) -> None:
    """Send SIGTERM, and SIGKILL after the grace time; start the node."""
    begun = Stop(machine, time.monotonic())
    stops.append(begun)
    if not TROUBLE:
        return
    record.add(f"SIGTERM to {machine.name}")
    machine.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(machine.process.wait(), BOUNDS["grace_s"])
    except TimeoutError:
        await machine.kill()
    age_s = time.monotonic() - begun.time_s
    record.add(f"{machine.name} has ended after {age_s:.2f} s")
    await asyncio.sleep(0.2)
    await machine.start()


def find_lost(
    all_sent: list[Sent],
    stops: list[Stop],
    runs: dict[str, int],
    record: Record,
) -> list[Sent]:
    """Return the requests that were passed on and got no answer.

    Those that the rule excuses are left out.
    """
    lost = []
    grace_s = BOUNDS["grace_s"]
    limit_s = TIMEOUT_SHARE * TIMEOUT_MS / 1000
    for sent in all_sent:
        if sent.status or not sent.ended_s or sent.request_id not in runs:
            continue
        if sent.ended_s - sent.sent_s >= limit_s:
            continue
        for begun in stops:
            age_s = sent.sent_s - begun.time_s
            end_s = sent.ended_s - begun.time_s
            is_excused = age_s <= LAST_SENT_S and end_s >= grace_s * 5 / 6
            if begun.machine is not sent.machine or is_excused:
                continue
            if 0 <= end_s <= grace_s + 1:
                record.add(
                    f"LOST: {sent.request_id}, {sent.work_ms} ms of work, "
                    f"sent {age_s:.2f} s after the SIGTERM, passed on, cut "
                    f"off at {end_s:.2f} s"
                )
                lost.append(sent)
    return lost


def record_requests(
    all_sent: list[Sent], runs: dict[str, int], record: Record
) -> None:
    """Record how each request ended, or that it has not."""
    start_s = all_sent[0].sent_s
    record.add("requests: sent at, name, ms of work, status, seconds, runs")
    for sent in all_sent:
        took_s = sent.ended_s - sent.sent_s if sent.ended_s else -1
        record.add(
            f"{sent.sent_s - start_s:.2f} {sent.request_id} {sent.work_ms} "
            f"{sent.status} {took_s:.2f} {runs.get(sent.request_id, 0)}"
        )


async def play(record: Record) -> bool:
    """Play the case; return whether requests have been lost."""
    services = ["billing"] * len(ZONES)
    bounds = BOUNDS | SITE_BOUNDS
    async with open_mesh(record, services, bounds=bounds) as mesh:
        for machine, zone in zip(mesh.machines, ZONES, strict=True):
            machine.zone = zone
        route = make_route(
            "billing",
            "billing",
            "safe",
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=TARGET_MS,
            priority=2,
        )
        mesh.store.put_config(2, route, make_service("billing"), LIMITS)
        instances = [Billing(machine, record) for machine in mesh.machines]
        for machine in mesh.machines:
            await machine.start()
        platform = Platform(mesh.machines, record)
        all_sent: list[Sent] = []
        stops: list[Stop] = []
        async with open_instances(instances):
            await mesh.wait_until_ready()
            await asyncio.sleep(4.5)
            tasks = [asyncio.create_task(platform.run())]
            tasks += [
                asyncio.create_task(run_clients(m, platform, record, all_sent))
                for m in mesh.machines
            ]
            await asyncio.sleep(BEFORE_S)
            for zone in ROLLS:
                end_s = time.monotonic() + ROLL_S
                zoned = [m for m in mesh.machines if m.zone == zone]
                await asyncio.gather(*(stop(m, record, stops) for m in zoned))
                await mesh.wait_until_ready()
                await asyncio.sleep(max(0.0, end_s - time.monotonic()))
            for task in tasks:
                task.cancel()
            await asyncio.sleep(TIMEOUT_MS / 1000 + 0.5)
    runs = {k: v for instance in instances for k, v in instance.runs.items()}
    record_requests(all_sent, runs, record)
    lost = find_lost(all_sent, stops, runs, record)
    record.add(f"LOST: {len(lost)} of {len(all_sent)} requests")
    return bool(lost)


if __name__ == "__main__":
    run_case(__file__, play)
