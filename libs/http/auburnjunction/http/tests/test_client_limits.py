"""Tests of servers and clients whose process has a byte budget."""

import gc
import os
import tracemalloc
import weakref
from contextlib import asynccontextmanager, contextmanager

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.budgets import (
    CONNECTION_BYTES,
    EXCHANGE_BYTES,
    HEADER_BYTES,
    ByteBudget,
    ResourceSettings,
)
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import (
    ExchangeError,
    NotSentError,
    RefusedMessageError,
)
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.resources import make_resources
from auburnjunction.http.servers import ServerOptions, open_server
from auburnjunction.http.tests.support import (
    LONG_ENOUGH_S,
    LOOPBACK_HOST,
    REQUEST,
    open_peer,
)

CLOCK = SystemClock()
BODY = 3_000_000
# 8 MB for messages, 4 MB of them for large bodies: room for one of them.
CFG = ResourceSettings(
    memory_mb=12.0,
    own_memory_mb=2.0,
    connection_share=0.2,
    large_share=0.5,
    pause_s=0.1,
    pressure_window_s=0.2,
    max_fds=250,
)


@asynccontextmanager
async def open_limited(handled, settings=CFG):
    """Yield a server and its resources; it echoes the size of a body."""

    async def handle(request):
        handled.append(len(request.body))
        return HttpResponse(200, [], b"%d" % len(request.body))

    resources = make_resources(settings, CLOCK)
    options = ServerOptions(resources, resources.callers)
    async with open_server(
        LOOPBACK_HOST,
        0,
        handle,
        CLOCK,
        MessageLimits(body_bytes=10 * BODY),
        options=options,
    ) as server:
        yield server, resources


async def start_body(port, head, size):
    sock = await curio.open_connection(LOOPBACK_HOST, port)
    await sock.sendall(b"PUT / HTTP/1.1\r\nHost: t\r\n" + head + b"\r\n\r\n")
    await sock.sendall(b"x" * size)
    return sock


@contextmanager
def trace_without_collector():
    """Trace memory that only reference counts free."""
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def wait_for_bytes(budget, is_met):
    async with curio.timeout_after(LONG_ENOUGH_S):
        while not is_met(budget.used_bytes):
            await curio.sleep(0.01)


ANNOUNCED = b"Content-Length: %d" % BODY
SLOW_READER = {"slow-reader": 1}
# Head of a second body while a first one stops short of its end, and how it
# is refused. For lack of room the first one ends too.
CASES = {
    "refused unread": (ANNOUNCED, b"503", {"no-room"}),
    "never fits": (b"Content-Length: 9000000", b"503", {"over-budget"}),
}


# Guards against bodies that are read without room, refused requests that run,
# and stalled bodies that keep their room.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_body_without_room_is_refused_unread(case):
    head, status, causes = case

    async def main():
        handled = []
        async with open_limited(handled) as (server, resources):
            budget = resources.budget
            stalled = await start_body(server.port, ANNOUNCED, BODY - 1)
            await wait_for_bytes(budget, lambda used: used > BODY)
            late = await start_body(server.port, head, 0)
            response = await late.recv(1000)
            assert response[9:12] == status
            assert b"retry-after: " in response
            assert causes <= set(resources.stats.causes)
            assert handled == []
            if "no-room" in causes:
                ended = await stalled.recv(1000)
                assert ended[9:12] == b"408"
                await wait_for_bytes(budget, lambda used: used == 0)
            await late.close()
            await stalled.close()
            await wait_for_bytes(budget, lambda used: used == 0)
            assert resources.stats.dropped == 0

    curio.run(main)


# Guards against a limit that refuses legal requests one after another, and
# against bytes that are held after the answer.
@pytest.mark.parametrize("size", [0, 1, 70_000, BODY])
def test_requests_in_turn_are_served(size):
    async def main():
        handled = []
        pools = PoolRegistry(CLOCK)
        async with open_limited(handled) as (server, resources):
            pool = pools.get(Address(LOOPBACK_HOST, server.port))
            body = bytes(size)
            request = HttpRequest(b"PUT", b"/", [(b"host", b"t")], body)
            for _ in range(3):
                response = await pool.exchange(request, LONG_ENOUGH_S)
                assert response.body == b"%d" % size
            await wait_for_bytes(resources.budget, lambda used: used == 0)
            await pools.close()
            assert resources.stats.causes == {}

    curio.run(main)


