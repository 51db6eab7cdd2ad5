"""Stand-ins for the store, instances and clients of the users' pages.

They use the standard library only and listen on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Loopback addresses of this run only, so that runs share no ports.
NETWORK = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
STORE_IP = f"{NETWORK}.2"
HEARTBEAT_MS = 870
STATUS_TEXT = {200: "OK", 412: "Precondition Failed", 421: "Misdirected"}
# Copied from the example of settings for a small deployment.
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


class Record:
    """Lines of what was sent, answered and run, with the time of each."""

    def __init__(self):
        self.start_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def save(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Message:
    """A request or a response; header names are lower case."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def words(self) -> list[str]:
        """Words of the first line."""
        return self.first.split(" ", 2)


async def read_message(reader) -> Message | None:
    """Return the next message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError("the head is not complete") from exc
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError("the body is not complete") from exc
    return Message(first, headers, body)


def encode_response(status: int, headers: dict[str, str], body=b"") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@contextlib.asynccontextmanager
async def open_listener(serve, ip: str, port: int):
    """Yield while connections are served; end them all at the end."""
    tasks = set()

    async def handle(reader, writer):
        task = asyncio.current_task()
        tasks.add(task)
        try:
            await serve(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(handle, ip, port, backlog=1024)
    try:
        yield
    finally:
        server.close()
        running = list(tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, port: int):
        self.port = port
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does."""
        self.version += 1
        text = base64.b64encode(value).decode()
        self.rows[table, "", key] = (text, self.version)
        async with self._changed:
            self._changed.notify_all()

    async def serve(self, reader, writer) -> None:
        """Serve the calls of one connection."""
        while (request := await read_message(reader)) is not None:
            _, target, _ = request.words
            path, _, query = target.partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            await asyncio.sleep(0.004)
            status, body = await self._respond(path, fields, request.body)
            body.update(now_ms=int(time.monotonic() * 1000))
            writer.write(
                encode_response(
                    status,
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode(),
                )
            )
            await writer.drain()

    async def _respond(self, path, fields, body) -> tuple[int, dict]:
        if path == "/rows-get":
            return 200, self._get(fields)
        if path == "/rows-feed":
            return 200, await self._feed(fields)
        if path == "/rows-tx":
            return await self._transact(json.loads(body))
        return 404, {}

    def _get(self, fields) -> dict:
        table, part = fields["table"], fields.get("part", "")
        first, end = fields.get("from", ""), fields.get("target")
        found = [
            self._encode(key)
            for key in sorted(self.rows)
            if key[:2] == (table, part)
            and key[2] >= first
            and (end is None or key[2] < end)
        ]
        limit = int(fields.get("limit", 500))
        return {
            "rows": found[:limit],
            "has_more": len(found) > limit,
            "ver": self.version,
        }

    async def _feed(self, fields) -> dict:
        after = int(fields["after"])
        end_s = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                self._encode(key)
                for key, (_, version) in self.rows.items()
                if key[0] == fields["table"] and version > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return {"rows": rows, "ver": self.version}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()

    async def _transact(self, body) -> tuple[int, dict]:
        conditions = [(_key(c), c["ver"]) for c in body["expected_revision"]]
        if any(self.rows.get(k, ("", 0))[1] != v for k, v in conditions):
            rows = [self._encode(k) for k, _ in conditions if k in self.rows]
            return 412, {"rows": rows, "ver": self.version}
        self.version += 1
        for entry in body.get("writes", ()):
            self.rows[_key(entry)] = (entry["value"], self.version)
        for entry in body.get("remove", ()):
            self.rows.pop(_key(entry), None)
        async with self._changed:
            self._changed.notify_all()
        return 200, {"ver": self.version}

    def _encode(self, key) -> dict:
        value, version = self.rows[key]
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "ver": version,
        }


def _key(entry) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


@dataclass
class Run:
    """One request that an instance began to work on."""

    request_id: str
    instance: str
    started_s: float
    ended_s: float | None = None
    complete: bool = False


