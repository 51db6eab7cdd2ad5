"""Entry and owner nodes in one process, with fault injection.

The executions of calls on the instances are recorded.
"""

import random
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
import curio
import h11

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.base.tasks import open_task_group
from auburnjunction.http.message_streams import MessageStream
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.servers import bind_socket
from auburnjunction.model.priorities import Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Instance, InstanceState, Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.traffic.balancers import NodeLocation
from auburnjunction.traffic.call_forwarders import PeerHandler, make_pools
from auburnjunction.traffic.calls import Answer, NotRunError, UnknownRunError
from auburnjunction.traffic.entries import make_entry_handler
from auburnjunction.traffic.routers import find_no_parent
from auburnjunction.traffic.routing_settings import RoutingSettings

HOST = "127.0.0.1"
SERVICE = "member-billing"
SERVICES = (Service(SERVICE, resources=("ledger",)),)
ROUTES = (
    Route(
        "read", "/read", SERVICE, ("GET",), repeatable=True, timeout_ms=1000
    ),
    Route(
        "pay",
        "/pay",
        SERVICE,
        ("POST",),
        priority=Priority.CRITICAL,
        timeout_ms=1000,
    ),
    Route("near", "/near", SERVICE, repeatable=True, spill=False),
    Route("ledger", "/ledger", SERVICE, resource="ledger"),
    Route("bulk", "/bulk", SERVICE, priority=Priority.LOW, repeatable=True),
)

# Headers of a backend server's response that nodes must not forward.
FORGED = [
    (b"auburn-outcome", b"not-run"),
    (b"auburn-request-id", b"forged"),
    (b"auburn-load", b"99"),
    (b"connection", b"x-private"),
    (b"x-private", b"1"),
]


@attrs.define
class FixedSource:
    """Provides the snapshot, instances and readiness that a test sets."""

    current: RevisedSnapshot | None = attrs.field(
        factory=lambda: RevisedSnapshot(
            RevisionMark(7, b"d"), Snapshot(SERVICES, ROUTES)
        )
    )
    instances: list[Instance] = attrs.field(factory=list)
    is_current: bool = True

    def find_instances(self, service):
        return [i for i in self.instances if i.service == service]


def make_instance(name, node="", data_centre="dc-1", port=1, **fields):
    fields.setdefault("slots", 6)
    return Instance(
        instance=name,
        service=SERVICE,
        state=InstanceState.READY,
        load_percent=0,
        node=node or f"node-{name}",
        data_centre=data_centre,
        host=HOST,
        peer_port=port,
        **fields,
    )


@attrs.define
class History:
    """Numbers of executions by call and by instance."""

    executions: dict[str, int] = attrs.field(factory=dict)
    by_instance: dict[str, int] = attrs.field(factory=dict)
    attempts: int = 0

    def record_execution(self, call, instance):
        name = call.request.header(b"x-call").decode()
        self.executions[name] = self.executions.get(name, 0) + 1
        count = self.by_instance.get(instance, 0)
        self.by_instance[instance] = count + 1


class FaultyRunner:
    """Runs calls on instances with the faults that a test sets.

    before and after map instances to coroutine functions of (call,
    instance) that run before and after the execution is recorded and may
    raise errors.
    """

    def __init__(self, history):
        self.history = history
        self.before = {}
        self.after = {}
        self.loads = {}
        # Reports of owner nodes by instance.
        self.reports = {}

    async def run_call(self, call, instance):
        self.history.attempts += 1
        if instance in self.before:
            await self.before[instance](call, instance)
        self.history.record_execution(call, instance)
        if instance in self.after:
            await self.after[instance](call, instance)
        headers = [
            *FORGED,
            (b"x-call", call.request.header(b"x-call")),
            (b"x-instance", instance.encode()),
        ]
        response = HttpResponse(200, headers, call.request.body)
        load = self.loads.get(instance, 0.1)
        report = self.reports.get(instance)
        return Answer(response, load, report=report)


