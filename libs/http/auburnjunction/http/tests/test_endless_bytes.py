"""Peers that send bytes without end, in a head or a body."""

import socket
import threading
import tracemalloc
from contextlib import contextmanager

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address, ConnectionPool
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.servers import open_server

HOST = "127.0.0.1"
CLOCK = SystemClock()
LIMITS = MessageLimits(
    head_bytes=16 * 1024,
    body_bytes=512 * 1024,
    head_timeout_s=0.5,
    body_timeout_s=0.5,
)
TIMEOUT_S = 1.0
# A caller is answered and other tasks run within these times.
ANSWER_LIMIT_S = TIMEOUT_S + 1.0
GAP_LIMIT_S = 0.75
MEMORY_LIMIT = 8 * 1024 * 1024
BLOCK = 16 * 1024

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", b"x" * BLOCK),
    "header": (HEAD + b"x-long: ", b"a" * BLOCK),
    "headers": (HEAD, b"x: y\r\n" * 3000),
    "blank lines": (b"", b"\r\n" * BLOCK),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    "early hints": (b"", b"HTTP/1.1 103 Hints\r\nlink: x\r\n\r\n" * 600),
    "body without length": (HEAD + b"\r\n", b"x" * BLOCK),
    "long body": (
        HEAD + b"content-length: 999999999999\r\n\r\n",
        b"x" * BLOCK,
    ),
    "chunks": (CHUNKED, b"4000\r\n" + b"x" * BLOCK + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 3000),
    "chunk extension": (CHUNKED + b"1;", b"a" * BLOCK),
    "extensions": (CHUNKED, b"1;" + b"a" * 500 + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"x: y\r\n" * 3000),
}
REQUESTS = {
    "request line": (b"GET /", b"x" * BLOCK),
    "header": (b"GET / HTTP/1.1\r\nx: ", b"a" * BLOCK),
    "headers": (b"GET / HTTP/1.1\r\n", b"x: y\r\n" * 3000),
    "blank lines": (b"", b"\r\n" * BLOCK),
    "chunks of one byte": (
        b"POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 3000,
    ),
    "trailers": (
        b"POST / HTTP/1.1\r\nhost: t\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x: y\r\n" * 3000,
    ),
    "requests": (b"", b"GET / HTTP/1.1\r\nhost: t\r\n\r\n" * 400),
}


def send_endlessly(sock, start, block):
    """Send until the peer closes."""
    try:
        sock.sendall(start)
        while True:
            sock.sendall(block)
    except OSError:
        sock.close()


@contextmanager
def open_endless_peer(start, block):
    """Yield the port of a listener that answers each request endlessly."""
    listener = socket.create_server((HOST, 0))

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.recv(65536)
            send_endlessly(sock, start, block)

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield listener.getsockname()[1]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(5)


async def watch_gaps(gaps_s):
    """Record the times between the turns of a task."""
    last_s = CLOCK.monotonic()
    while True:
        await curio.sleep(0.01)
        now_s = CLOCK.monotonic()
        gaps_s.append(now_s - last_s)
        last_s = now_s


async def run_watched(action):
    """Run an action; return its time and the longest gap of other tasks."""
    gaps_s = [0.0]
    watcher = await curio.spawn(watch_gaps, gaps_s)
    start_s = CLOCK.monotonic()
    await action()
    duration_s = CLOCK.monotonic() - start_s
    await curio.sleep(0.02)
    await watcher.cancel()
    return duration_s, max(gaps_s)


@contextmanager
def limit_memory():
    tracemalloc.start()
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] < MEMORY_LIMIT
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("name", RESPONSES)
def test_endless_response_ends_the_exchange(name):
    async def main(port):
        address = Address(HOST, port)
        pool = ConnectionPool(address, CLOCK, max_connections=1, limits=LIMITS)
        request = HttpRequest(b"GET", b"/", [(b"host", b"t")])

        async def exchange():
            with pytest.raises(HttpError):
                await pool.exchange(request, TIMEOUT_S)

        duration_s, gap_s = await run_watched(exchange)
        assert duration_s < ANSWER_LIMIT_S
        assert gap_s < GAP_LIMIT_S
        assert pool.is_unused

    with open_endless_peer(*RESPONSES[name]) as port, limit_memory():
        curio.run(main, port)


@pytest.mark.parametrize("name", REQUESTS)
def test_endless_request_occupies_no_other_caller(name):
    async def answer(_request):
        return HttpResponse(200)

    async def main():
        async with open_server(HOST, 0, answer, CLOCK, LIMITS) as server:
            sock = socket.create_connection((HOST, server.port))
            thread = threading.Thread(
                target=send_endlessly, args=(sock, *REQUESTS[name])
            )
            thread.start()
            pool = ConnectionPool(Address(HOST, server.port), CLOCK)

            async def call_beside():
                request = HttpRequest(b"GET", b"/", [(b"host", b"t")])
                for _ in range(20):
                    await pool.exchange(request, ANSWER_LIMIT_S)
                    await curio.sleep(0.02)

            _, gap_s = await run_watched(call_beside)
            assert gap_s < GAP_LIMIT_S
            await pool.close()
        await curio.run_in_thread(thread.join, 5)

    with limit_memory():
        curio.run(main)
