"""Errors that the clients raise for platform responses and failures."""

from contextlib import asynccontextmanager

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.servers import bind_socket
from auburnjunction.storage.clients import HttpObjectStore, HttpTable
from auburnjunction.storage.tables import (
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

HOST = "127.0.0.1"
TIMEOUT_S = 0.3


async def serve_raw_reply(sock, reply):
    """Send the same bytes on each connection, then close it."""
    while True:
        peer, _ = await sock.accept()
        async with peer:
            await peer.recv(65536)
            await peer.sendall(reply)


@asynccontextmanager
async def open_platform(reply):
    """Yield the address of a platform that replies with raw bytes."""
    sock = bind_socket(HOST, 0)
    task = await curio.spawn(serve_raw_reply, sock, reply)
    try:
        yield Address(HOST, sock.getsockname()[1])
    finally:
        await task.cancel()
        await sock.close()


def make_reply(status, headers=(), body=b""):
    head = b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n" % (status, len(body))
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    return head + lines + b"\r\n" + body


def make_table(address):
    clock = SystemClock()
    return HttpTable(address, clock, PoolRegistry(clock))


NOT_APPLIED_HEADERS = [(b"outcome", b"not-applied")]


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (make_reply(503, NOT_APPLIED_HEADERS), UnavailableError),
        (make_reply(400, NOT_APPLIED_HEADERS), UnavailableError),
        (make_reply(503), UnknownOutcomeError),
        (make_reply(500), UnknownOutcomeError),
        (make_reply(302), UnknownOutcomeError),
        (make_reply(200), UnknownOutcomeError),
        (make_reply(200, [(b"row-version", b"x")]), UnknownOutcomeError),
        (make_reply(409), UnknownOutcomeError),
        (make_reply(409, [(b"row-version", b"2")]), VersionConflictError),
        (make_reply(200, body=b"abc")[:-1], UnknownOutcomeError),
        (b"", UnknownOutcomeError),
        (b"HTTP/9 what\r\n\r\n", UnknownOutcomeError),
    ],
)
def test_write_response_maps_to_error(reply, error):
    async def main():
        async with open_platform(reply) as address:
            with pytest.raises(error):
                await make_table(address).put_if("k", b"v", 1, TIMEOUT_S)

    curio.run(main)


@pytest.mark.parametrize(
    "reply",
    [
        make_reply(503, NOT_APPLIED_HEADERS),
        make_reply(500),
        make_reply(404),
        make_reply(200),
        make_reply(200, [(b"row-version", b"1")], b"abc")[:-1],
        b"",
    ],
)
def test_failed_or_truncated_read_is_unavailable(reply):
    async def main():
        async with open_platform(reply) as address:
            with pytest.raises(UnavailableError):
                await make_table(address).get("k", TIMEOUT_S)

    curio.run(main)


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"rows": [{"key": "k"}]}', b'{"rows": [1]}']
)
def test_malformed_rows_are_unavailable(body):
    async def main():
        async with open_platform(make_reply(200, body=body)) as address:
            with pytest.raises(UnavailableError):
                await make_table(address).scan("", "", 10, TIMEOUT_S)

    curio.run(main)


def test_unreachable_platform_is_unavailable():
    async def main():
        sock = bind_socket(HOST, 0)
        address = Address(HOST, sock.getsockname()[1])
        await sock.close()
        clock = SystemClock()
        objects = HttpObjectStore(address, clock, PoolRegistry(clock))
        for operation in (
            make_table(address).get("k", TIMEOUT_S),
            make_table(address).put_if("k", b"v", 0, TIMEOUT_S),
            make_table(address).scan("", "", 1, TIMEOUT_S),
            objects.get(bytes(32), TIMEOUT_S),
            objects.put(bytes(32), b"", TIMEOUT_S),
        ):
            with pytest.raises(UnavailableError):
                await operation

    curio.run(main)


def test_write_without_free_connection_is_unavailable():
    async def main():
        async with open_platform(b"") as address:
            clock = SystemClock()
            pools = PoolRegistry(clock, max_connections=1)
            table = HttpTable(address, clock, pools)
            async with pools.get(address).lease():
                with pytest.raises(UnavailableError):
                    await table.put_if("k", b"v", 0, 0.05)

    curio.run(main)