@dataclass
class Instance:
    """A sound instance with slots and a short queue."""

    record: Record
    name: str
    service: str
    ip: str
    port: int
    slots: int
    work_s: float
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    runs: list[Run] = field(default_factory=list)
    # Work of requests whose path begins so, if it is not work_s.
    work_by_prefix: dict[str, float] = field(default_factory=dict)
    queue: int = 72
    sequence: int = 0
    state: str = "ready"
    waiting: int = 0
    running: int = 0

    def __post_init__(self):
        self._free = asyncio.Semaphore(self.slots)

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one connection, one at a time."""
        while (request := await read_message(reader)) is not None:
            task = asyncio.ensure_future(self._respond(request))
            gone = asyncio.ensure_future(_wait_for_end(reader))
            await asyncio.wait(
                [task, gone], return_when=asyncio.FIRST_COMPLETED
            )
            gone.cancel()
            if not task.done():
                # The connection has closed, so the request is dropped.
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                return
            writer.write(task.result())
            await writer.drain()

    async def _respond(self, request: Message) -> bytes:
        headers = {"Keep-Alive": "timeout=10"}
        headers["X-Auburnjunction-Server-Load"] = (
            f"{self.running},{self.waiting},{self.slots}"
        )
        if request.words[1].startswith("/healthz"):
            headers["X-Auburnjunction-Instance-Id"] = self.name
            return encode_response(200, headers)
        request_id = request.headers.get("x-auburnjunction-request-id", "")
        headers["X-Auburnjunction-Request-Id"] = request_id
        expected = request.headers.get("x-auburnjunction-expect-instance")
        if expected not in (None, self.name):
            return encode_response(421, headers)
        left_s = int(request.headers["x-auburnjunction-timeout-ms"]) / 1000
        if self.waiting >= self.queue:
            headers["X-Auburnjunction-Not-Executed"] = "1"
            return encode_response(503, headers)
        work_s = self._find_work(request.words[1])
        status = await self._run(request_id, work_s, left_s)
        if status == 503:
            headers["X-Auburnjunction-Not-Executed"] = "1"
            return encode_response(503, headers)
        headers["X-Auburnjunction-Response-Signature"] = f"s.{request_id}"
        return encode_response(status, headers, request_id.encode())

    def _find_work(self, target: str) -> float:
        for prefix, work_s in self.work_by_prefix.items():
            if target.startswith(prefix):
                return work_s
        return self.work_s

    async def _run(self, request_id: str, work_s: float, left_s: float) -> int:
        """Run a request; return 200, 504 at the deadline, 503 if not run."""
        end_s = time.monotonic() + left_s
        self.waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await self._free.acquire()
        except TimeoutError:
            return 503
        finally:
            self.waiting -= 1
        run = Run(request_id, self.name, self.record.now_s())
        self.runs.append(run)
        self.record.add(f"run    {request_id} begins at {self.name}")
        self.running += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + end_s - time.monotonic()
            ):
                await asyncio.sleep(work_s)
            run.complete = True
            return 200
        except TimeoutError:
            return 504
        finally:
            run.ended_s = self.record.now_s()
            state = "ends" if run.complete else "is dropped"
            self.record.add(f"run    {request_id} {state} at {self.name}")
            self.running -= 1
            self._free.release()

    @contextlib.asynccontextmanager
    async def listen(self):
        """Yield while the instance serves; it is gone afterwards."""
        async with open_listener(self.serve, self.ip, self.port):
            yield

    async def live(self, address: tuple[str, int]) -> None:
        """Serve and send heartbeats until cancelled, as one incarnation."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        async with self.listen():
            self.record.add(f"start  {self.name}")
            await self.send_heartbeats(address)

    async def send_heartbeats(self, address: tuple[str, int]) -> None:
        """Send heartbeats to the control address until cancelled."""
        while True:
            with contextlib.suppress(OSError, TimeoutError, ConnectionError):
                await self.announce(address)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def announce(self, address: tuple[str, int]) -> int:
        """Send one heartbeat; return the status of the answer."""
        self.sequence += 1
        body = {
            "address": f"{self.ip}:{self.port}",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_left_ms": 0,
            },
        }
        return await post_json(
            address, f"/instances/{self.name}/heartbeat", body
        )


async def _wait_for_end(reader) -> None:
    """Return when the peer has closed; it sends nothing meanwhile."""
    while not reader.at_eof():
        await asyncio.sleep(0.01)


async def post_json(address, path: str, body: dict) -> int:
    """Post a body on a new connection; return the status within 1 s."""
    data = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
    )
    async with asyncio.timeout(1):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(head.encode() + b"\r\n" + data)
            response = await read_message(reader)
        finally:
            writer.close()
    return int(response.words[1]) if response else 0


@dataclass
class Result:
    """What a client saw of one request; status 0 means no answer."""

    request_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    signed: bool = False
    gave_up: bool = False
    detail: str = ""


