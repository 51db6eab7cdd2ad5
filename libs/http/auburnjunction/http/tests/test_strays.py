"""Unsolicited and late response data on reused connections."""

from contextlib import asynccontextmanager

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.errors import StrayResponseError
from auburnjunction.http.messages import HttpRequest
from auburnjunction.http.tests.support import open_peer

CLOCK = SystemClock()


def format_response(name, body=b"own", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nx-id: %s\r\ncontent-length: %d\r\n%s\r\n"
    return head % (name, len(body), extra) + body


@asynccontextmanager
async def open_counting_peer(serve_client):
    """Yield a pool to a peer; its accepted lists the connections."""
    accepted = []

    async def serve(client):
        accepted.append(client)
        await serve_client(client)

    async with open_peer(serve, PoolRegistry(CLOCK)) as pool:
        pool.accepted = accepted
        yield pool


async def send_request(pool, name, body=b"", timeout_s=2.0):
    method = b"PUT" if body else b"GET"
    request = HttpRequest(method, b"/", [(b"host", b"t")], body)
    response = await pool.exchange(
        request, timeout_s, None, lambda r: r.header(b"x-id") == name
    )
    return response.body


def test_duplicate_response_closes_connection():
    async def serve_client(client):
        await client.recv(65536)
        second = format_response(b"a", b"again")
        await client.sendall(format_response(b"a") + second)
        await client.recv(65536)

    async def main():
        async with open_counting_peer(serve_client) as pool:
            assert await send_request(pool, b"a") == b"own"
            assert pool.idle_count == 0

    curio.run(main)


def test_late_duplicate_response_is_skipped():
    async def serve_client(client):
        await client.recv(65536)
        await client.sendall(format_response(b"a"))
        await client.recv(65536)
        await client.sendall(format_response(b"a", b"again"))
        await client.sendall(format_response(b"b"))

    async def main():
        async with open_counting_peer(serve_client) as pool:
            assert await send_request(pool, b"a") == b"own"
            assert await send_request(pool, b"b") == b"own"
            assert len(pool.accepted) == 1

    curio.run(main)


def test_only_foreign_responses_raise_stray_response_error():
    async def serve_client(client):
        while await client.recv(65536):
            await client.sendall(format_response(b"other"))

    async def main():
        async with open_counting_peer(serve_client) as pool:
            with pytest.raises(StrayResponseError):
                await send_request(pool, b"a", timeout_s=0.2)
            assert pool.idle_count == 0

    curio.run(main)


def test_early_response_aborts_long_request_and_closes_connection():
    async def serve_client(client):
        await client.recv(1000)
        await client.sendall(format_response(b"a", b"early"))
        await curio.sleep(5)

    async def main():
        async with open_counting_peer(serve_client) as pool:
            body = b"x" * 8_000_000
            assert await send_request(pool, b"a", body) == b"early"
            assert pool.idle_count == 0

    curio.run(main)


def test_keep_alive_timeout_of_peer_is_respected():
    async def serve_client(client):
        while await client.recv(65536):
            extra = b"keep-alive: timeout=0\r\n"
            await client.sendall(format_response(b"a", b"own", extra))

    async def main():
        async with open_counting_peer(serve_client) as pool:
            await send_request(pool, b"a")
            await curio.sleep(0.01)
            await send_request(pool, b"a")
            assert len(pool.accepted) == 2

    curio.run(main)
