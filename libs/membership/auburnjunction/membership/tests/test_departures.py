"""Departures that are kept across restarts of the node."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.clients import Address
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.departures import (
    MAX_DEPARTURES,
    Departure,
    DepartureLog,
)
from auburnjunction.membership.instances import LocalInstances
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
class NodeProcess:
    """One process of a node, with its row in a table."""

    table: MemoryTable
    clock: ManualClock = attrs.field(factory=ManualClock)
    cluster: ClusterState = attrs.field(init=False)
    instances: LocalInstances = attrs.field(init=False)
    rows: SeedTable = attrs.field(init=False)

    def __attrs_post_init__(self):
        address = Address(HOST, 9001)
        source = random.Random(1)
        self.cluster = ClusterState(
            FAST, "n0", "helsinki", address, self.clock, source
        )
        self.instances = LocalInstances(self.cluster)
        self.rows = SeedTable(self.cluster, self.table)

    def announce(self, state, born_ms=BORN_MS, sequence=1):
        announcement = make_announcement(
            state=state, born_ms=born_ms, sequence=sequence
        )
        return self.instances.announce(announcement).published_state


@pytest.mark.parametrize("last", ["leaving", "gone"])
@pytest.mark.parametrize("is_read_first", [True, False])
@pytest.mark.parametrize(
    ("born_ms", "shown"),
    [
        (BORN_MS, InstanceState.LEAVING),
        # The backend server has restarted since.
        (BORN_MS + 1, InstanceState.READY),
        # Without born_ms, its incarnations cannot be distinguished.
        (0, InstanceState.READY),
    ],
)
def test_late_ready_after_a_node_restart(last, is_read_first, born_ms, shown):
    async def main():
        table = MemoryTable()
        before = NodeProcess(table)
        first_born_ms = born_ms and BORN_MS
        before.announce("ready", first_born_ms, 1)
        before.announce(last, first_born_ms, 3)
        await before.rows.write_own_row()
        after = NodeProcess(table)
        if is_read_first:
            await after.rows.write_own_row()
            state = after.announce("ready", born_ms, 2)
        else:
            after.announce("ready", born_ms, 2)
            await after.rows.write_own_row()
            after.instances.check(0)
            state = after.cluster.own_record.instances[0].state
        assert state is shown

    curio.run(main)


def test_departures_are_kept_across_two_restarts():
    async def main():
        table = MemoryTable()
        first = NodeProcess(table)
        first.announce("leaving")
        await first.rows.write_own_row()
        await NodeProcess(table).rows.write_own_row()
        third = NodeProcess(table)
        await third.rows.write_own_row()
        assert third.announce("ready") is InstanceState.LEAVING

    curio.run(main)


def test_departures_are_saved_up_to_the_written_change():
    log = DepartureLog()
    assert log.is_saved
    log.add(Departure("a-1", BORN_MS))
    count = log.change_count
    log.add(Departure("a-2", BORN_MS))
    log.mark_saved(count)
    assert not log.is_saved
    log.mark_saved(log.change_count)
    assert log.is_saved


def test_log_keeps_the_latest_departures():
    log = DepartureLog()
    for number in range(MAX_DEPARTURES + 3):
        log.add(Departure(f"a-{number}", BORN_MS))
    assert len(log.list_all()) == MAX_DEPARTURES
    assert Departure("a-2", BORN_MS) not in log
    assert Departure("a-3", BORN_MS) in log


def test_restored_departures_do_not_push_out_a_new_one():
    log = DepartureLog()
    new = Departure("new", BORN_MS)
    log.add(new)
    log.restore(Departure(f"a-{n}", BORN_MS) for n in range(MAX_DEPARTURES))
    assert new in log
    assert len(log.list_all()) == MAX_DEPARTURES
    assert Departure("a-0", BORN_MS) not in log


@pytest.mark.parametrize(
    ("born_ms", "has_departed"),
    [
        (BORN_MS, True),
        # An earlier incarnation, whose announcement was delayed for longer.
        (BORN_MS - 1, True),
        (BORN_MS + 1, False),
        (0, False),
    ],
)
@pytest.mark.parametrize("is_restored", [True, False])
def test_departure_covers_the_earlier_incarnations(
    born_ms, has_departed, is_restored
):
    log = DepartureLog()
    earlier = Departure("a-1", BORN_MS - 5)
    departure = Departure("a-1", BORN_MS)
    if is_restored:
        log.add(departure)
        log.restore([earlier])
    else:
        log.add(earlier)
        log.add(departure)
    assert (Departure("a-1", born_ms) in log) is has_departed
    assert log.list_all() == [departure]