# Guards against bodies that stay in memory, in a reference cycle, after
# their bytes were given back.
@pytest.mark.parametrize("size", [70_000, 1])
def test_request_is_freed_with_its_connection(size):
    async def main():
        requests = []

        async def handle(request):
            requests.append(weakref.ref(request))
            return HttpResponse(200)

        resources = make_resources(CFG, CLOCK)
        options = ServerOptions(resources, resources.callers)
        async with open_server(
            LOOPBACK_HOST, 0, handle, CLOCK, options=options
        ) as server:
            head = b"Content-Length: %d" % size
            sock = await start_body(server.port, head, size)
            assert (await sock.recv(1000))[9:12] == b"200"
            await sock.close()
            async with curio.timeout_after(LONG_ENOUGH_S):
                while server.connection_count or requests[0]() is not None:
                    await curio.sleep(0.01)

    with trace_without_collector():
        curio.run(main)


async def leave_in_body(port):
    sock = await start_body(port, ANNOUNCED, BODY - 1)
    await sock.close()


async def leave_in_chunks(port):
    chunk = b"%x\r\n%b\r\n" % (BODY, bytes(BODY))
    sock = await curio.open_connection(LOOPBACK_HOST, port)
    await sock.sendall(
        b"PUT / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    await sock.sendall(chunk)
    await sock.close()


async def leave_behind_body(port):
    sock = await start_body(port, ANNOUNCED, BODY)
    await sock.close()


async def leave_behind_requests(port):
    sock = await curio.open_connection(LOOPBACK_HOST, port)
    await sock.sendall(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n" * 4)
    await curio.sleep(0.05)
    await sock.close()


# Guards against messages that only the garbage collector frees, although
# their bytes were given back when the client left.
@pytest.mark.parametrize(
    "visit",
    [
        leave_in_body,
        leave_in_chunks,
        leave_behind_body,
        leave_behind_requests,
    ],
)
def test_abandoned_messages_are_freed_without_the_collector(visit):
    async def handle(_request):
        await curio.sleep(LONG_ENOUGH_S)

    async def main():
        resources = make_resources(CFG, CLOCK)
        options = ServerOptions(resources, resources.callers)
        async with open_server(
            LOOPBACK_HOST,
            0,
            handle,
            CLOCK,
            MessageLimits(body_bytes=2 * BODY),
            options=options,
        ) as server:
            fds = len(os.listdir("/proc/self/fd"))
            for _ in range(20):
                await visit(server.port)
                async with curio.timeout_after(LONG_ENOUGH_S):
                    while not server.connection_count:
                        await curio.sleep(0.001)
                    while server.connection_count:
                        await curio.sleep(0.01)
            assert resources.budget.used_bytes == 0
            assert len(os.listdir("/proc/self/fd")) <= fds
            return tracemalloc.get_traced_memory()[0]

    with trace_without_collector():
        assert curio.run(main) < BODY / 2


# Guards against received data that is copied for each request in flight.
def test_pipelined_requests_share_the_data_behind_them():
    async def handle(_request):
        await curio.sleep(LONG_ENOUGH_S)

    async def main():
        resources = make_resources(CFG, CLOCK)
        options = ServerOptions(resources, resources.callers)
        async with open_server(
            LOOPBACK_HOST, 0, handle, CLOCK, options=options
        ) as server:
            before = tracemalloc.get_traced_memory()[0]
            sock = await curio.open_connection(LOOPBACK_HOST, server.port)
            request = b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
            await sock.sendall(request * 3000)
            while server.stats.pipelined < 15:
                await curio.sleep(0.01)
            held = tracemalloc.get_traced_memory()[0] - before
            await sock.close()
            return held

    with trace_without_collector():
        # 16 requests in flight, each with what its account is charged.
        assert curio.run(main) < CONNECTION_BYTES + 16 * EXCHANGE_BYTES


# Guards against heads whose parsed headers take far more than their bytes.
def test_many_headers_are_charged():
    async def main():
        async with open_limited([]) as (server, resources):
            head = ANNOUNCED + b"\r\na:b" * 500
            sock = await start_body(server.port, head, 1)
            await wait_for_bytes(
                resources.budget, lambda used: used > BODY + 400 * HEADER_BYTES
            )
            await sock.close()
            await wait_for_bytes(resources.budget, lambda used: used == 0)

    curio.run(main)


# Guards against clients that keep the room of their answers by not reading
# them, and against ending an answer that is read.
@pytest.mark.parametrize("reads", [False, True])
def test_answer_that_is_not_read_makes_room(reads):
    async def handle(_request):
        return HttpResponse(200, [], bytes(20 * BODY))

    async def main():
        resources = make_resources(CFG, CLOCK)
        options = ServerOptions(resources, resources.callers)
        async with open_server(
            LOOPBACK_HOST, 0, handle, CLOCK, options=options
        ) as server:
            sock = await curio.open_connection(LOOPBACK_HOST, server.port)
            await sock.sendall(b"GET / HTTP/1.1\r\nHost: t\r\n\r\n")
            received = 0
            async with curio.timeout_after(LONG_ENOUGH_S):
                while not server.connection_count:
                    await curio.sleep(0.01)
                while server.connection_count and received < 20 * BODY:
                    resources.budget.record_denial()
                    if reads:
                        received += len(await sock.recv(BODY))
                    await curio.sleep(0.01)
            assert resources.stats.causes == ({} if reads else SLOW_READER)
            await sock.close()

    curio.run(main)


# Guards against parts of an answer that stay in memory when the backend
# server breaks off or the deadline passes.
@pytest.mark.parametrize("is_closed", [True, False])
def test_partial_response_is_freed_without_the_collector(is_closed):
    async def serve(client):
        await client.recv(65536)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % BODY
        await client.sendall(head + bytes(BODY - 1))
        if not is_closed:
            await curio.sleep(LONG_ENOUGH_S)

    async def main():
        errors = []
        resources = make_resources(CFG, CLOCK)
        pools = PoolRegistry(CLOCK, resources=resources)
        async with open_peer(serve, pools) as pool:
            for _ in range(5):
                with pytest.raises(ExchangeError) as raised:
                    await pool.exchange(REQUEST, 0.3)
                errors.append(raised.value)
            assert resources.budget.used_bytes == 0
            return tracemalloc.get_traced_memory()[0]

    with trace_without_collector():
        assert curio.run(main) < BODY / 2


# Guards against a fault of the accounting that ends the process or lets a
# request run without an account.
def test_accounting_fault_ends_the_request_only(monkeypatch):
    def fail(*_arguments):
        raise ZeroDivisionError

    async def main():
        handled = []
        async with open_limited(handled) as (server, resources):
            with monkeypatch.context() as patch:
                patch.setattr(ByteBudget, "_try_take", fail)
                sock = await start_body(server.port, b"Content-Length: 1", 1)
                assert (await sock.recv(1000))[9:12] == b"503"
                await sock.close()
            assert handled == []
            assert resources.stats.causes == {"accounting-fault": 1}
            sock = await start_body(server.port, b"Content-Length: 1", 1)
            assert (await sock.recv(1000))[9:12] == b"200"
            await sock.close()

    curio.run(main)


# Guards against outgoing connections that use up all descriptors, and against
# counts that are not given back.
def test_outgoing_connections_are_bounded():
    async def main():
        async with open_limited([]) as (server, resources):
            pools = PoolRegistry(CLOCK, resources=resources)
            pool = pools.get(Address(LOOPBACK_HOST, server.port))
            async with curio.TaskGroup() as group:
                for _ in range(resources.max_outgoing):
                    resources.try_open_outgoing()
                with pytest.raises(NotSentError):
                    await pool.exchange(REQUEST, LONG_ENOUGH_S)
                for _ in range(resources.max_outgoing):
                    resources.close_outgoing()
                await group.spawn(pool.exchange, REQUEST, LONG_ENOUGH_S)
            assert resources.outgoing == 1
            await pools.close()
            assert resources.outgoing == 0

    curio.run(main)


# Guards against responses that are held without an account, and against ones
# that keep it after their exchange.
def test_response_is_charged_until_it_is_dropped():
    async def main():
        resources = make_resources(CFG, CLOCK)
        pools = PoolRegistry(CLOCK, resources=resources)
        body = bytes(BODY)

        async def handle(_request):
            return HttpResponse(200, [], body)

        async with open_server(LOOPBACK_HOST, 0, handle, CLOCK) as server:
            pool = pools.get(Address(LOOPBACK_HOST, server.port))
            held = [
                await pool.exchange(REQUEST, LONG_ENOUGH_S) for _ in range(2)
            ]
            assert resources.budget.used_bytes >= 2 * BODY
            with pytest.raises(RefusedMessageError):
                await pool.exchange(REQUEST, LONG_ENOUGH_S)
            for response in held:
                response.account.release()
            assert resources.budget.used_bytes == 0
            await pools.close()

    curio.run(main)
