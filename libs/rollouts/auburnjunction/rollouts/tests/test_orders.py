"""Tests of orders and of merging copies of roll-outs."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.rollouts.orders import (
    Order,
    Phase,
    Rollout,
    merge_rollouts,
)


def make_rollout(target="v2", era=1, version=5, phase=Phase.RUNNING):
    return Rollout(Order("orders", target, 12.0, era, version), 100.0, phase)


# Each row: held, received, phase afterwards, whether the order is received's.
MERGES = [
    # A repeated order goes on with the verdict that is not yet written.
    (make_rollout(phase=Phase.CONDEMNED), make_rollout(version=7),
     Phase.CONDEMNED, True),
    # v2, v3 and v2 again: the later roll-out of v2 is a new one.
    (make_rollout(phase=Phase.COMPLETED), make_rollout(version=9),
     Phase.RUNNING, True),
    # A store restored from an older copy has lost the verdict.
    (make_rollout(phase=Phase.ROLLED_BACK), make_rollout(era=2, version=3),
     Phase.ROLLED_BACK, True),
    # An order of another target replaces the roll-out.
    (make_rollout(phase=Phase.CONDEMNED), make_rollout("v3", version=7),
     Phase.RUNNING, True),
    # Late news of an order that was replaced has no effect.
    (make_rollout("v3", version=7), make_rollout(phase=Phase.ROLLED_BACK),
     Phase.RUNNING, False),
    # What compare-and-set has decided holds against a verdict of this node.
    (make_rollout(phase=Phase.CONDEMNED), make_rollout(phase=Phase.COMPLETED),
     Phase.COMPLETED, False),
]  # fmt: skip


@pytest.mark.parametrize("held, received, phase, is_replaced", MERGES)
def test_merge_of_roll_outs(held, received, phase, is_replaced):
    merged = merge_rollouts(held, received)
    assert merged.phase is phase
    assert merged.order == (received.order if is_replaced else held.order)


ROLLOUTS = st.builds(
    Rollout,
    st.just(make_rollout().order),
    st.floats(0, 100),
    st.sampled_from(Phase),
)


# Guards against nodes that end with different phases of one order.
@given(st.lists(ROLLOUTS, min_size=1), st.randoms())
def test_copies_merge_in_any_order(copies, random):
    def merge_all(values):
        held = None
        for value in values:
            held = merge_rollouts(held, value)
        return held

    shuffled = copies * 2
    random.shuffle(shuffled)
    assert merge_all(shuffled) == merge_all(copies)


def test_repeated_order_keeps_its_start():
    received = attrs.evolve(make_rollout(version=8), started_s=120.0)
    assert merge_rollouts(make_rollout(), received).started_s == 100.0
