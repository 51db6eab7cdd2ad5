"""Calls of a node that shuts down while they wait or run at other nodes."""

from contextlib import asynccontextmanager
from random import Random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.node.components import PlatformAdapters
from auburnjunction.node.nodes import open_node
from auburnjunction.node.tests.support import (
    HOST,
    announce_slots,
    choose_ports,
    commit,
    configure_fleet_node,
    send,
)
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable
from auburnjunction.traffic.lifetimes import ANSWER_MARGIN_S
from auburnjunction.traffic.limits import MIN_DEVIATION_SAMPLES

FIRST_PORT = 18_800
CLOCK = SystemClock()
SNAPSHOT = Snapshot(
    (Service("box", attempt_timeout_ms=20_000),),
    (
        Route("boxes", "/boxes", "box", repeatable=True, timeout_ms=20_000),
        Route("labels", "/labels", "box", repeatable=True, timeout_ms=300),
    ),
)
WORK_S = 0.4
NOTICE_S = 0.4
DRAIN_LIMIT_S = 1.2
# Work that can end before the entry node does, with one slot.
SERVED = int((NOTICE_S + DRAIN_LIMIT_S) / WORK_S)
CALLS = 3 * SERVED
# Work of a call that outlasts the node, and of the usual ones of its route.
LONG_WORK_S = NOTICE_S + DRAIN_LIMIT_S
USUAL_WORK_S = 0.02


@attrs.define
class SlowBackend:
    """Backend server with one slot that lists the requests it has begun."""

    begun: list = attrs.field(factory=list)

    async def handle(self, request):
        self.begun.append(request.target)
        await curio.sleep(WORK_S)
        return HttpResponse(200, [], request.target)


@attrs.define
class UnevenBackend:
    """Backend server that works by the name of a request.

    One named hold ends when the backend server is told to.
    """

    begun: list = attrs.field(factory=list)
    released: curio.Event = attrs.field(factory=curio.Event)

    async def handle(self, request):
        self.begun.append(request.target)
        if request.target.endswith(b"/hold"):
            await self.released.wait()
        elif request.target.endswith(b"/long"):
            await curio.sleep(LONG_WORK_S)
        else:
            await curio.sleep(USUAL_WORK_S)
        return HttpResponse(200, [], request.target)


@attrs.define
class Result:
    """What a caller got; status is 0 if the connection was closed."""

    target: bytes
    status: int
    duration_s: float
    retry_after_s: float = 0.0


@attrs.define
class Mesh:
    """An entry node and the owner node of a backend server."""

    entry: "StoppableNode"
    owner: "StoppableNode"
    entry_port: int
    owner_port: int
    backend: "SlowBackend | UnevenBackend"

    async def call(self, name, port=None):
        """Return the result of a call at the entry node."""
        return await self.send(f"/boxes/{name}", port)

    async def send(self, target, port=None):
        """Return the result of a request at the entry node."""
        start_s = CLOCK.monotonic()
        try:
            response = await send(port or self.entry_port, "GET", target)
        except HttpError:
            duration_s = CLOCK.monotonic() - start_s
            return Result(target.encode(), 0, duration_s)
        return Result(
            target.encode(),
            response.status,
            CLOCK.monotonic() - start_s,
            float(response.header(b"retry-after") or 0),
        )

    async def warm_up(self, *ports):
        async with curio.timeout_after(20):
            for port in ports:
                while (await self.call("warm-up", port)).status != 200:
                    await curio.sleep(0.05)

    async def start_calls(self, names):
        """Start calls and wait until each of them is at the owner node."""
        tasks = [await curio.spawn(self.call, name) for name in names]
        async with curio.timeout_after(5):
            while self.entry.count_calls() < len(tasks):
                await curio.sleep(0.005)
        await curio.sleep(0.05)
        return tasks


@attrs.define
class StoppableNode:
    """A node whose listeners close once it has drained."""

    name: str
    ports: dict
    platform: PlatformAdapters
    settings: dict = attrs.field(factory=dict)
    node: object = None
    opened: curio.Event = attrs.field(factory=curio.Event)
    stop: curio.Event = attrs.field(factory=curio.Event)

    async def run(self):
        cfg = configure_fleet_node(
            self.ports,
            FIRST_PORT + 1,
            node=self.name,
            leaving_notice_s=NOTICE_S,
            drain_limit_s=DRAIN_LIMIT_S,
            **self.settings,
        )
        async with open_node(cfg, CLOCK, self.platform, Random(1)) as node:
            self.node = node
            await self.opened.set()
            await self.stop.wait()
            return await node.drain()

    async def announce(self, instance, server, slots):
        await announce_slots(
            self.ports["admin_port"], instance, server.port, slots
        )

    def count_instances(self):
        return len(self.node._components.membership.find_instances("box"))

    def count_calls(self):
        return len(self.node._components.entry.in_flight)


@asynccontextmanager
async def open_stoppable_node(name, ports, platform, **settings):
    node = StoppableNode(name, ports, platform, settings)
    task = await curio.spawn(node.run)
    await node.opened.wait()
    try:
        yield node
    finally:
        await node.stop.set()
        await task.join()


@asynccontextmanager
async def open_nodes(backend, **settings):
    """Yield a mesh of two nodes and a server of a backend for both."""
    platform = PlatformAdapters(MemoryTable(), MemoryObjectStore())
    await commit(platform, SNAPSHOT)
    entry_ports = choose_ports(FIRST_PORT)
    owner_ports = choose_ports(FIRST_PORT + 10)
    async with (
        open_server(HOST, 0, backend.handle, CLOCK) as server,
        open_stoppable_node(
            "entry", entry_ports, platform, **settings
        ) as entry,
        open_stoppable_node(
            "owner", owner_ports, platform, **settings
        ) as owner,
    ):
        yield (
            Mesh(
                entry,
                owner,
                entry_ports["caller_port"],
                owner_ports["caller_port"],
                backend,
            ),
            server,
        )


