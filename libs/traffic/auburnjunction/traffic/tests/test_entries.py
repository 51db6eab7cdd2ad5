"""Routing of callers' requests and the responses to them."""

import curio
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.routers import find_no_parent
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.owner_support import CLOCK, make_call
from auburnjunction.traffic.tests.routing_support import (
    hang,
    open_mesh,
    raise_unknown_outcome,
    refuse,
)


def run_mesh(test, **options):
    async def main():
        async with open_mesh(**options) as mesh, curio.timeout_after(20):
            return await test(mesh)

    return curio.run(main)


def format_response(response):
    outcome = response.header(b"auburn-outcome").decode()
    code = (response.header(b"auburn-error") or b"").decode()
    return f"{response.status} {outcome} {code}".strip()


def test_response_is_complete_and_has_a_unique_id():
    async def test(mesh):
        first = await mesh.call("a")
        second = await mesh.call("b")
        assert format_response(first) == "200 ok"
        assert (first.body, second.body) == (b"a", b"b")
        assert first.header(b"x-call") == b"a"
        ids = {r.header(b"auburn-request-id") for r in (first, second)}
        assert len(ids) == 2
        assert mesh.history.executions == {"a": 1, "b": 1}

    run_mesh(test)


OK = "200 ok"
INVALID = "400 not-run invalid"
MISSING = "404 not-run not-found"
DEADLINE = "auburn-deadline-ms"
KEY = "idempotency-key"


@pytest.mark.parametrize(
    ("path", "headers", "answer"),
    [
        ("/none", [], MISSING),
        ("/reading", [], MISSING),
        ("/read/../pay", [], INVALID),
        ("/read/%2E%2e/pay", [], INVALID),
        ("//read", [], INVALID),
        ("http://t/read", [], INVALID),
        ("/read?next=/../x", [], OK),
        ("/read", [(DEADLINE, "500")], OK),
        ("/read", [(DEADLINE, "0")], "504 not-run timeout"),
        ("/read", [(DEADLINE, "-5")], INVALID),
        ("/read", [(DEADLINE, "1e3")], INVALID),
        ("/read", [(DEADLINE, "9"), (DEADLINE, "8")], INVALID),
        ("/read", [(KEY, "")], INVALID),
        ("/read", [(KEY, "x" * 256)], INVALID),
        ("/read", [(KEY, "a"), (KEY, "b")], INVALID),
        # Internal headers from callers are ignored.
        ("/read", [("auburn-call", "x;y"), ("auburn-priority", "1")], OK),
        ("/read", [("auburn-outcome", "not-run")], OK),
        ("/read", [("auburn-request-id", "forged")], OK),
    ],
)
def test_response_to_valid_and_invalid_requests(path, headers, answer):
    async def test(mesh):
        raw = [(name.encode(), value.encode()) for name, value in headers]
        response = await mesh.call("a", path=path, headers=raw)
        assert format_response(response) == answer
        assert response.header(b"auburn-request-id") != b"forged"
        assert mesh.history.executions.get("a", 0) == (answer == OK)
        lines = mesh.metrics.render().splitlines()
        retries = [x for x in lines if x.startswith(b"auburn_retries_total{")]
        assert len(retries) == 1
        assert retries[0].endswith(b" 0")

    run_mesh(test)


@pytest.mark.parametrize("field", ["current", "is_current"])
def test_node_without_current_configuration_refuses(field):
    async def test(mesh):
        setattr(mesh.source, field, None)
        answer = "503 not-run unavailable"
        assert format_response(await mesh.call("a")) == answer
        assert not mesh.history.executions

    run_mesh(test)


@pytest.mark.parametrize(
    ("path", "code", "answer", "attempts"),
    [
        ("/read", ErrorCode.OVERLOADED, "503 not-run overloaded", 2),
        ("/pay", ErrorCode.OVERLOADED, "503 not-run overloaded", 2),
        ("/read", ErrorCode.DRAINING, "503 not-run draining", 3),
        ("/pay", ErrorCode.UNRESPONSIVE, "503 not-run unresponsive", 3),
        ("/pay", ErrorCode.CONFLICT, "409 not-run conflict", 1),
        ("/pay", ErrorCode.INVALID, "400 not-run invalid", 1),
    ],
)
def test_call_refused_by_every_instance_is_not_run(
    path, code, answer, attempts
):
    async def test(mesh):
        for name in mesh.servers:
            mesh.runner.before[name] = refuse(code)
        method = "GET" if path == "/read" else "POST"
        response = await mesh.call("a", method, path)
        assert format_response(response) == answer
        assert mesh.history.attempts == attempts
        assert not mesh.history.executions

    settings = RoutingSettings(access_log_share=0, retry_slack=1)
    run_mesh(test, settings=settings)


@pytest.mark.parametrize(
    ("method", "path", "answer", "executions"),
    [
        ("GET", "/read", "200 ok", 2),
        ("POST", "/pay", "502 unknown unknown", 1),
    ],
)
def test_unknown_is_retried_only_if_repeatable(
    method, path, answer, executions
):
    async def test(mesh):
        async def lose_first(call, instance):
            if mesh.history.attempts == 1:
                await raise_unknown_outcome(call, instance)

        for name in mesh.servers:
            mesh.runner.after[name] = lose_first
        response = await mesh.call("a", method, path)
        assert format_response(response) == answer
        assert mesh.history.executions == {"a": executions}

    run_mesh(test)


