"""Exchanges between HTTP client and server over loopback."""

import gc
import socket

import curio
import pytest

from auburnjunction.base.clocks import ManualClock, SystemClock
from auburnjunction.http.clients import (
    Address,
    ClientConnection,
    ConnectionPool,
    PoolRegistry,
)
from auburnjunction.http.errors import (
    AddressInUseError,
    ExchangeTimeoutError,
    NotSentError,
    TruncatedError,
)
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.servers import bind_socket, open_server

HOST = "127.0.0.1"


async def echo(request):
    return HttpResponse(200, [(b"x-target", request.target)], request.body)


async def send_raw_request(port, data):
    sock = await curio.open_connection(HOST, port)
    async with sock:
        await sock.sendall(data)
        received = b""
        async with curio.timeout_after(5):
            while chunk := await sock.recv(65536):
                received += chunk
        return received


@pytest.mark.parametrize(
    ("method", "body"),
    [
        (b"GET", b""),
        (b"POST", b"hello"),
        (b"POST", b""),
        (b"PUT", b"x" * 300_000),
        (b"HEAD", b""),
    ],
)
def test_exchange_returns_complete_response(method, body):
    async def main():
        clock = SystemClock()
        async with open_server(HOST, 0, echo, clock) as server:
            pool = ConnectionPool(Address(HOST, server.port), clock)
            for index in range(3):
                target = b"/item/%d" % index
                request = HttpRequest(
                    method, target, [(b"host", b"test")], body
                )
                response = await pool.exchange(request, 5)
                assert response.status == 200
                assert response.body == body
                assert response.header(b"x-target") == target
            assert pool.idle_count == 1
            await pool.close()

    curio.run(main)


HEAD = b"POST / HTTP/1.1\r\nhost: t\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", b"400"),
        (
            HEAD
            + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"0\r\n\r\n",
            b"400",
        ),
        (HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (HEAD + b"content-length: 99999\r\n\r\n", b"413"),
        (
            HEAD
            + b"transfer-encoding: chunked\r\n\r\n400\r\n"
            + b"x" * 1024
            + b"\r\n1\r\nx\r\n0\r\n\r\n",
            b"413",
        ),
        (b"GET / HTTP/1.1\r\nx-long: " + b"a" * 5000, b"431"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (HEAD + b"content-length: 5\r\n\r\nab", b"408"),
    ],
)
def test_malformed_request_gets_error_status(data, status):
    limits = MessageLimits(
        head_bytes=2048,
        body_bytes=1024,
        head_timeout_s=0.2,
        body_timeout_s=0.2,
    )

    async def main():
        clock = SystemClock()
        async with open_server(HOST, 0, echo, clock, limits) as server:
            received = await send_raw_request(server.port, data)
        assert received.startswith(b"HTTP/1.1 " + status)
        assert b"auburn-outcome: not-run" in received

    curio.run(main)


async def serve_once(sock, reply):
    peer, _ = await sock.accept()
    async with peer:
        await peer.recv(65536)
        if reply is None:
            await curio.sleep(60)
        await peer.sendall(reply)


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (b"", TruncatedError),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", TruncatedError),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc",
            TruncatedError,
        ),
        (None, ExchangeTimeoutError),
    ],
)
def test_truncated_or_missing_response_raises(reply, error):
    async def main():
        clock = SystemClock()
        sock = bind_socket(HOST, 0)
        task = await curio.spawn(serve_once, sock, reply)
        pool = ConnectionPool(Address(HOST, sock.getsockname()[1]), clock)
        request = HttpRequest(b"GET", b"/", [(b"host", b"test")])
        with pytest.raises(error):
            await pool.exchange(request, 0.3)
        assert pool.idle_count == 0
        await task.cancel()
        await sock.close()

    curio.run(main)


def test_sweep_closes_idle_connections_and_removes_unused_pools():
    async def main():
        manual = ManualClock()
        async with open_server(HOST, 0, echo, SystemClock()) as server:
            pools = PoolRegistry(manual, idle_limit_s=30)
            address = Address(HOST, server.port)
            pool = pools.get(address)
            await pool.exchange(
                HttpRequest(b"GET", b"/", [(b"host", b"t")]), 5
            )
            await pools.sweep()
            assert (pool.idle_count, pools.get(address)) == (1, pool)
            manual.advance(31)
            await pools.sweep()
            assert pool.idle_count == 0
            assert pools.get(address) is not pool

    curio.run(main)


