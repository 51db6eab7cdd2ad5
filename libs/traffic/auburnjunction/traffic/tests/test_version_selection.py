"""Attempts of calls while a roll-out is under way."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.crashes import CrashLog
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.rollouts.selectors import RunningCall
from auburnjunction.rollouts.states import Selection
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.call_forwarders import ReusedConnectionError
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.quarantines import Quarantine
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.senders import CallSender, CallTrace
from auburnjunction.traffic.tests.routing_support import (
    ROUTES,
    SERVICE,
    SERVICES,
    FixedSource,
    make_instance,
)
from auburnjunction.traffic.version_observers import VersionObserver

OLD = [make_instance(f"old-{i}", version="v1") for i in range(2)]
NEW = make_instance("new", version="v2")


@attrs.define
class DrawingSelector:
    """Draws each first attempt for the target; records what is counted."""

    counted: list = attrs.field(factory=list)
    running: int = 0

    def select(self, service, route, instances, is_first):
        return Selection([NEW], True) if is_first else Selection(OLD)

    def start_call(self, instance):
        self.running += 1
        return RunningCall(instance, None)

    def end_call(
        self, running, route, is_counted, is_bad=False, is_timeout=False,
        duration_s=0.0,
    ):  # fmt: skip
        self.running -= 1
        if is_counted:
            self.counted.append((running.instance.version, is_bad, is_timeout))


@attrs.define
class FailingPeers:
    """Runs calls; those on the target end with a status or an error."""

    ending: object
    fail_fast: list = attrs.field(factory=list)

    async def forward_call(self, call, instance):
        self.fail_fast.append(call.fail_fast)
        if instance is not NEW:
            return Answer(HttpResponse(200))
        if isinstance(self.ending, Exception):
            raise self.ending
        return Answer(HttpResponse(self.ending))


# Each row: ending of the target's attempt, and what is counted.
GOOD = ("v1", False, False)
ENDINGS = [
    (200, [("v2", False, False)]),
    (500, [("v2", True, False), GOOD]),
    (UnknownRunError("late", ErrorCode.TIMEOUT), [("v2", True, True), GOOD]),
    (
        UnknownRunError("no signature", ErrorCode.PROTOCOL),
        [("v2", True, False), GOOD],
    ),
    # Refusals and lost connections between nodes say nothing of a version.
    (NotRunError("busy", ErrorCode.BUSY), [GOOD]),
    (NotRunError("shed", ErrorCode.SHED), [GOOD]),
    (ReusedConnectionError("lost"), [GOOD]),
]


def make_sender(selector, peers, **options):
    """Return a sender among old and new instances, and a call for it."""
    clock = ManualClock()
    settings = RoutingSettings(prompt_attempts=2, retry_slack=100.0)
    outliers = OutlierTracker(settings)
    tracker = InstanceTracker(outliers, clock, settings)
    location = NodeLocation("entry", "dc-1")
    rng = random.Random(1)
    source = FixedSource(instances=[*OLD, NEW])
    balancer = Balancer(
        location, source, outliers, tracker, settings, rng, selector
    )
    sender = CallSender(
        location, balancer, tracker, None, peers, clock, settings, rng,
        version_observer=VersionObserver(selector, clock), **options,
    )  # fmt: skip
    request = HttpRequest(b"GET", b"/read", [(b"host", b"h")], b"")
    call = Call(
        "1", "read", SERVICE, Priority.NORMAL, True, ClaimMode.NONE,
        clock.monotonic() + 1.0, 7, request,
    )  # fmt: skip
    routed = RoutedCall(call, ROUTES[0], SERVICES[0])
    return sender, routed


# Guards against calls that fail because a new version does.
@pytest.mark.parametrize("ending, counted", ENDINGS)
def test_call_that_the_target_failed_is_retried_at_the_old(ending, counted):
    selector = DrawingSelector()
    peers = FailingPeers(ending)
    sender, routed = make_sender(selector, peers)
    answer = curio.run(sender.send_call, routed, CallTrace("1", 0.0))
    assert answer.response.status == 200
    assert selector.counted == counted
    assert selector.running == 0
    # A full instance of the target refuses, as the old ones may have room.
    assert peers.fail_fast[0]
    assert isinstance(ending, int | TrafficError)


class ProbationLog(CrashLog):
    """Log in which each request may run as a probe only."""

    is_empty = False

    def is_on_probation(self, fingerprint):
        return True


# Guards against probes that go to a version which may get no calls, or that
# are sent although the key of the request was withdrawn.
@pytest.mark.parametrize("refusal", [None, ErrorCode.REVOKED])
def test_probe_keeps_the_rules_of_other_attempts(refusal):
    peers = FailingPeers(500)
    clock = ManualClock()
    error = refusal and NotRunError("withdrawn", refusal)
    sender, routed = make_sender(
        DrawingSelector(),
        peers,
        quarantine=Quarantine(ProbationLog(clock)),
        find_refusal=lambda call: error,
    )
    if refusal is None:
        answer = curio.run(sender.send_call, routed, CallTrace("1", 0.0))
        assert answer.response.status == 200
    else:
        with pytest.raises(NotRunError) as caught:
            curio.run(sender.send_call, routed, CallTrace("1", 0.0))
        assert caught.value.code is refusal
    assert len(peers.fail_fast) == (refusal is None)
