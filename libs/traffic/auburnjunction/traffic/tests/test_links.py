"""Detection of unreachable data centres and of their recovery."""

import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.call_forwarders import NodeConnectTimeoutError
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.tests.routing_support import make_instance
from auburnjunction.traffic.tests.test_balancers import Fixture

PROBE_INTERVAL_S = 1.0
REMOTE = ("f0", "f1", "f2")


def make_fixture(local_count=0):
    instances = [make_instance(name, data_centre="dc-2") for name in REMOTE]
    instances += [make_instance(f"n{index}") for index in range(local_count)]
    return Fixture(
        instances, link_retry_ms=PROBE_INTERVAL_S * 1000, draining_hold_ms=1.0
    )


def start_call(fixture):
    """Choose an instance and start a call at it; return its name."""
    name = fixture.choose(timeout_s=60.0, priority=Priority.CRITICAL)
    if name is not None:
        fixture.instance_tracker.start_call(fixture.instances[name])
    return name


@pytest.mark.parametrize(
    ("errors", "is_unreachable"),
    [
        # A single node may have lost power.
        (
            [
                ("f0", NodeConnectTimeoutError("s")),
                ("f0", NodeConnectTimeoutError("s")),
            ],
            False,
        ),
        (
            [
                ("f0", NodeConnectTimeoutError("s")),
                ("f1", NodeConnectTimeoutError("s")),
            ],
            True,
        ),
        # A refused connection shows that the host is reachable.
        (
            [
                ("f0", NotRunError("refused", ErrorCode.UNREACHABLE)),
                ("f1", NodeConnectTimeoutError("s")),
            ],
            False,
        ),
        (
            [
                ("f0", NodeConnectTimeoutError("s")),
                ("f1", NotRunError("full", ErrorCode.OVERLOADED)),
                ("f2", NodeConnectTimeoutError("s")),
            ],
            False,
        ),
    ],
)
def test_unreachable_data_centre_receives_no_calls(errors, is_unreachable):
    """Calls must not wait for connections to an unreachable data centre."""
    fixture = make_fixture()
    for name, error in errors:
        fixture.record_error(name, error)
    fixture.clock.advance(0.01)
    assert (fixture.choose(timeout_s=60.0) is None) is is_unreachable


def test_one_call_per_interval_probes_a_link_that_is_down():
    fixture = make_fixture(local_count=1)
    for name in REMOTE[:2]:
        fixture.record_error(name, NodeConnectTimeoutError("silent"))
    fixture.record_error("n0", NotRunError("full", ErrorCode.OVERLOADED))
    assert {start_call(fixture) for _ in range(20)} == {"n0"}
    fixture.clock.advance(PROBE_INTERVAL_S)
    fixture.record_error("n0", NotRunError("full", ErrorCode.OVERLOADED))
    tried = [start_call(fixture) for _ in range(40)]
    assert sum(name in REMOTE for name in tried) == 1
    fixture.clock.advance(PROBE_INTERVAL_S)
    fixture.record_answer("f2")
    assert (
        fixture.instance_tracker.find_unreachable_data_centres(0.0)
        == frozenset()
    )
