"""Tests of the TCP forwarder."""

from contextlib import asynccontextmanager

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.standins.faults import ForwarderFaults
from auburnjunction.standins.forwarders import open_forwarder
from auburnjunction.standins.tests.support import HOST, wait_until

REQUEST = b"GET / HTTP/1.1\r\nhost: t\r\n\r\n"
NO_ANSWER_WAIT_S = 0.1


class CountingHandler:
    """Answers every request and counts them."""

    def __init__(self):
        self.requests = 0

    async def handle(self, _request):
        self.requests += 1
        return HttpResponse(200, [], b"answer")


@asynccontextmanager
async def open_forwarded_server():
    """Yield a forwarder to a server, its port and the server's handler."""
    clock = SystemClock()
    handler = CountingHandler()
    async with (
        open_server(HOST, 0, handler.handle, clock) as server,
        open_forwarder(HOST, 0, Address(HOST, server.port), clock) as (
            forwarder,
            port,
        ),
    ):
        yield forwarder, port, handler


async def send_request(sock, timeout_s=5.0):
    await sock.sendall(REQUEST)
    return await curio.ignore_after(timeout_s, sock.recv, 65536)


@pytest.mark.parametrize(
    ("faults", "answered", "requests"),
    [
        ({}, True, 1),
        ({"delay_ms": 5, "jitter_ms": 5}, True, 1),
        ({"cut": "both"}, False, 0),
        ({"cut": "to-server"}, False, 0),
        ({"cut": "to-client"}, False, 1),
        ({"silent": True}, False, 0),
    ],
)
def test_held_back_data_arrives_after_fault_ends(faults, answered, requests):
    async def main():
        async with open_forwarded_server() as (forwarder, port, handler):
            sock = await curio.open_connection(HOST, port)
            await wait_until(lambda: forwarder.stats.open_connections)
            forwarder.set_faults(ForwarderFaults(**faults))
            received = await send_request(
                sock, 5.0 if answered else NO_ANSWER_WAIT_S
            )
            assert bool(received) is answered
            assert handler.requests == requests
            forwarder.set_faults(ForwarderFaults())
            if not answered:
                assert await curio.timeout_after(5, sock.recv, 65536)
            assert handler.requests == 1
            await sock.close()

    curio.run(main)


def test_silent_fault_affects_only_open_connections():
    async def main():
        async with open_forwarded_server() as (forwarder, port, _):
            old = await curio.open_connection(HOST, port)
            assert await send_request(old)
            forwarder.set_faults(ForwarderFaults(silent=True))
            new = await curio.open_connection(HOST, port)
            assert await send_request(new)
            assert await send_request(old, NO_ANSWER_WAIT_S) is None
            await old.close()
            await new.close()

    curio.run(main)


@pytest.mark.parametrize(
    ("faults", "min_duration_s"),
    [
        ({"delay_ms": 50}, 0.1),
        ({"loss_share": 1.0, "loss_delay_ms": 50}, 0.1),
        ({"delay_ms": 25, "loss_share": 1.0, "loss_delay_ms": 50}, 0.15),
    ],
)
def test_delays_apply_in_both_directions(faults, min_duration_s):
    async def main():
        clock = SystemClock()
        async with open_forwarded_server() as (forwarder, port, _):
            forwarder.set_faults(ForwarderFaults(**faults))
            sock = await curio.open_connection(HOST, port)
            started_s = clock.monotonic()
            assert await send_request(sock)
            assert clock.monotonic() - started_s >= min_duration_s
            await sock.close()

    curio.run(main)


def test_refuse_fault_closes_new_connections():
    async def main():
        async with open_forwarded_server() as (forwarder, port, handler):
            forwarder.set_faults(ForwarderFaults(refuse=True))
            async with await curio.open_connection(HOST, port) as sock:
                assert await curio.timeout_after(5, sock.recv, 1) == b""
            assert handler.requests == 0

    curio.run(main)
