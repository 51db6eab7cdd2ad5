"""Measures the cost of membership per node and prints it as JSON.

Memberships run as tasks in a few processes on loopback. For each size
there is one idle period and one with changes. Bytes are those written
to sockets, including message heads but not TCP and IP headers.
Processor time is that of the processes, divided by the number of nodes.
"""

import argparse
import json
import multiprocessing
import os
import random
import resource
import sys
import time
import tracemalloc
from contextlib import AsyncExitStack

import attrs
import curio
from curio.io import Socket

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.memberships import open_membership
from auburnjunction.membership.records import (
    Node,
    NodeState,
    decode_record,
    encode_record,
)
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.views import View
from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.schema.control_pb2 import NodeRecord

SIZES = (6, 24, 60)
DATA_CENTRES = 3
PROCESSES = 3
FIRST_PORT = 21000
JOIN_LIMIT_S = 15.0
PERIOD_S = 4.0
CHANGE_INTERVAL_S = 0.1
SETTLE_S = 1.5
FLEET_NODES = 3000
FLEET_DATA_CENTRES = 23
FLEET_SERVICES = 290


@attrs.frozen
class Reading:
    """Counters of one process at one point in time."""

    time_s: float
    cpu_s: float
    socket_bytes: int
    body_bytes: int
    cross_body_bytes: int
    exchanges: int
    repairs: int
    full_syncs: int


class ByteCounter:
    """Counts the bytes that this process writes to sockets."""

    def __init__(self):
        self.total = 0
        self._sendall = Socket.sendall
        counter = self

        async def sendall(sock, data, flags=0):
            counter.total += len(data)
            return await counter._sendall(sock, data, flags)

        Socket.sendall = sendall


