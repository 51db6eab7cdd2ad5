"""The machines of a zone are stopped in turn while clients call."""

import asyncio
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

# Requests of katalog-noc: 480 ms of work, and five times that in the tail.
WORK_S = 0.48
TAIL_S = 2.4
TIMEOUT_MS = 3000
# Requests of the clients of each machine, and which of them are in the tail.
INTERVAL_S = 0.05
TAIL_EVERY = 10
GAP_S = 1.0
# Zone of each machine; those of the first one are stopped in turn.
ZONES = "aaaabc"
BEFORE_S = 5.0
AFTER_S = 8.0
# A request sent later than this after the SIGTERM must not be cut off.
LAST_SENT_S = 3.0


@dataclass
class Sent:
    """A request of a client and how it ended."""

    machine: Machine
    request_id: str
    sent_s: float
    status: int = 0
    ended_s: float = 0.0


class Catalogue(Instance):
    """Works on each request for a time that its path tells."""

    async def serve_request(self, request: Message, writer) -> None:
        """Run the request and answer it."""
        self.start_run(request)
        is_tail = request.path.endswith("/tail")
        await asyncio.sleep(TAIL_S if is_tail else WORK_S)
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
            for machine in self._machines:
                is_ready = await machine.is_ready()
                was_in = self.is_in(machine)
                misses = 0 if is_ready else self._misses[machine.name] + 1
                self._misses[machine.name] = misses
                if was_in != self.is_in(machine):
                    state = "in" if self.is_in(machine) else "out"
                    self._record.add(f"{machine.name} is {state}")
            await asyncio.sleep(1)


async def send_request(sent: Sent, path: str, record: Record) -> None:
    """Send one request on a new connection and record its end."""
    try:
        async with Client(sent.machine) as client:
            response = await client.call(
                "GET", path, sent.request_id, TIMEOUT_MS
            )
            sent.status = 0 if response is None else response.status
    except OSError as exc:
        record.add(f"{sent.request_id}: {exc!r}")
    sent.ended_s = time.monotonic()
    record.add(f"client gets {sent.status} for {sent.request_id}")


async def run_clients(
    machine: Machine, platform: Platform, record: Record, all_sent: list[Sent]
) -> None:
    """Send requests at a steady rate until cancelled."""
    tasks: set[asyncio.Task] = set()
    for number in range(10_000):
        await asyncio.sleep(INTERVAL_S)
        if not platform.has_new_work(machine):
            continue
        path = "/noc/tail" if number % TAIL_EVERY == 0 else "/noc/plain"
        name = f"{machine.name}-{number}"
        sent = Sent(machine, name, time.monotonic())
        all_sent.append(sent)
        record.add(f"client sends {name} {path}")
        task = asyncio.create_task(send_request(sent, path, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def stop(machine: Machine, record: Record) -> float:
    """Send SIGTERM, and SIGKILL after the grace time; return its time."""
    stopped_s = time.monotonic()
    record.add(f"SIGTERM to {machine.name}")
    machine.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(machine.process.wait(), BOUNDS["grace_s"])
    except TimeoutError:
        await machine.kill()
    age_s = time.monotonic() - stopped_s
    record.add(f"{machine.name} has ended after {age_s:.2f} s")
    await asyncio.sleep(0.2)
    await machine.start()
    return stopped_s


def find_lost(
    all_sent: list[Sent],
    stopped: dict[str, float],
    runs: dict[str, int],
    record: Record,
) -> list[str]:
    """Return the requests that were passed on and got no answer.

    Those that the rule excuses are left out.
    """
    lost = []
    for sent in all_sent:
        stopped_s = stopped.get(sent.machine.name)
        if sent.status or not sent.ended_s or stopped_s is None:
            continue
        age_s = sent.sent_s - stopped_s
        end_s = sent.ended_s - stopped_s
        reached = sent.request_id in runs
        at_deadline = sent.ended_s - sent.sent_s >= TIMEOUT_MS / 1000
        grace_s = BOUNDS["grace_s"]
        is_excused = age_s <= LAST_SENT_S and end_s >= grace_s * 5 / 6
        if not reached or at_deadline or is_excused:
            continue
        if 0 <= end_s <= grace_s + 1:
            record.add(
                f"LOST: {sent.request_id}, sent {age_s:.2f} s after the "
                f"SIGTERM, passed on, cut off at {end_s:.2f} s"
            )
            lost.append(sent.request_id)
    return lost


async def play(record: Record) -> bool:
    """Play the case; return whether requests have been lost."""
    async with open_mesh(record, ["katalog"] * len(ZONES)) as mesh:
        for machine, zone in zip(mesh.machines, ZONES, strict=True):
            machine.zone = zone
        route = make_route(
            "noc",
            "katalog",
            "safe",
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=2000,
        )
        mesh.store.put_config(2, route, make_service("katalog"), LIMITS)
        instances = [Catalogue(machine, record) for machine in mesh.machines]
        for machine in mesh.machines:
            await machine.start()
        platform = Platform(mesh.machines, record)
        all_sent: list[Sent] = []
        async with open_instances(instances):
            await mesh.wait_until_ready()
            await asyncio.sleep(3.5)
            tasks = [asyncio.create_task(platform.run())]
            tasks += [
                asyncio.create_task(run_clients(m, platform, record, all_sent))
                for m in mesh.machines
            ]
            await asyncio.sleep(BEFORE_S)
            stopped = {}
            if TROUBLE:
                stopping = []
                for machine in mesh.machines:
                    if machine.zone == ZONES[0]:
                        task = asyncio.create_task(stop(machine, record))
                        stopping.append(task)
                        await asyncio.sleep(GAP_S)
                times = await asyncio.gather(*stopping)
                names = [m.name for m in mesh.machines]
                stopped = dict(zip(names, times, strict=False))
            else:
                await asyncio.sleep(AFTER_S)
                stopped = {m.name: time.monotonic() for m in mesh.machines}
            for task in tasks:
                task.cancel()
            await asyncio.sleep(TIMEOUT_MS / 1000 + 0.5)
    runs = {k: v for instance in instances for k, v in instance.runs.items()}
    lost = find_lost(all_sent, stopped, runs, record)
    record.add(f"LOST: {len(lost)} of {len(all_sent)} requests")
    return bool(lost)


if __name__ == "__main__":
    run_case(__file__, play)
