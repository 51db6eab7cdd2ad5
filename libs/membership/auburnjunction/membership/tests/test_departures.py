"""Departures that outlive the node that acknowledged them."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.clients import Address
from auburnjunction.membership.departures import (
    MAX_DEPARTURES,
    Departure,
    DepartureLog,
)
from auburnjunction.membership.instances import LocalInstances
from auburnjunction.membership.rosters import Roster
from auburnjunction.membership.seeds import SeedTable
from auburnjunction.membership.tests.support import (
    FAST,
    HOST,
    make_announcement,
)
from auburnjunction.model.services import InstanceState
from auburnjunction.storage.fakes import MemoryTable

BORN_MS = 1_764_840_000_000


@attrs.define
class NodeLife:
    """One life of a node's process, with its row in a table."""

    table: MemoryTable
    clock: ManualClock = attrs.field(factory=ManualClock)
    roster: Roster = attrs.field(init=False)
    instances: LocalInstances = attrs.field(init=False)
    rows: SeedTable = attrs.field(init=False)

    def __attrs_post_init__(self):
        address = Address(HOST, 9001)
        source = random.Random(1)
        self.roster = Roster(
            FAST, "n0", "helsinki", address, self.clock, source
        )
        self.instances = LocalInstances(self.roster)
        self.rows = SeedTable(self.roster, self.table)

    def announce(self, state, born_ms=BORN_MS, sequence=1):
        announcement = make_announcement(
            state=state, born_ms=born_ms, sequence=sequence
        )
        return self.instances.announce(announcement).shown_state


@pytest.mark.parametrize("last", ["leaving", "gone"])
@pytest.mark.parametrize("is_read_first", [True, False])
@pytest.mark.parametrize(
    ("born_ms", "shown"),
    [
        (BORN_MS, InstanceState.LEAVING),
        # It has started again since.
        (BORN_MS + 1, InstanceState.READY),
        # Nothing tells its lives apart.
        (0, InstanceState.READY),
    ],
)
def test_late_ready_after_the_node_died(last, is_read_first, born_ms, shown):
    async def main():
        table = MemoryTable()
        before = NodeLife(table)
        first_born_ms = born_ms and BORN_MS
        before.announce("ready", first_born_ms, 1)
        before.announce(last, first_born_ms, 3)
        await before.rows.write_own()
        after = NodeLife(table)
        if is_read_first:
            await after.rows.write_own()
            state = after.announce("ready", born_ms, 2)
        else:
            after.announce("ready", born_ms, 2)
            await after.rows.write_own()
            after.instances.check(0)
            state = after.roster.own.instances[0].state
        assert state is shown

    curio.run(main)


def test_row_of_the_next_life_still_holds_departures():
    async def main():
        table = MemoryTable()
        first = NodeLife(table)
        first.announce("leaving")
        await first.rows.write_own()
        await NodeLife(table).rows.write_own()
        third = NodeLife(table)
        await third.rows.write_own()
        assert third.announce("ready") is InstanceState.LEAVING

    curio.run(main)


def test_saved_only_up_to_what_was_written():
    log = DepartureLog()
    assert log.is_saved
    log.add(Departure("a-1", BORN_MS))
    count = log.change_count
    log.add(Departure("a-2", BORN_MS))
    log.note_saved(count)
    assert not log.is_saved
    log.note_saved(log.change_count)
    assert log.is_saved


def test_log_keeps_the_latest():
    log = DepartureLog()
    for number in range(MAX_DEPARTURES + 3):
        log.add(Departure(f"a-{number}", BORN_MS))
    assert len(log.list_all()) == MAX_DEPARTURES
    assert Departure("a-2", BORN_MS) not in log
    assert Departure("a-3", BORN_MS) in log
