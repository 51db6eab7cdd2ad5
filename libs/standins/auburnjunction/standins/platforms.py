"""Stand-in of the platform: an in-memory table and object store."""

import random
from typing import Annotated
from urllib.parse import unquote

import attrs
import cappa
import curio

from auburnjunction.base.clocks import Clock, SystemClock
from auburnjunction.base.errors import ExitCode
from auburnjunction.base.logs import configure_logs, log_event
from auburnjunction.base.programs import run_program
from auburnjunction.base.signals import catch_stop_signals
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.pipelines import PeerDisconnectedError
from auburnjunction.http.servers import open_server
from auburnjunction.model.codecs import digest_content
from auburnjunction.standins.arguments import make_port_option
from auburnjunction.standins.faults import PlatformFaults
from auburnjunction.standins.rates import RateMeter
from auburnjunction.standins.replies import (
    make_json_response,
    make_text_response,
    parse_body,
    read_query,
)
from auburnjunction.storage.clients import (
    IF_VERSION_HEADER,
    NOT_APPLIED,
    OBJECTS_PATH,
    OUTCOME_HEADER,
    ROW_VERSION_HEADER,
    ROWS_PATH,
    dump_rows,
)
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable
from auburnjunction.storage.tables import Row, VersionConflictError

MAX_SCAN_ROWS = 1000
MEMORY_TIMEOUT_S = 1.0


@attrs.frozen
class PlatformStats:
    """Counts and peak rates of operations of the platform stand-in."""

    reads: int
    writes: int
    peak_reads_per_s: int
    peak_writes_per_s: int
    refused: int
    lost_answers: int


class PlatformServer:
    """Serves a table and an object store, with injected faults."""

    def __init__(self, clock: Clock, faults: PlatformFaults):
        self._clock = clock
        self._table = MemoryTable()
        self._objects = MemoryObjectStore()
        self._reads = RateMeter(clock)
        self._writes = RateMeter(clock)
        self._refused = 0
        self._lost_answers = 0
        self.set_faults(faults)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults and reseed their random numbers."""
        self._faults = faults
        self._remaining_lost_answers = faults.lost_answers
        self._random = random.Random(faults.seed)

    @property
    def stats(self) -> PlatformStats:
        """Counts and peak rates so far."""
        return PlatformStats(
            reads=self._reads.total,
            writes=self._writes.total,
            peak_reads_per_s=self._reads.peak_per_s,
            peak_writes_per_s=self._writes.peak_per_s,
            refused=self._refused,
            lost_answers=self._lost_answers,
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer an operation or a request to a control path."""
        path = request.path
        if path == "/faults":
            return self._change_faults(request)
        if path == "/stats":
            return make_json_response(self.stats)
        if path in ("/live", "/ready"):
            return make_text_response(200, "ok")
        if path == "/peaks/reset" and request.method == b"POST":
            self._reads.reset_peak()
            self._writes.reset_peak()
            return make_json_response(self.stats)
        return await self._handle_operation(request)

    def _change_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method == b"POST":
            faults = parse_body(request, PlatformFaults)
            if isinstance(faults, HttpResponse):
                return faults
            self.set_faults(faults)
        return make_json_response(self._faults)

    async def _handle_operation(self, request: HttpRequest) -> HttpResponse:
        faults = self._faults
        if faults.silent:
            await self._clock.sleep(3600)
        if faults.delay_ms:
            await self._clock.sleep(faults.delay_ms / 1000)
        if request.method == b"GET":
            allowed = self._reads.admit(faults.reads_per_s)
        else:
            allowed = self._writes.admit(faults.writes_per_s)
        if self._faults.down or not allowed:
            self._refused += 1
            reason = "down" if self._faults.down else "over the rate limit"
            return _make_refusal(503, f"the platform is {reason}")
        if request.method == b"GET":
            return await self._read(request)
        response = await self._write(request)
        if response.status in (200, 201) and self._should_lose_answer():
            raise PeerDisconnectedError(
                "injected fault: write applied, response lost"
            )
        return response

    def _should_lose_answer(self) -> bool:
        lost = self._remaining_lost_answers > 0
        if lost:
            self._remaining_lost_answers -= 1
        elif self._faults.lost_share:
            lost = self._random.random() < self._faults.lost_share
        self._lost_answers += lost
        return lost

    async def _read(self, request: HttpRequest) -> HttpResponse:
        path = request.path
        if path == ROWS_PATH:
            return await self._scan(request)
        if path.startswith(f"{ROWS_PATH}/"):
            key = unquote(path.removeprefix(f"{ROWS_PATH}/"))
            row = await self._table.get(key, MEMORY_TIMEOUT_S)
            return _make_row_response(200 if row else 404, row)
        digest = _parse_digest(path)
        if digest is None:
            return _make_refusal(404, f"no such path: {path}")
        content = await self._objects.get(digest, MEMORY_TIMEOUT_S)
        if content is None:
            return make_text_response(404, "no such object")
        return HttpResponse(200, [], content)

    async def _scan(self, request: HttpRequest) -> HttpResponse:
        query = read_query(request)
        limit = query.get("limit", "100")
        if not limit.isdigit() or not 1 <= int(limit) <= MAX_SCAN_ROWS:
            return _make_refusal(
                400, f"limit is {limit}; use 1 to {MAX_SCAN_ROWS}"
            )
        rows = await self._table.scan(
            query.get("prefix", ""),
            query.get("after", ""),
            int(limit),
            MEMORY_TIMEOUT_S,
        )
        headers = [(b"content-type", b"application/json")]
        return HttpResponse(200, headers, dump_rows(rows))

    async def _write(self, request: HttpRequest) -> HttpResponse:
        path = request.path
        if request.method != b"PUT":
            return _make_refusal(405, "use GET or PUT")
        if path.startswith(f"{ROWS_PATH}/"):
            return await self._put_row(request)
        digest = _parse_digest(path)
        if digest is None:
            return _make_refusal(404, f"no such path: {path}")
        if digest_content(request.body) != digest:
            return _make_refusal(400, "the digest is not that of the content")
        await self._objects.put(digest, request.body, MEMORY_TIMEOUT_S)
        return make_text_response(200, "stored")

    async def _put_row(self, request: HttpRequest) -> HttpResponse:
        key = unquote(request.path.removeprefix(f"{ROWS_PATH}/"))
        version = request.header(IF_VERSION_HEADER) or b""
        if not version.isdigit():
            return _make_refusal(400, "if-version is not a whole number")
        try:
            row = await self._table.put_if(
                key, request.body, int(version), MEMORY_TIMEOUT_S
            )
        except VersionConflictError as exc:
            return _make_row_response(409, exc.current)
        return HttpResponse(200, [(ROW_VERSION_HEADER, b"%d" % row.version)])


