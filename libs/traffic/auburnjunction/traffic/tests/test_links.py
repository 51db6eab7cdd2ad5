"""Links between data centres: latency, cuts and their end."""

import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.model.priorities import Priority
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.peers import SilentNodeError
from auburnjunction.traffic.tests.routing_support import make_instance
from auburnjunction.traffic.tests.test_balancers import Fixture

RETRY_S = 1.0
FAR = ("f0", "f1", "f2")


def make_fixture(near=0):
    instances = [make_instance(name, data_centre="dc-2") for name in FAR]
    instances += [make_instance(f"n{index}") for index in range(near)]
    return Fixture(
        instances, link_retry_ms=RETRY_S * 1000, draining_hold_ms=1.0
    )


def start(fixture):
    """Choose an instance and start a call there; return its name."""
    name = fixture.choose(timeout_s=60.0, priority=Priority.CRITICAL)
    if name is not None:
        fixture.observer.start_call(fixture.instances[name])
    return name


@pytest.mark.parametrize(
    ("errors", "is_closed"),
    [
        # One node may have lost its power.
        ([("f0", SilentNodeError("s")), ("f0", SilentNodeError("s"))], False),
        ([("f0", SilentNodeError("s")), ("f1", SilentNodeError("s"))], True),
        # A refused connection shows that the host is reached.
        (
            [
                ("f0", NotRunError("refused", ErrorCode.UNREACHABLE)),
                ("f1", SilentNodeError("s")),
            ],
            False,
        ),
        (
            [
                ("f0", SilentNodeError("s")),
                ("f1", NotRunError("full", ErrorCode.OVERLOADED)),
                ("f2", SilentNodeError("s")),
            ],
            False,
        ),
    ],
)
def test_data_centre_that_is_cut_off_gets_no_calls(errors, is_closed):
    """A data centre is cut: calls stay, and are not held up by it."""
    fixture = make_fixture()
    for name, error in errors:
        fixture.fail(name, error)
    fixture.clock.advance(0.01)
    assert (fixture.choose(timeout_s=60.0) is None) is is_closed


def test_one_call_at_a_time_tries_a_cut_link():
    fixture = make_fixture(near=1)
    for name in FAR[:2]:
        fixture.fail(name, SilentNodeError("silent"))
    fixture.fail("n0", NotRunError("full", ErrorCode.OVERLOADED))
    assert {start(fixture) for _ in range(20)} == {"n0"}
    fixture.clock.advance(RETRY_S)
    fixture.fail("n0", NotRunError("full", ErrorCode.OVERLOADED))
    tried = [start(fixture) for _ in range(40)]
    assert sum(name in FAR for name in tried) == 1
    fixture.clock.advance(RETRY_S)
    fixture.answer("f2")
    assert fixture.observer.find_closed_links(0.0) == frozenset()
