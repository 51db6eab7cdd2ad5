"""Tests of the backend server stand-in."""

import itertools
import json
from contextlib import asynccontextmanager

import curio
import orjson
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import TruncatedError
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.standins.backends import BackendCommand, open_backend
from auburnjunction.standins.faults import BackendFaults
from auburnjunction.standins.tests.support import (
    HOST,
    TIMEOUT_S,
    send,
    wait_until,
)

CALL_HEADERS = ((b"x-call-id", b"c1"), (b"idempotency-key", b"k1"))


@asynccontextmanager
async def open_stand_in(**options):
    """Yield a RunningBackend, its port and a PoolRegistry."""
    clock = SystemClock()
    pools = PoolRegistry(clock)
    options = {"delay_ms": 1.0, "port": 0} | options
    command = BackendCommand(service="box", instance="box-1", **options)
    async with open_backend(command, clock) as running:
        yield running, running.server.port, pools
        await pools.close()


async def list_executions(pools, port):
    response = await send(pools, port, "/executions")
    return orjson.loads(response.body)["executions"]


@pytest.mark.parametrize("body", [b"payment", b"x" * 100_000])
def test_response_echoes_request(body):
    async def main():
        async with open_stand_in() as (_, port, pools):
            response = await send(pools, port, "/pay", body, CALL_HEADERS)
            assert (response.status, response.body) == (200, body)
            assert response.header(b"x-call-id") == b"c1"
            assert response.header(b"idempotency-key") == b"k1"
            (execution,) = await list_executions(pools, port)
            assert execution["call_id"] == "c1"
            assert execution["key"] == "k1"
            assert execution["state"] == "finished"
            assert execution["ended_s"] >= execution["started_s"]

    curio.run(main)


@pytest.mark.parametrize(
    ("faults", "status", "states"),
    [
        ({"drain": True}, 503, []),
        ({"shed_share": 1.0}, 503, []),
        ({"error_share": 1.0}, 500, ["failed"]),
        ({}, 200, ["finished"]),
    ],
)
def test_faults_determine_status_and_executions(faults, status, states):
    async def main():
        async with open_stand_in() as (running, port, pools):
            running.backend.set_faults(BackendFaults(**faults))
            response = await send(pools, port, "/pay", b"p", CALL_HEADERS)
            assert response.status == status
            assert (response.header(b"auburn-shed") == b"1") is (status == 503)
            executions = await list_executions(pools, port)
            assert [e["state"] for e in executions] == states

    curio.run(main)


def test_truncate_share_truncates_response():
    async def main():
        async with open_stand_in() as (running, port, pools):
            running.backend.set_faults(BackendFaults(truncate_share=1.0))
            with pytest.raises(TruncatedError):
                await send(pools, port, "/pay", b"payment")

    curio.run(main)


def test_slots_limit_concurrent_requests():
    async def main():
        async with open_stand_in(slots=2, delay_ms=10) as (_, port, pools):
            async with curio.TaskGroup() as group:
                for _ in range(10):
                    await group.spawn(send, pools, port, "/pay", b"p")
            stats = orjson.loads((await send(pools, port, "/stats")).body)
            assert stats["peak_running"] == 2
            assert stats["executions"] == 10

    curio.run(main)


@pytest.mark.parametrize(
    ("deadline", "status", "states"),
    [(b"0", 503, []), (b"50", 504, ["cancelled"]), (b"x", 200, ["finished"])],
)
def test_deadline_cancels_execution(deadline, status, states):
    async def main():
        headers = ((b"auburn-deadline-ms", deadline),)
        delay_ms = 1 if status == 200 else 60_000
        async with open_stand_in(delay_ms=delay_ms) as (_, port, pools):
            response = await send(pools, port, "/pay", b"p", headers)
            assert response.status == status
            executions = await list_executions(pools, port)
            assert [e["state"] for e in executions] == states

    curio.run(main)


def test_request_without_slot_before_deadline_is_shed():
    async def main():
        headers = ((b"auburn-deadline-ms", b"50"),)
        async with open_stand_in(slots=1, delay_ms=60_000) as stand_in:
            running, port, pools = stand_in
            task = await curio.spawn(send, pools, port, "/pay", b"first")
            await wait_until(lambda: running.backend.stats.running == 1)
            response = await send(pools, port, "/pay", b"second", headers)
            assert response.status == 503
            assert response.header(b"auburn-shed") == b"1"
            assert len(await list_executions(pools, port)) == 1
            await task.cancel()

    curio.run(main)


