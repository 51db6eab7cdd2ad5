"""Admission of calls to a backend server over loopback."""

import curio
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.membership.announcements import Announcement
from auburnjunction.model.priorities import Priority
from auburnjunction.model.services import Service
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import NotRunError, UnknownRunError
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.owners import OwnerRegistry
from auburnjunction.traffic.tests.owner_support import (
    CLOCK,
    HOST,
    SERVICE,
    count_runs,
    make_call,
    make_owner,
    open_backend,
    try_call,
    wait_until,
)


def run(test):
    curio.run(test)


def test_answer_and_forwarded_request_carry_no_internal_headers():
    async def main():
        headers = [(b"x-kind", b"box"), (b"auburn-outcome", b"not-run")]
        async with open_backend(headers=headers) as backend:
            owner = make_owner(backend.port)
            answer = await owner.run_call(make_call(body=b"tins"))
        assert answer.response.body == b"tins"
        assert answer.response.header(b"x-kind") == b"box"
        assert answer.response.header(b"auburn-outcome") is None
        request = backend.requests[0]
        assert request.header(b"auburn-forged") is None
        assert 4000 < int(request.header(b"auburn-deadline-ms")) <= 5000

    run(main)


@pytest.mark.parametrize(
    ("slots", "connections", "expected"), [(1, 130, 1), (6, 130, 6), (6, 2, 2)]
)
def test_slots_and_connections_limit_concurrent_calls(
    slots, connections, expected
):
    async def main():
        async with open_backend(service_time_s=0.002) as backend:
            owner = make_owner(backend.port, slots, connections=connections)
            tasks = [
                await curio.spawn(owner.run_call, make_call(f"call-{n}"))
                for n in range(40)
            ]
            for task in tasks:
                await task.join()
        assert backend.max_running == expected
        assert set(count_runs(backend).values()) == {1}
        assert len(backend.executed) == 40
        assert owner.running == owner.waiting == 0

    run(main)


def test_urgent_calls_start_first():
    async def main():
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port)
            tasks = []
            for name, priority in (
                ("first", Priority.LOW),
                ("low", Priority.LOW),
                ("normal", Priority.NORMAL),
                ("critical", Priority.CRITICAL),
            ):
                call = make_call(name, priority)
                tasks.append(await curio.spawn(owner.run_call, call))
                count = len(tasks)
                await wait_until(
                    lambda count=count: owner.running + owner.waiting == count
                )
            await wait_until(lambda: backend.running == 1)
            await backend.gate.set()
            for task in tasks:
                await task.join()
        assert backend.executed == ["first", "critical", "normal", "low"]

    run(main)


def test_full_queue_refuses_the_least_urgent_call_at_once():
    async def main():
        service = Service("orders", queue_limit=2)
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, service=service)
            names = ["runs", "low-1", "low-2"]
            tasks = {}
            for name in names:
                call = make_call(name, Priority.LOW)
                tasks[name] = await curio.spawn(try_call, owner, call)
                await wait_until(
                    lambda: owner.running + owner.waiting == len(tasks)
                )
            refused = await try_call(owner, make_call("low-3", Priority.LOW))
            assert isinstance(refused, NotRunError)
            assert refused.code is ErrorCode.OVERLOADED
            urgent = await curio.spawn(
                owner.run_call, make_call("urgent", Priority.CRITICAL)
            )
            evicted = await tasks["low-2"].join()
            assert isinstance(evicted, NotRunError)
            assert evicted.code is ErrorCode.OVERLOADED
            await backend.gate.set()
            await urgent.join()
            await tasks["low-1"].join()
        assert backend.executed == ["runs", "urgent", "low-1"]

    run(main)


def test_waiting_call_is_refused_at_its_deadline_and_never_runs():
    async def main():
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port)
            first = await curio.spawn(owner.run_call, make_call("first"))
            await wait_until(lambda: backend.running == 1)
            late = await try_call(owner, make_call("late", remaining_s=0.03))
            assert isinstance(late, NotRunError)
            assert late.code is ErrorCode.TIMEOUT
            await backend.gate.set()
            await first.join()
            past = await try_call(owner, make_call("past", remaining_s=-1))
            assert past.code is ErrorCode.TIMEOUT
        assert backend.executed == ["first"]

    run(main)


@pytest.mark.parametrize("waiting", [False, True])
def test_cancelled_call_releases_its_place_once(waiting):
    async def main():
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port)
            tasks = [
                await curio.spawn(owner.run_call, make_call(name))
                for name in ("runs", "waits")
            ]
            await wait_until(lambda: backend.running and owner.waiting)
            await tasks[waiting].cancel()
            assert owner.running + owner.waiting == 1
            if not waiting:
                await wait_until(lambda: backend.cancelled == ["runs"])
            await backend.gate.set()
            await tasks[not waiting].join()
            assert owner.running == owner.waiting == 0
            await owner.run_call(make_call("after"))
        expected = ["runs", "after"] if waiting else ["runs", "waits", "after"]
        assert backend.executed == expected

    run(main)