def test_connect_failure_raises_not_sent_error():
    async def main():
        clock = SystemClock()
        sock = bind_socket(HOST, 0)
        port = sock.getsockname()[1]
        await sock.close()
        pool = ConnectionPool(Address(HOST, port), clock)
        with pytest.raises(NotSentError):
            await pool.exchange(HttpRequest(b"GET", b"/"), 1)

    curio.run(main)


def test_bind_to_used_port_raises_address_in_use():
    sock = bind_socket(HOST, 0)
    port = sock.getsockname()[1]
    with pytest.raises(AddressInUseError, match=str(port)):
        bind_socket(HOST, port)
    sock._socket.close()


def test_handler_is_cancelled_when_client_disconnects():
    cancelled = []

    async def main():
        started = curio.Event()
        stopped = curio.Event()

        async def wait_long(_request):
            await started.set()
            try:
                await curio.sleep(60)
            except curio.CancelledError:
                cancelled.append(True)
                await stopped.set()
                raise

        async with open_server(HOST, 0, wait_long, SystemClock()) as server:
            sock = await curio.open_connection(HOST, server.port)
            await sock.sendall(b"GET / HTTP/1.1\r\nhost: t\r\n\r\n")
            await started.wait()
            await sock.close()
            async with curio.timeout_after(5):
                await stopped.wait()

    curio.run(main)
    assert cancelled == [True]


def count_tasks():
    gc.collect()
    return sum(isinstance(item, curio.Task) for item in gc.get_objects())


def test_closed_connections_leak_no_tasks():
    request = b"GET / HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n"

    async def main():
        async with open_server(HOST, 0, echo, SystemClock()) as server:
            counts = []
            for _ in range(2):
                for _ in range(20):
                    await send_raw_request(server.port, request)
                async with curio.timeout_after(5):
                    while server.connection_count:
                        await curio.sleep(0.01)
                counts.append(count_tasks())
            # A connection's task may still be terminating at either count.
            assert counts[1] - counts[0] < 5

    curio.run(main)


def test_drain_waits_for_requests_in_flight():
    async def main():
        started = curio.Event()

        async def wait_briefly(_request):
            await started.set()
            await curio.sleep(0.3)
            return HttpResponse(200, [], b"done")

        clock = SystemClock()
        async with open_server(HOST, 0, wait_briefly, clock) as server:
            request = b"GET / HTTP/1.1\r\nhost: t\r\n\r\n"
            task = await curio.spawn(send_raw_request, server.port, request)
            await started.wait()
            assert await server.drain(5) == 0
            assert (await task.join()).endswith(b"done")

    curio.run(main)


def test_invalid_long_request_is_reported_as_not_sent():
    """Its body is written by a separate task."""

    async def main():
        clock = SystemClock()
        async with open_server(HOST, 0, echo, clock) as server:
            pool = ConnectionPool(Address(HOST, server.port), clock)
            headers = [(b"host", b"t"), (b"bad name", b"x")]
            request = HttpRequest(b"POST", b"/", headers, b"x" * 10_000)
            with pytest.raises(NotSentError):
                await pool.exchange(request, 2.0)
            await pool.close()

    curio.run(main)


def test_lease_timeout_covers_permit_and_connection():
    """The listener's backlog is full, so that no connection comes about."""

    async def main():
        clock = SystemClock()
        listener = socket.create_server((HOST, 0), backlog=0)
        address = Address(HOST, listener.getsockname()[1])
        held = [socket.create_connection((HOST, address.port))]
        pool = ConnectionPool(
            address, clock, max_connections=1, connect_timeout_s=5.0
        )
        await pool._permits.acquire()
        releaser = await curio.spawn(release_later, pool, 0.3)
        start_s = clock.monotonic()
        with pytest.raises(NotSentError):
            async with pool.lease(timeout_s=0.4):
                pass
        assert clock.monotonic() - start_s < 0.6
        await releaser.join()
        for sock in [*held, listener]:
            sock.close()

    curio.run(main)


async def release_later(pool, delay_s):
    await curio.sleep(delay_s)
    await pool._permits.release()


def test_response_to_an_earlier_exchange_does_not_name_a_later_error():
    class SilentStream:
        async def write_request(self, _request):
            await curio.sleep(60)

    async def main():
        conn = ClientConnection(SilentStream(), SystemClock())
        conn._stray_count = 1
        request = HttpRequest(b"GET", b"/", [(b"host", b"t")])
        with pytest.raises(ExchangeTimeoutError):
            await conn.exchange(request, 0.05)

    curio.run(main)
