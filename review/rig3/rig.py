"""Stand-ins for the platform, backend servers and clients of a review case.

They speak the published protocol over loopback addresses and use only the
standard library. Nodes run as processes, with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CONTACT_S = 3.0
PORT_RANGE = (10000, 32000)
_taken_ports = set()
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
    "retry_slack": 62,
    "recover_s": 15,
}
ID = "x-auburnjunction-request-id"
SIGNATURE = "x-auburnjunction-response-signature"
EXPECTED = "x-auburnjunction-expect-instance"
TIMEOUT = "x-auburnjunction-timeout-ms"
NOT_EXECUTED = "x-auburnjunction-not-executed"
# How a call to a process fails that has ended or does not answer.
CALL_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError)


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self.start_s = time.monotonic()

    def write(self, *words):
        """Write a line."""
        age_s = time.monotonic() - self.start_s
        line = " ".join(str(word) for word in words)
        with self._path.open("a", encoding="utf-8") as file:
            print(f"{age_s:8.3f} {line}", file=file)


def find_ports(count):
    """Return free ports, each once in this process.

    They are below the range from which the system takes the ports of
    outgoing connections, so that none is taken before its listener starts.
    """
    found = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            found.append(port)
    return found


class Message:
    """A request or response: start line, headers and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self):
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self):
        """Target of a request."""
        return self.start.split(" ")[1]

    def get(self, name, default=None):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return default


async def read_head(reader):
    """Return start line and headers; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0], [(k.strip().lower(), v.strip()) for k, v in pairs]


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    length = int(fields.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


async def read_message(reader):
    """Return a whole message, or None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    if start.startswith("HTTP/") and start.split(" ")[1] in ("204", "304"):
        return Message(start, headers, b"")
    return Message(start, headers, await read_body(reader, headers))


