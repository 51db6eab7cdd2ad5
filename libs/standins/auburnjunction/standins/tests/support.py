"""Runs stand-ins in the test process and sends requests to them."""

from contextlib import asynccontextmanager

import attrs
import curio
import orjson

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.standins.faults import PlatformFaults
from auburnjunction.standins.platforms import PlatformServer
from auburnjunction.storage.clients import HttpObjectStore, HttpTable

HOST = "127.0.0.1"
TIMEOUT_S = 5.0


@attrs.define
class PlatformFixture:
    """A running platform stand-in and its clients."""

    server: PlatformServer
    table: HttpTable
    objects: HttpObjectStore

    def set_faults(self, **faults) -> None:
        self.server.set_faults(PlatformFaults(**faults))


@asynccontextmanager
async def open_platform(**faults):
    """Yield a PlatformFixture with the given faults."""
    clock = SystemClock()
    platform = PlatformServer(clock, PlatformFaults(**faults))
    pools = PoolRegistry(clock)
    async with open_server(HOST, 0, platform.handle, clock) as server:
        address = Address(HOST, server.port)
        yield PlatformFixture(
            platform,
            HttpTable(address, clock, pools),
            HttpObjectStore(address, clock, pools),
        )
        await pools.close()


async def send(
    pools: PoolRegistry,
    port: int,
    target: str,
    body: object = None,
    headers=(),
) -> HttpResponse:
    """Return the response to a GET, or to a POST when there is a body."""
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    request = HttpRequest(
        b"GET" if body is None else b"POST",
        target.encode(),
        [(b"host", b"test"), *headers],
        b"" if body is None else content,
    )
    return await pools.get(Address(HOST, port)).exchange(request, TIMEOUT_S)


async def wait_until(condition, timeout_s: float = TIMEOUT_S) -> None:
    """Poll a condition until it holds; time out after timeout_s."""
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.005)
