"""Outcomes under overload, cancellation, draining and lost responses."""

import random
from contextlib import asynccontextmanager

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.model.priorities import Priority
from auburnjunction.model.services import Service
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Answer, NotRunError, UnknownRunError
from auburnjunction.traffic.tests.owner_support import (
    CLOCK,
    HOST,
    count_runs,
    make_call,
    make_owner,
    open_backend,
    try_call,
    wait_until,
)

CALLS = 300
SLOTS = 4
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def run_overload(discipline, seed, drains):
    """Send calls of all priorities, cancel some, optionally drain halfway."""
    source = random.Random(seed)
    cfg = AdmissionSettings(
        discipline=discipline,
        deadline_checks=discipline != "fifo",
        drain_start_limit_s=0.01,
    )
    service = Service("orders", queue_limit=20)
    tasks, cancelled, running = {}, set(), []
    async with open_backend(service_time_s=0.005) as backend:
        owner = make_owner(backend.port, SLOTS, cfg, service)

        async def respond(request):
            # The backend server may end a cancelled call after the owner.
            running.append(owner.running)
            return await backend.handle(request)

        backend.respond = respond
        for number in range(CALLS):
            name = f"call-{number}"
            call = make_call(
                name,
                source.choice(list(Priority)),
                remaining_s=source.choice([0.005, 0.02, 5.0]),
                body=name.encode(),
            )
            tasks[name] = await curio.spawn(try_call, owner, call)
            if source.random() < 0.7:
                await curio.sleep(source.random() * 0.001)
            if source.random() < 0.1:
                cancelled_name = source.choice(list(tasks))
                if not tasks[cancelled_name].terminated:
                    cancelled.add(cancelled_name)
                    await tasks[cancelled_name].cancel()
            if drains and number == CALLS // 2:
                owner.start_draining()
        remaining = await owner.drain(5.0)
        results = {
            name: await task.join()
            for name, task in tasks.items()
            if name not in cancelled
        }
    assert max(running) == SLOTS
    return backend, owner, results, cancelled, remaining


@pytest.mark.parametrize("discipline", ["shares", "strict", "fifo"])
@pytest.mark.parametrize("drains", [False, True])
def test_outcomes_match_executions_under_overload(discipline, drains):
    backend, owner, results, cancelled, remaining = curio.run(
        run_overload, discipline, 7, drains
    )
    runs = count_runs(backend)
    assert max(runs.values()) == 1
    assert remaining == owner.running == owner.waiting == 0
    for name, result in results.items():
        if isinstance(result, NotRunError):
            assert name not in runs
        elif isinstance(result, Answer):
            assert result.response.body == name.encode()
    # A running call is cancelled only at its deadline or by its caller.
    late = {n for n, r in results.items() if isinstance(r, UnknownRunError)}
    assert set(backend.cancelled) <= cancelled | late
    assert sum(isinstance(r, NotRunError) for r in results.values()) > 20


def test_call_past_its_deadline_does_not_start():
    """The deadline may pass before the timer that ends the wait fires."""

    async def main():
        clock = ManualClock(CLOCK.monotonic())
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, clock=clock)
            first = await curio.spawn(try_call, owner, make_call("first"))
            late = await curio.spawn(try_call, owner, make_call("late"))
            await wait_until(lambda: backend.running and owner.waiting)
            clock.advance(60)
            await backend.gate.set()
            assert isinstance(await first.join(), Answer)
            refused = await late.join()
        assert isinstance(refused, NotRunError)
        assert refused.message == "the call cannot end by its deadline"

    curio.run(main)


@pytest.mark.parametrize(
    ("overload_priority", "discipline", "passes"),
    [
        (Priority.LOW, "shares", True),
        (Priority.LOW, "fifo", False),
        (Priority.CRITICAL, "shares", True),
        (Priority.CRITICAL, "strict", False),
    ],
)
def test_other_priority_gets_slots_under_overload(
    overload_priority, discipline, passes
):
    """One call of another priority is among the next 21 to start."""
    other = (
        Priority.LOW
        if overload_priority is Priority.CRITICAL
        else Priority.CRITICAL
    )

    async def main():
        cfg = AdmissionSettings(discipline=discipline)
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, SLOTS, cfg)
            async with curio.TaskGroup() as group:
                for number in range(60):
                    call = make_call(f"flood-{number}", overload_priority)
                    await group.spawn(try_call, owner, call)
                await wait_until(lambda: backend.running == SLOTS)
                await group.spawn(try_call, owner, make_call("other", other))
                await wait_until(lambda: owner.waiting == 60 - SLOTS + 1)
                await backend.gate.set()
        return backend.executed.index("other") - SLOTS

    assert (curio.run(main) <= 21) is passes


@asynccontextmanager
async def open_muting_backend():
    """Yield the port of a server and a function that mutes connections.

    Open connections then receive no more responses; new ones work.
    """
    connections, muted = set(), set()

    async def serve(sock, address):
        connections.add(address)
        while await sock.recv(65536):
            if address not in muted:
                await sock.sendall(ANSWER)

    server = curio.network.tcp_server_socket(HOST, 0)
    task = await curio.spawn(curio.network.run_server, server, serve)
    try:
        yield server.getsockname()[1], lambda: muted.update(connections)
    finally:
        await task.cancel()


@pytest.mark.parametrize(("repeatable", "max_lost"), [(True, 1), (False, 0)])
def test_dead_connections_fail_at_most_one_call(repeatable, max_lost):
    async def main():
        service = Service("orders", attempt_timeout_ms=50)
        cfg = AdmissionSettings(unrepeatable_idle_limit_s=0.0)
        async with open_muting_backend() as (port, mute_connections):
            owner = make_owner(port, 3, cfg, service)
            async with curio.TaskGroup() as group:
                for name in "abc":
                    await group.spawn(owner.run_call, make_call(name))
            mute_connections()
            results = [
                await try_call(owner, make_call(n, repeatable=repeatable))
                for n in "def"
            ]
        lost = [r for r in results if not isinstance(r, Answer)]
        assert len(lost) == max_lost
        assert not owner.suspect

    curio.run(main)


@asynccontextmanager
async def open_unresponsive_backend():
    """Yield the port of a server and the event after which it responds."""
    resume = curio.Event()

    async def serve(sock, _address):
        while await sock.recv(65536):
            await resume.wait()
            await sock.sendall(ANSWER)

    server = curio.network.tcp_server_socket(HOST, 0)
    task = await curio.spawn(curio.network.run_server, server, serve)
    try:
        yield server.getsockname()[1], resume
    finally:
        await task.cancel()


def test_unresponsive_backend_server_causes_one_unknown_outcome():
    """Later calls are refused as not run until a probe succeeds."""

    async def main():
        service = Service("orders", attempt_timeout_ms=50)
        cfg = AdmissionSettings(probe_timeout_s=0.05)
        async with open_unresponsive_backend() as (port, resume):
            owner = make_owner(port, 3, cfg, service)
            results = [await try_call(owner, make_call(n)) for n in "abc"]
            await resume.set()
            await owner.probe()
            results.append(await try_call(owner, make_call("d")))
        return [type(result) for result in results]

    kinds = curio.run(main)
    assert kinds == [UnknownRunError, NotRunError, NotRunError, Answer]