@asynccontextmanager
async def open_mesh():
    """Yield a mesh with a backend server with one slot at the owner node."""
    async with open_nodes(SlowBackend()) as (mesh, server):
        await mesh.owner.announce("box-1", server, 1)
        await mesh.warm_up(mesh.owner_port, mesh.entry_port)
        yield mesh


@asynccontextmanager
async def open_busy_mesh():
    """Yield a mesh whose entry node has a backend server that is busy.

    The backend server of the other node has answered usual calls only.
    """
    backend = UnevenBackend()
    async with open_nodes(backend) as (mesh, server):
        await mesh.entry.announce("box-2", server, 1)
        await mesh.warm_up(mesh.entry_port)
        tasks = await mesh.start_calls(["hold"])
        await mesh.owner.announce("box-1", server, 8)
        async with curio.timeout_after(5):
            while mesh.entry.count_instances() < 2:
                await curio.sleep(0.005)
        for _ in range(MIN_DEVIATION_SAMPLES):
            assert (await mesh.call("usual")).status == 200
        try:
            yield mesh
        finally:
            await backend.released.set()
            await join_all(tasks)


async def join_all(tasks):
    return [await task.join() for task in tasks]


# Guards against calls that wait in the queue of another node and are cut off,
# without an answer, when the node that took them shuts down.
@pytest.mark.parametrize("sent", ["before the signal", "after the signal"])
def test_calls_that_wait_elsewhere_are_answered_before_the_shutdown(sent):
    async def main():
        async with open_mesh() as mesh:
            names = [f"call-{n}" for n in range(CALLS)]
            if sent == "before the signal":
                tasks = await mesh.start_calls(names)
                await mesh.entry.stop.set()
            else:
                await mesh.entry.stop.set()
                await curio.sleep(0.05)
                tasks = [await curio.spawn(mesh.call, n) for n in names]
            results = await join_all(tasks)
            served = [r for r in results if r.status == 200]
            refused = [r for r in results if r.status == 503]
            assert len(served) + len(refused) == CALLS
            # What can end in time is served.
            assert len(served) >= SERVED - 2
            # The rest is refused at once, as not run, and its callers return
            # when they have moved to another node.
            assert max(r.duration_s for r in refused) < NOTICE_S
            assert all(r.retry_after_s > 0 for r in refused)
            assert {r.target for r in refused}.isdisjoint(mesh.backend.begun)

    curio.run(main)


# Guards against calls that have waited and are sent to their backend server
# shortly before their owner node shuts down, which breaks them off.
def test_calls_that_wait_at_a_node_are_not_started_at_its_shutdown():
    async def main():
        async with open_mesh() as mesh:
            tasks = await mesh.start_calls(f"call-{n}" for n in range(CALLS))
            await mesh.owner.stop.set()
            results = await join_all(tasks)
            # 502 stands for a call that was broken off.
            assert {r.status for r in results} == {200, 503}
            refused = {r.target for r in results if r.status == 503}
            assert refused.isdisjoint(mesh.backend.begun)
            # What can end in time is served.
            assert len(refused) <= CALLS - SERVED + 2

    curio.run(main)


# Guards against calls that a node takes after its leaving notice, as they
# usually end in time, and cuts off without an answer when it ends.
@pytest.mark.parametrize(
    ("target", "sent_s", "status"),
    [
        ("/boxes/usual", NOTICE_S / 2, 200),
        ("/boxes/usual", NOTICE_S + 0.2, 503),
        ("/boxes/long", NOTICE_S + 0.2, 503),
        ("/labels/usual", NOTICE_S + 0.2, 200),
        ("/labels/long", NOTICE_S + 0.2, 504),
    ],
)
def test_call_taken_after_the_notice_is_answered(target, sent_s, status):
    async def main():
        async with open_busy_mesh() as mesh:
            await mesh.entry.stop.set()
            await curio.sleep(sent_s)
            begun = list(mesh.backend.begun)
            result = await mesh.send(target)
            assert result.status == status
            if status == 503:
                assert mesh.backend.begun == begun
                assert result.duration_s < NOTICE_S
                # Its caller does not return to the process that ends.
                end_s = NOTICE_S + DRAIN_LIMIT_S - ANSWER_MARGIN_S
                assert sent_s + result.retry_after_s > end_s

    curio.run(main)


# Guards against calls that wait for a connection to their owner node, which
# does not know them, until their entry node closes their callers' connections.
def test_calls_that_wait_for_a_connection_are_refused_at_the_shutdown():
    routing = {"pool_connections": 1}

    async def main():
        backend = UnevenBackend()
        async with open_nodes(backend, routing=routing) as (mesh, server):
            await mesh.owner.announce("box-1", server, 8)
            await mesh.warm_up(mesh.owner_port, mesh.entry_port)
            names = ["hold", "wait-1", "wait-2"]
            held, *waiting = await mesh.start_calls(names)
            await mesh.entry.stop.set()
            results = await join_all(waiting)
            assert [r.status for r in results] == [503, 503]
            assert all(r.retry_after_s > 0 for r in results)
            assert not any(b"wait" in target for target in backend.begun)
            await backend.released.set()
            assert (await held.join()).status == 200

    curio.run(main)
