"""Simulation of two services in series, without a network.

Admission at the instances and the decisions at the entry nodes are the
product's own. The second service has a quarter of the room of the first.
"""

import itertools
import math
import random

import attrs
from room_instances import EventQueue, SimulatedInstance

from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.nested_calls import NestedCallTracker
from auburnjunction.traffic.return_ledgers import (
    MAX_RETURN_SHARE,
    ReturnLedgers,
)
from auburnjunction.traffic.room_gates import RoomGate

FRONT, BACK = "front", "back"
FRONT_INSTANCES, BACK_INSTANCES = 48, 12
# Own work of a request at the first service, and of a call at the second.
FRONT_WORK_S, BACK_WORK_S = 0.1, 0.03
UPLOAD_WORK_S = 0.06
NESTED_SHARE, NESTED_CALLS = 0.7, 2
# A request fails if a nested call takes longer.
NESTED_TIMEOUT_S = 0.25
# At load 1 the first service uses about 0.7 of its slots, the second 0.9.
REQUESTS_PER_S = 700.0
UPLOADS_PER_S = 60.0
# Priorities of requests at the first service, and their shares.
PRIORITY_SHARES = {
    Priority.CRITICAL: 0.2,
    Priority.HIGH: 0.3,
    Priority.NORMAL: 0.3,
    Priority.LOW: 0.2,
}
UPLOAD_PRIORITY = Priority.NORMAL
OBJECTIVE_S, DEADLINE_S = 0.4, 1.0
# Part of the value that a late answer has.
LATE_VALUE = 0.2
WARM_UP_S, END_S = 4.0, 12.0
# Every BURST_EVERY_S, traffic is BURST_FACTOR times as much for BURST_S.
BURST_FACTOR, BURST_S, BURST_EVERY_S = 2.0, 1.0, 3.0


@attrs.frozen
class Variant:
    """A way to admit requests."""

    name: str
    separate_waits: bool = False
    gate: bool = False
    places: bool = False
    # Whether a caller returns to the node that refused it.
    same_node: bool = True


VARIANTS = (
    Variant("today"),
    Variant("refusals of the nested service", separate_waits=True),
    Variant("room", separate_waits=True, gate=True),
    Variant("room and returns", True, True, True),
    Variant("the same, other node", True, True, True, False),
)