def test_unknown_outcome_prevails_over_later_refusals():
    async def test(mesh):
        async def refuse_retries(call, instance):
            if mesh.history.attempts > 1:
                raise await refuse()(call, instance)

        for name in mesh.servers:
            mesh.runner.before[name] = refuse_retries
            mesh.runner.after[name] = raise_unknown_outcome
        assert format_response(await mesh.call("a")) == "502 unknown unknown"

    run_mesh(test)


def test_deadline_ends_a_call_as_unknown():
    async def test(mesh):
        for name in mesh.servers:
            mesh.runner.after[name] = hang
        headers = [(b"auburn-deadline-ms", b"100")]
        response = await mesh.call("a", "POST", "/pay", headers=headers)
        assert format_response(response) == "504 unknown timeout"
        assert mesh.history.executions == {"a": 1}

    run_mesh(test)


def test_instances_without_the_resource_are_skipped():
    async def test(mesh):
        answer = "503 not-run unavailable"
        assert format_response(await mesh.call("a", path="/ledger")) == answer

    run_mesh(test)


def test_local_data_centre_is_preferred_and_routes_allow_spill():
    async def test(mesh):
        for index in range(20):
            response = await mesh.call(str(index))
            assert response.header(b"x-instance") == b"i0"
        del mesh.source.instances[0]
        assert format_response(await mesh.call("far")) == "200 ok"
        answer = "503 not-run unavailable"
        assert format_response(await mesh.call("x", path="/near")) == answer

    run_mesh(test, data_centres=("dc-1", "dc-2", "dc-3"))


def record_attempts(mesh, busy):
    """Make instances busy; return a list of later (instance, fail fast)."""
    recorded = []

    async def behave(call, instance):
        recorded.append((instance, call.fail_fast))
        if call.fail_fast and instance in busy:
            raise NotRunError("no slot is free", ErrorCode.BUSY)

    for name in mesh.servers:
        mesh.runner.before[name] = behave
    return recorded


@pytest.mark.parametrize(
    ("data_centres", "busy", "fail_fast"),
    [
        # All are busy: after two fail-fast attempts, the third one queues it.
        (("dc-1",) * 3, ["i0", "i1", "i2"], [True, True, False]),
        (("dc-1",) * 3, [], [True]),
        # All local ones are asked; it is queued where the wait is shortest.
        (("dc-1", "dc-1", "dc-2"), ["i0", "i1"], [True, True, False]),
        # Remote instances are not searched for a free slot.
        (("dc-1", "dc-2"), ["i0"], [False]),
    ],
)
def test_free_slots_are_tried_before_a_call_is_queued(
    data_centres, busy, fail_fast
):
    """Calls must not queue at a full instance while others have free slots.

    With many small instances, some are full even at half of the load.
    """

    async def test(mesh):
        recorded = record_attempts(mesh, busy)
        assert format_response(await mesh.call("a")) == "200 ok"
        assert [flag for _, flag in recorded] == fail_fast
        names = [name for name, _ in recorded]
        # Only a call that has asked every local instance returns to one.
        assert len(set(names)) == min(len(names), data_centres.count("dc-1"))
        assert mesh.history.executions == {"a": 1}

    settings = RoutingSettings(access_log_share=0, prompt_attempts=2)
    run_mesh(test, data_centres=data_centres, settings=settings)


def test_busy_instance_queues_the_call_if_the_others_disappear():
    async def test(mesh):
        recorded = record_attempts(mesh, ["i0", "i1"])

        async def remove_and_refuse(call, instance):
            recorded.append((instance, call.fail_fast))
            mesh.source.instances = mesh.source.instances[:1]
            raise NotRunError("no slot is free", ErrorCode.BUSY)

        mesh.runner.before["i1"] = remove_and_refuse
        for number in range(20):
            assert format_response(await mesh.call(f"a{number}")) == "200 ok"
        assert ("i0", False) in recorded

    settings = RoutingSettings(access_log_share=0, prompt_attempts=2)
    run_mesh(test, data_centres=("dc-1", "dc-1"), settings=settings)


REFUSED = "503 not-run shutdown"


# Guards against a late call whose expected duration fits and whose limit does
# not, and against the refusal of a nested call, which fails its request.
@pytest.mark.parametrize("estimates", ["in force", "ended"])
@pytest.mark.parametrize(
    ("is_nested", "timeout_ms", "late_answer"),
    [(False, 300, OK), (False, 900, REFUSED), (True, 900, OK)],
)
def test_late_call_is_taken_by_its_own_limit(
    estimates, is_nested, timeout_ms, late_answer
):
    now_s = CLOCK.monotonic()
    lifetime = NodeLifetime(CLOCK)
    end_s = now_s + (0.0 if estimates == "ended" else 0.3)
    lifetime.set_end(now_s, now_s + 0.7, end_s)
    parent = make_call("parent")

    async def test(mesh):
        headers = [(DEADLINE.encode(), b"%d" % timeout_ms)]
        response = await mesh.call("a", headers=headers)
        expected = OK if estimates == "in force" else late_answer
        assert format_response(response) == expected

    find_parent = (lambda _id: parent) if is_nested else find_no_parent
    run_mesh(test, lifetime=lifetime, find_parent=find_parent)
