"""Answer limits of the calls of an entry node that shuts down."""

import math

import attrs
import curio
import orjson
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import BadMessageError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.traffic import answer_limits
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.answer_limits import (
    AnswerLimitHandler,
    AnswerLimitSender,
)
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.forwarded_calls import ForwardedCalls
from auburnjunction.traffic.headers import (
    ANSWER_LIMIT_HEADER,
    CALL_HEADER,
    format_answer_limit,
    format_call,
    parse_call,
)
from auburnjunction.traffic.lifetimes import ANSWER_MARGIN_S, NodeLifetime
from auburnjunction.traffic.limits import (
    ASSUMED_DEVIATION,
    MIN_DEVIATION_SAMPLES,
    SlotLimit,
)
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.owners import OwnerRegistry
from auburnjunction.traffic.shutdown_checks import SHUTDOWN_DEVIATIONS
from auburnjunction.traffic.slots import AdmissionController
from auburnjunction.traffic.tests.owner_support import CLOCK, HOST, make_call

CFG = AdmissionSettings(adaptive_limit=False)
WORK_S = 0.2
TARGET_S = 1.0


@attrs.define
class HeldCalls:
    """Calls at a controller with one slot, each of which takes WORK_S."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    results: dict = attrs.field(factory=dict)
    running: list = attrs.field(factory=list)
    lifetime: NodeLifetime = attrs.field(init=False)
    limit: SlotLimit = attrs.field(init=False)
    controller: AdmissionController = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.lifetime = NodeLifetime(self.clock)
        self.limit = SlotLimit(CFG, 1, 100, self.clock)
        for _ in range(MIN_DEVIATION_SAMPLES):
            self.limit.add_sample("route", WORK_S, 1)
        self.controller = AdmissionController(
            CFG, self.limit, 40, self.clock, lifetime=self.lifetime
        )

    def make_call(self, name, limit_s=math.inf):
        now_s = self.clock.monotonic()
        return attrs.evolve(
            make_call(name),
            deadline_s=now_s + 10,
            answer_limit_s=now_s + limit_s,
        )

    async def hold(self, call):
        try:
            async with self.controller.hold_slot(call):
                self.results[call.request_id] = "held"
                self.running.append(curio.Event())
                await self.running[-1].wait()
        except NotRunError as exc:
            self.results[call.request_id] = exc.code

    async def start(self, call):
        task = await curio.spawn(self.hold, call)
        await self.settle()
        return task

    async def settle(self):
        for _ in range(20):
            await curio.sleep(0)

    async def end_one(self, duration_s=WORK_S):
        """End the running call after a time."""
        self.clock.advance(duration_s)
        if self.running:
            await self.running.pop().set()
        await self.settle()
        await self.controller.refuse_waiting()


# Guards against a call that is started, or kept waiting, though its entry node
# or this node shuts down before it could end.
@pytest.mark.parametrize(
    "known", ["at arrival", "while it waits", "own shutdown"]
)
@pytest.mark.parametrize(
    ("limit_s", "held"), [(0.1, 0), (0.5, 1), (0.7, 2), (math.inf, 4)]
)
def test_only_calls_that_end_before_their_limit_are_started(
    known, limit_s, held
):
    async def main():
        calls = HeldCalls()
        tasks = [await calls.start(calls.make_call("runs already"))]
        names = [f"call-{n}" for n in range(4)]
        start_s = calls.clock.monotonic()
        code = ErrorCode.SHUTDOWN
        if known == "own shutdown":
            tasks += [await calls.start(calls.make_call(n)) for n in names]
            end_s = start_s + limit_s + ANSWER_MARGIN_S
            calls.lifetime.set_end(start_s, end_s)
            await calls.controller.refuse_waiting()
            await calls.settle()
            code = ErrorCode.DRAINING
        elif known == "at arrival":
            for name in names:
                tasks.append(await calls.start(calls.make_call(name, limit_s)))
        else:
            waiting = [calls.make_call(name) for name in names]
            tasks += [await calls.start(call) for call in waiting]
            for call in waiting:
                call.answer_limit_s = start_s + limit_s
            await calls.controller.refuse_waiting()
            await calls.settle()
        # What cannot be served is refused at once.
        refused = {n for n in names if n in calls.results}
        assert len(refused) == 4 - held
        for _ in range(5):
            await calls.end_one()
        for task in tasks:
            await task.join()
        assert calls.results.pop("runs already") == "held"
        expected = ["held"] * held + [code] * (4 - held)
        assert [calls.results[name] for name in names] == expected

    curio.run(main)


# Guards against a call that was expected to start in time and is started late,
# as the one ahead of it took longer.
@pytest.mark.parametrize(
    ("duration_s", "outcome"),
    [(0.25, "held"), (0.35, ErrorCode.SHUTDOWN)],
)
def test_call_is_refused_when_its_wait_leaves_too_little_time(
    duration_s, outcome
):
    async def main():
        calls = HeldCalls()
        tasks = [
            await calls.start(calls.make_call("first")),
            await calls.start(calls.make_call("waits", 0.5)),
        ]
        await calls.end_one(duration_s)
        await calls.end_one()
        for task in tasks:
            await task.join()
        assert calls.results == {"first": "held", "waits": outcome}

    curio.run(main)


# Guards against calls that are cut off by a shutdown as they take longer than
# the few calls, or those of other routes, that their backend server has
# answered.
@pytest.mark.parametrize(
    ("samples", "limit_s", "outcome"),
    [
        (MIN_DEVIATION_SAMPLES, WORK_S + 0.1, "held"),
        (1, WORK_S + 0.1, ErrorCode.SHUTDOWN),
        (1, (1 + SHUTDOWN_DEVIATIONS * ASSUMED_DEVIATION) * WORK_S, "held"),
        (0, TARGET_S - 0.1, ErrorCode.SHUTDOWN),
        (0, TARGET_S, "held"),
    ],
)
def test_duration_is_overestimated_with_few_samples(samples, limit_s, outcome):
    async def main():
        calls = HeldCalls()
        for _ in range(samples):
            calls.limit.add_sample("new", WORK_S, 1)
        call = calls.make_call("new", limit_s + 0.001)
        target_s = calls.clock.monotonic() + TARGET_S
        call = attrs.evolve(call, route="new", target_s=target_s)
        task = await calls.start(call)
        await calls.end_one()
        await task.join()
        assert calls.results == {"new": outcome}

    curio.run(main)


@pytest.mark.parametrize(
    ("limit_s", "value"),
    [(math.inf, None), (2.5, b"2500"), (-1.0, b"0")],
)
def test_answer_limit_passes_between_nodes(limit_s, value):
    call = attrs.evolve(make_call(), answer_limit_s=100.0 + limit_s)
    headers = [(CALL_HEADER, format_call(call, "orders-1", 100.0))]
    if value is not None:
        assert format_answer_limit(call, 100.0) == value
        headers.append((ANSWER_LIMIT_HEADER, value))
    request = HttpRequest(b"GET", b"/", headers)
    parsed, _ = parse_call(request, 50.0)
    assert parsed.answer_limit_s == 50.0 + max(0.0, limit_s)


@pytest.mark.parametrize("value", [b"", b"soon", b"1.5", b"\xff"])
def test_bad_answer_limit_of_a_call_is_an_error(value):
    headers = [
        (CALL_HEADER, format_call(make_call(), "orders-1", 100.0)),
        (ANSWER_LIMIT_HEADER, value),
    ]
    with pytest.raises(BadMessageError, match="invalid call header"):
        parse_call(HttpRequest(b"GET", b"/", headers), 100.0)


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ({"within_ms": 100, "request_ids": ["a", "b"]}, 200),
        ({"within_ms": 0, "request_ids": []}, 200),
        ({"within_ms": -1, "request_ids": []}, 400),
        ({"within_ms": "1", "request_ids": []}, 400),
        ({"within_ms": 1, "request_ids": "a"}, 400),
        ({"within_ms": 1, "request_ids": [1]}, 400),
        ({"within_ms": 1}, 400),
        ([], 400),
        (None, 400),
    ],
)
def test_answer_limit_message_is_checked(body, status):
    async def main():
        owners = OwnerRegistry(AdmissionSettings(), CLOCK, OwnerMetrics())
        handler = AnswerLimitHandler(owners, CLOCK)
        content = b"{" if body is None else orjson.dumps(body)
        request = HttpRequest(b"POST", b"/answer-limit", [], content)
        response = await handler.handle(request)
        assert response.status == status
        if status == 200:
            expected = {"unknown_ids": body["request_ids"]}
            assert orjson.loads(response.body) == expected
        else:
            assert response.body

    curio.run(main)


# Guards against calls that were on their way to their owner node when it
# received the limit, against a message that is lost, and against a response
# that is ignored without a line in the log.
def test_limit_is_sent_until_the_owner_node_knows_the_calls(monkeypatch):
    received = []
    logged = []
    monkeypatch.setattr(
        answer_limits, "log_event", lambda *_, **fields: logged.append(fields)
    )
    responses = [
        HttpResponse(503),
        HttpResponse(200, [], b"{}"),
        HttpResponse(200, [], b"[]"),
        HttpResponse(200, [], b'{"unknown_ids": ["late"]}'),
        HttpResponse(200, [], b'{"unknown_ids": []}'),
    ]

    async def handle(request):
        received.append(orjson.loads(request.body))
        return responses[len(received) - 1]

    async def main():
        async with open_server(HOST, 0, handle, CLOCK) as server:
            address = Address(HOST, server.port)
            pools = PoolRegistry(CLOCK)
            lifetime = NodeLifetime(CLOCK)
            forwarded = ForwardedCalls()
            now_s = CLOCK.monotonic()
            lifetime.set_end(now_s, now_s + 5.0)
            sender = AnswerLimitSender(forwarded, lifetime, pools, CLOCK)
            limited = attrs.evolve(
                make_call("limited"), answer_limit_s=now_s + 1
            )
            with (
                forwarded.track(make_call("early"), address),
                forwarded.track(make_call("late"), address),
                forwarded.track(limited, address),
            ):
                for _ in range(len(responses) + 1):
                    await sender.send_limits()
            await sender.send_limits()
            await pools.close()
        ids = [message["request_ids"] for message in received]
        both = ["early", "late"]
        assert ids == [both, both, both, both, ["late"]]
        longest_ms = (5.0 - ANSWER_MARGIN_S) * 1000
        assert all(0 < m["within_ms"] <= longest_ms for m in received)
        assert len(logged) == 3
        assert [fields["calls"] for fields in logged] == [2, 2, 2]
        assert "503" in logged[0]["reason"]
        assert "unknown_ids" in logged[1]["reason"]
        assert "not an object" in logged[2]["reason"]

    curio.run(main)
