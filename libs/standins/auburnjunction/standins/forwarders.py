"""TCP forwarder that injects network faults into connections."""

import random
from contextlib import asynccontextmanager
from typing import Annotated

import attrs
import cappa
import curio
from absl import logging

from auburnjunction.base.clocks import Clock, SystemClock
from auburnjunction.base.errors import ExitCode
from auburnjunction.base.logs import configure_logs, log_event
from auburnjunction.base.programs import run_program
from auburnjunction.base.signals import catch_stop_signals
from auburnjunction.base.tasks import open_task_group
from auburnjunction.http.clients import Address
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.servers import bind_socket, open_server
from auburnjunction.standins.arguments import (
    make_address_option,
    make_port_option,
)
from auburnjunction.standins.faults import ForwarderFaults
from auburnjunction.standins.replies import (
    make_json_response,
    make_text_response,
    parse_body,
)

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
HOLD_POLL_INTERVAL_S = 0.02
MAX_CHUNKS = 256
TO_SERVER = "to-server"
TO_CLIENT = "to-client"


@attrs.frozen
class ForwarderStats:
    """Connections and forwarded bytes of a forwarder."""

    connections: int
    open_connections: int
    bytes_to_server: int
    bytes_to_client: int


@attrs.frozen(slots=True)
class Chunk:
    """Received bytes and when to write them; empty at end of stream."""

    data: bytes
    due_s: float


