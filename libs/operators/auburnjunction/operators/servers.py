"""Administration server: gRPC on its own thread, handlers in curio."""

import asyncio
import errno
import socket
import threading
from collections.abc import AsyncIterator
from concurrent.futures import Future
from contextlib import asynccontextmanager

import attrs
import curio
from absl import logging
from grpclib.server import Server

from auburnjunction.http.errors import AddressInUseError
from auburnjunction.operators.backends import AdministrationBackend
from auburnjunction.operators.dispatchers import CallDispatcher
from auburnjunction.operators.services import AdministrationService

LISTEN_BACKLOG = 64
DRAIN_TIMEOUT_S = 10.0
WORKER_COUNT = 16


@attrs.frozen
class OperatorsServer:
    """A running server of the administration API."""

    port: int


class GrpcThread:
    """Runs the gRPC service on an asyncio event loop in its own thread."""

    def __init__(self, sock: socket.socket, calls: curio.UniversalQueue):
        self._sock = sock
        self._calls = calls
        self._started: Future = Future()
        self._thread = threading.Thread(
            target=self._run, name="operators", daemon=True
        )

    def start(self) -> None:
        """Start the thread and wait until the server is listening."""
        self._thread.start()
        self._started.result()

    def stop(self) -> None:
        """Finish the calls in flight, then end the thread."""
        loop, stopping = self._started.result()
        loop.call_soon_threadsafe(stopping.set)
        self._thread.join()

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except Exception as exc:
            if self._started.done():
                logging.exception("the operators' server has ended")
            else:
                self._started.set_exception(exc)

    async def _serve(self) -> None:
        service = AdministrationService(self._calls)
        server = Server([service])
        await server.start(sock=self._sock)
        stopping = asyncio.Event()
        self._started.set_result((asyncio.get_running_loop(), stopping))
        await stopping.wait()
        await service.drain(DRAIN_TIMEOUT_S)
        server.close()
        await server.wait_closed()


@asynccontextmanager
async def open_operators_server(
    host: str, port: int, backend: AdministrationBackend
) -> AsyncIterator[OperatorsServer]:
    """Yield a server of the administration API; port 0 picks a free one.

    Raise AddressInUseError when the address cannot be bound. On exit,
    waits up to DRAIN_TIMEOUT_S for calls in flight.
    """
    sock = bind_listener(host, port)
    calls = curio.UniversalQueue()
    dispatcher = CallDispatcher(backend)
    thread = GrpcThread(sock, calls)
    async with curio.TaskGroup(wait=None) as group:
        for _ in range(WORKER_COUNT):
            await group.spawn(_run_calls, calls, dispatcher)
        await curio.run_in_thread(thread.start)
        try:
            yield OperatorsServer(sock.getsockname()[1])
        finally:
            async with curio.disable_cancellation():
                await curio.run_in_thread(thread.stop)
            await group.cancel_remaining()


async def _run_calls(
    calls: curio.UniversalQueue, dispatcher: CallDispatcher
) -> None:
    while True:
        await dispatcher.run_call(await calls.get())


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    Raise AddressInUseError when the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError as exc:
        sock.close()
        reason = "is in use" if exc.errno == errno.EADDRINUSE else str(exc)
        raise AddressInUseError(host, port, reason) from exc
    sock.setblocking(False)
    return sock
