"""Measures the latency and processor time that nodes add to a call.

A backend server, an entry node with an instance of its own, an entry
node without one and the owner node behind it run as processes on
loopback. One client sends the same call directly to the backend server,
through one node and through two nodes in turn, so that all three paths
are measured under the same machine load. The result is JSON on standard
output.
"""

import argparse
import gc
import multiprocessing
import os
import random
import socket
import statistics
import threading
import time
from contextlib import asynccontextmanager
from functools import partial

import attrs
import curio
import orjson

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.budgets import ResourceSettings
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.resources import make_resources
from auburnjunction.http.selectors import RetainingSelector
from auburnjunction.http.servers import ServerOptions, open_server
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Instance, InstanceState, Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.traffic.balancers import NodeLocation
from auburnjunction.traffic.call_forwarders import PeerHandler, make_pools
from auburnjunction.traffic.calls import Answer
from auburnjunction.traffic.entries import make_entry_handler
from auburnjunction.traffic.headers import strip_headers
from auburnjunction.traffic.routing_settings import RoutingSettings

HOST = "127.0.0.1"
SERVICE = "delivery-calendar"
BODY = b"x" * 512
REQUEST = (
    b"POST /calendar/7 HTTP/1.1\r\nhost: calendar\r\n"
    b"accept: application/json\r\nuser-agent: bench\r\n"
    b"content-type: application/json\r\ncontent-length: 512\r\n\r\n" + BODY
)
PATHS = ("direct", "one_node", "two_nodes")
WARM_UP_CALLS = 300


@attrs.frozen
class FixedSource:
    """A snapshot and instances that do not change."""

    current: RevisedSnapshot
    instances: list[Instance]
    is_current: bool = True

    def find_instances(self, _service: str) -> list[Instance]:
        """Return all instances."""
        return self.instances


class BackendRunner:
    """Sends calls directly to one backend server."""

    def __init__(self, port: int, clock: SystemClock, resources):
        self._clock = clock
        pools = PoolRegistry(clock, resources=resources)
        self._pool = pools.get(Address(HOST, port))

    async def run_call(self, call, _instance: str) -> Answer:
        """Return the backend server's response."""
        req = call.request
        headers = strip_headers(req.headers)
        forwarded = HttpRequest(req.method, req.target, headers, req.body)
        timeout_s = call.deadline_s - self._clock.monotonic()
        response = await self._pool.exchange(forwarded, timeout_s)
        return Answer(response, 0.1)


async def echo(request: HttpRequest) -> HttpResponse:
    """Respond as a backend server, with the body of the request."""
    headers = [
        (b"content-type", b"application/json"),
        (b"date", b"Fri, 04 Dec 2026 07:00:00 GMT"),
        (b"server", b"backend"),
    ]
    return HttpResponse(200, headers, request.body)


def make_entry(
    node: str, instance_node: str, peer_port: int, runner, clock, resources
):
    """Return the handler of an entry node."""
    settings = RoutingSettings(access_log_share=0)
    route = Route("calendar", "/calendar", SERVICE, repeatable=True)
    snapshot = Snapshot((Service(SERVICE),), (route,))
    instance = Instance(
        instance="calendar-1",
        service=SERVICE,
        state=InstanceState.READY,
        slots=6,
        load_percent=0,
        node=instance_node,
        data_centre="dc-1",
        host=HOST,
        peer_port=peer_port,
    )
    source = FixedSource(
        RevisedSnapshot(RevisionMark(1, b""), snapshot), [instance]
    )
    return make_entry_handler(
        NodeLocation(node, "dc-1"),
        settings,
        clock,
        source,
        source,
        source,
        runner,
        make_pools(settings, clock, resources=resources),
        MetricRegistry(),
        random.Random(1),
    )


def make_handler(role: str, port: int, clock: SystemClock, resources):
    """Return the request handler of a process."""
    if role == "backend":
        return echo
    runner = BackendRunner(port, clock, resources)
    if role == "owner":
        return PeerHandler(runner, clock).handle
    instance_node = role if role == "one_node" else "owner"
    entry = make_entry(role, instance_node, port, runner, clock, resources)
    return entry.handle


def run_server(role: str, port: int, memory_mb: float, pipe) -> None:
    """Serve until the parent sends a message or closes the pipe."""
    gc.collect()
    gc.freeze()

    async def main():
        clock = SystemClock()
        limit_mb = 0 if role == "backend" else memory_mb
        cfg = ResourceSettings(memory_mb=limit_mb)
        resources = make_resources(cfg, clock)
        options = None
        if resources is not None:
            options = ServerOptions(resources, resources.callers)
        handler = make_handler(role, port, clock, resources)
        async with open_server(
            HOST, 0, handler, clock, options=options
        ) as server:
            pipe.send(server.port)
            await curio.run_in_thread(_wait_for_stop, pipe)

    curio.run(main, selector=RetainingSelector())


def _wait_for_stop(pipe) -> None:
    try:
        pipe.recv()
    except EOFError:
        return


