"""Requests that crash each backend server that runs them, on several nodes."""

import socket
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.membership import crashes
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

FIRST_PORT = 18_700
PORTS_PER_NODE = 10
CLOCK = SystemClock()
SNAPSHOT = Snapshot(
    (Service("box"),),
    (
        Route("boxes", "/boxes", "box", repeatable=True),
        # Without retries, so that a test knows which backend servers run it.
        Route("once", "/once", "box", repeatable=True, max_attempts=1),
    ),
)
POISON = b"poison"
SLOW = b"slow"
SLOW_S = 0.5
RESTART_S = 0.3
SEND_INTERVAL_S = 0.1
# The users' limits: nodes know of the third crash within this time, and from
# then on backend servers get at most so many repeats of the request.
CONTACT_S = 3.0
MAX_REPEATS = 3
CRASH_LIMIT = 3
# A run that is longer than JOINT_MARGIN_S, and a hold that ends after
# CONTACT_S, so that what follows counts as a repeat.
JOINT_RUN_S = 0.4
SHORT_HOLD_S = 4.0


@attrs.define
class CrashingBackend:
    """Backend server that ends when it is sent the poison, and starts again.

    The times of its crashes are in the list that all of them share.
    """

    name: str
    admin_port: int
    port: int
    crashes: list
    # Time for which it runs the poison before it ends.
    poison_run_s: float = 0.0
    ended: curio.Event = attrs.field(factory=curio.Event)
    # The listening socket.
    sock: socket.socket | None = None

    async def run(self):
        while True:
            self.ended.clear()
            async with open_server(
                HOST, self.port, self.handle, CLOCK
            ) as server:
                self.sock = server._sock._socket
                await self.announce()
                await self.ended.wait()
            await curio.sleep(RESTART_S)

    async def announce(self):
        born_ms = int(CLOCK.now().timestamp() * 1000)
        await announce_slots(
            self.admin_port, self.name, self.port, 8, born_ms=born_ms
        )

    async def end(self):
        """Refuse connections from now on and close those that are open."""
        self.sock.shutdown(socket.SHUT_RDWR)
        await self.ended.set()

    async def handle(self, request):
        if request.body != POISON:
            await curio.sleep(SLOW_S if request.body == SLOW else 0.01)
            return HttpResponse(200, [], b"done")
        if self.poison_run_s:
            await curio.sleep(self.poison_run_s)
        self.crashes.append(CLOCK.monotonic())
        await self.end()
        await curio.sleep(60)
        return HttpResponse(500)


@attrs.define
class Fleet:
    """Running nodes, each with a crashing backend server."""

    caller_ports: list
    crashes: list = attrs.field(factory=list)
    backends: list = attrs.field(factory=list)

    async def run_with_crashes(self, indexes, ended):
        """Run a slow request at nodes; end backend servers meanwhile."""
        async with curio.TaskGroup() as group:
            for index in indexes:
                await group.spawn(self.call, index, SLOW)
            await curio.sleep(SLOW_S / 2)
            for index in ended:
                await self.backends[index].end()

    async def call(self, index, body):
        """Return the response to a call at one of the nodes."""
        port = self.caller_ports[index % len(self.caller_ports)]
        target = "/once/2" if body == SLOW else "/boxes/2"
        return await send(port, "POST", target, body)

    async def call_until(self, condition, body, limit_s=10.0):
        """Call one node after the other until a condition holds."""
        responses = []
        async with curio.timeout_after(limit_s):
            while not condition():
                responses.append(await self.call(len(responses), body))
                await curio.sleep(SEND_INTERVAL_S)
        return responses

    def count_repeats(self):
        """Return the crashes after CONTACT_S from the third one."""
        third_s = sorted(self.crashes)[CRASH_LIMIT - 1]
        return sum(time_s > third_s + CONTACT_S for time_s in self.crashes)


@asynccontextmanager
async def open_fleet(data_centres, poison_run_s=0.0):
    """Yield a fleet of nodes that serve a configuration."""
    platform = PlatformAdapters(MemoryTable(), MemoryObjectStore())
    await commit(platform, SNAPSHOT)
    fleet = Fleet([])
    async with AsyncExitStack() as stack:
        for index, data_centre in enumerate(data_centres):
            ports = choose_ports(FIRST_PORT + PORTS_PER_NODE * index)
            fleet.caller_ports.append(ports["caller_port"])
            await stack.enter_async_context(
                open_fleet_node(index, data_centre, ports, platform)
            )
            backend = CrashingBackend(
                f"box-{index}",
                ports["admin_port"],
                FIRST_PORT + PORTS_PER_NODE * index + 8,
                fleet.crashes,
                poison_run_s,
            )
            fleet.backends.append(backend)
            task = await curio.spawn(backend.run, daemon=True)
            stack.push_async_callback(task.cancel)
        await wait_until_serving(fleet)
        yield fleet