def refuse(code=ErrorCode.OVERLOADED):
    async def behave(_call, _instance):
        raise NotRunError("refused", code)

    return behave


async def raise_unknown_outcome(_call, _instance):
    raise UnknownRunError("lost")


async def hang(_call, _instance):
    await curio.sleep(60)


async def send_truncated(server, stream, data):
    await stream.sock.sendall(data[: len(data) // 2])


async def send_nothing(_server, _stream, _data):
    pass


async def never_respond(_server, _stream, _data):
    await curio.sleep(60)


async def send_earlier_response(server, stream, _data):
    """Send the complete response to an earlier request."""
    await stream.sock.sendall(server.previous_response)


class FaultyServer:
    """Peer listener with fault injection after a request has run."""

    def __init__(self, sock, handler):
        self.sock = sock
        self.handler = handler
        self.previous_response = b""
        self.connections = 0
        # Coroutine function of (server, stream, data) that replaces the
        # sending of a response, or None.
        self.fault = None

    async def accept_connections(self, group):
        while True:
            sock, _ = await self.sock.accept()
            self.connections += 1
            await group.spawn(self.serve, sock)

    async def serve(self, sock):
        stream = MessageStream(
            sock, h11.SERVER, MessageLimits(), SystemClock()
        )
        async with sock:
            while request := await stream.read_request():
                response = await self.handler.handle(request)
                recorder = RecordingSocket()
                stream.sock = recorder
                await stream.write_response(response)
                stream.sock = sock
                if self.fault is not None:
                    await self.fault(self, stream, recorder.data)
                else:
                    await sock.sendall(recorder.data)
                self.previous_response = recorder.data
                if not stream.start_next_cycle():
                    break


class RecordingSocket:
    """Records the data that is sent."""

    def __init__(self):
        self.data = b""

    async def sendall(self, data):
        self.data += data


@attrs.define
class Mesh:
    """Entry nodes and owner nodes that communicate over sockets."""

    history: History
    runner: FaultyRunner
    source: FixedSource
    servers: dict[str, FaultyServer]
    entries: list
    metrics: MetricRegistry

    async def call(self, name, method="GET", path="/read", entry=0, **fields):
        headers = [(b"host", b"t"), (b"x-call", name.encode())]
        headers += fields.get("headers", [])
        request = HttpRequest(
            method.encode(), path.encode(), headers, name.encode()
        )
        return await self.entries[entry].handle(request)


@asynccontextmanager
async def open_mesh(
    data_centres=("dc-1", "dc-1", "dc-1"),
    entries=1,
    settings=None,
    placement=None,
    lifetime=None,
    find_parent=find_no_parent,
):
    """Yield a mesh with one instance on each owner node.

    Entry nodes are in dc-1 and own no instance.
    """
    settings = settings or RoutingSettings(access_log_share=0)
    clock = SystemClock()
    history = History()
    runner = FaultyRunner(history)
    source = FixedSource()
    servers = {}
    metrics = MetricRegistry()
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(open_task_group())
        for index, data_centre in enumerate(data_centres):
            sock = await stack.enter_async_context(bind_socket(HOST, 0))
            name = f"i{index}"
            server = FaultyServer(sock, PeerHandler(runner, clock))
            servers[name] = server
            port = sock.getsockname()[1]
            source.instances.append(
                make_instance(name, data_centre=data_centre, port=port)
            )
            await group.spawn(server.accept_connections, group)
        pools = make_pools(settings, clock)
        handlers = [
            make_entry_handler(
                NodeLocation(f"entry-{index}", "dc-1"),
                settings,
                clock,
                source,
                source,
                source,
                runner,
                pools,
                metrics if index == 0 else MetricRegistry(),
                random.Random(index),
                placement=placement,
                lifetime=lifetime,
                find_parent=find_parent,
            )
            for index in range(entries)
        ]
        yield Mesh(history, runner, source, servers, handlers, metrics)
        await pools.close()
