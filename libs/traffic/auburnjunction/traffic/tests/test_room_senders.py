"""What entry nodes learn of nested calls, and what they then refuse."""

import attrs
import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.traffic.call_forwarders import PeerHandler, _read_answer
from auburnjunction.traffic.calls import (
    Answer,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.headers import (
    CALL_HEADER,
    NESTED_HEADER,
    ORGANISATION_HEADER,
    format_call,
    parse_call,
)
from auburnjunction.traffic.nested_calls import NestedCallTracker, NestedTally
from auburnjunction.traffic.packed_headers import unpack_headers
from auburnjunction.traffic.return_ledgers import ReturnLedgers
from auburnjunction.traffic.room_gates import NoRoomError, RoomGate
from auburnjunction.traffic.room_senders import RoomSender
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.senders import CallTrace
from auburnjunction.traffic.tests.owner_support import make_call

REPORT = {"back": NestedTally(3, 2, 1)}


@attrs.define
class FakeSender:
    """Sends nothing; ends each call as a test sets."""

    error: TrafficError | None = None
    report: dict | None = None
    sent: list = attrs.field(factory=list)

    async def send_call(self, routed, _trace):
        self.sent.append(routed.call)
        if self.error is not None:
            raise self.error
        return Answer(HttpResponse(200), nested=self.report)


@attrs.define(slots=False)
class Fixture:
    """A sender under test with its parts."""

    inner: FakeSender = attrs.field(factory=FakeSender)
    gate: RoomGate = attrs.field(factory=RoomGate)
    tracker: NestedCallTracker = attrs.field(factory=NestedCallTracker)
    metrics: MetricRegistry = attrs.field(factory=MetricRegistry)

    def __attrs_post_init__(self):
        self.sender = RoomSender(
            self.inner,
            SystemClock(),
            self.metrics,
            self.gate,
            ReturnLedgers(),
            self.tracker,
            ".",
        )

    async def send(self, call, is_return=False, trace=None):
        route = Route("route", "/", "orders")
        routed = RoutedCall(call, route, Service("orders"), is_return)
        trace = trace or CallTrace("1", 0.0)
        return await self.sender.send_call(routed, trace)


def nest(parent_id="p", service="back"):
    call = make_call(f"{parent_id}.1")
    call.nested = True
    call.service = service
    return call


@pytest.mark.parametrize(
    ("error", "congested"),
    [
        (None, 0),
        (NotRunError("full", ErrorCode.OVERLOADED), 1),
        (NotRunError("no instance"), 1),
        (UnknownRunError("late", ErrorCode.TIMEOUT), 1),
        (UnknownRunError("crash", ErrorCode.CRASHED), 0),
        (NotRunError("no route", ErrorCode.NOT_FOUND), 0),
    ],
)
def test_nested_calls_are_tallied_with_their_request(error, congested):
    """Guards against refusals that no entry node learns of."""

    async def main():
        fixture = Fixture(FakeSender(error))
        fixture.tracker.start_request("p")
        try:
            await fixture.send(nest())
        except TrafficError:
            assert error is not None
        tally = fixture.tracker.end_request("p")
        assert tally == {"back": NestedTally(1, congested, congested)}

    curio.run(main)


def test_requests_are_refused_before_they_take_a_slot():
    """Guards against runs that fail as the service that they call is full."""

    async def main():
        fixture = Fixture(FakeSender(report={"back": NestedTally(20, 20)}))
        refused = 0
        for _ in range(60):
            trace = CallTrace("1", 0.0)
            try:
                await fixture.send(make_call(), trace=trace)
            except NoRoomError as exc:
                assert exc.code is ErrorCode.NO_ROOM
                assert exc.retry_after_s > 0
                refused += 1
                assert trace.details["cause"] == "nested"
                assert trace.details["limit"] < 1
            await curio.sleep(0.01)
        assert refused
        assert len(fixture.inner.sent) == 60 - refused
        rendered = fixture.metrics.render().decode()
        assert "auburn_room_refusals_total" in rendered

    curio.run(main)


def test_a_refused_caller_gets_its_place_when_it_returns():
    """Guards against callers that are refused twice for the same cause."""

    async def main():
        fixture = Fixture()
        for _ in range(50):
            await fixture.send(make_call())
        fixture.inner.error = NotRunError("full", ErrorCode.OVERLOADED, 9.0)
        with pytest.raises(NotRunError) as refusal:
            await fixture.send(make_call())
        delay_s = refusal.value.retry_after_s
        assert 0 < delay_s < 1
        await curio.sleep(delay_s)
        fixture.inner.error = None
        await fixture.send(make_call(), is_return=True)
        assert fixture.inner.sent[-1].returning
        # There is only one place, and only for callers that return.
        await fixture.send(make_call(), is_return=True)
        await fixture.send(make_call())
        assert not any(call.returning for call in fixture.inner.sent[-2:])

    curio.run(main)


class ReportingRunner:
    """Runs calls that have made nested ones."""

    def __init__(self, error=None, report=REPORT):
        self.error = error
        self.report = report

    async def run_call(self, _call, _instance):
        if self.error is not None:
            self.error.nested = REPORT
            raise self.error
        return Answer(HttpResponse(200), nested=self.report)


def forward(runner, call):
    request = HttpRequest(
        b"GET", b"/", [(CALL_HEADER, format_call(call, "i1", 0.0))]
    )
    handler = PeerHandler(runner, SystemClock())
    response = curio.run(handler.handle, request)
    response.headers = unpack_headers(response.headers)
    return response


def test_reports_reach_entry_nodes_with_answers_and_failures():
    for report in (REPORT, {}):
        runner = ReportingRunner(report=report)
        assert _read_answer(forward(runner, make_call())).nested == report
    error = UnknownRunError("late", ErrorCode.TIMEOUT)
    with pytest.raises(UnknownRunError) as failure:
        _read_answer(forward(ReportingRunner(error), make_call()))
    assert failure.value.nested == REPORT


def test_answers_are_as_before_without_reports():
    """Guards against headers to nodes that do not know them."""

    class PlainRunner:
        async def run_call(self, _call, _instance):
            return Answer(HttpResponse(200))

    response = forward(PlainRunner(), make_call())
    assert response.header(NESTED_HEADER) is None
    assert _read_answer(response).nested is None


@pytest.mark.parametrize("returning", [False, True])
def test_owner_nodes_learn_of_places_and_organisations(returning):
    call = make_call()
    call.returning = returning
    headers = [
        (CALL_HEADER, format_call(call, "i1", 0.0)),
        (ORGANISATION_HEADER, b"a%20b"),
    ]
    parsed, _ = parse_call(HttpRequest(b"GET", b"/", headers), 0.0)
    assert parsed.returning is returning
    assert parsed.organisation == "a b"