@attrs.frozen
class Server:
    """A server process on the path of a call."""

    process: multiprocessing.Process
    port: int

    def read_processor_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


def start_server(
    role: str, port: int, memory_mb: float, context, pipes: list
) -> Server:
    """Start a process and wait until it listens."""
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=run_server, args=(role, port, memory_mb, child_end)
    )
    process.start()
    pipes.append(parent_end)
    return Server(process, parent_end.recv())


@asynccontextmanager
async def open_servers(memory_mb: float):
    """Yield the servers by role."""
    context = multiprocessing.get_context("spawn")
    pipes: list = []
    servers: dict[str, Server] = {}
    try:
        for role, upstream in (
            ("backend", None),
            ("owner", "backend"),
            ("one_node", "backend"),
            ("two_nodes", "owner"),
        ):
            port = servers[upstream].port if upstream else 0
            servers[role] = start_server(role, port, memory_mb, context, pipes)
        yield servers
    finally:
        for pipe in pipes:
            pipe.send(None)
        for server in servers.values():
            server.process.join(5)


def connect(port: int) -> socket.socket:
    """Return a connection with Nagle's algorithm disabled."""
    sock = socket.create_connection((HOST, port), timeout=5)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def exchange(sock: socket.socket) -> None:
    """Send the call and read the whole response."""
    sock.sendall(REQUEST)
    data = b""
    while not data.endswith(BODY):
        received = sock.recv(65536)
        if not received:
            raise RuntimeError(f"the call failed: {data[:200]!r}")
        data += received
    if not data.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(f"the call failed: {data[:200]!r}")


def measure_latencies(ports: dict[str, int], calls: int) -> dict[str, list]:
    """Return the latencies in seconds on each path, for calls in turn."""
    socks = {path: connect(ports[path]) for path in PATHS}
    for sock in socks.values():
        for _ in range(WARM_UP_CALLS):
            exchange(sock)
    times: dict[str, list] = {path: [] for path in PATHS}
    for _ in range(calls):
        for path, sock in socks.items():
            start_s = time.perf_counter()
            exchange(sock)
            times[path].append(time.perf_counter() - start_s)
    for sock in socks.values():
        sock.close()
    return times


def measure_rate(port: int, connections: int, duration_s: float) -> float:
    """Return the calls per second over several connections."""
    counts = [0] * connections
    end_s = time.perf_counter() + duration_s

    def send_calls(index: int) -> None:
        with connect(port) as sock:
            while time.perf_counter() < end_s:
                exchange(sock)
                counts[index] += 1

    threads = [
        threading.Thread(target=send_calls, args=(index,))
        for index in range(connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / duration_s


def summarize(times: dict[str, list]) -> dict:
    """Return each path's latency and its difference from the direct path."""
    direct = _percentiles(times["direct"])
    result = {"direct": direct}
    for path in PATHS[1:]:
        own = _percentiles(times[path])
        added = {f"added_{k}": round(v - direct[k], 4) for k, v in own.items()}
        result[path] = {**own, **added}
    return result


def _percentiles(times: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(times, n=100)
    return {
        "p50_ms": round(cuts[49] * 1000, 4),
        "p99_ms": round(cuts[98] * 1000, 4),
    }


def measure_throughput(
    servers: dict[str, Server], connections: int, duration_s: float
) -> dict:
    """Return calls per second and processor time per call, by path."""
    result = {}
    for path, roles in (
        ("direct", ("backend",)),
        ("one_node", ("one_node",)),
        ("two_nodes", ("two_nodes", "owner")),
    ):
        port = servers[roles[0]].port
        before_s = [servers[role].read_processor_s() for role in roles]
        rate = measure_rate(port, connections, duration_s)
        processor_s = {
            role: servers[role].read_processor_s() - start_s
            for role, start_s in zip(roles, before_s, strict=True)
        }
        calls = rate * duration_s
        result[path] = {
            "calls_per_s": round(rate),
            "processor_ms_per_call": {
                role: round(s * 1000 / calls, 4)
                for role, s in processor_s.items()
            },
        }
    return result


async def run_bench(
    calls: int, connections: int, duration_s: float, memory_mb: float
) -> dict:
    """Run all measurements and return the result."""
    async with open_servers(memory_mb) as servers:
        ports = {"direct": servers["backend"].port}
        ports |= {path: servers[path].port for path in PATHS[1:]}
        latencies = partial(measure_latencies, ports, calls)
        times = await curio.run_in_thread(latencies)
        rates = partial(measure_throughput, servers, connections, duration_s)
        return {
            "bench": "hops",
            "calls": calls,
            "connections": connections,
            "body_bytes": len(BODY),
            "latency": summarize(times),
            "throughput": await curio.run_in_thread(rates),
        }


def main() -> None:
    """Run the bench with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--duration-s", type=float, default=2.0)
    # Memory limit of the nodes; 0 means none.
    parser.add_argument("--memory-mb", type=float, default=0.0)
    options = parser.parse_args()
    result = curio.run(
        run_bench,
        options.calls,
        options.connections,
        options.duration_s,
        options.memory_mb,
    )
    print(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
