"""Placement in the owner and entry sides; each test names the load."""

import math
import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock, SystemClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.routes import Route
from auburnjunction.placements.placers import Placer
from auburnjunction.placements.reports import LoadReport
from auburnjunction.placements.settings import PlacementSettings
from auburnjunction.traffic.attempts import AttemptPlanner
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.call_forwarders import PeerHandler, _read_answer
from auburnjunction.traffic.calls import Answer, NotRunError
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.headers import CALL_HEADER, format_call
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.packed_headers import unpack_headers
from auburnjunction.traffic.retries import RetryBudget
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.owner_support import (
    SERVICE,
    make_call,
    make_owner,
    open_backend,
    try_call,
)
from auburnjunction.traffic.tests.routing_support import (
    FixedSource,
    make_instance,
    open_mesh,
)

SETTINGS = RoutingSettings(
    prompt_attempts=2, remote_prompt_attempts=2, refused_spill_priority=4
)
ON = PlacementSettings(regions={"dc-1": "n", "dc-2": "n", "dc-3": "s"})
OFF = PlacementSettings()
WORK_S = 0.05
REPORT = LoadReport(2, 1, 3, 140.0, 0.02, 0.051)


class Node:
    """Entry side of a node in dc-1 on a manual clock."""

    def __init__(self, placement, instances):
        self.clock = ManualClock()
        source = FixedSource(instances=instances)
        outliers = OutlierTracker(SETTINGS)
        self.tracker = InstanceTracker(outliers, self.clock, SETTINGS)
        rng = random.Random(3)
        if placement.is_enabled:
            self.tracker.placer = Placer(
                placement, "dc-1", rng, self.tracker.estimate_link_latency_s
            )
        location = NodeLocation("entry", "dc-1")
        self.balancer = Balancer(
            location, source, outliers, self.tracker, SETTINGS, rng
        )
        self.planner = AttemptPlanner(self.balancer, SETTINGS)

    @property
    def now_s(self):
        return self.clock.monotonic()

    def answer(self, instance, report, held_s=WORK_S):
        link_s = 0.001 if instance.data_centre == "dc-1" else 0.011
        load = report.busy / report.slots
        answer = Answer(HttpResponse(200), load, held_s, report=report)
        self.tracker.record_answer(instance, answer, held_s + link_s, "route")

    def route(self, **fields):
        call = make_call()
        call = attrs.evolve(
            call,
            service="member-billing",
            deadline_s=self.now_s + 1.0,
            target_s=self.now_s + fields.pop("left_s", math.inf),
            **fields,
        )
        return RoutedCall(call, Route("route", "/", call.service), SERVICE)

    def start(self, routed):
        budget = RetryBudget(SETTINGS, lambda: 1, random.Random(1))
        return self.planner.start(routed, budget)

    def choose(self, count=200, **fields):
        """Return how often each instance is asked first."""
        counts = {}
        for _ in range(count):
            routed = self.route(**fields)
            state = self.start(routed)
            name = self.planner.plan(routed, state, self.now_s)
            name = name.instance.instance
            counts[name] = counts.get(name, 0) + 1
        return counts


@pytest.mark.parametrize("placement", [ON, OFF], ids=["on", "off"])
def test_slow_instance_loses_work_before_its_queue_shows_it(placement):
    """A fast instance slows down 2.5 times: with the part off it keeps calls.

    It gets work again within a second.
    """
    instances = [make_instance(f"i{n}", slots=3) for n in range(4)]
    node = Node(placement, instances)
    for _ in range(20):
        for instance in instances:
            run_s = WORK_S * (0.6 if instance is instances[0] else 1.0)
            report = LoadReport(1, 0, 3, run_s=run_s)
            node.answer(instance, report, run_s)
    run_s = WORK_S * 0.6 * 2.5
    slow = LoadReport(1, 0, 3, 250.0, 0.0, run_s)
    node.answer(instances[0], slow, run_s)
    share = node.choose().get("i0", 0) / 200
    if placement.is_enabled:
        assert share == 0.0
    else:
        assert share > 0.1
    node.clock.advance(1.0)
    assert node.choose().get("i0", 0) / 200 > 0.1


def make_far_fleet(placement, near=2, far=2):
    home = [make_instance(f"h{n}", slots=3) for n in range(2)]
    others = [
        make_instance(f"{dc}-{n}", data_centre=dc, slots=3)
        for dc, count in (("dc-2", near), ("dc-3", far))
        for n in range(count)
    ]
    node = Node(placement, home + others)
    for instance in home + others:
        node.answer(instance, LoadReport(0, 0, 3, run_s=WORK_S))
    return node, home


@pytest.mark.parametrize("placement", [ON, OFF], ids=["on", "off"])
@pytest.mark.parametrize(
    ("wait_s", "left_s", "nested", "expected"),
    [
        (0.5, 0.2, False, "dc-2"),
        (0.05, 0.2, False, "dc-1"),
        (0.5, 0.2, True, "dc-2"),
    ],
    ids=["late here", "in time here", "nested"],
)
def test_call_that_would_be_late_here_is_offered_in_the_region(
    placement, wait_s, left_s, nested, expected
):
    """Both instances here are busy; far ones cost bytes between regions."""
    node, home = make_far_fleet(placement)
    routed = node.route(left_s=left_s, nested=nested)
    asked = set()
    for _ in range(40):
        state = node.start(routed)
        for instance in home:
            state.tried.add(instance.instance)
            state.add_busy(instance, wait_s)
        planned = node.planner.plan(routed, state, node.now_s)
        asked.add(planned.instance.data_centre)
    if placement.is_enabled:
        assert asked == {expected}
    else:
        assert asked == ({"dc-2", "dc-3"} if nested else {"dc-1"})


