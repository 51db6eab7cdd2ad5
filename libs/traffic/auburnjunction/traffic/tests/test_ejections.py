"""Ejection of failing instances, its limit, and recovery by probes."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.routing_support import make_instance

SETTINGS = RoutingSettings(
    ejection_failures=3,
    ejection_base_ms=1000,
    ejection_max_ms=8000,
    probe_grace_ms=500,
)
NAMES = [f"i{index}" for index in range(6)]
INSTANCES = [make_instance(name) for name in NAMES]


def fail(tracker, name, now_s, count=3, confirmed=True):
    for _ in range(count):
        tracker.record_failure(name, now_s, confirmed)


def names_of(instances):
    return [instance.instance for instance in instances]


@pytest.mark.parametrize(
    ("failing", "usable"),
    [
        ([], NAMES),
        (["i0"], NAMES[1:]),
        (["i0", "i1", "i2"], NAMES[3:]),
        # Panic mode: more than half are ejected, so that all stay usable.
        (["i0", "i1", "i2", "i3"], NAMES),
        (NAMES, NAMES),
    ],
)
def test_at_most_half_is_ejected(failing, usable):
    tracker = OutlierTracker(SETTINGS)
    for name in failing:
        fail(tracker, name, 0)
    assert names_of(tracker.find_usable(INSTANCES)) == usable


@pytest.mark.parametrize(
    ("failures", "confirmed", "ejected"),
    [(2, True, False), (3, True, True), (9, False, False)],
)
def test_ejection_needs_failures_on_a_new_connection(
    failures, confirmed, ejected
):
    tracker = OutlierTracker(SETTINGS)
    fail(tracker, "i0", 0, failures, confirmed)
    assert ("i0" not in names_of(tracker.find_usable(INSTANCES))) == ejected


def test_success_between_failures_prevents_ejection():
    tracker = OutlierTracker(SETTINGS)
    for _ in range(5):
        fail(tracker, "i0", 0, 2)
        tracker.record_success("i0", 0)
    assert len(tracker.find_usable(INSTANCES)) == len(INSTANCES)


def test_single_call_probes_after_a_doubling_delay():
    tracker = OutlierTracker(SETTINGS)
    fail(tracker, "i0", 0)
    now_s = 0.0
    for wait_s in (1, 2, 4, 8, 8):
        early_s = now_s + wait_s - 0.01
        assert tracker.take_probe(INSTANCES, True, early_s) is None
        now_s += wait_s
        assert tracker.take_probe(INSTANCES, False, now_s) is None
        assert tracker.take_probe(INSTANCES, True, now_s) is INSTANCES[0]
        assert tracker.take_probe(INSTANCES, True, now_s) is None
        tracker.record_failure("i0", now_s)
    assert tracker.take_probe(INSTANCES, False, now_s + 8.5) is INSTANCES[0]
    tracker.record_success("i0", now_s + 9)
    assert len(tracker.find_usable(INSTANCES)) == len(INSTANCES)


class TrackerMachine(RuleBasedStateMachine):
    """Checks the invariants for any order of outcomes and probes."""

    def __init__(self):
        super().__init__()
        self.tracker = OutlierTracker(SETTINGS)
        self.now_s = 0.0
        self.probing = set()

    @rule(name=st.sampled_from(NAMES), confirmed=st.booleans())
    def fail(self, name, confirmed):
        self.tracker.record_failure(name, self.now_s, confirmed)
        self.probing.discard(name)

    @rule(name=st.sampled_from(NAMES))
    def succeed(self, name):
        self.tracker.record_success(name, self.now_s)
        self.probing.discard(name)
        assert self.tracker.count_failures(name) == 0

    @rule(repeatable=st.booleans())
    def probe(self, repeatable):
        found = self.tracker.take_probe(INSTANCES, repeatable, self.now_s)
        if found is not None:
            assert found.instance not in self.probing
            self.probing.add(found.instance)

    @rule(name=st.sampled_from(NAMES))
    def release(self, name):
        self.tracker.release_probe(name)
        self.probing.discard(name)

    @rule(delay_s=st.floats(0, 20))
    def wait(self, delay_s):
        self.now_s += delay_s

    @invariant()
    def at_least_half_is_usable(self):
        for count in range(1, len(INSTANCES) + 1):
            usable = self.tracker.find_usable(INSTANCES[:count])
            assert 2 * len(usable) >= count

    @invariant()
    def every_ejection_ends(self):
        later_s = self.now_s + SETTINGS.ejection_max_ms / 1000 + 1
        usable = names_of(self.tracker.find_usable(INSTANCES))
        for instance in INSTANCES:
            name = instance.instance
            if name in usable or name in self.probing:
                continue
            found = self.tracker.take_probe([instance], False, later_s)
            assert found is instance
            self.tracker.release_probe(name)


TestTracker = TrackerMachine.TestCase
TestTracker.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
