"""What the clients make of a platform's answers, and of none."""

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


async def answer_raw(sock, reply):
    """Answer each request with the same bytes, then close."""
    while True:
        peer, _ = await sock.accept()
        async with peer:
            await peer.recv(65536)
            await peer.sendall(reply)


@asynccontextmanager
async def open_platform(reply):
    """Yield the address of a platform that answers with raw bytes."""
    sock = bind_socket(HOST, 0)
    task = await curio.spawn(answer_raw, sock, reply)
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


REFUSED = [(b"outcome", b"not-applied")]


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (make_reply(503, REFUSED), UnavailableError),
        (make_reply(400, REFUSED), UnavailableError),
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
def test_answer_to_a_write_tells_its_outcome(reply, error):
    async def main():
        async with open_platform(reply) as address:
            with pytest.raises(error):
                await make_table(address).put_if("k", b"v", 1, TIMEOUT_S)

    curio.run(main)


@pytest.mark.parametrize(
    "reply",
    [
        make_reply(503, REFUSED),
        make_reply(500),
        make_reply(404),
        make_reply(200),
        make_reply(200, [(b"row-version", b"1")], b"abc")[:-1],
        b"",
    ],
)
def test_answer_to_a_read_is_whole_or_unavailable(reply):
    async def main():
        async with open_platform(reply) as address:
            with pytest.raises(UnavailableError):
                await make_table(address).get("k", TIMEOUT_S)

    curio.run(main)


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"rows": [{"key": "k"}]}', b'{"rows": [1]}']
)
def test_bad_rows_are_unavailable(body):
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


def test_write_that_waits_for_a_connection_is_not_sent():
    async def main():
        async with open_platform(b"") as address:
            clock = SystemClock()
            pools = PoolRegistry(clock, max_connections=1)
            table = HttpTable(address, clock, pools)
            async with pools.get(address).lease():
                with pytest.raises(UnavailableError):
                    await table.put_if("k", b"v", 0, 0.05)

    curio.run(main)
