"""Stand-in of a backend server with faults and an execution log."""

import attrs
import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.http.messages import Headers, HttpRequest, HttpResponse
from auburnjunction.http.servers import (
    HttpServer,
    ServerConnection,
)
from auburnjunction.standins.executions import (
    Execution,
    ExecutionLog,
    ExecutionState,
)
from auburnjunction.standins.fault_injectors import (
    BackendFaultInjector,
    BackendSettings,
)
from auburnjunction.standins.faults import BackendFaults
from auburnjunction.standins.replies import (
    make_json_response,
    make_text_response,
    parse_body,
    read_query,
    send_truncated,
)

CALL_ID_HEADER = b"x-call-id"
INSTANCE_HEADER = b"x-instance"
KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"auburn-deadline-ms"
LEAVING_HEADER = b"auburn-leaving"
RATE_LIMIT_HEADER = b"auburn-rate-limit"
SHED_HEADERS = [(b"auburn-shed", b"1")]
SILENT_DELAY_S = 86_400.0
DEFAULT_PAGE_SIZE = 5000
MAX_DEADLINE_MS = 86_400_000


@attrs.frozen
class BackendStats:
    """Counts of requests and connections of a backend server stand-in."""

    running: int
    waiting: int
    peak_running: int
    peak_connections: int
    executions: int
    shed: int
    # Seconds since the epoch at which the node accepted its departure.
    departed_s: float


