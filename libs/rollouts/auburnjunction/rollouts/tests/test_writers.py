"""Tests of the writing of status rows."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.rollouts.orders import Order, Phase, Rollout, Status
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.states import ServiceState
from auburnjunction.rollouts.statistics import RolloutStats
from auburnjunction.rollouts.writers import StatusWriter
from auburnjunction.storage.tables import (
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)

ORDER = Order("orders", "v2", 12.0, 1, 5)


@attrs.define
class StatusTable:
    """A status row; the next writes raise errors, applied or not."""

    status: Status
    errors: list = attrs.field(factory=list)
    written: list = attrs.field(factory=list)

    async def read(self, service, timeout_s):
        return self.status

    async def write(self, service, target, phase, expected, timeout_s):
        error = self.errors.pop(0) if self.errors else None
        if isinstance(error, UnavailableError):
            raise error
        if expected != self.status.version:
            raise VersionConflictError("changed", None)
        self.status = Status(expected + 1, phase, target)
        self.written.append(phase)
        if error is not None:
            raise error
        return self.status.version

    async def read_acceptance(self, order, timeout_s):
        return self.status

    async def write_acceptance(self, order, expected, timeout_s):
        await self.write("", order.target, Phase.ACCEPTED, expected, timeout_s)


def make_writer(table, phase):
    rng = random.Random(1)
    identity = NodeIdentity("n1", "a", 1, 0.0)
    state = ServiceState(identity, RolloutSettings(), rng)
    state.adopt(Rollout(ORDER, 100.0, phase), 3)
    clock = ManualClock()
    stats = RolloutStats()
    return (
        state,
        clock,
        StatusWriter("orders", state, table, clock, rng, stats),
    )


def bring_to(writer, clock, wanted):
    for _ in range(200):
        clock.advance(0.1)
        if writer.plan(wanted, True):
            curio.run(writer.write, lambda _phase: True)


RUNNING, BACK = Phase.RUNNING, Phase.ROLLED_BACK
DONE = Phase.COMPLETED
WRITES = [
    # No row, or that of an earlier roll-out: running is written first.
    (Status(0), [], BACK, [RUNNING, BACK], BACK),
    (Status(4, DONE, "v1"), [], BACK, [RUNNING, BACK], BACK),
    (Status(4, RUNNING, "v2"), [], DONE, [DONE], DONE),
    # Another node was first: its state holds, also against this node's.
    (Status(4, BACK, "v2"), [], BACK, [], BACK),
    (Status(4, DONE, "v2"), [], BACK, [], DONE),
    # The store is down for some writes, or an answer is lost.
    (Status(4, RUNNING, "v2"), [UnavailableError("down")] * 3, BACK, [BACK],
     BACK),
    (Status(4, RUNNING, "v2"), [UnknownOutcomeError("lost")], BACK, [BACK],
     BACK),
    (Status(0), [UnknownOutcomeError("lost")] * 2, BACK, [RUNNING, BACK],
     BACK),
]  # fmt: skip


@pytest.mark.parametrize("status, errors, wanted, written, phase", WRITES)
def test_status_is_written_once(status, errors, wanted, written, phase):
    table = StatusTable(status, list(errors))
    held = Phase.CONDEMNED if wanted is BACK else Phase.ACCEPTED
    state, clock, writer = make_writer(table, held)
    bring_to(writer, clock, wanted)
    assert table.written == written
    assert table.status.phase is phase
    assert state.rollout.phase is phase


# Guards against a completion that is written when it is no longer wanted.
def test_completion_is_checked_again_before_the_write():
    table = StatusTable(Status(4, RUNNING, "v2"))
    _, clock, writer = make_writer(table, Phase.ACCEPTED)
    writer.plan(DONE, True)
    clock.advance(1.0)
    assert writer.plan(DONE, True)
    curio.run(writer.write, lambda _phase: False)
    assert table.written == []


# Guards against several nodes that write at once.
def test_other_nodes_write_later_than_readers():
    table = StatusTable(Status(0))
    due = {}
    for is_reader in (True, False):
        _, clock, writer = make_writer(table, Phase.ORDERED)
        start_s = clock.monotonic()
        while not writer.plan(RUNNING, is_reader):
            clock.advance(0.01)
        due[is_reader] = clock.monotonic() - start_s
    assert due[True] < 0.6 < due[False] < 2.6


# Guards against a part of the fleet that never learns of the acceptance.
def test_acceptance_is_written_once():
    table = StatusTable(Status(3))
    _, _, writer = make_writer(table, Phase.ACCEPTED)
    for _ in range(2):
        curio.run(writer.share_acceptance)
    assert table.written == [Phase.ACCEPTED]
    assert curio.run(writer.read_acceptance).phase is Phase.ACCEPTED