def test_drain_finishes_calls_in_flight_and_refuses_new_ones():
    async def main():
        cfg = AdmissionSettings(drain_start_limit_s=0.02)
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, cfg=cfg)
            running = await curio.spawn(try_call, owner, make_call("runs"))
            waiting = await curio.spawn(try_call, owner, make_call("waits"))
            await wait_until(lambda: backend.running and owner.waiting)
            drain = await curio.spawn(owner.drain, 5.0)
            refused = await waiting.join()
            assert refused.code is ErrorCode.DRAINING
            late = await try_call(owner, make_call("late"))
            assert isinstance(late, NotRunError)
            assert late.code is ErrorCode.DRAINING
            await backend.gate.set()
            assert (await running.join()).response.status == 200
            assert await drain.join() == 0
        assert backend.executed == ["runs"]

    run(main)


@pytest.mark.parametrize(
    ("status", "headers", "error", "code"),
    [
        (503, [(b"auburn-shed", b"1")], NotRunError, ErrorCode.SHED),
        (503, [], None, None),
        (500, [(b"auburn-shed", b"1")], None, None),
        (
            200,
            [(b"auburn-request-id", b"other")],
            UnknownRunError,
            ErrorCode.PROTOCOL,
        ),
    ],
)
def test_backend_responses_are_classified(status, headers, error, code):
    async def main():
        async with open_backend(status=status, headers=headers) as backend:
            owner = make_owner(backend.port)
            result = await try_call(owner, make_call())
        if error is None:
            assert result.response.status == status
        else:
            assert isinstance(result, error)
            assert result.code is code

    run(main)


def test_refused_connection_is_not_run_and_lost_answer_is_unknown():
    async def main():
        async with open_backend() as backend:
            port = backend.port
        owner = make_owner(port)
        refused = await try_call(owner, make_call())
        assert isinstance(refused, NotRunError)
        assert refused.code is ErrorCode.UNAVAILABLE

        service = Service("orders", attempt_timeout_ms=30)
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, service=service)
            lost = await try_call(owner, make_call())
            assert isinstance(lost, UnknownRunError)
            assert lost.code is ErrorCode.TIMEOUT
            await wait_until(lambda: backend.cancelled == ["call-1"])

    run(main)


def announce(port, state="ready", instance="orders-1", **options):
    return Announcement(instance, "orders", f"{HOST}:{port}", state, **options)


def test_registry_runs_calls_only_for_registered_instances():
    async def main():
        metrics = OwnerMetrics()
        async with open_backend() as backend:
            registry = OwnerRegistry(
                AdmissionSettings(), CLOCK, metrics, None, lambda name: SERVICE
            )
            registry.update(announce(backend.port, "starting"))
            with pytest.raises(NotRunError) as starting:
                await registry.run_call(make_call(), "orders-1")
            assert starting.value.code is ErrorCode.DRAINING
            registry.update(announce(backend.port))
            await registry.run_call(make_call(), "orders-1")
            with pytest.raises(NotRunError) as missing:
                await registry.run_call(make_call(), "orders-2")
            assert missing.value.code is ErrorCode.MISPLACED
            registry.update(announce(backend.port, "gone"))
            with pytest.raises(NotRunError):
                await registry.run_call(make_call(), "orders-1")
            await registry.sweep()
            assert await registry.drain(1.0) == 0
        assert backend.executed == ["call-1"]
        assert sum(metrics.calls.values()) == 2

    run(main)


def test_reannounced_instance_does_not_exceed_its_slots():
    async def main():
        async with open_backend() as backend:
            backend.gate.clear()
            registry = OwnerRegistry(
                AdmissionSettings(), CLOCK, OwnerMetrics(), None
            )
            registry.update(announce(backend.port, slots=1))
            run_call = registry.run_call
            first = await curio.spawn(run_call, make_call("a"), "orders-1")
            await wait_until(lambda: backend.running)
            registry.remove("orders-1")
            registry.update(announce(backend.port, slots=1))
            second = await curio.spawn(run_call, make_call("b"), "orders-1")
            await wait_until(lambda: registry.get("orders-1").waiting)
            await backend.gate.set()
            await first.join()
            await second.join()
        assert backend.max_running == 1

    run(main)