def format_message(start, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{k}: {v}" for k, v in headers)]
    if body or not start.startswith("GET"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows with versions, long polls, transactions.

    mode is "up", "silent" (requests get no answer), "busy" (503) or "reset".
    """

    def __init__(self, port):
        self.port = port
        self.mode = "up"
        # Seconds before each response.
        self.delay_s = 0.004
        self.rows = {}
        self.log = []
        self.version = 0
        self.requests = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def put(self, table, key, value, part=""):
        """Write a row as the operator does."""
        self.version += 1
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self.version,
        }
        self.rows[(table, part, key)] = row
        self.log.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _remove(self, table, key, part):
        if self.rows.pop((table, part, key), None) is None:
            return
        self.version += 1
        row = {"table": table, "part": part, "key": key, "tombstone": True}
        self.log.append({**row, "ver": self.version})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                self.requests += 1
                await self._answer(message, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message, writer):
        """Answer a request, as far as the store is up."""
        if self.mode == "reset":
            writer.transport.abort()
            raise OSError("the store is down")
        if self.mode == "silent":
            await asyncio.sleep(3600)
        status, body = 503, {}
        if self.mode == "up":
            status, body = await self._handle(message)
        await asyncio.sleep(self.delay_s)
        if self.mode in ("silent", "reset"):
            writer.transport.abort()
            raise OSError("the store is down")
        headers = [("Content-Type", "application/json")]
        start = f"HTTP/1.1 {status} X"
        content = json.dumps(body).encode()
        writer.write(format_message(start, headers, content))
        await writer.drain()

    async def _handle(self, message):
        path, _, query = message.target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            return 200, self._get(args)
        if path == "/rows-feed":
            return 200, await self._feed(args)
        if path == "/rows-tx":
            return self._transact(json.loads(message.body))
        return 404, {}

    def _wrap(self, rows, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.version, "now_ms": now_ms, **fields}

    def _get(self, args):
        limit = int(args.get("limit", 500))
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == args["table"]
            and part == args.get("part", "")
            and args.get("from", "") <= key
            and ("target" not in args or key < args["target"])
        ]
        return self._wrap(found[:limit], has_more=len(found) > limit)

    async def _feed(self, args):
        after, table = int(args["after"]), args["table"]
        end_s = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                row
                for row in self.log
                if row["table"] == table and row["ver"] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return self._wrap(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body):
        expected = body.get("expected_revision", [])
        current = [
            self.rows.get((r["table"], r.get("part", ""), r["key"]))
            for r in expected
        ]
        for row, held in zip(expected, current, strict=True):
            if row["ver"] != (held["ver"] if held else 0):
                return 412, self._wrap([held for held in current if held])
        for row in body.get("writes", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value, row.get("part", ""))
        for row in body.get("remove", []):
            self._remove(row["table"], row["key"], row.get("part", ""))
        return 200, self._wrap([])


def make_route(name, service, **fields):
    """Return a route resource."""
    spec = {
        "host": "shop.example",
        "prefix": f"/{name}/",
        "service": service,
        "kind": "safe",
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }
    return {
        "resource_type": "routes",
        "metadata": {"name": name},
        "spec": spec,
    }


def make_configuration(version, routes, services, limits=None, tenants=()):
    """Return the bytes of a configuration."""
    resources = list(routes)
    for name in services:
        spec = {"health_path": "/healthz", "max_connections": 130}
        resources.append(
            {
                "resource_type": "services",
                "metadata": {"name": name},
                "spec": spec,
            }
        )
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
        **(limits or {}),
    }
    resources.append({"resource_type": "limits", "metadata": {}, "spec": spec})
    for name, spec in tenants:
        resources.append(
            {
                "resource_type": "tenants",
                "metadata": {"name": name},
                "spec": spec,
            }
        )
    document = {
        "version": version,
        "base_version": "r0",
        "resources": resources,
    }
    return json.dumps(document).encode()


class Instance:
    """A backend server: runs requests in its slots, sends heartbeats.

    behave is called with the request and the connection's writer once a
    request runs. It returns a Message to send, or None if it has answered
    or ended the connection itself.
    """

    def __init__(self, name, service, record, slots=6):
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.port = find_ports(1)[0]
        self.control_port = 0
        self.zone = "a"
        self.work_s = 0.05
        self.state = "ready"
        self.beats = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        # (request id, time, method, target, body, headers) of each run.
        self.runs = []
        self.acknowledged_s = {}
        self.behave = self.answer
        self._server = None
        self._task = None
        self._writers = set()

    async def start(self):
        """Listen, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self._task = asyncio.create_task(self._beat())

    async def stop(self):
        """End as a process that is killed."""
        self._task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            if self.beats:
                with contextlib.suppress(*CALL_ERRORS):
                    await self.send_heartbeat()
            await asyncio.sleep(1.0)

    def make_heartbeat(self, state):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "address": f"{HOST}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "cold_left_ms": 0,
            },
        }

    async def send_heartbeat(self):
        """Send a heartbeat; return the status of its answer."""
        state = self.state
        status = await self.post("heartbeat", self.make_heartbeat(state))
        if status == 200 and state not in self.acknowledged_s:
            self.acknowledged_s[state] = time.monotonic()
            self.record.write("beat acknowledged", self.name, state)
        return status

    async def deregister(self):
        """Say that the instance is gone; return the status of the answer."""
        status = await self.post("deregister", {"born": self.born})
        if status == 200:
            self.acknowledged_s["gone"] = time.monotonic()
            self.record.write("deregistered", self.name)
        return status

    async def post(self, action, body):
        """Call the node of this host; return the status of the answer."""
        content = json.dumps(body).encode()
        start = f"POST /instances/{self.name}/{action} HTTP/1.1"
        headers = [("Host", "node"), ("Content-Type", "application/json")]
        data = format_message(start, headers, content)
        answer = await exchange(self.control_port, data, 1.0)
        return answer.status

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if message.target == "/healthz":
                    headers = [("X-Auburnjunction-Instance-Id", self.name)]
                    status = 200 if self.state == "ready" else 503
                    start = f"HTTP/1.1 {status} X"
                    writer.write(format_message(start, headers))
                    continue
                if message.get(EXPECTED) not in (None, self.name):
                    writer.write(format_message("HTTP/1.1 421 X", []))
                    continue
                await self._run(reader, message, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, reader, message, writer):
        if self.running >= 2 * self.slots:
            headers = [(ID, message.get(ID)), (NOT_EXECUTED, "1")]
            writer.write(format_message("HTTP/1.1 503 X", headers))
            return
        self.running += 1
        request_id = message.get(ID)
        self.runs.append((request_id, time.monotonic(), message))
        self.record.write(
            "run", self.name, request_id, message.method, message.target
        )
        try:
            answer = await self.behave(message, writer)
            if answer is not None:
                writer.write(answer)
                await writer.drain()
        finally:
            self.running -= 1

    def make_answer(self, message, body=None, status=200, headers=()):
        """Return the bytes of a signed answer."""
        request_id = message.get(ID)
        if body is None:
            body = f"{self.name} {request_id}".encode()
        fields = [
            (ID, request_id),
            (SIGNATURE, f"sig-{request_id}"),
            ("X-Auburnjunction-Server-Load", f"{self.running},0,{self.slots}"),
            *headers,
        ]
        return format_message(f"HTTP/1.1 {status} X", fields, body)

    async def answer(self, message, _writer):
        """Work, then answer."""
        await asyncio.sleep(self.work_s)
        return self.make_answer(message)


