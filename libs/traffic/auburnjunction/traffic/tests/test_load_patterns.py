"""Admission decisions under different load patterns, without a network.

Each test name states the load pattern or the rule under test.
"""

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.priorities import Priority
from auburnjunction.model.routes import Route, SplitPart
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.lifetimes import ANSWER_MARGIN_S, NodeLifetime
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.queues import Ticket, make_queue
from auburnjunction.traffic.slots import AdmissionController
from auburnjunction.traffic.splits import TrafficSplitter
from auburnjunction.traffic.tests.owner_support import make_call
from auburnjunction.traffic.waits import WaitEstimator

NO_MARGINS = AdmissionSettings(
    adaptive_limit=False, deadline_deviations=0.0, late_waits=False
)


def make_controller(slots=1, cfg=NO_MARGINS):
    clock = ManualClock()
    limit = SlotLimit(cfg, slots, 100, clock)
    return AdmissionController(cfg, limit, 40, clock), limit, clock


def make_timed_call(clock, left_s, target_s=None, **fields):
    now_s = clock.monotonic()
    call = make_call(fields.pop("name", "call"))
    target_s = left_s if target_s is None else target_s
    return attrs.evolve(
        call,
        deadline_s=now_s + left_s,
        target_s=now_s + target_s,
        **fields,
    )


def test_nested_call_precedes_top_level_calls_of_a_shared_service():
    """A nested call of a running urgent request precedes top-level calls."""
    queue = make_queue(AdmissionSettings(), 40)
    for _ in range(10):
        queue.push(Ticket(Priority.LOW))
        queue.push(Ticket(Priority.CRITICAL))
    nested = Ticket(Priority.CRITICAL, nested=True)
    assert queue.count_ahead(nested) == 0
    assert queue.count_ahead(Ticket(Priority.CRITICAL)) == 10
    queue.push(nested)
    assert queue.pop() is nested


def test_full_queue_evicts_top_level_calls_before_nested():
    """A flood of urgent calls evicts top-level calls first."""
    queue = make_queue(AdmissionSettings(), 2)
    nested = Ticket(Priority.LOW, nested=True)
    top_level = Ticket(Priority.LOW)
    queue.push(nested)
    queue.push(top_level)
    assert queue.push(Ticket(Priority.CRITICAL)) is top_level


def test_nested_call_evicts_a_top_level_call_of_its_priority():
    """A queue full of top-level calls must not fail running requests."""
    queue = make_queue(AdmissionSettings(), 2)
    queue.push(Ticket(Priority.HIGH))
    last = Ticket(Priority.HIGH)
    queue.push(last)
    assert queue.push(Ticket(Priority.HIGH, nested=True)) is last
    assert len(queue) == 2


@pytest.mark.parametrize(
    ("idle_s", "is_admitted"), [(0.0, False), (10.0, True)]
)
def test_rare_route_after_one_slow_answer(idle_s, is_admitted):
    """One slow answer must not cause a rare route to be refused forever."""

    async def main():
        controller, limit, clock = make_controller(slots=2)
        limit.add_sample("route", 5.0, 1)
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            clock.advance(idle_s)
            try:
                async with controller.hold_slot(make_timed_call(clock, 1.0)):
                    return True
            except NotRunError as exc:
                assert "estimated duration 5.000 s" in exc.message
                return False

    assert curio.run(main) is is_admitted


def test_short_calls_beside_long_ones_of_the_same_priority():
    """Durations are estimated per route, not per priority or service."""

    async def main():
        controller, limit, clock = make_controller(slots=2)
        limit.add_sample("slow", 5.0, 1)
        limit.add_sample("quick", 0.02, 1)
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            call = make_timed_call(clock, 1.0, route="quick")
            async with controller.hold_slot(call):
                return True

    assert curio.run(main)


@pytest.mark.parametrize(
    ("nested", "target_s", "others_wait", "is_refused"),
    [
        (False, 1.5, False, True),
        (False, 3.0, False, False),
        (True, 1.5, False, False),
        # Late even if it started at once.
        (False, 0.5, True, True),
        (False, 0.5, False, False),
    ],
    ids=["would be late", "in time", "nested", "late behind", "late alone"],
)
def test_sustained_overload_refuses_calls_that_would_be_late(
    nested, target_s, others_wait, is_refused
):
    """Calls that would be late are refused at once, with a retry delay.

    One that is late in any case waits only while no call that can still be
    in time does.
    """

    async def main():
        controller, limit, clock = make_controller()
        limit.add_sample("route", 1.0, 1)
        call = make_timed_call(clock, 50.0, target_s, nested=nested)
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            waiting = []
            if others_wait:
                other = make_timed_call(clock, 50.0, 3.0)
                waiting.append(await curio.spawn(try_hold, controller, other))
                await curio.sleep(0)
            task = await curio.spawn(try_hold, controller, call)
            await curio.sleep(0)
            if not is_refused:
                assert controller.waiting == 1
        for other in waiting:
            await other.join()
        return await task.join()

    outcome = curio.run(main)
    assert isinstance(outcome, NotRunError) is is_refused
    if is_refused:
        # It would wait 1 s for the running call, or 2 s behind another, and
        # run for 1 s: 0.5 s or 2.5 s after its target. The mean duration is
        # added to this excess, and the sum is jittered by half.
        excess_s = 2.5 if others_wait else 0.5
        low_s, high_s = 0.5 * (excess_s + 1), 1.5 * (excess_s + 1)
        assert low_s <= outcome.retry_after_s <= high_s