def test_call_that_cannot_be_encoded_does_not_refuse_others():
    """Only a failed connection says something about the backend server."""

    async def main():
        async with open_backend() as backend:
            owner = make_owner(backend.port)
            invalid = make_call("invalid")
            invalid.request.headers.append((b"bad name", b"x"))
            error = await try_call(owner, invalid)
            assert isinstance(error, NotRunError)
            answer = await try_call(owner, make_call("valid"))
            assert answer.response.status == 200

    curio.run(main)


def test_call_in_flight_ends_after_the_lease_of_its_server_has_expired():
    """Late heartbeats are no reason to give up running work."""

    async def main():
        async with open_backend() as backend:
            backend.gate.clear()
            registry = OwnerRegistry(
                AdmissionSettings(), CLOCK, OwnerMetrics()
            )
            registry.update(make_announcement(backend.port))
            call = await curio.spawn(
                registry.run_call, make_call("late"), "orders-1"
            )
            await wait_until(lambda: backend.running == 1)
            registry.remove("orders-1")
            await registry.sweep()
            await backend.gate.set()
            assert (await call.join()).response.status == 200
            assert count_runs(backend) == {"late": 1}

    curio.run(main)


# Guards against calls that are broken off after the default time-out of a
# service, by a node that has started and has no configuration yet.
def test_owner_of_an_unknown_service_lets_calls_run_until_their_deadline():
    async def main():
        default_s = Service("orders").attempt_timeout_ms / 1000
        async with open_backend(service_time_s=default_s + 0.2) as backend:
            registry = OwnerRegistry(
                AdmissionSettings(), CLOCK, OwnerMetrics()
            )
            registry.update(make_announcement(backend.port))
            answer = await registry.run_call(make_call("long"), "orders-1")
            assert answer.response.status == 200
            error = await try_call(
                registry.get("orders-1"), make_call("cut", remaining_s=0.1)
            )
            assert error.code is ErrorCode.TIMEOUT

    curio.run(main)


def make_announcement(port):
    return Announcement("orders-1", "orders", f"{HOST}:{port}")


# Guards against calls between a response that says leaving and its heartbeat.
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, [(b"auburn-leaving", b"1")]),
        (503, [(b"auburn-leaving", b"1"), (b"auburn-shed", b"1")]),
    ],
)
@pytest.mark.parametrize(("born_ms", "later_ms"), [(7, 8), (0, 0)])
def test_response_that_says_leaving_starts_draining(
    status, headers, born_ms, later_ms
):
    async def main():
        async with open_backend(status=status, headers=headers) as backend:
            departures = []
            registry = OwnerRegistry(
                AdmissionSettings(), CLOCK, OwnerMetrics()
            )
            registry.on_departure = lambda *values: departures.append(values)
            registry.update(announce(backend.port, born_ms=born_ms))
            owner = registry.get("orders-1")
            result = await try_call(owner, make_call("first"))
            if status == 200:
                assert result.leaving
            refused = await try_call(owner, make_call("second"))
            assert refused.code is ErrorCode.DRAINING
            assert departures == [("orders-1", born_ms)]
            backend.status, backend.headers = 200, []
            registry.update(announce(backend.port, born_ms=later_ms))
            answer = await try_call(owner, make_call("third"))
            assert not answer.leaving
        assert backend.executed == ["first", "third"]

    run(main)


def test_late_response_of_an_earlier_incarnation_starts_no_draining():
    async def main():
        headers = [(b"auburn-leaving", b"1")]
        async with open_backend(headers=headers) as backend:
            backend.gate.clear()
            registry = OwnerRegistry(
                AdmissionSettings(), CLOCK, OwnerMetrics()
            )
            registry.update(announce(backend.port, born_ms=7))
            owner = registry.get("orders-1")
            late = await curio.spawn(try_call, owner, make_call("late"))
            await wait_until(lambda: backend.running)
            registry.update(announce(backend.port, born_ms=8))
            await backend.gate.set()
            assert not (await late.join()).leaving
            assert not owner.draining

    run(main)


# Guards against calls that vanish at an owner without a trace, as those of an
# entry node that has shut down.
@pytest.mark.parametrize(("index", "runs"), [(0, 1), (1, 0)])
def test_abandoned_calls_are_counted_by_whether_they_ran(index, runs):
    async def main():
        metrics = OwnerMetrics()
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, metrics=metrics)
            tasks = []
            for count in (1, 2):
                call = make_call(f"call-{count}")
                tasks.append(await curio.spawn(owner.run_call, call))
                await wait_until(
                    lambda count=count: owner.running + owner.waiting == count
                )
            await wait_until(lambda: backend.running)
            await tasks[index].cancel()
            assert metrics.abandoned == {"orders": 1}
            assert metrics.abandoned_runs.total() == runs
            await backend.gate.set()
            await tasks[1 - index].join()

    run(main)
