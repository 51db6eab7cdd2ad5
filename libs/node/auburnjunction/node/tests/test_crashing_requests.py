"""Requests that crash each backend server that runs them, on several nodes."""

from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import attrs
import curio
import orjson
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.distribution.commits import CommitLog
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.node.components import PlatformAdapters
from auburnjunction.node.nodes import open_node
from auburnjunction.node.settings import configure_node_settings
from auburnjunction.node.tests.support import (
    HOST,
    SETTINGS,
    SNAPSHOT,
    choose_ports,
    send,
)
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable

FIRST_PORT = 18_700
PORTS_PER_NODE = 10
CLOCK = SystemClock()
POISON = b"poison"
RESTART_S = 0.3
SEND_INTERVAL_S = 0.1
# The users' limits: nodes know of the third crash within this time, and from
# then on backend servers get at most so many repeats of the request.
CONTACT_S = 3.0
MAX_REPEATS = 3
CRASH_LIMIT = 3


@attrs.define
class CrashingBackend:
    """Backend server that ends when it is sent the poison, and starts again.

    The times of its crashes are in the list that all of them share.
    """

    name: str
    admin_port: int
    port: int
    crashes: list
    ended: curio.Event = attrs.field(factory=curio.Event)

    async def run(self):
        while True:
            self.ended.clear()
            async with open_server(HOST, self.port, self.handle, CLOCK):
                await self.announce()
                await self.ended.wait()
            await curio.sleep(RESTART_S)

    async def announce(self):
        values = {
            "instance": self.name,
            "service": "box",
            "address": f"{HOST}:{self.port}",
            "lease_s": 60.0,
            "slots": 8,
            "born_ms": int(CLOCK.now().timestamp() * 1000),
        }
        await send(self.admin_port, "POST", "/announce", orjson.dumps(values))

    async def handle(self, request):
        if request.body != POISON:
            await curio.sleep(0.01)
            return HttpResponse(200, [], b"done")
        self.crashes.append(CLOCK.monotonic())
        await self.ended.set()
        await curio.sleep(60)
        return HttpResponse(500)


@attrs.define
class Fleet:
    """Running nodes, each with a crashing backend server."""

    caller_ports: list
    crashes: list = attrs.field(factory=list)

    async def call(self, index, body):
        """Return the response to a call at one of the nodes."""
        port = self.caller_ports[index % len(self.caller_ports)]
        return await send(port, "POST", "/boxes/2", body)

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
async def open_fleet(data_centres):
    """Yield a fleet of nodes that serve a configuration."""
    platform = PlatformAdapters(MemoryTable(), MemoryObjectStore())
    log = CommitLog(platform.table, platform.objects, CLOCK)
    await log.apply("op-1", 0, SNAPSHOT, "tester", "", 5.0)
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
            )
            task = await curio.spawn(backend.run, daemon=True)
            stack.push_async_callback(task.cancel)
        await wait_until_serving(fleet)
        yield fleet


@asynccontextmanager
async def open_fleet_node(index, data_centre, ports, platform):
    values = {
        "node": f"n{index}",
        "data_centre": data_centre,
        "membership": {
            "seeds": [f"{HOST}:{FIRST_PORT + 1}"],
            "table_spread_s": 0.1,
            "first_write_spread_s": 0.1,
        },
    }
    cfg = configure_node_settings({**SETTINGS, **ports, **values})
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
