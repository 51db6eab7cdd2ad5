"""What this node has seen of instances and data centres."""

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.services import Instance
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    NotRunError,
    TrafficError,
)
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.links import LinkTracker
from auburnjunction.traffic.peers import SilentNodeError, SuspectPathError
from auburnjunction.traffic.routing_settings import RoutingSettings

LATENCY_WEIGHT = 0.1
MAX_LOAD_REPORT = 4.0
MAX_RECORDS = 8192
# Codes that say nothing of the instance that answered.
NEUTRAL_CODES = frozenset(
    {ErrorCode.CONFLICT, ErrorCode.INVALID, ErrorCode.TOO_LARGE}
)
# Codes after which every other call would be refused as well.
HOLDING_CODES = frozenset(
    {
        ErrorCode.DRAINING,
        ErrorCode.UNRESPONSIVE,
        ErrorCode.UNREACHABLE,
        ErrorCode.MISPLACED,
    }
)
# Codes that only the node of an instance gives.
ANSWERED_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.DRAINING,
        ErrorCode.MISPLACED,
        ErrorCode.OVERLOADED,
        ErrorCode.SHED,
        ErrorCode.UNRESPONSIVE,
    }
)
# Costs closer than this are taken as equal, or else a difference of no
# meaning would send every call to one instance.
COST_TOLERANCE = 1.1


@attrs.define(slots=True)
class InstanceRecord:
    """What this node has seen of one instance."""

    in_flight: int = 0
    latency_s: float = 0.0
    load: float = 0.0
    load_s: float = 0.0
    held_until_s: float = 0.0


class Observer:
    """Learns from outcomes; gives the cost of a call on an instance."""

    def __init__(
        self,
        tracker: OutlierTracker,
        clock: Clock,
        settings: RoutingSettings,
    ):
        self._tracker = tracker
        self._clock = clock
        self._settings = settings
        self._half_life_s = settings.load_half_life_ms / 1000
        self._records: dict[str, InstanceRecord] = {}
        self._links = LinkTracker(settings)

    def start_call(self, instance: Instance) -> None:
        """Count a call that is about to be sent to the instance."""
        now_s = self._clock.monotonic()
        self._links.note_call(instance.data_centre, now_s)
        self._find_record(instance.instance).in_flight += 1

    def end_call(self, instance: Instance) -> None:
        """Count the end of a call, however it ended."""
        self._find_record(instance.instance).in_flight -= 1

    def record_answer(
        self, instance: Instance, answer: Answer, latency_s: float
    ) -> None:
        """Learn from a whole answer."""
        now_s = self._clock.monotonic()
        name = instance.instance
        self._links.note_answer(instance.data_centre)
        if answer.response.status >= FIRST_SERVER_ERROR:
            self._tracker.record_failure(name, now_s)
            return
        self._tracker.record_success(name, now_s)
        record = self._find_record(name)
        if record.latency_s:
            change_s = latency_s - record.latency_s
            record.latency_s += LATENCY_WEIGHT * change_s
        else:
            record.latency_s = latency_s
        if 0.0 <= answer.load < float("inf"):
            record.load = min(answer.load, MAX_LOAD_REPORT)
            record.load_s = now_s
        link_s = max(0.0, latency_s - answer.spent_s)
        self._links.learn_latency(instance.data_centre, link_s)

    def record_error(self, instance: Instance, error: TrafficError) -> None:
        """Learn from a refusal or a failure."""
        now_s = self._clock.monotonic()
        name = instance.instance
        self._learn_link(instance, error, now_s)
        if error.code in NEUTRAL_CODES:
            self._tracker.release_probe(name)
            return
        is_refusal = isinstance(error, NotRunError)
        if is_refusal and self._learn_refusal(name, error.code, now_s):
            return
        confirmed = not isinstance(error, SuspectPathError)
        self._tracker.record_failure(name, now_s, confirmed)

    def release(self, instance: Instance) -> None:
        """Forget a call that was cancelled; nothing was learnt."""
        self._tracker.release_probe(instance.instance)

    def estimate_link_s(self, data_centre: str) -> float:
        """Return the shortest time seen for a call there, in seconds."""
        return self._links.estimate_s(data_centre)

    def find_closed_links(self, now_s: float) -> frozenset[str]:
        """Return the data centres to which no call should go now."""
        return self._links.find_closed(now_s)

    def is_held(self, instance: Instance, now_s: float) -> bool:
        """Tell whether the instance refused all calls just now."""
        record = self._records.get(instance.instance)
        return record is not None and record.held_until_s > now_s

    def find_load(self, instance: Instance, now_s: float) -> float:
        """Return the load seen or told, as a share of the slots."""
        record = self._find_record(instance.instance)
        own_share = record.in_flight / instance.slots
        return max(own_share, self._load_of(record, now_s))

    def is_better(self, one: Instance, two: Instance, now_s) -> bool:
        """Tell whether the first costs no more than about the second."""
        first = self._find_record(one.instance)
        second = self._find_record(two.instance)
        first_cost = self._weigh(one, first, now_s)
        second_cost = self._weigh(two, second, now_s)
        if first.latency_s and second.latency_s:
            first_cost *= first.latency_s
            second_cost *= second.latency_s
        return first_cost <= second_cost * COST_TOLERANCE

    def _learn_refusal(self, name: str, code: ErrorCode, now_s) -> bool:
        record = self._find_record(name)
        if code in HOLDING_CODES:
            hold_s = self._settings.draining_hold_ms / 1000
            record.held_until_s = now_s + hold_s
        elif code is ErrorCode.BUSY:
            record.load = max(1.0, self._load_of(record, now_s))
            record.load_s = now_s
        elif code in (ErrorCode.OVERLOADED, ErrorCode.TIMEOUT):
            load = self._load_of(record, now_s)
            record.load = max(load, self._settings.overload_limit)
            record.load_s = now_s
        else:
            return False
        self._tracker.release_probe(name)
        return True

    def _learn_link(
        self, instance: Instance, error: TrafficError, now_s: float
    ) -> None:
        data_centre = instance.data_centre
        if isinstance(error, SilentNodeError):
            self._links.note_silence(data_centre, instance.node, now_s)
        elif error.code in ANSWERED_CODES:
            self._links.note_answer(data_centre)

    def _weigh(
        self, instance: Instance, record: InstanceRecord, now_s: float
    ) -> float:
        reported = round(self._load_of(record, now_s) * instance.slots)
        busy = max(record.in_flight, reported)
        failures = self._tracker.count_failures(instance.instance)
        return (busy + 1) * (failures + 1) / instance.slots

    def _load_of(self, record: InstanceRecord, now_s: float) -> float:
        if not record.load:
            return 0.0
        age = (now_s - record.load_s) / self._half_life_s
        return record.load * 0.5**age

    def _find_record(self, name: str) -> InstanceRecord:
        record = self._records.get(name)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._drop_idle()
            record = self._records[name] = InstanceRecord()
        return record

    def _drop_idle(self) -> None:
        self._records = {
            name: record
            for name, record in self._records.items()
            if record.in_flight
        }
