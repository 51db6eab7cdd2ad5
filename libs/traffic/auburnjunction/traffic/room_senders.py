"""Sending of calls with checks of room along the request, and of returns."""

import math

from auburnjunction.base.clocks import Clock
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    Call,
    NotRunError,
    TrafficError,
)
from auburnjunction.traffic.nested_calls import (
    NO_ROOM_CODES,
    NestedCallTracker,
    has_no_room,
)
from auburnjunction.traffic.return_ledgers import ReturnLedgers
from auburnjunction.traffic.room_gates import (
    NoRoomError,
    RoomGate,
    RoomRefusal,
)
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.senders import CallTrace, Sender


class RoomSender:
    """Sends calls that find room, and names times of return to others."""

    def __init__(
        self,
        sender: Sender,
        clock: Clock,
        metrics: MetricRegistry,
        gate: RoomGate | None,
        ledgers: ReturnLedgers | None,
        nested_calls: NestedCallTracker | None,
        parent_id_separator: str,
    ):
        self._sender = sender
        self._clock = clock
        self._gate = gate
        self._ledgers = ledgers
        self._nested_calls = nested_calls
        self._separator = parent_id_separator
        self._places: dict[str, int] = {"reserved": 0, "none": 0, "taken": 0}
        self._refused = metrics.make_counter(
            "auburn_room_refusals_total",
            "Requests refused as a service that they need has no room",
        )
        self._shares = metrics.make_gauge(
            "auburn_room_share", "Admitted share of the demand for a service"
        )
        self._returns = metrics.make_counter(
            "auburn_return_places_total",
            "Refused callers with and without a reserved place",
        )
        metrics.add_collector(self._collect)

    async def send_call(self, routed: RoutedCall, trace: CallTrace) -> Answer:
        """Return a complete answer; raise NotRunError or UnknownRunError."""
        if routed.call.nested:
            return await self._send_nested(routed, trace)
        call = routed.call
        now_s = self._clock.monotonic()
        call.returning = self._take_place(routed, now_s)
        try:
            if self._gate is not None:
                self._gate.check(call, now_s, call.returning, routed.is_return)
            answer = await self._sender.send_call(routed, trace)
        except TrafficError as exc:
            if isinstance(exc, NoRoomError):
                trace.details = _list_details(exc.refusal)
            self._record_error(routed, exc)
            raise
        self._record_answer(call, answer, now_s)
        return answer

    def _record_answer(
        self, call: Call, answer: Answer, start_s: float
    ) -> None:
        now_s = self._clock.monotonic()
        failed = answer.response.status >= FIRST_SERVER_ERROR
        if self._ledgers is not None:
            ledger = self._ledgers.get(call.service, call.rank)
            ledger.record_answer(now_s)
        if self._gate is None:
            return
        if not failed:
            profiles = self._gate.tracker.profiles
            profiles.record_duration(call.route, now_s - start_s)
        if answer.nested is not None:
            self._gate.record_report(call, answer.nested, failed, now_s)

    async def _send_nested(
        self, routed: RoutedCall, trace: CallTrace
    ) -> Answer:
        start_s = self._clock.monotonic()
        try:
            answer = await self._sender.send_call(routed, trace)
        except TrafficError as exc:
            self._record_nested(routed, start_s, has_no_room(exc))
            raise
        self._record_nested(routed, start_s, False)
        return answer

    def _record_nested(
        self, routed: RoutedCall, start_s: float, refused: bool
    ) -> None:
        call = routed.call
        now_s = self._clock.monotonic()
        congested = refused
        if self._nested_calls is not None:
            parent_id = call.request_id.rpartition(self._separator)[0]
            congested |= self._nested_calls.takes_too_long(
                parent_id, start_s, now_s
            )
            self._nested_calls.record_call(
                parent_id, call.service, congested, refused
            )
        if self._gate is not None:
            self._gate.record_nested(call.service, congested, now_s)

    def _take_place(self, routed: RoutedCall, now_s: float) -> bool:
        """Return whether the caller returns at about the time it was told."""
        if self._ledgers is None or not routed.is_return:
            return False
        call = routed.call
        taken = self._ledgers.get(call.service, call.rank).take(now_s)
        self._places["taken"] += taken
        return taken

    def _record_error(self, routed: RoutedCall, exc: TrafficError) -> None:
        now_s = self._clock.monotonic()
        if self._gate is not None and exc.nested is not None:
            self._gate.record_report(routed.call, exc.nested, True, now_s)
        # When an instance will be available again, the answers don't tell.
        if isinstance(exc, NotRunError) and exc.code in NO_ROOM_CODES:
            self._name_return(routed, exc, now_s)

    def _name_return(
        self, routed: RoutedCall, exc: NotRunError, now_s: float
    ) -> None:
        """Reserve a place for a refused caller that may still return."""
        if self._ledgers is None or routed.is_return:
            return
        call = routed.call
        ledger = self._ledgers.get(call.service, call.rank)
        # Half of the time to the objective is left for the work.
        latest_s = math.inf
        if call.target_s < math.inf:
            latest_s = now_s + (call.target_s - now_s) / 2
        place = ledger.reserve(call.deadline_s - now_s, latest_s, now_s)
        self._places["reserved" if place.reserved else "none"] += 1
        exc.retry_after_s = place.delay_s

    def _collect(self) -> None:
        for result, count in self._places.items():
            self._returns.set({"result": result}, count)
        if self._gate is None:
            return
        for (service, cause), count in self._gate.refusals.items():
            labels = {"service": service, "cause": cause}
            self._refused.set(labels, count)
        for service, share in self._gate.tracker.list_shares().items():
            self._shares.set({"service": service}, share)


def _list_details(refusal: RoomRefusal) -> dict:
    """Return the fields of the log line of a refused call."""
    return {
        "cause": refusal.cause,
        "called_service": refusal.service,
        "value": round(refusal.congested_share, 3),
        "limit": round(refusal.share, 3),
        "evidence_age_s": round(refusal.age_s, 3),
    }
