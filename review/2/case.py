"""Three instances crash while they run the first requests of a new route."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BOUNDS,
    Result,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
    send_request,
)

MACHINES = 22
# 0.14 of 22 instances.
CRASHED = 3
DOWN_S = 4.5
SLOTS = 9
READ_WORK_S = 0.2
NEW_WORK_S = 1.4
NEW_TIMEOUT_MS = 10_000
# The steady time that is judged, and when it begins after the last crash.
STEADY_S = 20.0
CALM_S = 10.0


class Clients:
    """One client of each route on each machine."""

    def __init__(self, record, nodes):
        self.read: list[Result] = []
        self.new: list[Result] = []
        self._record = record
        self._nodes = nodes

    async def run(self, path, timeout_ms, pause_s, results, end_s) -> None:
        """Send one request at a time on each machine until end_s."""
        await asyncio.gather(
            *(
                self._send(node, path, timeout_ms, pause_s, results, end_s)
                for node in self._nodes
            )
        )

    async def _send(self, node, path, timeout_ms, pause_s, results, end_s):
        step = 0
        while time.monotonic() < end_s:
            step += 1
            result = await send_request(
                self._record,
                node.address("outbound"),
                "shop.example",
                path,
                f"{path.split('/')[1]}-{node.name}-{step}",
                timeout_ms,
            )
            results.append(result)
            await asyncio.sleep(pause_s)


def count_served(results, start_s: float, end_s: float) -> tuple[int, int]:
    """Return how many requests were sent within a time, and were served."""
    sent = [r for r in results if start_s <= r.sent_s < end_s]
    return len(sent), sum(r.status == 200 and r.signed for r in sent)


async def case(record, deployment) -> bool:
    """Return whether a route that was added later is served too rarely."""
    read = make_route("read", "catalogue")
    new = make_route(
        "new",
        "catalogue",
        timeout_ms=NEW_TIMEOUT_MS,
        target_latency_ms=8000,
        priority=2,
    )
    await deployment.open_store(make_configuration(2, ["catalogue"], [read]))
    for _ in range(MACHINES):
        _, instance = await deployment.add_machine(
            "catalogue", SLOTS, READ_WORK_S
        )
        instance.work_by_prefix["/new/"] = NEW_WORK_S
    await deployment.wait_until_ready(40)
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    clients = Clients(record, deployment.nodes)
    end_s = time.monotonic() + 16 + CALM_S + STEADY_S
    reads = asyncio.ensure_future(
        clients.run("/read/a", 1000, 0.5, clients.read, end_s)
    )
    await asyncio.sleep(5)
    await deployment.store.put(
        "op", "config", make_configuration(3, ["catalogue"], [read, new])
    )
    record.add("config r3 is acknowledged: the route /new/ is added")
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 1)
    news = asyncio.ensure_future(
        clients.run("/new/a", NEW_TIMEOUT_MS, 0.5, clients.new, end_s)
    )
    await asyncio.sleep(NEW_WORK_S / 2)
    if has_trouble():
        crashed = deployment.instances[:CRASHED]
        for instance in crashed:
            await deployment.crash_instance(instance)
        await asyncio.sleep(DOWN_S)
        for instance in crashed:
            deployment.start_instance(instance)
    await asyncio.sleep(CALM_S)
    start_s = record.now_s()
    await asyncio.gather(reads, news)
    return judge(record, clients, start_s)


def judge(record, clients, start_s: float) -> bool:
    """Compare both routes in the steady time."""
    window = start_s, start_s + STEADY_S
    read_sent, read_served = count_served(clients.read, *window)
    new_sent, new_served = count_served(clients.new, *window)
    record.add(
        f"steady time: {read_served} of {read_sent} served on the first "
        f"route, {new_served} of {new_sent} on the route that was added"
    )
    if new_sent < 20 or not read_served:
        return False
    return new_served / new_sent < 0.25 * read_served / read_sent


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