def _make_refusal(status: int, reason: str) -> HttpResponse:
    return make_text_response(status, reason, [(OUTCOME_HEADER, NOT_APPLIED)])


def _make_row_response(status: int, row: Row | None) -> HttpResponse:
    version = row.version if row else 0
    headers = [(ROW_VERSION_HEADER, b"%d" % version)]
    return HttpResponse(status, headers, row.value if row else b"")


def _parse_digest(path: str) -> bytes | None:
    try:
        return bytes.fromhex(path.removeprefix(f"{OBJECTS_PATH}/"))
    except ValueError:
        return None


@cappa.command(name="auburn-standin-platform")
@attrs.frozen
class PlatformCommand:
    """Serve the platform's table and object store from memory.

    Set faults with POST /faults and read counts with GET /stats.
    """

    port: Annotated[int, make_port_option("TCP port to listen on")]
    host: Annotated[
        str, cappa.Arg(long=True, help="IP address to listen on")
    ] = "127.0.0.1"


async def serve_platform(command: PlatformCommand) -> None:
    """Serve until SIGTERM or SIGINT."""
    clock = SystemClock()
    platform = PlatformServer(clock, PlatformFaults())
    with catch_stop_signals() as stop:
        async with open_server(
            command.host, command.port, platform.handle, clock
        ) as server:
            log_event("platform ready", host=command.host, port=server.port)
            await stop.wait()
    log_event("platform stopped")


def run_platform(command: PlatformCommand) -> None:
    """Run the server in a new curio kernel."""
    configure_logs()
    curio.run(serve_platform, command)


def main() -> None:
    """Run the command-line program."""
    exit_codes = {AddressInUseError: ExitCode.ADDRESS_IN_USE}
    run_program(PlatformCommand, run_platform, exit_codes)


if __name__ == "__main__":
    main()