class Forwarder:
    """Forwards TCP connections to one address, with injected faults.

    Bytes held back by a cut or a silent connection are buffered and
    forwarded when the fault ends, as TCP retransmits after a partition.
    """

    def __init__(self, target: Address, clock: Clock):
        self._target = target
        self._clock = clock
        self._next_id = 0
        self._open = 0
        # Connections with a lower number are silent.
        self._silent_below_number = 0
        self._bytes = {TO_SERVER: 0, TO_CLIENT: 0}
        self.set_faults(ForwarderFaults())

    def set_faults(self, faults: ForwarderFaults) -> None:
        """Replace the faults and reseed their random numbers."""
        self.faults = faults
        self._random = random.Random(faults.seed)
        self._silent_below_number = self._next_id if faults.silent else 0

    @property
    def stats(self) -> ForwarderStats:
        """Connections and forwarded bytes so far."""
        return ForwarderStats(
            connections=self._next_id,
            open_connections=self._open,
            bytes_to_server=self._bytes[TO_SERVER],
            bytes_to_client=self._bytes[TO_CLIENT],
        )

    async def accept_connections(self, sock, group: curio.TaskGroup) -> None:
        """Accept connections until cancelled."""
        while True:
            client, _ = await sock.accept()
            if self.faults.refuse:
                await client.close()
                continue
            number = self._next_id
            self._next_id += 1
            await group.spawn(self._serve, client, number, daemon=True)

    async def _serve(self, client, number: int) -> None:
        self._open += 1
        try:
            async with client:
                await self._wait_while_held(number, TO_SERVER)
                await self._connect_and_forward(client, number)
        except (OSError, curio.TaskTimeout) as exc:
            logging.info("forwarded connection %d failed: %s", number, exc)
        finally:
            self._open -= 1

    async def _connect_and_forward(self, client, number: int) -> None:
        target = (self._target.host, self._target.port)
        server = await curio.timeout_after(
            CONNECT_TIMEOUT_S, curio.open_connection, *target
        )
        async with server, curio.TaskGroup(wait=any) as group:
            await group.spawn(
                self._forward_bytes, client, server, number, TO_SERVER
            )
            await group.spawn(
                self._forward_bytes, server, client, number, TO_CLIENT
            )

    async def _forward_bytes(
        self, source, target, number: int, direction: str
    ) -> None:
        """Forward bytes in one direction until either end closes."""
        chunks = curio.Queue(maxsize=MAX_CHUNKS)
        async with curio.TaskGroup(wait=all) as group:
            await group.spawn(self._read_chunks, source, chunks)
            await group.spawn(
                self._write_chunks, chunks, target, number, direction
            )

    async def _read_chunks(self, source, chunks: curio.Queue) -> None:
        """Read chunks and set the time at which each is to be written."""
        while True:
            data = await _receive(source)
            due_s = self._clock.monotonic() + self._draw_delay_s()
            await chunks.put(Chunk(data, due_s))
            if not data:
                return

    async def _write_chunks(
        self, chunks: curio.Queue, target, number: int, direction: str
    ) -> None:
        """Write each chunk when it is due and no fault holds it back."""
        while True:
            chunk = await chunks.get()
            wait_s = chunk.due_s - self._clock.monotonic()
            if wait_s > 0:
                await self._clock.sleep(wait_s)
            await self._wait_while_held(number, direction)
            if not chunk.data:
                return
            await target.sendall(chunk.data)
            self._bytes[direction] += len(chunk.data)

    async def _wait_while_held(self, number: int, direction: str) -> None:
        while self._is_held(number, direction):
            await self._clock.sleep(HOLD_POLL_INTERVAL_S)

    def _is_held(self, number: int, direction: str) -> bool:
        return number < self._silent_below_number or self.faults.cut in (
            "both",
            direction,
        )

    def _draw_delay_s(self) -> float:
        faults = self.faults
        delay_ms = faults.delay_ms
        if faults.jitter_ms:
            delay_ms += self._random.uniform(0, faults.jitter_ms)
        if faults.loss_share and self._random.random() < faults.loss_share:
            delay_ms += faults.loss_delay_ms
        return delay_ms / 1000

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Answer a request to the control port."""
        if request.path == "/stats":
            return make_json_response(self.stats)
        if request.path != "/faults":
            return make_text_response(
                404, f"no such path: {request.path}; use /faults or /stats"
            )
        if request.method == b"POST":
            faults = parse_body(request, ForwarderFaults)
            if isinstance(faults, HttpResponse):
                return faults
            self.set_faults(faults)
        return make_json_response(self.faults)


async def _receive(sock) -> bytes:
    try:
        return await sock.recv(CHUNK_BYTES)
    except OSError:
        return b""


@asynccontextmanager
async def open_forwarder(host: str, port: int, target: Address, clock: Clock):
    """Yield a Forwarder and its port; it forwards until the block ends."""
    sock = bind_socket(host, port)
    forwarder = Forwarder(target, clock)
    async with sock, open_task_group() as group:
        await group.spawn(forwarder.accept_connections, sock, group)
        yield forwarder, sock.getsockname()[1]


@cappa.command(name="auburn-standin-forwarder")
@attrs.frozen
class ForwarderCommand:
    """Forward TCP connections with injected network faults.

    The control port sets faults at POST /faults and serves GET /stats.
    """

    listen: Annotated[
        int, make_port_option("TCP port to accept connections on")
    ]
    to: Annotated[Address, make_address_option("HOST:PORT to forward to")]
    control: Annotated[
        int, make_port_option("TCP port that serves /faults and /stats")
    ] = attrs.field(factory=int)
    host: Annotated[
        str, cappa.Arg(long=True, help="IP address to listen on")
    ] = "127.0.0.1"


async def serve_forwarder(command: ForwarderCommand) -> None:
    """Forward until a stop signal."""
    clock = SystemClock()
    with catch_stop_signals() as stop:
        async with (
            open_forwarder(
                command.host, command.listen, command.to, clock
            ) as (forwarder, port),
            open_server(
                command.host, command.control, forwarder.handle_control, clock
            ) as control,
        ):
            log_event("forwarder ready", port=port, control=control.port)
            await stop.wait()
    log_event("forwarder stopped")


def run_forwarder(command: ForwarderCommand) -> None:
    """Run the forwarder in a new curio kernel."""
    configure_logs()
    curio.run(serve_forwarder, command)


def main() -> None:
    """Run the command-line program."""
    exit_codes = {AddressInUseError: ExitCode.ADDRESS_IN_USE}
    run_program(ForwarderCommand, run_forwarder, exit_codes)


if __name__ == "__main__":
    main()
