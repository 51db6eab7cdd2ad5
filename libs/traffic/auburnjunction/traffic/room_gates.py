"""Refusal of requests whose nested calls would find no room."""

import random
from collections import Counter

import attrs

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.nested_calls import NestedReport
from auburnjunction.traffic.rooms import RoomTracker, ServiceRoom

# Seconds until the admitted share can have risen noticeably; also the least
# Retry-After of a refusal.
RETURN_S = 0.2


@attrs.define(slots=True, frozen=True)
class RoomRefusal:
    """Why a request is refused, with the evidence."""

    # The service without room, and whether the request only calls it.
    service: str
    nested: bool
    # Admitted share of the demand of its priority and organisation.
    share: float
    congested_share: float
    age_s: float

    @property
    def cause(self) -> str:
        """The cause, as a label of metrics."""
        return "nested" if self.nested else "direct"

    @property
    def message(self) -> str:
        """The refusal in words, with its inputs."""
        use = "which the request calls," if self.nested else "called directly,"
        return (
            f"service {self.service}, {use} refused or delayed "
            f"{self.congested_share:.0%} of nested calls {self.age_s:.2f} s "
            f"ago; {self.share:.0%} of such requests are admitted"
        )


class NoRoomError(NotRunError):
    """A service that the request needs has no room for its calls."""

    code = ErrorCode.NO_ROOM

    def __init__(self, refusal: RoomRefusal, retry_after_s: float):
        super().__init__(refusal.message, retry_after_s=retry_after_s)
        self.refusal = refusal


class RoomGate:
    """Admits top-level requests at the rate that called services carry.

    Without knowledge of a route or service, all are admitted.
    """

    def __init__(self, rng: random.Random | None = None):
        # Refusals by service and cause.
        self.refusals: Counter[tuple[str, str]] = Counter()
        self.tracker = RoomTracker()
        self._random = rng or random.Random()

    def check(
        self,
        call: Call,
        now_s: float,
        reserved: bool = False,
        is_return: bool = False,
    ) -> None:
        """Raise NoRoomError for a request that should not run now.

        A request with a reserved place is admitted and charged. Another one
        that returns too late for its objective would take the room of one
        that is in time.
        """
        duration_s = self.tracker.profiles.find_duration(call.route)
        late = is_return and now_s + duration_s > call.target_s
        profile = self.tracker.profiles.find(call.route)
        for service, calls in profile.items():
            room = self.tracker.find(service)
            if room is not None and calls > 0:
                self._check_room(
                    call, room, calls, service, now_s, reserved, late
                )
        room = self.tracker.find(call.service)
        if room is not None and call.service not in profile:
            self._check_room(
                call, room, 1.0, call.service, now_s, reserved, late
            )

    def record_report(
        self, call: Call, report: NestedReport, failed: bool, now_s: float
    ) -> None:
        """Record the nested calls of a request that has run."""
        self.tracker.profiles.record(call.route, report, failed)
        for service, tally in report.items():
            self.tracker.record_results(
                service, tally.calls, tally.congested, now_s
            )

    def record_nested(
        self, service: str, congested: bool, now_s: float
    ) -> None:
        """Record a nested call that entered the mesh at this node."""
        self.tracker.record_results(service, 1, int(congested), now_s)

    def _check_room(
        self,
        call: Call,
        room: ServiceRoom,
        calls: float,
        service: str,
        now_s: float,
        reserved: bool,
        late: bool,
    ) -> None:
        rank, organisation = call.rank, call.organisation
        room.add_demand(rank, organisation, calls, now_s)
        portion = room.find_portion(rank, organisation, now_s)
        if portion is None or portion.share >= 1.0:
            return
        if reserved:
            portion.charge()
            return
        if not late and portion.admit():
            return
        refusal = RoomRefusal(
            service,
            service != call.service,
            portion.share,
            room.congested_share,
            now_s - room.congested_s,
        )
        self.refusals[service, refusal.cause] += 1
        raise NoRoomError(refusal, RETURN_S * self._random.uniform(1, 2))
