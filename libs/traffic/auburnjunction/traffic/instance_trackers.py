"""Latency, load and refusals of instances, from the calls of this node."""

from collections.abc import Sequence

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.membership.departures import Departure, DepartureLog
from auburnjunction.model.services import Instance
from auburnjunction.placements.placers import Outcome, Placer
from auburnjunction.traffic.call_forwarders import (
    NodeConnectTimeoutError,
    ReusedConnectionError,
)
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    NotRunError,
    TrafficError,
)
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.links import LinkTracker
from auburnjunction.traffic.routing_settings import RoutingSettings

# Weight of a new sample in the moving average of an instance's latency.
LATENCY_WEIGHT = 0.1
MAX_LOAD_REPORT = 4.0
MAX_RECORDS = 8192
# Codes that depend on the call and not on the health of the instance.
NEUTRAL_CODES = frozenset(
    {
        ErrorCode.CONFLICT,
        ErrorCode.INVALID,
        ErrorCode.REVOKED,
        ErrorCode.SHUTDOWN,
        ErrorCode.STALE,
        ErrorCode.TOO_LARGE,
        ErrorCode.UNAUTHORISED,
    }
)
# Codes of refusals that put the instance in cooldown, since it would refuse
# other calls as well.
COOLDOWN_CODES = frozenset(
    {
        ErrorCode.DRAINING,
        ErrorCode.UNRESPONSIVE,
        ErrorCode.UNREACHABLE,
        ErrorCode.MISPLACED,
    }
)
# Codes that only owner nodes return, so that they prove the data centre
# reachable.
NODE_REPLY_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.DRAINING,
        ErrorCode.MISPLACED,
        ErrorCode.OVERLOADED,
        ErrorCode.REVOKED,
        ErrorCode.SHED,
        ErrorCode.SHUTDOWN,
        ErrorCode.STALE,
        ErrorCode.UNRESPONSIVE,
    }
)
# Codes of failures after which a data centre counts as full for calls of
# others: refusals by load, and losses on the way there.
LOST_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.SHED,
        ErrorCode.TIMEOUT,
        ErrorCode.UNREACHABLE,
        ErrorCode.UNRESPONSIVE,
    }
)
# Costs within this ratio count as equal, so that an insignificant difference
# does not send every call to one instance.
COST_TOLERANCE_RATIO = 1.1


@attrs.define(slots=True)
class InstanceRecord:
    """Statistics of one instance."""

    in_flight: int = 0
    # Exponentially weighted moving average; 0 before the first answer.
    latency_s: float = 0.0
    # Latest load report and the time at which it arrived.
    load: float = 0.0
    load_reported_s: float = 0.0
    cooldown_until_s: float = 0.0
    # Rate limit that the latest answer named.
    rate_limit_per_s: float | None = None