@attrs.define
class Tally:
    """Results of the requests of one kind that began in the measured time."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    # Refused, came back and was refused again.
    refused_twice: int = 0


@attrs.define
class Result:
    """Result of one run."""

    tallies: dict = attrs.field(factory=dict)
    wasted_s: float = 0.0
    used_s: float = 0.0

    def sum(self, *fields: str) -> int:
        """Return the sum of fields over all kinds."""
        tallies = self.tallies.values()
        return sum(getattr(t, field) for t in tallies for field in fields)


class Simulation:
    """Callers, entry nodes and two services."""

    def __init__(self, variant: Variant, load: float, bursts: bool, seed: int):
        self.variant = variant
        self.load = load
        self.bursts = bursts
        self.events = EventQueue()
        self.random = random.Random(seed)
        self.result = Result()
        cfg = AdmissionSettings(
            adaptive_limit=False,
            deadline_deviations=0.0,
            late_waits=False,
            objective_deviations=2.0,
            separate_waits=variant.separate_waits,
        )
        self.stations = {
            name: [
                SimulatedInstance(cfg, self.events, self.random)
                for _ in range(count)
            ]
            for name, count in (
                (FRONT, FRONT_INSTANCES),
                (BACK, BACK_INSTANCES),
            )
        }
        self.gates = [RoomGate(self.random) for _ in range(FRONT_INSTANCES)]
        self.ledgers = [ReturnLedgers() for _ in range(FRONT_INSTANCES)]
        self.tracker = NestedCallTracker()
        self._ids = itertools.count()

    def run(self) -> Result:
        """Run to the end of all requests."""
        self._arrive(FRONT, REQUESTS_PER_S)
        self._arrive(BACK, UPLOADS_PER_S)
        self.events.run()
        return self.result

    def _arrive(self, service: str, rate_per_s: float) -> None:
        """Begin a request, and schedule the next one."""
        now_s = self.events.now_s
        if now_s >= END_S:
            return
        rate = rate_per_s * self.load
        if self.bursts and now_s % BURST_EVERY_S < BURST_S:
            rate *= BURST_FACTOR
        self.events.after(
            self.random.expovariate(rate),
            lambda: self._arrive(service, rate_per_s),
        )
        if now_s:
            Request(self, service).attempt()

    def submit(self, service: str, call: Call, on_start, on_refusal) -> None:
        """Send a call to a free instance, or to wait at the better of two."""
        instances = self.random.sample(self.stations[service], 2)
        for instance in instances:
            if instance.has_free_slot():
                instance.offer(call, on_start, on_refusal)
                return
        best = min(instances, key=lambda i: i.expected_wait(call))
        other = instances[best is instances[0]]
        best.offer(
            call,
            on_start,
            lambda _exc: other.offer(call, on_start, on_refusal),
        )

    def make_call(self, **fields) -> Call:
        """Return a call."""
        return Call(
            request_id=str(next(self._ids)),
            repeatable=True,
            claims=ClaimMode.NONE,
            revision=0,
            request=None,
            **fields,
        )


class Request:
    """A caller's request, with at most one return after a refusal."""

    def __init__(self, sim: Simulation, service: str):
        self.sim = sim
        self.service = service
        self.node = sim.random.randrange(FRONT_INSTANCES)
        self.begin_s = sim.events.now_s
        self.is_return = False
        if service == BACK:
            self.priority = UPLOAD_PRIORITY
        else:
            self.priority = sim.random.choices(
                list(PRIORITY_SHARES), list(PRIORITY_SHARES.values())
            )[0]
        self.tally = Tally()
        if self.begin_s >= WARM_UP_S:
            key = (service, self.priority)
            self.tally = sim.result.tallies.setdefault(key, self.tally)
        self.tally.offered += 1

    def attempt(self) -> None:
        """Send the request to its entry node."""
        sim, now_s = self.sim, self.sim.events.now_s
        self.sent_s = now_s
        self.call = call = sim.make_call(
            route=self.service,
            service=self.service,
            priority=self.priority,
            deadline_s=self.begin_s + DEADLINE_S,
            target_s=self.begin_s + OBJECTIVE_S,
        )
        if self.is_return and sim.variant.places:
            call.returning = self.ledger.take(now_s)
        try:
            if sim.variant.gate:
                sim.gates[self.node].check(
                    call, now_s, call.returning, self.is_return
                )
        except NotRunError as exc:
            self._refuse(exc)
            return
        sim.submit(self.service, call, self._start, self._refuse)

    @property
    def ledger(self):
        """Ledger of the entry node for requests like this one."""
        ledgers = self.sim.ledgers[self.node]
        return ledgers.get(self.service, self.priority)

    def _refuse(self, exc: NotRunError) -> None:
        sim, now_s = self.sim, self.sim.events.now_s
        if self.is_return:
            self.tally.refused_twice += 1
            return
        left_s = self.begin_s + DEADLINE_S - now_s
        delay_s = min(exc.retry_after_s, left_s * MAX_RETURN_SHARE)
        if sim.variant.places:
            latest_s = now_s + (self.call.target_s - now_s) / 2
            delay_s = self.ledger.reserve(left_s, latest_s, now_s).delay_s
        if left_s <= 0:
            self.tally.refused += 1
            return
        self.is_return = True
        if not sim.variant.same_node:
            self.node = sim.random.randrange(FRONT_INSTANCES)
        sim.events.after(delay_s, self.attempt)

    def _start(self, instance: SimulatedInstance) -> None:
        sim = self.sim
        self.instance = instance
        self.started_s = sim.events.now_s
        if self.service == BACK:
            work_s = self._draw_work(instance, UPLOAD_WORK_S)
            sim.events.after(work_s, lambda: self._end(False))
            return
        sim.tracker.start_request(self.call.request_id, self.call.target_s)
        calls = NESTED_CALLS if sim.random.random() < NESTED_SHARE else 0
        part_s = self._draw_work(instance, FRONT_WORK_S) / (calls + 1)
        sim.events.after(part_s, lambda: self._continue(calls, part_s))

    def _draw_work(self, instance: SimulatedInstance, mean_s: float) -> float:
        return (
            mean_s * instance.speed / 1.1 * self.sim.random.uniform(0.6, 1.4)
        )

    def _continue(self, calls_left: int, part_s: float) -> None:
        """Make the next nested call, or end."""
        sim = self.sim
        if not calls_left:
            self._end(False)
            return
        sent_s = sim.events.now_s
        nested = sim.make_call(
            route="nested",
            service=BACK,
            priority=self.priority,
            deadline_s=min(self.call.deadline_s, sent_s + NESTED_TIMEOUT_S),
            target_s=math.inf,
            nested=True,
        )

        def start(instance: SimulatedInstance) -> None:
            started_s = sim.events.now_s

            def end() -> None:
                instance.end_call("nested", started_s)
                late = sim.events.now_s > nested.deadline_s
                if WARM_UP_S <= sim.events.now_s <= END_S:
                    sim.result.used_s += sim.events.now_s - started_s
                self._record_nested(sent_s, late)
                if late:
                    self._end(True)
                    return
                sim.events.after(
                    part_s, lambda: self._continue(calls_left - 1, part_s)
                )

            sim.events.after(self._draw_work(instance, BACK_WORK_S), end)

        def refuse(_exc: NotRunError) -> None:
            self._record_nested(sent_s, True)
            self._end(True)

        sim.submit(BACK, nested, start, refuse)

    def _record_nested(self, sent_s: float, refused: bool) -> None:
        sim = self.sim
        congested = refused | sim.tracker.takes_too_long(
            self.call.request_id, sent_s, sim.events.now_s
        )
        sim.tracker.record_call(self.call.request_id, BACK, congested, refused)
        node = sim.stations[FRONT].index(self.instance)
        sim.gates[node].record_nested(BACK, congested, sim.events.now_s)

    def _end(self, failed: bool) -> None:
        sim, now_s = self.sim, self.sim.events.now_s
        self.instance.end_call(self.service, self.started_s)
        if self.service == FRONT:
            report = sim.tracker.end_request(self.call.request_id)
            sim.gates[self.node].record_report(
                self.call, report, failed, now_s
            )
        duration_s = now_s - self.begin_s
        if WARM_UP_S <= now_s <= END_S:
            sim.result.used_s += now_s - self.started_s
            sim.result.wasted_s += failed * (now_s - self.started_s)
        if failed or duration_s > DEADLINE_S:
            self.tally.failed += 1
            return
        self.ledger.record_answer(now_s)
        profiles = sim.gates[self.node].tracker.profiles
        profiles.record_duration(self.service, now_s - self.sent_s)
        if duration_s <= OBJECTIVE_S:
            self.tally.in_time += 1
        else:
            self.tally.late += 1