@pytest.mark.parametrize(
    ("near", "is_full", "expected"),
    [(2, False, "dc-2"), (2, True, "dc-3"), (0, False, "dc-3")],
)
def test_refused_call_crosses_regions_last(near, is_full, expected):
    """Home refuses; the other region only if the own one has no room."""
    node, home = make_far_fleet(ON, near)
    if is_full:
        error = NotRunError("full", ErrorCode.OVERLOADED)
        for n in range(near):
            instance = make_instance(f"dc-2-{n}", data_centre="dc-2", slots=3)
            node.tracker.start_call(instance)
            node.tracker.record_error(instance, error)
            node.tracker.end_call(instance)
    routed = node.route(left_s=0.3)
    state = node.start(routed)
    state.tried.update(i.instance for i in home)
    planned = node.planner.plan(routed, state, node.now_s)
    assert planned.instance.data_centre == expected


def test_service_without_figures_is_chosen_as_with_the_part_off():
    """No load header, or an older owner node: the present choice is used."""
    counts = []
    for placement in (ON, OFF):
        instances = [make_instance(f"i{n}", slots=3) for n in range(6)]
        node = Node(placement, instances)
        for number, instance in enumerate(instances):
            answer = Answer(HttpResponse(200), number / 3, 0.05)
            node.tracker.record_answer(instance, answer, 0.06, "route")
        counts.append(node.choose())
    assert counts[0] == counts[1]


@pytest.mark.parametrize("placement", [ON, OFF], ids=["on", "off"])
def test_calls_over_sockets_avoid_the_instance_that_reports_slowness(
    placement,
):
    """One of four is five times slower; loads and latencies look the same.

    Metrics name the pairs of data centres only where the part is on.
    """

    async def main():
        async with open_mesh(("dc-1",) * 4, placement=placement) as mesh:
            for n in range(4):
                speed = 500.0 if n == 0 else 100.0
                report = LoadReport(1, 0, 3, speed, 0.0, WORK_S * speed / 100)
                mesh.runner.reports[f"i{n}"] = report
            for number in range(200):
                response = await mesh.call(f"c{number}")
                assert response.status == 200
            return mesh.history.by_instance, mesh.metrics.render()

    runs, metrics = curio.run(main)
    name = b"auburn_placement_calls_total{"
    assert (name in metrics) is placement.is_enabled
    # The first call to each instance shows its speed.
    assert (runs.get("i0", 0) <= 10) is placement.is_enabled


def exchange(result):
    """Return what PeerHandler sends for a result of its runner."""

    class Runner:
        async def run_call(self, _call, _instance):
            if isinstance(result, NotRunError):
                raise result
            return result

    call = make_call()
    value = format_call(call, "i", SystemClock().monotonic())
    headers = [(b"host", b"h"), (CALL_HEADER, value)]
    handler = PeerHandler(Runner(), ManualClock())
    request = HttpRequest(b"GET", b"/", headers)
    return curio.run(handler.handle, request)


@pytest.mark.parametrize("report", [None, REPORT], ids=["off", "on"])
def test_answers_and_refusals_carry_the_report(report):
    """A busy owner tells its load as well; with the part off, no byte more."""
    answer = Answer(HttpResponse(200), 0.5, report=report)
    headers = unpack_headers(exchange(answer).headers)
    names = [name for name, _ in headers]
    assert (b"auburn-report" in names) is (report is not None)
    assert len(names) == 4 + (report is not None)
    received = HttpResponse(200, headers)
    assert _read_answer(received).report == report
    error = NotRunError("busy", ErrorCode.BUSY, 0.1)
    error.report = report
    response = exchange(error)
    assert len(response.headers) == 5 + (report is not None)
    with pytest.raises(NotRunError) as caught:
        _read_answer(response)
    assert caught.value.report == report


@pytest.mark.parametrize(
    ("reports_load", "value", "expected"),
    [
        (True, b"1,0,3,160", 160.0),
        (True, b"9,9,9,160", 160.0),
        (True, b"nonsense", None),
        (True, None, None),
        (False, b"1,0,3,160", None),
    ],
    ids=["true", "false counts", "malformed", "missing", "off"],
)
def test_owner_node_reads_the_load_header(reports_load, value, expected):
    """The counts are those of the owner node, the speed is the header's."""

    async def main():
        headers = [(b"auburn-server-load", value)] if value else []
        async with open_backend(headers=headers) as backend:
            owner = make_owner(backend.port, 3, reports_load=reports_load)
            answer = await owner.run_call(make_call("one"))
            owner.start_draining()
            refused = await try_call(owner, make_call("two"))
            return answer.report, refused.report

    report, refused = curio.run(main)
    if expected is None:
        assert report is None
        assert refused is None
        return
    assert (report.running, report.waiting, report.slots) == (0, 0, 3)
    assert report.speed == refused.speed == expected
    assert report.run_s > 0
    assert refused.run_s == 0
