"""Tests that a paused node takes calls only once it has recovered."""

import attrs
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.node.readiness_gates import RECOVERY_HOLD_S, ReadinessGate


@attrs.define
class Source:
    """Fake of both membership and distributor, set by a test."""

    is_current: bool = True
    pause_count: int = 0
    is_ready: bool = True
    is_behind: bool = False


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ({}, ""),
        ({"is_ready": False}, "no configuration in force"),
        ({"is_current": False}, "catching up after a pause"),
        # Without a pause, the revision in force is at most one push late.
        ({"is_behind": True}, ""),
    ],
)
def test_unready_reason(values, reason):
    source = Source()
    readiness_gate = ReadinessGate(source, source, ManualClock())
    for name, value in values.items():
        setattr(source, name, value)
    assert readiness_gate.find_unready_reason() == reason
    assert readiness_gate.is_current == (not reason)
    readiness_gate.leaving = True
    assert readiness_gate.find_unready_reason() == "leaving"


@pytest.mark.parametrize("checked", [True, False])
def test_paused_node_waits_for_offered_revision(checked):
    """The gate need not be checked while membership is not current."""
    source, clock = Source(), ManualClock()
    readiness_gate = ReadinessGate(source, source, clock)
    source.pause_count = 1
    source.is_current = False
    if checked:
        assert not readiness_gate.is_current
    source.is_current = True
    assert not readiness_gate.is_current
    source.is_behind = True
    clock.advance(RECOVERY_HOLD_S)
    assert not readiness_gate.is_current
    source.is_behind = False
    assert readiness_gate.is_current