@asynccontextmanager
async def open_fleet_node(index, data_centre, ports, platform):
    cfg = configure_fleet_node(
        ports, FIRST_PORT + 1, node=f"n{index}", data_centre=data_centre
    )
    async with open_node(cfg, CLOCK, platform, Random(index)) as node:
        yield node


async def wait_until_serving(fleet):
    """Wait until each node serves calls."""
    async with curio.timeout_after(20):
        for index in range(len(fleet.caller_ports)):
            while True:
                try:
                    if (await fleet.call(index, b"warm-up")).status == 200:
                        break
                except HttpError:
                    pass
                await curio.sleep(0.05)


# Guards against a request that ends one backend server after the other,
# because each node sends it on as if it were new.
@pytest.mark.parametrize(
    "data_centres", [("one", "one", "one"), ("one", "two", "one", "two")]
)
def test_request_that_crashes_three_servers_is_sent_to_no_more(data_centres):
    async def main():
        async with open_fleet(data_centres) as fleet:
            await fleet.call_until(
                lambda: len(fleet.crashes) >= CRASH_LIMIT, POISON
            )
            end_s = CLOCK.monotonic() + CONTACT_S + 2.0
            responses = await fleet.call_until(
                lambda: CLOCK.monotonic() > end_s, POISON
            )
            assert fleet.count_repeats() <= MAX_REPEATS
            assert {r.status for r in responses[-5:]} == {503}
            assert all(r.header(b"retry-after") for r in responses[-5:])
            # Another request with the same path is served.
            for index in range(len(data_centres)):
                assert (await fleet.call(index, b"other")).status == 200

    curio.run(main)


# Guards against a harmless request, and with it a new route, that is refused
# by all nodes because backend servers ended for another reason while they ran
# it, though others have answered it.
@pytest.mark.parametrize("crash", ["crash at once", "crash in turn"])
def test_request_that_other_servers_answer_is_not_quarantined(crash):
    async def main():
        async with open_fleet(("one", "one", "two", "two", "two")) as fleet:
            if crash == "crash at once":
                await fleet.run_with_crashes(range(5), range(CRASH_LIMIT))
            else:
                # Those that go on have answered before.
                await fleet.run_with_crashes([3, 4], [])
                for index in range(CRASH_LIMIT):
                    await fleet.run_with_crashes([index], [index])
            # The others answer, and the backend servers are back.
            await curio.sleep(max(SLOW_S, RESTART_S) + CONTACT_S)
            for index in range(len(fleet.caller_ports)):
                assert (await fleet.call(index, SLOW)).status == 200

    curio.run(main)


# Guards against evidence for a harmless request that clears another one, which
# does crash whatever runs it.
def test_answers_to_others_do_not_release_a_crashing_request():
    async def main():
        async with open_fleet(("one", "one", "two", "two")) as fleet:
            await fleet.call_until(
                lambda: len(fleet.crashes) >= CRASH_LIMIT, POISON
            )
            end_s = CLOCK.monotonic() + CONTACT_S + 2.0
            while CLOCK.monotonic() < end_s:
                for index in range(len(fleet.caller_ports)):
                    await fleet.call(index, b"other")
                    await fleet.call(index, POISON)
            assert fleet.count_repeats() <= MAX_REPEATS
            assert (await fleet.call(0, POISON)).status == 503
            assert (await fleet.call(0, b"other")).status == 200

    curio.run(main)


# Guards against a crashing request that several callers send at one moment:
# its crashes look like those of one cause from outside, and it was sent by
# every node again once the short hold for these had ended.
def test_crashing_request_of_several_callers_is_tried_once_more(monkeypatch):
    monkeypatch.setattr(crashes, "JOINT_HOLD_S", SHORT_HOLD_S)

    async def call_repeatedly(fleet, index, end_s):
        while CLOCK.monotonic() < end_s:
            await fleet.call(index, POISON)
            await curio.sleep(SEND_INTERVAL_S)

    async def main():
        async with open_fleet(["one", "two"] * 4, JOINT_RUN_S) as fleet:
            end_s = CLOCK.monotonic() + SHORT_HOLD_S + 4.0
            async with curio.TaskGroup() as group:
                for index in range(8):
                    await group.spawn(call_repeatedly, fleet, index, end_s)
            assert fleet.count_repeats() <= MAX_REPEATS
            assert (await fleet.call(0, b"harmless")).status == 200

    curio.run(main)