class BackendServer:
    """Runs requests in a limited number of slots and echoes their bodies."""

    def __init__(self, settings: BackendSettings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self._slots = curio.Semaphore(settings.slots)
        self._executions = ExecutionLog(clock, settings.instance)
        self._server: HttpServer | None = None
        self._running = 0
        self._waiting = 0
        self._shed = 0
        self._peak_running = 0
        self._peak_connections = 0
        self._load_percent = 0
        self._load_read_s = float("-inf")
        self._silent: frozenset[ServerConnection] = frozenset()
        self._injector = BackendFaultInjector(settings, clock)
        # Set at the start of a graceful shutdown.
        self.stopping = False
        # Seconds since the epoch at which the node accepted its departure;
        # 0 if it has not departed.
        self.departed_s = 0.0

    def attach(self, server: HttpServer) -> None:
        """Set the HTTP server whose connections it serves."""
        self._server = server

    def set_faults(self, faults: BackendFaults) -> None:
        """Replace the faults and reseed their random numbers."""
        self._injector.set_faults(faults)
        if not faults.departed:
            self.departed_s = 0.0
        self._silent = frozenset()
        if faults.silent and self._server is not None:
            self._silent = frozenset(self._server.connections)

    @property
    def faults(self) -> BackendFaults:
        """Faults that are set."""
        return self._injector.faults

    @property
    def leaving(self) -> bool:
        """Whether it announces leaving, as it will take no new requests."""
        return self.stopping or self.faults.drain

    @property
    def departed(self) -> bool:
        """Whether it announces gone, then readiness from before it."""
        return self.faults.departed

    @property
    def frozen(self) -> bool:
        """Whether requests and announcements are held back by a freeze."""
        return self._injector.frozen

    @property
    def load_percent(self) -> int:
        """Actual load, in percent of the slots and at most 100."""
        load = (self._running + self._waiting) / self._settings.slots
        return min(100, round(100 * load))

    @property
    def reported_load_percent(self) -> int:
        """Load as reported, which faults may delay or replace."""
        if self.faults.load_percent >= 0:
            return self.faults.load_percent
        now_s = self._clock.monotonic()
        if now_s - self._load_read_s >= self.faults.load_lag_s:
            self._load_read_s = now_s
            self._load_percent = self.load_percent
        return self._load_percent

    @property
    def stats(self) -> BackendStats:
        """Counts of requests and connections so far."""
        return BackendStats(
            running=self._running,
            waiting=self._waiting,
            peak_running=self._peak_running,
            peak_connections=self._peak_connections,
            executions=self._executions.read_page(0, 0).total,
            shed=self._shed,
            departed_s=self.departed_s,
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a caller or to one of the stand-in's paths."""
        path = request.path
        if path == "/faults":
            return self._change_faults(request)
        if path == "/executions":
            return self._list_executions(request)
        if path == "/stats":
            return make_json_response(self.stats)
        response = await self._handle_call(request)
        response.headers += self._list_notices()
        return response

    async def _handle_call(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a caller or a check by the node."""
        path = request.path
        await self._injector.wait_while_frozen()
        if path == "/health":
            return self._report_health()
        if path == "/load":
            load = {"load_percent": self.reported_load_percent}
            return make_json_response(load)
        if path in ("/live", "/ready"):
            return make_text_response(200, "ok")
        return await self._serve(request)

    def _list_notices(self) -> Headers:
        """Return the headers that describe its state."""
        notices = []
        if self.leaving:
            notices.append((LEAVING_HEADER, b"1"))
        if self.faults.rate_limit_per_s:
            rate = b"%.3f" % self.faults.rate_limit_per_s
            notices.append((RATE_LIMIT_HEADER, rate))
        return notices

    def _change_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method == b"POST":
            faults = parse_body(request, BackendFaults)
            if isinstance(faults, HttpResponse):
                return faults
            self.set_faults(faults)
        return make_json_response(self.faults)

    def _list_executions(self, request: HttpRequest) -> HttpResponse:
        query = read_query(request)
        try:
            after = int(query.get("after", 0))
            limit = int(query.get("limit", DEFAULT_PAGE_SIZE))
        except ValueError:
            return make_text_response(400, "after and limit are numbers")
        return make_json_response(self._executions.read_page(after, limit))

    def _report_health(self) -> HttpResponse:
        healthy = not self.faults.drain
        if self.faults.health != "truth":
            healthy = self.faults.health == "healthy"
        if healthy:
            return make_text_response(200, "healthy")
        return make_text_response(503, "failing")

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        conn = await self._find_connection()
        if conn in self._silent:
            await self._clock.sleep(SILENT_DELAY_S)
        if self._should_shed():
            self._shed += 1
            return make_text_response(503, "shed", list(SHED_HEADERS))
        end_s = self._compute_end_s(request)
        if not await self._acquire_slot(end_s):
            self._shed += 1
            return make_text_response(503, "too late", list(SHED_HEADERS))
        try:
            return await self._run(request, conn, end_s)
        finally:
            await self._slots.release()

    async def _acquire_slot(self, end_s: float) -> bool:
        """Wait for a slot; return whether one was free before end_s."""
        remaining_s = end_s - self._clock.monotonic()
        if remaining_s <= 0:
            return False
        self._waiting += 1
        try:
            async with curio.timeout_after(remaining_s):
                await self._slots.acquire()
        except curio.TaskTimeout:
            return False
        finally:
            self._waiting -= 1
        return True

    async def _find_connection(self) -> ServerConnection | None:
        """Return the connection of this request, if a fault needs it."""
        if self._server is None:
            return None
        count = self._server.connection_count
        self._peak_connections = max(self._peak_connections, count)
        if not (self.faults.silent or self.faults.truncate_share):
            return None
        task = await curio.current_task()
        return self._server.find_connection(task)

    def _should_shed(self) -> bool:
        if self.faults.drain:
            return True
        too_many_connections = self._server is not None and (
            self._server.connection_count > self._settings.connections
        )
        return too_many_connections or self._injector.draw_fault(
            self.faults.shed_share
        )

    def _compute_end_s(self, request: HttpRequest) -> float:
        value = request.header(DEADLINE_HEADER) or b""
        limit_ms = int(value) if value.isdigit() else MAX_DEADLINE_MS
        limit_ms = min(limit_ms, MAX_DEADLINE_MS)
        return self._clock.monotonic() + limit_ms / 1000

    async def _run(
        self,
        request: HttpRequest,
        conn: ServerConnection | None,
        end_s: float,
    ) -> HttpResponse:
        """Run a request that has a slot, until its deadline."""
        execution = self._start_execution(request)
        injector = self._injector
        remaining_s = max(0.0, end_s - self._clock.monotonic())
        try:
            async with curio.timeout_after(remaining_s):
                await self._clock.sleep(injector.draw_service_time_s())
                await injector.wait_while_frozen()
        except curio.TaskTimeout:
            execution.late = True
            self._end_execution(execution, ExecutionState.CANCELLED)
            return make_text_response(504, "the deadline passed")
        except curio.CancelledError:
            self._end_execution(execution, ExecutionState.CANCELLED)
            raise
        return await self._make_response(request, conn, execution)

    async def _make_response(
        self,
        request: HttpRequest,
        conn: ServerConnection | None,
        execution: Execution,
    ) -> HttpResponse:
        if self._injector.draw_fault(self.faults.error_share):
            self._end_execution(execution, ExecutionState.FAILED)
            return make_text_response(500, "failed as asked")
        self._end_execution(execution, ExecutionState.FINISHED)
        if conn is not None and self._injector.draw_fault(
            self.faults.truncate_share
        ):
            await send_truncated(conn, request.body)
        headers = [(INSTANCE_HEADER, self._settings.instance.encode())]
        for name in (CALL_ID_HEADER, KEY_HEADER):
            value = request.header(name)
            if value is not None:
                headers.append((name, value))
        body = request.body or b"answer to %s\n" % request.target
        return HttpResponse(200, headers, body)

    def _start_execution(self, request: HttpRequest) -> Execution:
        self._running += 1
        self._peak_running = max(self._peak_running, self._running)
        return self._executions.start(
            (request.header(CALL_ID_HEADER) or b"").decode("latin-1"),
            (request.header(KEY_HEADER) or b"").decode("latin-1"),
            request.method.decode("latin-1"),
            request.target.decode("latin-1"),
        )

    def _end_execution(
        self, execution: Execution, state: ExecutionState
    ) -> None:
        self._running -= 1
        self._executions.end(execution, state)