@pytest.mark.parametrize(("left_s", "is_refused"), [(2.5, True), (4.5, False)])
def test_late_call_waits_only_if_it_will_likely_meet_its_deadline(
    left_s, is_refused
):
    """Durations of 0.5 s and 1.5 s; the running call ends after about 1 s."""

    async def main():
        cfg = attrs.evolve(NO_MARGINS, objective_deviations=2.0)
        controller, limit, clock = make_controller(cfg=cfg)
        for duration_s in (0.5, 1.5) * 10:
            limit.add_sample("route", duration_s, 1)
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            call = make_timed_call(clock, left_s, 0.1)
            task = await curio.spawn(try_hold, controller, call)
            await curio.sleep(0)
        return await task.join()

    assert isinstance(curio.run(main), NotRunError) is is_refused


def test_late_calls_start_after_those_that_can_be_in_time():
    queue = make_queue(AdmissionSettings(), 40)
    late = Ticket(Priority.HIGH, late=True)
    queue.push(late)
    in_time = Ticket(Priority.HIGH)
    assert queue.count_ahead(in_time) == 0
    queue.push(in_time)
    assert queue.count_ahead(Ticket(Priority.HIGH, late=True)) == 2
    assert [queue.pop(), queue.pop()] == [in_time, late]


@pytest.mark.parametrize(
    ("deviations", "is_refused"), [(0.0, False), (2.0, True)]
)
def test_overload_with_varying_durations(deviations, is_refused):
    """With a margin, a call as likely to be late as in time is refused."""

    async def main():
        cfg = attrs.evolve(NO_MARGINS, objective_deviations=deviations)
        controller, limit, clock = make_controller(cfg=cfg)
        for duration_s in (0.5, 1.5) * 10:
            limit.add_sample("route", duration_s, 1)
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            call = make_timed_call(clock, 50.0, 2.2)
            task = await curio.spawn(try_hold, controller, call)
            await curio.sleep(0)
        return await task.join()

    outcome = curio.run(main)
    assert isinstance(outcome, NotRunError) is is_refused


@pytest.mark.parametrize("fail_fast", [False, True])
def test_fail_fast_call_does_not_wait(fail_fast):
    """A full instance refuses it, because another instance may be idle."""

    async def main():
        controller, _, clock = make_controller()
        call = make_timed_call(clock, 50.0, fail_fast=fail_fast)
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            task = await curio.spawn(try_hold, controller, call)
            await curio.sleep(0)
        return await task.join()

    outcome = curio.run(main)
    if fail_fast:
        assert outcome.code is ErrorCode.BUSY
    else:
        assert outcome == "held"


@pytest.mark.parametrize(
    ("waits_s", "correction"),
    [([0.1] * 9, 1.0), ([0.3] * 9, 3.0), ([9.0], 4.0), ([0.0], 0.5)],
)
def test_measured_waits_correct_the_estimate(waits_s, correction):
    """Short urgent calls overtake the long waiting ones."""
    estimator = WaitEstimator()
    assert estimator.correction(0.0) == 1.0
    for wait_s in waits_s:
        estimator.record_wait(0.1, wait_s, 5.0)
    assert estimator.correction(5.0) == pytest.approx(correction)
    # Without new samples the correction decays.
    assert estimator.correction(15.0) == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("overtaken_s", [0.0, 0.8])
def test_waits_of_overtaken_calls_raise_the_estimate(overtaken_s):
    """Waits longer than estimated lead to refusals of later calls."""

    async def main():
        controller, limit, clock = make_controller()
        limit.add_sample("route", 0.2, 1)
        for _ in range(5):
            async with controller.hold_slot(make_timed_call(clock, 100.0)):
                call = make_timed_call(clock, 50.0)
                task = await curio.spawn(try_hold, controller, call)
                await curio.sleep(0)
                clock.advance(0.2 + overtaken_s)
            await task.join()
        async with controller.hold_slot(make_timed_call(clock, 100.0)):
            call = make_timed_call(clock, 50.0, 0.6)
            task = await curio.spawn(try_hold, controller, call)
            await curio.sleep(0)
        return await task.join()

    is_refused = isinstance(curio.run(main), NotRunError)
    assert is_refused is bool(overtaken_s)


@pytest.mark.parametrize(("left_s", "is_refused"), [(1.0, False), (0.1, True)])
def test_node_near_its_shutdown_admits_only_short_calls(left_s, is_refused):
    """Backend servers serve until shutdown, as nodes restart in turn."""

    async def main():
        clock = ManualClock()
        lifetime = NodeLifetime(clock)
        limit = SlotLimit(NO_MARGINS, 1, 100, clock)
        controller = AdmissionController(
            NO_MARGINS, limit, 40, clock, lifetime=lifetime
        )
        limit.add_sample("route", 0.2, 1)
        now_s = clock.monotonic()
        lifetime.set_end(now_s, now_s + left_s + ANSWER_MARGIN_S)
        return await try_hold(controller, make_timed_call(clock, 50.0))

    outcome = curio.run(main)
    if is_refused:
        assert outcome.code is ErrorCode.DRAINING
    else:
        assert outcome == "held"


async def try_hold(controller, call):
    try:
        async with controller.hold_slot(call):
            return "held"
    except NotRunError as exc:
        return exc


@pytest.mark.parametrize("requests", [20, 300])
@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 2), (0, 5)])
def test_split_keeps_its_shares_over_short_runs(weights, requests):
    """Each part of a split gets its share, within 0.05."""
    splitter = TrafficSplitter()
    names = [f"s{i}" for i in range(len(weights))]
    split = tuple(map(SplitPart, names, weights))
    route = Route("r", "/", "", split=split)
    chosen = [splitter.choose_service(route) for _ in range(requests)]
    for name, weight in zip(names, weights, strict=True):
        share = chosen.count(name) / requests
        assert abs(share - weight / sum(weights)) <= 0.05
