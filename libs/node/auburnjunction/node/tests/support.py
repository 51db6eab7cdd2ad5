"""Runs a node in the test process, with in-memory platform services."""

from contextlib import asynccontextmanager
from random import Random

import curio
import orjson

from auburnjunction.base.clocks import SystemClock
from auburnjunction.distribution.commits import CommitLog
from auburnjunction.http.clients import Address, connect
from auburnjunction.http.messages import Headers, HttpRequest, HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.http.tests.support import LOOPBACK_HOST
from auburnjunction.membership.announcements import Announcement
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.node.components import PlatformAdapters
from auburnjunction.node.nodes import open_node
from auburnjunction.node.settings import NodeSettings, configure_node_settings
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable
from auburnjunction.traffic.calls import Call
from auburnjunction.traffic.headers import CALL_HEADER, format_call

HOST = LOOPBACK_HOST
TIMEOUT_S = 5.0
SNAPSHOT = Snapshot(
    (Service("box"),), (Route("boxes", "/boxes", "box", repeatable=True),)
)
SETTINGS = {
    "node": "a",
    "data_centre": "one",
    "table_address": "127.0.0.1:1",
    "object_store_address": "127.0.0.1:1",
    "host": HOST,
    "drain_limit_s": 2.0,
}


def choose_ports(first: int) -> dict[str, int]:
    """Return the four ports of a node, numbered from first."""
    names = ("caller_port", "peer_port", "admin_port", "operators_port")
    return {name: first + index for index, name in enumerate(names)}


@asynccontextmanager
async def open_test_node(first_port: int, **values):
    """Yield a node's settings, the running node and its fake platform."""
    ports = choose_ports(first_port)
    cfg = configure_node_settings({**SETTINGS, **ports, **values})
    platform = PlatformAdapters(MemoryTable(), MemoryObjectStore())
    clock = SystemClock()
    async with open_node(cfg, clock, platform, Random(1)) as node:
        yield cfg, node, platform


async def send(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Headers = (),
) -> HttpResponse:
    """Return the response to one request with further headers."""
    conn = await connect(Address(HOST, port), SystemClock(), TIMEOUT_S)
    try:
        request = HttpRequest(
            method.encode(),
            target.encode(),
            [(b"host", b"test"), *headers],
            body,
        )
        return await conn.exchange(request, TIMEOUT_S)
    finally:
        await conn.close()


async def commit(
    platform: PlatformAdapters, snapshot: Snapshot = SNAPSHOT
) -> None:
    """Commit the first configuration."""
    log = CommitLog(platform.table, platform.objects, SystemClock())
    await log.apply("op-1", 0, snapshot, "tester", "", 5.0)


def configure_fleet_node(
    ports: dict[str, int], seed_port: int, **values
) -> NodeSettings:
    """Return settings of a node that finds others at once."""
    membership = {
        "seeds": [f"{HOST}:{seed_port}"],
        "table_spread_s": 0.1,
        "first_write_spread_s": 0.1,
    }
    return configure_node_settings(
        {**SETTINGS, **ports, "membership": membership, **values}
    )


async def announce_slots(
    admin_port: int, instance: str, port: int, slots: int, **values
) -> HttpResponse:
    """Announce a backend server with a long lease."""
    content = {
        "instance": instance,
        "service": "box",
        "address": f"{HOST}:{port}",
        "lease_s": 60.0,
        "slots": slots,
        **values,
    }
    return await send(admin_port, "POST", "/announce", orjson.dumps(content))


async def send_raw(port: int, content: bytes) -> None:
    """Send bytes on a new connection and close it."""
    sock = await curio.open_connection(HOST, port)
    async with sock:
        await sock.sendall(content)


async def announce(cfg, port: int, state: str = "ready") -> HttpResponse:
    """Announce a backend server that listens on the port to the node."""
    announcement = Announcement("box-1", "box", f"{HOST}:{port}", state)
    values = {
        "instance": announcement.instance,
        "service": announcement.service,
        "address": announcement.address,
        "state": announcement.state,
    }
    return await send(
        cfg.admin_port, "POST", "/announce", orjson.dumps(values)
    )


async def answer_as_backend(_request: HttpRequest) -> HttpResponse:
    """Return the response of a backend server, with a forged header."""
    return HttpResponse(200, [(b"auburn-outcome", b"forged")], b"formula")


def open_backend(handler=answer_as_backend):
    """Return a server that stands in for a backend server."""
    return open_server(HOST, 0, handler, SystemClock())


async def forward(cfg, method: bytes = b"GET") -> HttpResponse:
    """Return the response to a call forwarded like one of another node."""
    clock = SystemClock()
    now_s = clock.monotonic()
    request = HttpRequest(method, b"/boxes/2", [(b"host", b"test")])
    call = Call(
        request_id="forwarded-1",
        route="boxes",
        service="box",
        priority=Priority.NORMAL,
        repeatable=True,
        claims=ClaimMode.NONE,
        deadline_s=now_s + TIMEOUT_S,
        revision=1,
        request=request,
    )
    request.headers.append((CALL_HEADER, format_call(call, "box-1", now_s)))
    conn = await connect(Address(HOST, cfg.peer_port), clock, TIMEOUT_S)
    try:
        return await conn.exchange(request, TIMEOUT_S)
    finally:
        await conn.close()
