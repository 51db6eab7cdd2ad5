"""Choice of instances by load, data centre, priority and deadline."""

import random
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    NotRunError,
    UnknownRunError,
)
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.routing_support import (
    SERVICE,
    FixedSource,
    make_instance,
)

ENTRY_LOCATION = NodeLocation("entry", "dc-1")


class Fixture:
    """A balancer with its components and a manual clock."""

    def __init__(self, instances, **options):
        self.clock = ManualClock()
        self.settings = RoutingSettings(**options)
        self.outlier_tracker = OutlierTracker(self.settings)
        self.instance_tracker = InstanceTracker(
            self.outlier_tracker, self.clock, self.settings
        )
        self.instances = {i.instance: i for i in instances}
        self.source = FixedSource(instances=list(instances))
        self.balancer = Balancer(
            ENTRY_LOCATION,
            self.source,
            self.outlier_tracker,
            self.instance_tracker,
            self.settings,
            random.Random(1),
        )

    def choose(self, tried=(), timeout_s=1.0, **fields):
        now_s = self.clock.monotonic()
        routed = make_routed(now_s + timeout_s, **fields)
        candidates = self.balancer.list_candidates(routed, set(tried), now_s)
        found = self.balancer.choose_from(routed, candidates, now_s)
        return found.instance if found else None

    def count_choices(self, number=300, **fields):
        return Counter(self.choose(**fields) for _ in range(number))

    def record_answer(
        self,
        name,
        load=0.1,
        latency_s=0.01,
        status=200,
        owner_duration_s=0.0,
        leaving=False,
    ):
        answer = Answer(HttpResponse(status), load, owner_duration_s, leaving)
        instance = self.instances[name]
        self.instance_tracker.record_answer(instance, answer, latency_s)

    def record_error(self, name, error):
        self.instance_tracker.record_error(self.instances[name], error)


def make_routed(deadline_s, priority=Priority.NORMAL, spill=True, resource=""):
    route = Route("r", "/", SERVICE, spill=spill, resource=resource)
    call = Call(
        request_id="1",
        route="r",
        service=SERVICE,
        priority=priority,
        repeatable=True,
        claims=ClaimMode.NONE,
        deadline_s=deadline_s,
        revision=1,
        request=HttpRequest(b"GET", b"/"),
    )
    return RoutedCall(call, route, Service(SERVICE))


def make_local_instances(count=3):
    return [make_instance(f"n{index}") for index in range(count)]


REMOTE_INSTANCES = [
    make_instance("f0", data_centre="dc-2"),
    make_instance("f1", data_centre="dc-3"),
]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    data_centres=st.lists(st.sampled_from(["dc-1", "dc-2"]), max_size=6),
    tried=st.sets(st.integers(0, 5)),
    loads=st.lists(st.floats(0, 9), min_size=6, max_size=6),
    failing=st.lists(st.integers(0, 5), max_size=12),
    resources=st.lists(st.booleans(), min_size=6, max_size=6),
    priority=st.sampled_from(list(Priority)),
    spill=st.booleans(),
)
def test_chosen_instance_is_eligible_and_untried(
    data_centres, tried, loads, failing, resources, priority, spill
):
    instances = [
        make_instance(
            f"i{index}",
            data_centre=data_centre,
            resources=("ledger",) if resources[index] else (),
        )
        for index, data_centre in enumerate(data_centres)
    ]
    fixture = Fixture(instances)
    for index in range(len(instances)):
        fixture.record_answer(f"i{index}", loads[index])
    for index in failing:
        if index < len(instances):
            fixture.record_error(f"i{index}", UnknownRunError("lost"))
    names = {f"i{index}" for index in tried}
    found = fixture.choose(
        names, priority=priority, spill=spill, resource="ledger"
    )
    eligible = [
        i for i in instances if i.resources and i.instance not in names
    ]
    local = [i for i in eligible if i.data_centre == "dc-1"]
    if found is None:
        is_pristine = not tried and not failing
        assert not (local and is_pristine)
        return
    chosen = fixture.instances[found]
    assert chosen in eligible
    if chosen.data_centre != "dc-1":
        assert spill