async def send_request(
    record: Record,
    address: tuple[str, int],
    host: str,
    path: str,
    request_id: str,
    timeout_ms: int,
    method: str = "GET",
    body: bytes = b"",
    connection=None,
) -> Result:
    """Send a request and return what the client saw.

    connection is a kept one, as asyncio.open_connection() returns it; without
    one, a new connection is used and closed.
    """
    result = Result(request_id, record.now_s())
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Auburnjunction-Request-Id: {request_id}\r\n"
        f"X-Auburnjunction-Timeout-Ms: {timeout_ms}\r\n"
    )
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    record.add(f"sent   {request_id} to {address[0]}")
    writer = None
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            reader, writer = connection or await asyncio.open_connection(
                *address
            )
            result.sent_s = record.now_s()
            writer.write(head.encode() + b"\r\n" + body)
            response = await read_message(reader)
        if response is None:
            result.detail = "the connection was closed without an answer"
        else:
            result.status = int(response.words[1])
            name = "x-auburnjunction-response-signature"
            result.signed = name in response.headers
    except TimeoutError:
        result.gave_up = True
        result.detail = "the client's time has passed"
    except (ConnectionError, OSError) as exc:
        result.detail = f"the connection broke: {exc}"
    finally:
        if writer is not None and connection is None:
            writer.close()
    result.ended_s = record.now_s()
    record.add(f"answer {request_id} {result.status or result.detail}")
    return result


@dataclass
class Node:
    """One node, started by the command of the deploy file."""

    record: Record
    name: str
    service: str
    ip: str
    ports: dict[str, int]
    store_port: int
    folder: Path
    bounds: dict = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    def address(self, listener: str) -> tuple[str, int]:
        """Return the address of a listener."""
        return self.ip, self.ports[listener]

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process."""
        path = self.write_settings(bootstrap)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "AUBURNJUNCTION_SETTINGS": str(path),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        start = asyncio.ensure_future(
            asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        )
        try:
            self.process = await asyncio.shield(start)
        except asyncio.CancelledError:
            # Whoever ends the case must know of the process.
            self.process = await start
            raise
        finally:
            log.close()
        self.record.add(f"start  {self.name}")

    def write_settings(self, bootstrap: bool = False) -> Path:
        """Replace the settings file; return its path."""
        path = self.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self._make_settings(bootstrap)))
        return new.rename(path)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.add(f"signal {number.name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self, limit_s: float) -> int | None:
        """Return the exit code, or None if it still runs after the limit."""
        try:
            async with asyncio.timeout(limit_s):
                code = await self.process.wait()
        except TimeoutError:
            return None
        self.record.add(f"ended  {self.name} with code {code}")
        return code

    async def is_ready(self) -> bool:
        """Return whether /readyz answers 200."""
        head = b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    *self.address("ready")
                )
                try:
                    writer.write(head + b"\r\n")
                    response = await read_message(reader)
                finally:
                    writer.close()
        except (TimeoutError, OSError):
            return False
        return response is not None and response.words[1] == "200"

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def _make_settings(self, bootstrap: bool) -> dict:
        return {
            "node": self.name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {n: f"{self.ip}:{p}" for n, p in self.ports.items()},
            "seeds": [],
            "bootstrap": bootstrap,
            "limits": {
                "cpu_share": 0.86,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": {**BOUNDS, **self.bounds},
            "service": self.service,
            "platform": {
                "address": f"{STORE_IP}:{self.store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 5.0,
                "appends_per_s": 200,
                "row_bytes": 65536,
                "across": False,
                "history_s": 20,
            },
        }


def make_route(name: str, service: str, **fields) -> dict:
    """Return a route of the operator's configuration."""
    spec = {
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": "safe",
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return {
        "resource_type": "routes",
        "metadata": {"name": name},
        "spec": {**spec, **fields},
    }


def make_configuration(version: int, services, routes) -> bytes:
    """Return a configuration as the operator writes it."""
    resources = list(routes)
    for service in services:
        spec = {"health_path": "/healthz", "max_connections": 120}
        resources.append(
            {
                "resource_type": "services",
                "metadata": {"name": service},
                "spec": {**spec, "protocol": "h1", "tls": False},
            }
        )
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    resources.append(
        {"resource_type": "limits", "metadata": {}, "spec": limits}
    )
    document = {
        "version": f"r{version}",
        "base_version": f"r{version - 1}",
        "resources": resources,
    }
    return json.dumps(document).encode()


def find_free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free on a loopback address."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]


class Deployment:
    """A store, and nodes with an instance beside each."""

    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.folder = folder
        self.store = Store(*find_free_ports(STORE_IP, 1))
        self.nodes: list[Node] = []
        self.instances: list[Instance] = []
        self._stack = contextlib.AsyncExitStack()
        self._lives: dict[str, asyncio.Task] = {}

    async def open_store(self, configuration: bytes) -> None:
        """Start the store and write the first configuration."""
        await self._stack.enter_async_context(
            open_listener(self.store.serve, STORE_IP, self.store.port)
        )
        await self.store.put("op", "config", configuration)

    async def add_machine(
        self, service: str, slots: int, work_s: float, bounds=None
    ) -> tuple[Node, Instance]:
        """Start a node and the instance beside it."""
        number = len(self.nodes) + 1
        ip = f"{NETWORK}.{10 + number}"
        names = ("inbound", "outbound", "ready", "control")
        port, *others = find_free_ports(ip, 1 + len(names))
        ports = dict(zip(names, others, strict=True))
        node = Node(
            self.record,
            f"sidecar-a-{number}",
            service,
            ip,
            ports,
            self.store.port,
            self.folder,
            bounds or {},
        )
        instance = Instance(
            self.record,
            f"i-{number:08x}",
            service,
            ip,
            port,
            slots,
            work_s,
        )
        self.nodes.append(node)
        self.instances.append(instance)
        await node.start(bootstrap=True)
        self.start_instance(instance)
        return node, instance

    def start_instance(self, instance: Instance) -> None:
        """Start an incarnation of an instance."""
        node = self.nodes[self.instances.index(instance)]
        life = instance.live(node.address("control"))
        self._lives[instance.name] = asyncio.ensure_future(life)

    async def crash_instance(self, instance: Instance) -> None:
        """End an instance; its connections break."""
        self.record.add(f"crash  {instance.name}")
        life = self._lives.pop(instance.name)
        life.cancel()
        await asyncio.gather(life, return_exceptions=True)

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait until all nodes are ready; raise TimeoutError."""
        async with asyncio.timeout(limit_s):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)
        self.record.add("all nodes are ready")

    async def close(self) -> None:
        """End all processes and listeners."""
        lives = list(self._lives.values())
        for life in lives:
            life.cancel()
        await asyncio.gather(*lives, return_exceptions=True)
        for node in self.nodes:
            await node.stop()
        await self._stack.aclose()


@contextlib.asynccontextmanager
async def open_deployment(record: Record):
    """Yield a deployment whose files are in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, Path(folder))
        try:
            yield deployment
        finally:
            await deployment.close()


