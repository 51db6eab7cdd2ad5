"""A small deployment on loopback addresses for the cases of the review.

The nodes are the project's own program, started as deploy/system.toml says.
The store, the instances and the clients are stand-ins that use only the
standard library.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# As in deploy/system.toml.
COMMAND = ["python3", "-OO", "-m", "auburnjunction.platform"]
HOST = "shop.example"
ID_HEADER = "X-Auburnjunction-Request-Id"
TIMEOUT_HEADER = "X-Auburnjunction-Timeout-Ms"
SIGNATURE = ("X-Auburnjunction-Response-Signature", "s1.01.02.3")
HEARTBEAT_S = 0.87
# Figures of the site karafka-hq.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 60,
    "recover_s": 15,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run."""


@dataclass
class Message:
    """A request or response: its first line, headers and body."""

    first: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.header(ID_HEADER) or ""

    @property
    def path(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Read one message with a length or in chunks; None at the end."""
    head = await _read_head(reader)
    if head is None:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers)
    if not has_body:
        return message
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    else:
        length = int(message.header("Content-Length") or 0)
        message.body = await reader.readexactly(length)
    return message


async def _read_head(reader: asyncio.StreamReader) -> bytes | None:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def make_response(
    status: int,
    body: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def make_answer(request: Message, body: bytes = b"done") -> bytes:
    """Return the signed success of an instance that has run a request."""
    headers = [(ID_HEADER, request.request_id), SIGNATURE]
    return make_response(200, body, headers)


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, path: Path):
        self._path = path
        self._start_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        age_s = time.monotonic() - self._start_s
        self._lines.append(f"{age_s:8.3f} {text}")

    def write(self) -> None:
        """Write the record."""
        self._path.write_text("\n".join(self._lines) + "\n")


Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@contextlib.asynccontextmanager
async def open_listener(host: str, port: int, handler: Handler):
    """Yield a listener that passes each connection to the handler."""
    tasks: set[asyncio.Task] = set()

    async def serve(reader, writer):
        task = asyncio.current_task()
        tasks.add(task)
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(
        serve, host, port, limit=128 * 1024 * 1024
    )
    try:
        yield server
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()


@dataclass
class Store:
    """The platform's store: rows, transactions and the change feed."""

    host: str
    port: int
    rows: dict[tuple[str, str, str], tuple[str, int]] = field(
        default_factory=dict
    )
    ver: int = 0
    is_silent: bool = False

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator."""
        self.ver += 1
        encoded = base64.b64encode(value).decode()
        self.rows[table, "", key] = (encoded, self.ver)

    def put_config(self, number: int, *resources: dict) -> None:
        """Write the configuration with a version."""
        document = {"version": f"r{number}", "resources": list(resources)}
        self.put("op", "config", json.dumps(document).encode())

    async def handle(self, reader, writer) -> None:
        """Serve one connection."""
        while True:
            request = await read_message(reader)
            if request is None:
                return
            while self.is_silent:
                await asyncio.sleep(0.05)
            status, body = await self._respond(request)
            body |= {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
            content = json.dumps(body).encode()
            await asyncio.sleep(0.004)
            writer.write(make_response(status, content))
            await writer.drain()

    async def _respond(self, request: Message) -> tuple[int, dict]:
        parts = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if parts.path == "/rows-get":
            return self._get(query)
        if parts.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        current = []
        for row in body.get("expected_revision", []):
            key = (row["table"], row.get("part", ""), row["key"])
            held = self.rows.get(key)
            if (held[1] if held else 0) != row["ver"]:
                current += [self._encode(key)] if held else []
                return 412, {"rows": current}
        self.ver += 1
        for row in body.get("writes", []):
            key = (row["table"], row.get("part", ""), row["key"])
            self.rows[key] = (row["value"], self.ver)
        for row in body.get("remove", []):
            self.rows.pop(
                (row["table"], row.get("part", ""), row["key"]), None
            )
        return 200, {}

    def _get(self, query: dict) -> tuple[int, dict]:
        first, end = query.get("from", ""), query.get("target")
        keys = [
            key
            for key in sorted(self.rows)
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (end is None or key[2] < end)
        ]
        limit = int(query.get("limit", 500))
        rows = [self._encode(key) for key in keys[:limit]]
        return 200, {"rows": rows, "has_more": len(keys) > limit}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                self._encode(key)
                for key, row in self.rows.items()
                if key[0] == query["table"] and row[1] > int(query["after"])
            ]
            if rows or time.monotonic() >= end_s:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows}
            await asyncio.sleep(0.01)

    def _encode(self, key: tuple[str, str, str]) -> dict:
        value, ver = self.rows[key]
        names = dict(zip(("table", "part", "key"), key, strict=True))
        return {**names, "value": value, "ver": ver}


def make_route(name: str, service: str, kind: str, **fields) -> dict:
    """Return a route of the configuration."""
    spec = {
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return {
        "resource_type": "routes",
        "metadata": {"name": name},
        "spec": spec | fields,
    }


def make_service(name: str) -> dict:
    """Return a service of the configuration."""
    spec = {"health_path": "/healthz", "max_connections": 120}
    return {
        "resource_type": "services",
        "metadata": {"name": name},
        "spec": spec,
    }


LIMITS = {
    "resource_type": "limits",
    "metadata": {},
    "spec": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


@dataclass
class Machine:
    """One machine: the node's process and the address of its instance."""

    host: str
    ports: dict[str, int]
    zone: str
    service: str
    directory: Path
    store: Store
    process: asyncio.subprocess.Process | None = None
    is_first_start: bool = True
    fields: dict = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The machine's name."""
        return f"sidecar-{self.zone}-{self.host.rpartition('.')[2]}"

    @property
    def app_port(self) -> int:
        """Port of the instance."""
        return self.ports["app"]

    def _write_settings(self) -> Path:
        listen = ("inbound", "outbound", "ready", "control")
        zones = {z: "r" for z in ("a", "b", "c")}
        settings = {
            "node": self.name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.host,
            "zone": self.zone,
            "region": "r",
            "zones": zones,
            "listen": {k: f"{self.host}:{self.ports[k]}" for k in listen},
            "port_range": [],
            "seeds": [],
            "bootstrap": self.is_first_start,
            "limits": {
                "cpu_share": 0.86,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "data_dir": None,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
            "bounds": BOUNDS,
            "app_addr": f"{self.host}:{self.app_port}",
            "service": self.service,
            "platform": {
                "address": f"{self.store.host}:{self.store.port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(settings | self.fields))
        return path

    async def start(self) -> None:
        """Start the node."""
        names = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in names if k in os.environ}
        env["AUBURNJUNCTION_SETTINGS"] = str(self._write_settings())
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.is_first_start = False
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send the node a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the node and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            response = await asyncio.wait_for(
                self.exchange("ready", "GET", "/readyz"), 1
            )
        except (TimeoutError, OSError):
            return False
        return response is not None and response.status == 200

    async def exchange(
        self,
        listener: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Message | None:
        """Send one request on a new connection and return the response."""
        async with Client(self, listener) as client:
            return await client.exchange(method, path, headers, body)

    async def beat(self, instance: str, body: dict) -> int:
        """Send a heartbeat; return the status, 0 without a response."""
        return await self._post(f"/instances/{instance}/heartbeat", body)

    async def deregister(self, instance: str, born: int) -> int:
        """Deregister an instance; return the status."""
        path = f"/instances/{instance}/deregister"
        return await self._post(path, {"born": born})

    async def _post(self, path: str, body: dict) -> int:
        headers = [("Content-Type", "application/json")]
        content = json.dumps(body).encode()
        try:
            response = await asyncio.wait_for(
                self.exchange("control", "POST", path, headers, content), 1
            )
        except (TimeoutError, OSError):
            return 0
        return response.status if response is not None else 0


class Client:
    """One connection of a client to a listener of a machine."""

    def __init__(self, machine: Machine, listener: str = "outbound"):
        self._machine = machine
        self._listener = listener

    async def __aenter__(self):
        machine = self._machine
        self.reader, self.writer = await asyncio.open_connection(
            machine.host, machine.ports[self._listener], limit=1 << 27
        )
        return self

    async def __aexit__(self, *_exc):
        self.writer.close()

    async def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        """Send a request."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers or []]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        self.writer.write(data)
        await self.writer.drain()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Message | None:
        """Send a request and return the response, None without one."""
        await self.send(method, path, headers, body)
        return await read_message(self.reader, method != "HEAD")

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        timeout_ms: int = 1200,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Message | None:
        """Send a request with the headers of a client."""
        own = [(ID_HEADER, request_id), (TIMEOUT_HEADER, str(timeout_ms))]
        return await self.exchange(
            method, path, [*own, *(headers or [])], body
        )


def find_free_ports(host: str, count: int) -> list[int]:
    """Return free ports below the range of outgoing connections."""
    found: list[int] = []
    port = 12000 + os.getpid() * 61 % 15000
    while len(found) < count:
        port = 12000 + (port + 1 - 12000) % 18000
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            found.append(port)
    return found


@dataclass
class Mesh:
    """The store and the machines of a deployment."""

    store: Store
    machines: list[Machine]
    record: Record

    async def wait_until_ready(self, limit_s: float = 25.0) -> None:
        """Wait until all nodes are ready; raise CannotRunError."""
        end_s = time.monotonic() + limit_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def open_mesh(record: Record, services: list[str], **fields):
    """Yield a deployment with one machine for each entry of services.

    Its nodes are not started yet. All processes end with the block.
    """
    names = ("inbound", "outbound", "ready", "control", "app", "store")
    ports = dict(
        zip(names, find_free_ports("127.0.0.1", len(names)), strict=True)
    )
    store = Store("127.0.0.1", ports.pop("store"))
    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        machines = [
            Machine(
                f"127.0.0.{number + 11}",
                ports,
                "abc"[number % 3],
                service,
                Path(directory),
                store,
                fields=fields,
            )
            for number, service in enumerate(services)
        ]
        async with open_listener(store.host, store.port, store.handle):
            try:
                yield Mesh(store, machines, record)
            finally:
                for machine in machines:
                    await machine.kill()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in Path(directory).glob("*.log"):
                        Path(keep, path.name).write_bytes(path.read_bytes())


def make_beat(
    machine: Machine, sequence: int, born: int, slots: int = 18, **fields
) -> dict:
    """Return the body of a heartbeat; fields override those of status."""
    status = {"state": "ready", "sequence": sequence, "cold_left_ms": 0}
    return {
        "address": f"{machine.host}:{machine.app_port}",
        "born": born,
        "info": {
            "service": machine.service,
            "version": "v1",
            "zone": machine.zone,
            "slots": slots,
        },
        "status": status | fields,
    }


class Instance:
    """An instance that sends heartbeats and serves its connections.

    A subclass says in serve_request what it does with a request.
    """

    def __init__(self, machine: Machine, record: Record, name: str = ""):
        self.machine = machine
        self.record = record
        number = machine.host.rpartition(".")[2]
        self.name = name or f"i-{number}"
        self.born = int(time.time() * 1000) - 60_000
        self.sequence = 0
        # Requests that it has run, by id.
        self.runs: dict[str, int] = {}
        self.state = "ready"
        self.is_beating = True

    async def beat(self) -> int:
        """Send one heartbeat; return the status."""
        self.sequence += 1
        body = make_beat(
            self.machine, self.sequence, self.born, state=self.state
        )
        return await self.machine.beat(self.name, body)

    async def run_beats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            if self.is_beating:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def start_run(self, request: Message) -> None:
        """Record that the instance begins to work on a request."""
        name = request.request_id
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record.add(f"{self.name} runs {name} ({request.first})")

    async def handle(self, reader, writer) -> None:
        """Serve one connection."""
        while True:
            request = await read_message(reader)
            if request is None:
                return
            if request.path == "/healthz":
                headers = [("X-Auburnjunction-Instance-Id", self.name)]
                writer.write(make_response(200, b"", headers))
            elif (
                request.header("X-Auburnjunction-Expect-Instance") != self.name
            ):
                headers = [("X-Auburnjunction-Instance-Id", self.name)]
                writer.write(make_response(421, b"", headers))
            else:
                await self.serve_request(request, writer)
            await writer.drain()

    async def serve_request(self, request: Message, writer) -> None:
        """Run the request and answer it."""
        self.start_run(request)
        await asyncio.sleep(0.02)
        writer.write(make_answer(request))


@contextlib.asynccontextmanager
async def open_instances(instances: list[Instance]):
    """Keep the instances listening and sending heartbeats."""
    async with contextlib.AsyncExitStack() as stack:
        for instance in instances:
            machine = instance.machine
            await stack.enter_async_context(
                open_listener(machine.host, machine.app_port, instance.handle)
            )
        beats = [asyncio.create_task(i.run_beats()) for i in instances]
        try:
            yield
        finally:
            for task in beats:
                task.cancel()


async def _play(
    play: Callable[[Record], Awaitable[bool]], record: Record
) -> bool:
    """Play a case within its time; SIGTERM ends it and its processes."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(play(record), 110)


def run_case(path: str, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Run a case, write its record and exit with its result.

    play returns whether the rule was broken.
    """
    record = Record(Path(path).resolve().parent / "record.txt")
    try:
        is_broken = asyncio.run(_play(play, record))
    except (asyncio.CancelledError, CannotRunError, OSError) as exc:
        record.add(f"cannot run: {exc!r}")
        record.write()
        print(f"cannot run: {exc!r}")
        sys.exit(EXIT_NOT_RUN)
    result = "broken" if is_broken else "held"
    record.add(f"rule {result}, TROUBLE={int(TROUBLE)}")
    record.write()
    print(f"rule {result}")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