async def exchange(port, data, timeout_s):
    """Send bytes on a new connection; return the response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(data)
            message = await read_message(reader)
            if message is None:
                raise OSError("closed without a response")
            return message
        finally:
            writer.close()


class Client:
    """A client's kept connection to the outbound address of a node."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def connect(self):
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.port
        )
        return self

    def send(self, request_id, path, timeout_ms, **options):
        """Send a request."""
        self.writer.write(
            make_request(request_id, path, timeout_ms, **options)
        )

    async def receive(self, timeout_s):
        """Return the next response; None if the node has closed."""
        async with asyncio.timeout(timeout_s):
            return await read_message(self.reader)

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def make_request(
    request_id, path, timeout_ms, method="GET", body=b"", headers=()
):
    """Return the bytes of a client's request."""
    fields = [
        ("Host", "shop.example"),
        ("X-Auburnjunction-Request-Id", request_id),
        ("X-Auburnjunction-Timeout-Ms", timeout_ms),
        *headers,
    ]
    return format_message(f"{method} {path} HTTP/1.1", fields, body)


class Node:
    """A node process with a settings file of its own."""

    def __init__(self, name, zone, service, store_port, folder, **options):
        ports = find_ports(4)
        keys = ("inbound", "outbound", "ready", "control")
        self.name = name
        self.ports = dict(zip(keys, ports, strict=True))
        self.folder = folder
        self.process = None
        self.settings = {
            "node": name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": HOST,
            "zone": zone,
            "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {k: f"{HOST}:{p}" for k, p in self.ports.items()},
            "port_range": [],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.86,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat_ms": 1000,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "platform",
            ],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "app_addr": "",
            "service": service,
            "platform": {
                "address": f"{HOST}:{store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 5.0,
                "appends_per_s": 200,
                "row_bytes": 65536,
                "across": False,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_per_s": 80.0,
            },
            **options,
        }

    async def start(self):
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["AUBURNJUNCTION_SETTINGS"] = str(path)
        command = read_command()
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Return whether GET /readyz is answered with 200."""
        data = format_message("GET /readyz HTTP/1.1", [("Host", "node")])
        try:
            answer = await exchange(self.ports["ready"], data, 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


def read_command():
    """Return the command of the role in the deploy file."""
    import tomllib

    content = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    return tomllib.loads(content)["roles"]["node"]["run"].split()


class Mesh:
    """A store, nodes and their backend servers."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store(find_ports(1)[0])
        self.nodes = []
        self.instances = []

    def add(self, zone, service, slots=6, **options):
        """Add a node with an instance."""
        count = len(self.nodes) + 1
        node = Node(
            f"sidecar-{zone}-{count}",
            zone,
            service,
            self.store.port,
            self.folder,
            **options,
        )
        instance = Instance(f"i-{count:04d}", service, self.record, slots)
        instance.zone = zone
        instance.control_port = node.ports["control"]
        node.settings["app_addr"] = f"{HOST}:{instance.port}"
        self.nodes.append(node)
        self.instances.append(instance)
        return node, instance

    async def start(self, configuration):
        """Start all, write the configuration and wait until all are ready."""
        await self.store.start()
        for node in self.nodes:
            await node.start()
        for instance in self.instances:
            await instance.start()
        await asyncio.sleep(1.5)
        self.store.put("op", "config", configuration)
        end_s = time.monotonic() + 20
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end_s:
                raise CannotRunError("the nodes did not become ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(CONTACT_S)
        self.record.write("nodes ready", len(self.nodes))

    async def stop(self):
        """End all processes."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.signal(signal.SIGCONT)
            await node.kill()
        for instance in self.instances:
            if instance._server is not None:
                await instance.stop()


class CannotRunError(Exception):
    """The case could not be played."""


def run_case(play, folder):
    """Play a case; exit with 1 if it found the rule broken, else 0 or 2.

    play is called with the mesh and whether there is a disruption, and
    returns whether the rule was broken.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        with tempfile.TemporaryDirectory() as name:
            mesh = Mesh(record, Path(name))
            try:
                async with asyncio.timeout(110):
                    return await play(mesh, trouble)
            finally:
                await mesh.stop()
                if "KEEP_LOGS" in os.environ:
                    for path in Path(name).glob("*.log"):
                        target = Path(os.environ["KEEP_LOGS"]) / path.name
                        target.write_bytes(path.read_bytes())

    # As Ctrl-C: the processes of the case are ended first.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as exc:  # noqa: BLE001
        record.write("cannot run:", repr(exc))
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    record.write("rule", "broken" if broken else "held")
    sys.exit(1 if broken else 0)