class NodeGroup:
    """The memberships that run in one process."""

    def __init__(self, size: int, process_index: int):
        self.size = size
        self.indexes = range(process_index, size, PROCESSES)
        self.counter = ByteCounter()
        self.memberships = {}

    def address(self, index: int) -> Address:
        """Return the address of a node."""
        return Address(f"127.0.{self.size}.1", FIRST_PORT + index)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the memberships of this process."""
        seeds = tuple(str(self.address(i)) for i in range(3))
        cfg = MembershipSettings(seeds=seeds)
        for index in self.indexes:
            await self._open_one(stack, cfg, index)

    async def _open_one(self, stack, cfg, index: int) -> None:
        clock, address = SystemClock(), self.address(index)
        membership = await stack.enter_async_context(
            open_membership(
                cfg,
                f"node-{index:04}",
                f"dc-{index % DATA_CENTRES}",
                address,
                clock,
                PoolRegistry(clock),
                None,
                random.Random(index),
            )
        )
        handlers = {
            "/gossip": membership.handle_gossip,
            "/probe": membership.handle_probe,
        }

        async def handle(request):
            handler = handlers.get(request.path)
            return await handler(request) if handler else HttpResponse(404)

        server = open_server(address.host, address.port, handle, clock)
        await stack.enter_async_context(server)
        self.memberships[index] = membership
        self.announce(index, f"backend-{index:04}")

    def announce(self, index: int, instance: str, slots: int = 6) -> None:
        """Announce a backend server of a node."""
        announcement = Announcement(
            instance=instance,
            service=f"service-{index % 10}",
            address="127.0.0.1:9000",
            slots=slots,
            lease_s=300.0,
        )
        self.memberships[index].announce(announcement)

    async def wait_joined(self) -> float:
        """Wait until every membership lists all nodes; return the seconds."""
        start_s = time.monotonic()
        async with curio.timeout_after(JOIN_LIMIT_S):
            while not self._is_joined():
                await curio.sleep(0.05)
        return time.monotonic() - start_s

    def _is_joined(self) -> bool:
        return all(
            len(m.list_nodes()) == self.size
            and len(m.list_instances()) == self.size
            for m in self.memberships.values()
        )

    def read(self) -> Reading:
        """Return the current counters."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        stats = [m.stats for m in self.memberships.values()]
        return Reading(
            time_s=time.monotonic(),
            cpu_s=usage.ru_utime + usage.ru_stime,
            socket_bytes=self.counter.total,
            body_bytes=sum(s.bytes_sent for s in stats),
            cross_body_bytes=sum(s.cross_bytes_sent for s in stats),
            exchanges=sum(s.exchanges + s.cross_exchanges for s in stats),
            repairs=sum(s.repairs for s in stats),
            full_syncs=sum(s.full_syncs for s in stats),
        )

    async def make_changes(self, period_s: float) -> int:
        """Change local backend servers in turn; return the change count."""
        count = 0
        end_s = time.monotonic() + period_s
        interval_s = CHANGE_INTERVAL_S * PROCESSES
        while time.monotonic() < end_s:
            index = self.indexes[count % len(self.indexes)]
            slots = 6 + (count // len(self.indexes)) % 2 + 1
            self.announce(index, f"backend-{index:04}", slots)
            count += 1
            await curio.sleep(interval_s)
        return count


async def run_group(size: int, process_index: int, barrier) -> dict:
    """Run the nodes of one process and return its readings."""
    group = NodeGroup(size, process_index)
    async with AsyncExitStack() as stack:
        await group.open(stack)
        joined_s = await group.wait_joined()
        await curio.run_in_thread(barrier.wait)
        await curio.sleep(SETTLE_S)
        idle = [group.read()]
        await curio.sleep(PERIOD_S)
        idle.append(group.read())
        changes = await group.make_changes(PERIOD_S)
        await curio.sleep(SETTLE_S)
        busy = [idle[1], group.read()]
        await curio.run_in_thread(barrier.wait)
    return {
        "nodes": len(group.indexes),
        "joined_s": joined_s,
        "idle": subtract(*idle),
        "busy": subtract(*busy),
        "changes": changes,
        "max_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        / 1024,
    }


def subtract(first: Reading, last: Reading) -> dict:
    """Return the increase of each counter."""
    before, after = attrs.asdict(first), attrs.asdict(last)
    return {name: after[name] - before[name] for name in after}


def run_process(size: int, process_index: int, barrier, results) -> None:
    """Run one process of the bench."""
    sys.stderr = open(os.devnull, "w")  # noqa: SIM115
    results.put(curio.run(run_group, size, process_index, barrier))


def measure(size: int) -> dict:
    """Measure a fleet of one size."""
    context = multiprocessing.get_context("spawn")
    barrier, results = context.Barrier(PROCESSES), context.Queue()
    processes = [
        context.Process(target=run_process, args=(size, p, barrier, results))
        for p in range(PROCESSES)
    ]
    for process in processes:
        process.start()
    try:
        groups = [results.get(timeout=60) for _ in processes]
    finally:
        for process in processes:
            process.join(timeout=5)
            process.kill()
    return summarize(size, groups)


def summarize(size: int, groups: list[dict]) -> dict:
    """Return figures per node and per change."""
    idle = {k: sum(g["idle"][k] for g in groups) for k in groups[0]["idle"]}
    busy = {k: sum(g["busy"][k] for g in groups) for k in groups[0]["busy"]}
    changes = sum(g["changes"] for g in groups)
    idle_s = idle["time_s"] / len(groups)
    busy_s = busy["time_s"] / len(groups)

    def per_change(name: str) -> float:
        extra = busy[name] - idle[name] * busy_s / idle_s
        return extra / changes / size

    return {
        "nodes": size,
        "joined_s": round(max(g["joined_s"] for g in groups), 2),
        "idle_bytes_per_s_per_node": round(
            idle["socket_bytes"] / idle_s / size
        ),
        "idle_cross_body_bytes_per_s_per_node": round(
            idle["cross_body_bytes"] / idle_s / size
        ),
        "idle_core_percent_per_node": round(
            100 * idle["cpu_s"] / idle_s / size, 3
        ),
        "idle_repairs": idle["repairs"],
        "changes": changes,
        "bytes_per_change_per_node": round(per_change("socket_bytes")),
        "cross_body_bytes_per_change": round(
            per_change("cross_body_bytes") * size
        ),
        "cpu_us_per_change_per_node": round(1e6 * per_change("cpu_s")),
        "busy_repairs": busy["repairs"],
        "max_rss_mb_per_process": round(max(g["max_rss_mb"] for g in groups)),
    }


def make_fleet(size: int) -> list[Node]:
    """Return records of a fleet, each node with one backend server."""
    fleet = []
    for index in range(size):
        node, address = f"node-{index:04}", Address("10.0.0.1", 9001)
        instance = Instance(
            instance=f"backend-{index:04}",
            service=f"service-{index % FLEET_SERVICES}",
            state=InstanceState.READY,
            slots=6,
            load_percent=0,
            node=node,
            data_centre=f"dc-{index % FLEET_DATA_CENTRES}",
            host=address.host,
            peer_port=address.port,
        )
        record = Node(
            node=node,
            data_centre=instance.data_centre,
            address=address,
            state=NodeState.ALIVE,
            incarnation=1_800_000_000_000,
            version=1,
            instances=(instance,),
        )
        # Encoded and decoded again, like records received from a peer.
        message = encode_record(record).SerializeToString()
        fleet.append(decode_record(NodeRecord.FromString(message)))
    return fleet


def measure_view(size: int) -> dict:
    """Measure the view of a large fleet on one node."""
    tracemalloc.start()
    view = View()
    for record in make_fleet(size):
        view.merge(record)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    changed = [attrs.evolve(r, version=2) for r in view.list_nodes()]
    start_s = time.perf_counter()
    for record in changed:
        view.merge(record)
        view.find_ready(record.instances[0].service)
    merge_s = time.perf_counter() - start_s
    start_s = time.perf_counter()
    encoded = sum(len(encode_record(r).SerializeToString()) for r in changed)
    encode_s = time.perf_counter() - start_s
    return {
        "records": size,
        "memory_mb": round(memory / 1e6, 2),
        "merge_and_find_us": round(1e6 * merge_s / size, 1),
        "whole_view_bytes": encoded,
        "encode_whole_view_ms": round(1e3 * encode_s, 1),
    }


def main() -> int:
    """Print the figures of each size as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    args = parser.parse_args()
    settings = {
        "data_centres": DATA_CENTRES,
        "processes": PROCESSES,
        "period_s": PERIOD_S,
        "load_average_before": os.getloadavg()[0],
    }
    figures = [measure(size) for size in args.sizes]
    output = {
        "settings": settings,
        "sizes": figures,
        "view": measure_view(FLEET_NODES),
    }
    print(json.dumps(output, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