def test_less_loaded_of_two_is_chosen():
    fixture = Fixture(make_local_instances())
    fixture.record_answer("n0", load=0.9)
    fixture.record_answer("n1", load=0.1)
    fixture.record_answer("n2", load=0.9)
    counts = fixture.count_choices()
    assert counts["n1"] > 150
    assert counts["n0"] + counts["n2"] > 50


def test_load_reports_decay():
    fixture = Fixture(make_local_instances(), load_half_life_ms=100)
    fixture.record_answer("n0", load=3.0)
    before = fixture.count_choices()["n0"]
    fixture.clock.advance(3)
    assert before == 0
    assert fixture.count_choices()["n0"] > 60


def test_small_latency_difference_is_ignored():
    fixture = Fixture(make_local_instances(2))
    fixture.record_answer("n0", latency_s=0.0100)
    fixture.record_answer("n1", latency_s=0.0105)
    assert 100 < fixture.count_choices()["n0"] < 200


@pytest.mark.parametrize("false_load", [0.0, -5.0, float("nan")])
def test_false_load_report_attracts_a_bounded_share(false_load):
    """Ten calls are in flight; latency grows with an instance's calls."""
    fixture = Fixture(make_local_instances(4))
    running = []
    counts = Counter()
    for _ in range(2000):
        name = fixture.choose()
        counts[name] += 1
        instance = fixture.instances[name]
        fixture.instance_tracker.start_call(instance)
        running.append(instance)
        if len(running) > 10:
            ended = running.pop(0)
            fixture.instance_tracker.end_call(ended)
            busy = running.count(ended)
            load = false_load if ended.instance == "n0" else 0.8
            fixture.record_answer(ended.instance, load, 0.01 * (1 + busy))
        fixture.clock.advance(0.001)
    assert counts["n0"] <= 1000
    assert min(counts.values()) >= 100


@pytest.mark.parametrize(("own_load", "all_own"), [(0.2, True), (0.9, False)])
def test_own_instance_is_chosen_below_its_load_limit(own_load, all_own):
    own = make_instance("own", node="entry")
    fixture = Fixture([own, *make_local_instances()])
    fixture.record_answer("own", own_load)
    for index in range(3):
        fixture.record_answer(f"n{index}", 0.1)
    assert (fixture.count_choices()["own"] == 300) == all_own


@pytest.mark.parametrize(
    ("priority", "spill", "timeout_s", "local_load", "spilled"),
    [
        (Priority.CRITICAL, True, 1.0, 0.5, False),
        (Priority.CRITICAL, True, 1.0, 2.0, True),
        (Priority.HIGH, True, 1.0, 2.0, True),
        (Priority.NORMAL, True, 1.0, 2.0, False),
        (Priority.CRITICAL, False, 1.0, 2.0, False),
        (Priority.CRITICAL, True, 0.02, 2.0, False),
    ],
)
def test_overload_spills_only_urgent_calls_with_time_left(
    priority, spill, timeout_s, local_load, spilled
):
    fixture = Fixture([*make_local_instances(), *REMOTE_INSTANCES])
    for index in range(3):
        fixture.record_answer(f"n{index}", local_load)
    found = fixture.choose(priority=priority, spill=spill, timeout_s=timeout_s)
    assert (found in ("f0", "f1")) == spilled


@pytest.mark.parametrize(
    ("spill", "latency_s", "found"),
    [(True, 0.05, True), (True, 0.5, False), (False, 0.05, False)],
)
def test_empty_data_centre_spills_if_the_deadline_allows(
    spill, latency_s, found
):
    fixture = Fixture(REMOTE_INSTANCES)
    fixture.record_answer("f0", latency_s=latency_s)
    fixture.record_answer("f1", latency_s=latency_s)
    assert (fixture.choose(spill=spill) is not None) == found


