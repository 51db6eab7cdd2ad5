"""Bytes of a peer that belong to no request, or to an earlier one."""

from contextlib import asynccontextmanager

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.tasks import open_task_group
from auburnjunction.http.clients import Address, ConnectionPool
from auburnjunction.http.errors import StrayResponseError
from auburnjunction.http.messages import HttpRequest
from auburnjunction.http.servers import bind_socket

HOST = "127.0.0.1"
CLOCK = SystemClock()


def format_response(name, body=b"own", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: %d\r\n%s\r\n"
    return head % (name, len(body), extra) + body


@asynccontextmanager
async def open_peer(script):
    """Yield a pool to a peer that runs the script on each connection."""
    sock = bind_socket(HOST, 0)
    opened = []

    async def accept(group):
        while True:
            client, _ = await sock.accept()
            opened.append(client)
            await group.spawn(serve, client)

    async def serve(client):
        async with client:
            await script(client)

    async with sock, open_task_group() as group:
        await group.spawn(accept, group)
        address = Address(HOST, sock.getsockname()[1])
        pool = ConnectionPool(address, CLOCK)
        pool.opened = opened
        yield pool
        await pool.close()


async def ask(pool, name, body=b"", timeout_s=2.0):
    method = b"PUT" if body else b"GET"
    request = HttpRequest(method, b"/", [(b"host", b"t")], body)
    response = await pool.exchange(
        request, timeout_s, None, lambda r: r.header(b"x-id") == name
    )
    return response.body


def test_second_answer_costs_the_connection():
    async def script(client):
        await client.recv(65536)
        second = format_response(b"a", b"again")
        await client.sendall(format_response(b"a") + second)
        await client.recv(65536)

    async def main():
        async with open_peer(script) as pool:
            assert await ask(pool, b"a") == b"own"
            assert pool.idle_count == 0

    curio.run(main)


def test_late_second_answer_is_passed_over():
    async def script(client):
        await client.recv(65536)
        await client.sendall(format_response(b"a"))
        await client.recv(65536)
        await client.sendall(format_response(b"a", b"again"))
        await client.sendall(format_response(b"b"))

    async def main():
        async with open_peer(script) as pool:
            assert await ask(pool, b"a") == b"own"
            assert await ask(pool, b"b") == b"own"
            assert len(pool.opened) == 1

    curio.run(main)


def test_foreign_answer_alone_is_told_as_such():
    async def script(client):
        while await client.recv(65536):
            await client.sendall(format_response(b"other"))

    async def main():
        async with open_peer(script) as pool:
            with pytest.raises(StrayResponseError):
                await ask(pool, b"a", timeout_s=0.2)
            assert pool.idle_count == 0

    curio.run(main)


def test_early_answer_ends_a_long_request_and_its_connection():
    async def script(client):
        await client.recv(1000)
        await client.sendall(format_response(b"a", b"early"))
        await curio.sleep(5)

    async def main():
        async with open_peer(script) as pool:
            body = b"x" * 8_000_000
            assert await ask(pool, b"a", body) == b"early"
            assert pool.idle_count == 0

    curio.run(main)


def test_announced_idle_time_is_kept():
    async def script(client):
        while await client.recv(65536):
            extra = b"keep-alive: timeout=0\r\n"
            await client.sendall(format_response(b"a", b"own", extra))

    async def main():
        async with open_peer(script) as pool:
            await ask(pool, b"a")
            await curio.sleep(0.01)
            await ask(pool, b"a")
            assert len(pool.opened) == 2

    curio.run(main)
