"""Backend servers and calls for testing the owner side."""

from collections import Counter
from contextlib import asynccontextmanager

import attrs
import curio

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.services import DEFAULT_HEALTH_PATH, Service
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Call, TrafficError
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.owners import InstanceOwner

HOST = "127.0.0.1"
CLOCK = SystemClock()
SERVICE = Service("orders", attempt_timeout_ms=1000)


@attrs.define
class BackendServer:
    """In-process backend server that records the requests it ran.

    Each request waits for the gate to open, then for the service time.
    """

    service_time_s: float = 0.0
    headers: list = attrs.field(factory=list)
    status: int = 200
    executed: list[str] = attrs.field(factory=list)
    requests: list[HttpRequest] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    running: int = 0
    max_running: int = 0
    gate: curio.Event = attrs.field(factory=curio.Event)
    port: int = 0
    # Handler called instead of handle, to inject faults.
    respond: object = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request; answer a health probe without recording it."""
        if request.target == DEFAULT_HEALTH_PATH.encode():
            return HttpResponse(200)
        name = (request.header(b"auburn-request-id") or b"").decode()
        self.executed.append(name)
        self.requests.append(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self.gate.wait()
            await curio.sleep(self.service_time_s)
        except curio.CancelledError:
            self.cancelled.append(name)
            raise
        finally:
            self.running -= 1
        return HttpResponse(self.status, list(self.headers), request.body)


@asynccontextmanager
async def open_backend(**options):
    """Yield a BackendServer on loopback whose gate is open."""
    backend = BackendServer(**options)
    await backend.gate.set()

    async def respond(request):
        return await (backend.respond or backend.handle)(request)

    async with open_server(HOST, 0, respond, CLOCK) as server:
        backend.port = server.port
        yield backend


def make_owner(
    port: int,
    slots: int = 1,
    cfg: AdmissionSettings | None = None,
    service: Service = SERVICE,
    **options,
) -> InstanceOwner:
    """Return the owner of a backend server at a port."""
    return InstanceOwner(
        cfg or AdmissionSettings(),
        "orders-1",
        service,
        Address(HOST, port),
        slots,
        options.pop("connections", 130),
        options.pop("clock", CLOCK),
        options.pop("metrics", None) or OwnerMetrics(),
        **options,
    )


def make_call(
    name: str = "call-1",
    priority: Priority = Priority.NORMAL,
    *,
    remaining_s: float = 5.0,
    repeatable: bool = True,
    claims: ClaimMode = ClaimMode.NONE,
    key: str = "",
    body: bytes = b"",
) -> Call:
    """Return a call with the given time until its deadline."""
    headers = [(b"host", b"test"), (b"auburn-forged", b"1")]
    return Call(
        request_id=name,
        route="route",
        service="orders",
        priority=priority,
        repeatable=repeatable,
        claims=claims,
        deadline_s=CLOCK.monotonic() + remaining_s,
        revision=1,
        request=HttpRequest(b"POST", b"/orders", headers, body),
        idempotency_key=key,
    )


async def wait_until(condition, limit_s: float = 5.0) -> None:
    """Wait until the condition holds; fail after the limit."""
    async with curio.timeout_after(limit_s):
        while not condition():
            await curio.sleep(0.001)


async def try_call(owner, call: Call):
    """Return the answer of a call or the error that ended it."""
    try:
        return await owner.run_call(call)
    except TrafficError as exc:
        return exc


def count_runs(backend: BackendServer) -> Counter:
    """Return how many times each request ran."""
    return Counter(backend.executed)
