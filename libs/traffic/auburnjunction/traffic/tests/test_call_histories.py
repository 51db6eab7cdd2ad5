"""Consistency of calls sent, executed and answered under faults."""

import random
import socket

import curio
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.routing_support import (
    hang,
    make_instance,
    never_respond,
    open_mesh,
    raise_unknown_outcome,
    refuse,
    send_earlier_response,
    send_nothing,
    send_truncated,
)

CALLS = 120
WORKERS = 12
DEADLINE = (b"auburn-deadline-ms", b"250")
CASES = {
    "refuse": ("before", refuse()),
    "drain": ("before", refuse(ErrorCode.DRAINING)),
    "unreachable": ("before", refuse(ErrorCode.UNAVAILABLE)),
    "lost": ("after", raise_unknown_outcome),
    "late": ("after", hang),
    "late-refusal": ("before", hang),
    "partial": ("stream", send_truncated),
    "killed": ("stream", send_nothing),
    "silent": ("stream", never_respond),
    "earlier-response": ("stream", send_earlier_response),
    "stopped": ("stop", None),
}


def apply_to_share(behave, rng, share):
    async def choose(*args):
        if rng.random() < share:
            await behave(*args)

    return choose


def apply_to_share_of_responses(fault, rng, share):
    async def choose(server, stream, data):
        if rng.random() >= share:
            await stream.sock.sendall(data)
            return
        await fault(server, stream, data)
        await stream.sock.shutdown(socket.SHUT_RDWR)

    return choose


async def inject_faults(mesh, kind, behave, names, share):
    rng = random.Random(3)
    for name in names:
        if kind == "stream":
            mesh.servers[name].fault = apply_to_share_of_responses(
                behave, rng, share
            )
        elif kind == "stop":
            await mesh.servers[name].sock.close()
        else:
            faults = getattr(mesh.runner, kind)
            faults[name] = apply_to_share(behave, rng, share)


async def run_calls(mesh, answers):
    async def work(worker):
        for index in range(worker, CALLS, WORKERS):
            is_read = index % 2 == 0
            name = f"{'read' if is_read else 'pay'}-{index}"
            method, path = ("GET", "/read") if is_read else ("POST", "/pay")
            answers[name] = await mesh.call(
                name, method, path, entry=index % 3, headers=[DEADLINE]
            )

    workers = [await curio.spawn(work, number) for number in range(WORKERS)]
    for task in workers:
        await task.join()


def check_outcomes(answers, history):
    assert len(answers) == CALLS
    for name, response in answers.items():
        executions = history.executions.get(name, 0)
        outcome = response.header(b"auburn-outcome")
        if name.startswith("pay"):
            assert executions <= 1, name
        if outcome == b"not-run":
            assert executions == 0, name
        names = [name for name, _ in response.headers]
        assert names.count(b"auburn-outcome") == 1
        assert names.count(b"auburn-request-id") == 1
        assert b"x-private" not in names
        assert b"auburn-load" not in names
        if outcome == b"ok":
            assert executions >= 1, name
            assert response.body == name.encode()
            assert response.header(b"x-call") == name.encode()
        else:
            assert response.status >= 400
            assert name.encode() not in response.body


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("share", [0.3, 1.0])
def test_outcomes_match_executions(case, share):
    kind, behave = CASES[case]
    settings = RoutingSettings(access_log_share=0, error_log_share=0)

    async def main():
        answers = {}
        async with (
            open_mesh(
                ("dc-1", "dc-1", "dc-1", "dc-2"), entries=3, settings=settings
            ) as mesh,
            curio.timeout_after(20),
        ):
            await inject_faults(mesh, kind, behave, ["i0", "i1", "i3"], share)
            await run_calls(mesh, answers)
        check_outcomes(answers, mesh.history)
        outcomes = {r.header(b"auburn-outcome") for r in answers.values()}
        assert b"ok" in outcomes

    curio.run(main)


@pytest.mark.parametrize(
    "fault", [refuse(ErrorCode.UNAVAILABLE), raise_unknown_outcome]
)
def test_retries_stay_within_the_budget(fault):
    settings = RoutingSettings(
        access_log_share=0,
        error_log_share=0,
        ejection_failures=1000,
        retry_slack=1,
    )
    calls = 400

    async def main():
        async with open_mesh(["dc-1"] * 4, settings=settings) as mesh:
            for name in ("i0", "i1"):
                mesh.runner.before[name] = fault

            async def work(worker):
                for index in range(calls // 40):
                    await mesh.call(f"{worker}-{index}")

            tasks = [await curio.spawn(work, w) for w in range(40)]
            for task in tasks:
                await task.join()
            return mesh.history.attempts

    attempts = curio.run(main)
    # The slack is one retry in ten seconds; the calls take less than one.
    assert calls < attempts <= calls * 1.1 + 1


@pytest.mark.parametrize(
    ("fault", "status", "ejections"),
    [(never_respond, 504, 0), (send_earlier_response, 502, 1)],
)
def test_failed_connection_is_replaced(fault, status, ejections):
    settings = RoutingSettings(access_log_share=0, ejection_failures=1)

    async def main():
        async with open_mesh(["dc-1"], settings=settings) as mesh:
            server = mesh.servers["i0"]
            deadline = [(b"auburn-deadline-ms", b"100")]
            statuses = []
            for name, behave in (("a", None), ("b", fault), ("c", None)):
                server.fault = behave
                response = await mesh.call(name, headers=deadline)
                statuses.append(response.status)
            assert statuses == [200, status, 200]
            assert server.connections == 2
            line = b"auburn_ejections_total %d" % ejections
            assert line in mesh.metrics.render()

    curio.run(main)


def test_call_to_unreachable_instance_is_not_run():
    async def main():
        async with open_mesh([]) as mesh:
            mesh.source.instances.append(make_instance("gone", port=1))
            response = await mesh.call("a", "POST", "/pay")
            assert response.header(b"auburn-outcome") == b"not-run"

    curio.run(main)


@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/read"), ("POST", "/pay")]
)
def test_call_in_flight_at_a_host_that_falls_silent_runs_once(method, path):
    """The entry holds the owner node for dead while it still runs the call."""

    async def main():
        async with open_mesh(["dc-1"] * 2) as mesh:
            started, finish = curio.Event(), curio.Event()
            ran_on = []

            async def run_long(_call, instance):
                ran_on.append(instance)
                await started.set()
                await finish.wait()

            for name in mesh.servers:
                mesh.runner.after[name] = run_long
            call = await curio.spawn(mesh.call, "a", method, path)
            await started.wait()
            mesh.source.instances = [
                i for i in mesh.source.instances if i.instance != ran_on[0]
            ]
            await curio.sleep(0.1)
            await finish.set()
            response = await call.join()
            assert response.status == 200
            assert mesh.history.executions == {"a": 1}
            assert len(ran_on) == 1

    curio.run(main)
