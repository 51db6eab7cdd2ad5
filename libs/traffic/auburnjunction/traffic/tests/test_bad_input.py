"""Malformed input to the listeners, with the responses expected."""

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.messages import MessageLimits
from auburnjunction.http.servers import open_server
from auburnjunction.traffic.call_forwarders import PeerHandler
from auburnjunction.traffic.packed_headers import (
    pack_headers,
    unpack_headers,
)
from auburnjunction.traffic.tests.routing_support import HOST, open_mesh

LIMITS = MessageLimits(
    head_bytes=2048, body_bytes=64, head_timeout_s=0.2, body_timeout_s=0.2
)
GET = b"GET /read HTTP/1.1\r\nhost: t\r\nx-call: a\r\n"
POST = b"POST /pay HTTP/1.1\r\nhost: t\r\nx-call: a\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
LENGTH = b"content-length: "
CALL = b"auburn-call: "
BIG = b"9" * 400


async def exchange_raw(port, data):
    async with await curio.open_connection(HOST, port) as sock:
        await sock.sendall(data)
        received = b""
        async with curio.timeout_after(5):
            while chunk := await sock.recv(65536):
                received += chunk
        return received


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (GET + b"connection: close\r\n\r\n", "200 ok"),
        (GET + b"x: " + b"y" * 3000 + b"\r\n\r\n", "431 not-run"),
        (POST + b"content-length: 65\r\n\r\n", "413 not-run"),
        (POST + CHUNKED + b"\r\n41\r\n" + b"x" * 65, "413 not-run"),
        (POST + b"content-length: 1\r\n" + CHUNKED + b"\r\n", "400 not-run"),
        (POST + CHUNKED + b"content-length: 1\r\n\r\n", "400 not-run"),
        (POST + LENGTH + b"1\r\n" + LENGTH + b"2\r\n\r\n", "400 not-run"),
        (POST + b"content-length: -1\r\n\r\n", "400 not-run"),
        (POST + b"content-length: 1, 2\r\n\r\n", "400 not-run"),
        (POST + b"transfer-encoding: gzip\r\n\r\n", "501 not-run"),
        (POST + CHUNKED + b"\r\n0x1\r\n", "400 not-run"),
        (POST + CHUNKED + b"\r\n-1\r\n", "400 not-run"),
        (POST + CHUNKED + b"\r\n1\r\nab", "400 not-run"),
        (POST + b"content-length : 1\r\n\r\na", "400 not-run"),
        (POST + b"content-length: 9\r\n\r\nab", "408 not-run"),
        (GET + b"host: u\r\n\r\n", "400 not-run"),
        (GET + b"x: a\x00b\r\n\r\n", "400 not-run"),
        (b"GET /read HTTP/1.0\r\n\r\n", "400 not-run"),
        (b"GET /read\r\n\r\n", "400 not-run"),
        (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", "400 not-run"),
    ],
)  # fmt: skip
def test_entry_listener_response(data, expected):
    async def main():
        clock = SystemClock()
        async with open_mesh() as mesh:
            handle = mesh.entries[0].handle
            async with open_server(HOST, 0, handle, clock, LIMITS) as server:
                received = await exchange_raw(server.port, data)
            status, outcome = expected.encode().split()
            assert received.startswith(b"HTTP/1.1 " + status)
            assert b"auburn-outcome: " + outcome + b"\r\n" in received
            executions = 1 if expected == "200 ok" else 0
            assert mesh.history.executions.get("a", 0) == executions

    curio.run(main)


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (CALL + b"r1;read;s;i0;3;1;0;900;7;;0;0\r\n", "200 ok"),
        (b"", "400 not-run"),
        (CALL + b"r1;read;s;i0;3;1;0;900;;0;0\r\n", "400 not-run"),
        (CALL + b"r1;read;s;i0;9;1;0;900;7;;0;0\r\n", "400 not-run"),
        (CALL + b"r1;read;s;i0;3;1;7;900;7;;0;0\r\n", "400 not-run"),
        (CALL + b"r1;read;s;i0;3;1;0;x;7;;0;0\r\n", "400 not-run"),
        (CALL + b"r1;read;s;i0;3;1;0;" + BIG + b";7;;0;0\r\n", "400 not-run"),
    ],
)  # fmt: skip
def test_peer_listener_response(header, expected):
    async def main():
        clock = SystemClock()
        async with open_mesh() as mesh:
            handler = PeerHandler(mesh.runner, clock)
            async with open_server(HOST, 0, handler.handle, clock) as server:
                data = GET + b"connection: close\r\n" + header + b"\r\n"
                received = await exchange_raw(server.port, data)
            status, outcome = expected.encode().split()
            assert received.startswith(b"HTTP/1.1 " + status)
            # Headers are packed into one, but not those of error responses.
            plain = received.replace(b"\xff", b": ")
            assert plain.count(b"auburn-outcome: ") == 1
            assert b"auburn-outcome: " + outcome in plain

    curio.run(main)


HEADER = st.tuples(
    st.from_regex(rb"[a-z][a-z0-9-]{0,9}", fullmatch=True),
    st.binary(max_size=12),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(headers=st.lists(HEADER, max_size=6))
def test_packing_and_unpacking_preserves_headers(headers):
    packed = pack_headers(headers)
    assert unpack_headers(packed) == headers
    has_separator = any(b"\xff" in value for _, value in headers)
    assert (len(packed) == 1 and packed != headers) or (
        has_separator or not headers
    )


def test_draining_entry_refuses_calls_and_closes_connections():
    async def main():
        async with open_mesh() as mesh:
            entry = mesh.entries[0]
            clock = SystemClock()
            async with open_server(HOST, 0, entry.handle, clock) as server:
                sock = await curio.open_connection(HOST, server.port)
                async with sock:
                    await sock.sendall(GET + b"\r\n")
                    assert b"200" in await sock.recv(9999)
                    entry.start_draining()
                    server.start_closing()
                    await sock.sendall(GET + b"\r\n")
                    received = await sock.recv(9999)
            assert received.startswith(b"HTTP/1.1 503")
            assert b"auburn-error: draining" in received
            assert b"connection: close" in received.lower()

    curio.run(main)