class PoliteClients:
    """Clients of one machine that send again once they are answered.

    As the pages say, they get no new work once their node has missed two
    polls of /readyz.
    """

    def __init__(self, record: Record, node: Node, path: str, timeout_ms: int):
        self.results: list[Result] = []
        self._record = record
        self._node = node
        self._path = path
        self._timeout_ms = timeout_ms
        self._misses = 0

    async def run(self, count: int, spread_s: float, end_s: float) -> None:
        """Send until end_s; return when all requests have ended.

        The first requests are spread over spread_s.
        """
        poll = asyncio.ensure_future(self._poll())
        await asyncio.gather(
            *(self._send(n, n * spread_s / count, end_s) for n in range(count))
        )
        poll.cancel()

    async def _poll(self) -> None:
        while True:
            ready = await self._node.is_ready()
            self._misses = 0 if ready else self._misses + 1
            await asyncio.sleep(1)

    async def _send(self, number: int, delay_s: float, end_s: float) -> None:
        await asyncio.sleep(delay_s)
        step = 0
        while time.monotonic() < end_s:
            if self._misses >= 2:
                await asyncio.sleep(0.1)
                continue
            step += 1
            result = await send_request(
                self._record,
                self._node.address("outbound"),
                "shop.example",
                self._path,
                f"c{number:02d}-{step:03d}",
                self._timeout_ms,
            )
            self.results.append(result)
            if result.status != 200:
                await asyncio.sleep(1.0)


def has_trouble() -> bool:
    """Return whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder: Path, limit_s: float = 110.0) -> int:
    """Run a case; write record.txt; return the exit code.

    The case returns whether the rule was broken.
    """
    record = Record()

    async def run() -> bool:
        # The processes are ended as well if the script is stopped.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s), open_deployment(record) as dep:
            return await case(record, dep)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        record.add(f"the case could not run: {exc!r}")
        code = 2
    else:
        record.add("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    record.save(folder / "record.txt")
    print("\n".join(record.lines[-12:]))
    return code