@pytest.mark.parametrize(("least_urgent", "found"), [(2, False), (4, True)])
def test_calls_refused_locally_spill_by_priority(least_urgent, found):
    """One data centre is overloaded with calls of the lowest priority."""
    fixture = Fixture(
        make_local_instances(1) + REMOTE_INSTANCES,
        refused_spill_priority=least_urgent,
    )
    chosen = fixture.choose(priority=Priority.LOW, tried={"n0"})
    assert (chosen is not None) == found


def test_time_at_the_owner_node_is_not_link_latency():
    fixture = Fixture(REMOTE_INSTANCES)
    for name in ("f0", "f1"):
        fixture.record_answer(name, latency_s=0.5, owner_duration_s=0.49)
    assert fixture.choose() in ("f0", "f1")


def test_calls_are_sent_if_every_instance_is_in_cooldown():
    fixture = Fixture(make_local_instances(2))
    for name in ("n0", "n1"):
        fixture.record_error(
            name, NotRunError("silent", ErrorCode.UNRESPONSIVE)
        )
    assert set(fixture.count_choices()) == {"n0", "n1"}


@pytest.mark.parametrize(
    ("code", "cooldown_s"),
    [(ErrorCode.DRAINING, 3.0), (ErrorCode.UNRESPONSIVE, 3.0)],
)
def test_draining_instance_receives_no_calls_during_cooldown(code, cooldown_s):
    fixture = Fixture(make_local_instances(2))
    fixture.record_error("n0", NotRunError("leaving", code))
    assert set(fixture.count_choices()) == {"n1"}
    fixture.clock.advance(cooldown_s + 0.01)
    assert set(fixture.count_choices()) == {"n0", "n1"}


@pytest.mark.parametrize(
    ("error", "ejected"),
    [
        (UnknownRunError("lost"), True),
        (NotRunError("no connection"), True),
        (NotRunError("full", ErrorCode.OVERLOADED), False),
        (NotRunError("claimed", ErrorCode.CONFLICT), False),
        (UnknownRunError("claimed", ErrorCode.CONFLICT), False),
    ],
)
def test_only_failures_lead_to_ejection(error, ejected):
    fixture = Fixture(make_local_instances(3), ejection_failures=2)
    for _ in range(4):
        fixture.record_error("n0", error)
    usable = fixture.outlier_tracker.find_usable(
        list(fixture.instances.values())
    )
    assert (len(usable) == 2) == ejected


def test_failing_instance_is_not_preferred_for_low_latency():
    fixture = Fixture(make_local_instances(3), ejection_failures=1000)
    for name in ("n0", "n1", "n2"):
        fixture.record_answer(name)
    for _ in range(3):
        fixture.record_answer("n0", latency_s=0.0001, status=500)
    assert fixture.count_choices()["n0"] == 0


def test_panic_mode_prefers_instances_that_answer():
    fixture = Fixture(
        make_local_instances(4), ejection_failures=2, probe_grace_ms=0
    )
    for name in ("n0", "n1", "n2"):
        for _ in range(3):
            fixture.record_error(name, UnknownRunError("lost"))
    counts = fixture.count_choices()
    assert counts["n3"] > 120
    assert sum(counts.values()) == 300


# Guards against calls of a stale view after a response that says leaving.
@pytest.mark.parametrize(
    ("leaving", "born_ms", "chosen"),
    [
        (False, 7, "dc-1-0"),
        (True, 7, None),
        # The instance has restarted since.
        (True, 8, "dc-1-0"),
    ],
)
def test_instance_that_says_it_is_leaving_is_not_chosen(
    leaving, born_ms, chosen
):
    instance = attrs.evolve(make_local_instances(1)[0], born_ms=7)
    fixture = Fixture([instance])
    fixture.record_answer(instance.instance, leaving=leaving)
    later = attrs.evolve(instance, born_ms=born_ms)
    fixture.source.instances[:] = [later]
    assert fixture.choose() == (chosen and instance.instance)