def test_closed_connection_cancels_execution():
    async def main():
        async with open_stand_in(delay_ms=60_000) as (running, port, pools):
            task = await curio.spawn(send, pools, port, "/pay", b"p")
            await wait_until(lambda: running.backend.stats.running == 1)
            await task.cancel()
            await wait_until(lambda: running.backend.stats.running == 0)
            (execution,) = await list_executions(pools, port)
            assert execution["state"] == "cancelled"

    curio.run(main)


def test_silent_fault_affects_only_open_connections():
    async def main():
        async with open_stand_in() as (running, port, pools):
            sock = await curio.open_connection(HOST, port)
            await wait_until(lambda: running.server.connection_count == 1)
            running.backend.set_faults(BackendFaults(silent=True))
            async with sock:
                await sock.sendall(b"GET / HTTP/1.1\r\nhost: t\r\n\r\n")
                response = await send(pools, port, "/pay", b"p")
                assert response.status == 200
                await wait_until(lambda: running.server.busy_count == 1)
                assert await curio.ignore_after(0.05, sock.recv, 1) is None

    curio.run(main)


@pytest.mark.parametrize(
    ("faults", "health", "load_percent"),
    [
        ({}, 200, 0),
        ({"health": "failing"}, 503, 0),
        ({"drain": True, "health": "healthy"}, 200, 0),
        ({"drain": True}, 503, 0),
        ({"load_percent": 77}, 200, 77),
    ],
)
def test_faults_override_reported_health_and_load(
    faults, health, load_percent
):
    async def main():
        async with open_stand_in() as (running, port, pools):
            running.backend.set_faults(BackendFaults(**faults))
            assert (await send(pools, port, "/health")).status == health
            load = await send(pools, port, "/load")
            assert orjson.loads(load.body) == {"load_percent": load_percent}

    curio.run(main)


def test_end_of_drain_announces_starting_then_ready():
    states = []

    async def receive_announcement(request):
        states.append(json.loads(request.body)["state"])
        return HttpResponse(200)

    async def main():
        async with open_server(
            HOST, 0, receive_announcement, SystemClock()
        ) as node:
            address = Address(HOST, node.port)
            async with open_stand_in(announce=address) as (running, _, _):
                await wait_until(lambda: states[-1:] == ["ready"])
                running.backend.set_faults(BackendFaults(drain=True))
                await wait_until(lambda: states[-1:] == ["leaving"])
                running.backend.set_faults(BackendFaults())
                await wait_until(lambda: states[-1:] == ["ready"])

    curio.run(main)
    restart = ["starting", "ready"]
    assert states == [*restart, "leaving", *restart]


def test_leave_drains_between_leaving_and_gone():
    states = []

    async def receive_announcement(request):
        states.append(json.loads(request.body)["state"])
        return HttpResponse(200)

    async def main():
        async with open_server(
            HOST, 0, receive_announcement, SystemClock()
        ) as node:
            address = Address(HOST, node.port)
            async with open_stand_in(
                announce=address, delay_ms=300, jitter=0.0
            ) as (running, port, pools):
                await wait_until(lambda: states[-1:] == ["ready"])
                task = await curio.spawn(send, pools, port, "/pay", b"p")
                await wait_until(lambda: running.backend.stats.running == 1)
                assert await running.leave(TIMEOUT_S) == 0
                assert (await task.join()).body == b"p"

    curio.run(main)
    # Leaving may be announced twice: by leave() and, as a change of state, by
    # the announcer's task.
    assert [s for s, _ in itertools.groupby(states)] == [
        *("starting", "ready", "leaving", "gone")
    ]


@pytest.mark.parametrize(
    ("faults", "min_duration_s"),
    [
        ({}, 0.001),
        ({"slow_factor": 100.0}, 0.1),
        ({"cold_s": 60.0, "cold_factor": 100.0}, 0.1),
        ({"freeze_s": 0.2}, 0.2),
    ],
)
def test_slow_cold_and_freeze_faults_delay_response(faults, min_duration_s):
    async def main():
        clock = SystemClock()
        async with open_stand_in(jitter=0.0) as (running, port, pools):
            running.backend.set_faults(BackendFaults(**faults))
            started_s = clock.monotonic()
            await send(pools, port, "/pay", b"p")
            assert clock.monotonic() - started_s >= min_duration_s
            (execution,) = await list_executions(pools, port)
            assert execution["state"] == "finished"

    curio.run(main)


def test_invalid_fault_is_refused_with_its_field():
    async def main():
        async with open_stand_in() as (_, port, pools):
            response = await send(pools, port, "/faults", {"shed_share": 2})
            assert response.status == 400
            assert b"shed_share" in response.body
            response = await send(pools, port, "/faults", {"drain": True})
            assert orjson.loads(response.body)["drain"] is True

    curio.run(main)