class InstanceTracker:
    """Tracks outcomes of calls and compares instances by expected cost."""

    def __init__(
        self,
        outlier_tracker: OutlierTracker,
        clock: Clock,
        settings: RoutingSettings,
    ):
        self._outlier_tracker = outlier_tracker
        self._clock = clock
        self._settings = settings
        self._half_life_s = settings.load_half_life_ms / 1000
        self._records: dict[str, InstanceRecord] = {}
        self._link_tracker = LinkTracker(settings)
        self._departures = DepartureLog(MAX_RECORDS)
        # Places calls by expected completion; None if that is off.
        self.placer: Placer | None = None

    def start_call(self, instance: Instance, body_bytes: int = 0) -> None:
        """Record a call that is about to be sent to the instance."""
        if self.placer is not None:
            self.placer.record_start(instance, body_bytes)
        now_s = self._clock.monotonic()
        self._link_tracker.record_call(instance.data_centre, now_s)
        self._find_record(instance.instance).in_flight += 1

    def end_call(self, instance: Instance) -> None:
        """Record the end of a call with any outcome."""
        self._find_record(instance.instance).in_flight -= 1
        if self.placer is not None:
            self.placer.record_end(instance)

    def record_answer(
        self,
        instance: Instance,
        answer: Answer,
        latency_s: float,
        route: str = "",
    ) -> None:
        """Update the statistics from a complete answer."""
        now_s = self._clock.monotonic()
        name = instance.instance
        self._link_tracker.record_answer(instance.data_centre)
        if answer.leaving:
            self._departures.add(Departure(name, instance.born_ms))
        if answer.response.status >= FIRST_SERVER_ERROR:
            self._outlier_tracker.record_failure(name, now_s)
            return
        self._outlier_tracker.record_success(name, now_s)
        record = self._find_record(name)
        if record.latency_s:
            change_s = latency_s - record.latency_s
            record.latency_s += LATENCY_WEIGHT * change_s
        else:
            record.latency_s = latency_s
        record.rate_limit_per_s = answer.rate_limit_per_s
        if 0.0 <= answer.load < float("inf"):
            record.load = min(answer.load, MAX_LOAD_REPORT)
            record.load_reported_s = now_s
        if self.placer is not None:
            self.placer.record_answer(
                instance,
                route,
                Outcome(
                    answer.report,
                    # An instance of this node answers without a link.
                    answer.owner_duration_s or latency_s,
                    len(answer.response.body),
                ),
                now_s,
            )
        link_latency_s = max(0.0, latency_s - answer.owner_duration_s)
        self._link_tracker.record_latency(instance.data_centre, link_latency_s)

    def record_error(self, instance: Instance, error: TrafficError) -> None:
        """Update the statistics from a refusal or a failure."""
        now_s = self._clock.monotonic()
        name = instance.instance
        self._record_link_error(instance, error, now_s)
        is_lost = error.code in LOST_CODES
        if self.placer is not None and (
            is_lost or error.code is ErrorCode.BUSY
        ):
            self.placer.record_refusal(instance, error.report, now_s, is_lost)
        if error.code in NEUTRAL_CODES:
            self._outlier_tracker.release_probe(name)
            return
        is_refusal = isinstance(error, NotRunError)
        if is_refusal and self._record_refusal(name, error.code, now_s):
            return
        confirmed = not isinstance(error, ReusedConnectionError)
        self._outlier_tracker.record_failure(name, now_s, confirmed)

    def record_cancellation(self, instance: Instance) -> None:
        """Release the probe of a cancelled call, which has no outcome."""
        self._outlier_tracker.release_probe(instance.instance)

    def exclude_left(
        self, instances: Sequence[Instance]
    ) -> Sequence[Instance]:
        """Return those of which no answer has said that they are leaving.

        Owner nodes refuse calls to them, but one that restarts may learn of
        the departure later than this node.
        """
        if not self._departures:
            return instances
        has_left = self._departures.covers
        return [i for i in instances if not has_left(i.instance, i.born_ms)]

    def estimate_link_latency_s(self, data_centre: str) -> float:
        """Return the estimated round trip to a data centre."""
        return self._link_tracker.estimate_latency_s(data_centre)

    def find_unreachable_data_centres(self, now_s: float) -> frozenset[str]:
        """Return the data centres to which no call should be sent."""
        return self._link_tracker.find_unreachable_data_centres(now_s)

    def is_in_cooldown(self, instance: Instance, now_s: float) -> bool:
        """Return whether the instance is in cooldown after a refusal."""
        record = self._records.get(instance.instance)
        return record is not None and record.cooldown_until_s > now_s

    def find_rate_limit(self, instance: Instance) -> float | None:
        """Return the rate limit in calls per second that it named last."""
        record = self._records.get(instance.instance)
        return record.rate_limit_per_s if record is not None else None

    def find_load(self, instance: Instance, now_s: float) -> float:
        """Return the in-flight or reported load, as a share of the slots.

        It is the higher of the two.
        """
        record = self._find_record(instance.instance)
        in_flight_load = record.in_flight / instance.slots
        return max(in_flight_load, self._find_reported_load(record, now_s))

    def is_preferred(self, one: Instance, two: Instance, now_s) -> bool:
        """Return whether the first has a lower or about the same cost."""
        first = self._find_record(one.instance)
        second = self._find_record(two.instance)
        first_cost = self._find_load_cost(one, first, now_s)
        second_cost = self._find_load_cost(two, second, now_s)
        if first.latency_s and second.latency_s:
            first_cost *= first.latency_s
            second_cost *= second.latency_s
        return first_cost <= second_cost * COST_TOLERANCE_RATIO

    def _record_refusal(self, name: str, code: ErrorCode, now_s) -> bool:
        record = self._find_record(name)
        if code in COOLDOWN_CODES:
            cooldown_s = self._settings.draining_hold_ms / 1000
            record.cooldown_until_s = now_s + cooldown_s
        elif code is ErrorCode.BUSY:
            record.load = max(1.0, self._find_reported_load(record, now_s))
            record.load_reported_s = now_s
        elif code in (ErrorCode.OVERLOADED, ErrorCode.TIMEOUT):
            load = self._find_reported_load(record, now_s)
            record.load = max(load, self._settings.overload_limit)
            record.load_reported_s = now_s
        else:
            return False
        self._outlier_tracker.release_probe(name)
        return True

    def _record_link_error(
        self, instance: Instance, error: TrafficError, now_s: float
    ) -> None:
        data_centre = instance.data_centre
        if isinstance(error, NodeConnectTimeoutError):
            self._link_tracker.record_connect_timeout(
                data_centre, instance.node, now_s
            )
        elif error.code in NODE_REPLY_CODES:
            self._link_tracker.record_answer(data_centre)

    def _find_load_cost(
        self, instance: Instance, record: InstanceRecord, now_s: float
    ) -> float:
        reported = round(
            self._find_reported_load(record, now_s) * instance.slots
        )
        busy = max(record.in_flight, reported)
        failures = self._outlier_tracker.count_failures(instance.instance)
        return (busy + 1) * (failures + 1) / instance.slots

    def _find_reported_load(
        self, record: InstanceRecord, now_s: float
    ) -> float:
        if not record.load:
            return 0.0
        half_lives = (now_s - record.load_reported_s) / self._half_life_s
        return record.load * 0.5**half_lives

    def _find_record(self, name: str) -> InstanceRecord:
        record = self._records.get(name)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._evict_idle_records()
            record = self._records[name] = InstanceRecord()
        return record

    def _evict_idle_records(self) -> None:
        self._records = {
            name: record
            for name, record in self._records.items()
            if record.in_flight
        }
