"""Discovery of nodes through the table, also during outages."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock, SystemClock
from auburnjunction.http.clients import Address
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.departures import Departure
from auburnjunction.membership.joins import TABLE_BACKOFF_S, Backoff
from auburnjunction.membership.seeds import (
    MAX_ROWS,
    MAX_SEEDS,
    SeedTable,
)
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.tests.support import (
    FAST,
    HOST,
    Cluster,
    open_cluster,
    run_cluster,
    wait_until,
)
from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import PlatformError

FLEET = 3000
# Read limit of the platform, less two reads for each of the head reads
# that the distribution may make per second.
READS_PER_S = 2000 - 2 * 300
ADDRESS = Address(HOST, 9001)
CFG = attrs.evolve(FAST, table_refresh_s=0.5, table_spread_s=0.02)


class CountingTable(MemoryTable):
    """Counts the reads of single rows."""

    row_reads = 0

    async def get(self, key, timeout_s):
        self.row_reads += 1
        return await super().get(key, timeout_s)


def make_rows(table, node="n0", data_centre="helsinki", port=9001, clock=None):
    clock = clock or ManualClock()
    address = Address(HOST, port)
    source = random.Random(1)
    cluster = ClusterState(FAST, node, data_centre, address, clock, source)
    return SeedTable(cluster, table)


async def write_row(member, table):
    """Write the row of a member as if before a restart."""
    clock = SystemClock()
    address, source = member.address, random.Random(1)
    name, data_centre = member.node, member.data_centre
    cluster = ClusterState(FAST, name, data_centre, address, clock, source)
    await SeedTable(cluster, table).write_own_row()


def test_rows_are_read_by_data_centre_until_they_expire():
    async def main():
        table, clock = MemoryTable(), ManualClock()
        port = 9001
        for data_centre in ("espoo", "helsinki", "turku"):
            for index in range(5):
                name = f"{data_centre}-{index}"
                rows = make_rows(table, name, data_centre, port, clock)
                await rows.write_own_row()
                port += 1
        reader = make_rows(table, "espoo-0", "espoo", 9001, clock)
        found = await reader.read_data_centre("helsinki")
        assert found == [Address(HOST, p) for p in range(9006, 9011)]
        ports = {a.port for a in await reader.read_all_data_centres()}
        assert ports >= {9006, 9011}
        assert 9001 not in ports
        # One read before the first write of each row, one of the data
        # centre, then one for each of three data centres and a last one
        # that finds no more rows.
        assert table.reads == 15 + 1 + 4
        clock.advance(5 * FAST.table_refresh_s + 1)
        assert await reader.read_data_centre("helsinki") == []

    curio.run(main)


def test_row_from_before_a_restart_is_replaced():
    async def main():
        table = MemoryTable()
        await make_rows(table).write_own_row()
        second = make_rows(table, port=9002)
        await second.write_own_row()
        table.lost_answers = 1
        with pytest.raises(PlatformError):
            await second.write_own_row()
        await second.write_own_row()
        reader = make_rows(table, "n1")
        found = await reader.read_data_centre("helsinki")
        assert found == [Address(HOST, 9002)]

    curio.run(main)


def test_nodes_without_seeds_join_through_the_table():
    async def scenario(cluster):
        await wait_until(
            lambda: cluster.table.writes >= 4, what="each wrote its row"
        )

    run_cluster(scenario, 4, CFG, table=MemoryTable(), seeds=0)


@pytest.mark.parametrize("restarts", [False, True])
def test_nodes_that_restart_together_join_at_once(restarts):
    """Restarted nodes use the rows in the table without a delay."""

    async def main():
        table = MemoryTable()
        cfg = attrs.evolve(
            FAST, first_write_spread_s=60.0, table_spread_s=60.0
        )
        cluster = Cluster(6, cfg, table=table, seeds=0)
        if restarts:
            for member in cluster.members:
                await write_row(member, table)
        for member in cluster.members:
            await cluster.start(member)
        if restarts:
            await cluster.wait_joined()
        else:
            await curio.sleep(0.5)
            sizes = [len(m.membership.list_nodes()) for m in cluster.members]
            assert sizes == [1] * len(sizes)
        for member in cluster.members:
            await member.task.cancel()

    curio.run(main)


@pytest.mark.parametrize(
    ("has_row", "reads", "writes"), [(False, 0, 1), (True, 1, 2)]
)
def test_fresh_start_needs_one_write_and_no_read(has_row, reads, writes):
    """A row that is there nevertheless is read, with its departures."""

    async def main():
        table = CountingTable()
        cfg = attrs.evolve(FAST, fresh_start=True, first_write_spread_s=0.01)
        cluster = Cluster(1, cfg, table=table, seeds=0)
        (member,) = cluster.members
        if has_row:
            await write_row(member, table)
        table.row_reads = table.writes = 0
        await cluster.start(member)
        await wait_until(lambda: table.writes >= writes, what="wrote its row")
        await member.task.cancel()
        assert (table.row_reads, table.writes) == (reads, writes)
        rows = make_rows(table, member.node, member.data_centre)
        assert await rows.find_own_row()

    curio.run(main)


def test_fresh_fleet_joins_with_at_most_one_read_for_each_node():
    async def main():
        table = MemoryTable()
        cfg = attrs.evolve(
            FAST,
            fresh_start=True,
            first_write_spread_s=0.1,
            table_spread_s=0.5,
            repair_interval_s=5.0,
        )
        cluster = Cluster(12, cfg, table=table, seeds=0)
        for member in cluster.members:
            await cluster.start(member)
        await cluster.wait_joined()
        await curio.sleep(0.6)
        assert table.writes == 12
        assert table.reads <= 12
        for member in cluster.members:
            await member.task.cancel()

    curio.run(main)


def test_row_is_written_again_only_when_due():
    async def main():
        table, clock = MemoryTable(), ManualClock()
        rows = make_rows(table, clock=clock)
        assert not rows.is_own_row_recent
        await rows.write_own_row()
        assert rows.is_own_row_recent
        rows._cluster.departures.add(Departure("i1", 1))
        assert not rows.is_own_row_recent
        await rows.write_own_row()
        clock.advance(2 * FAST.table_refresh_s)
        assert not rows.is_own_row_recent

    curio.run(main)


@pytest.mark.parametrize(
    ("rows", "own_found", "other_found"),
    [(3, 3, 3), (MAX_ROWS // 2, MAX_ROWS // 2, MAX_SEEDS)],
)
def test_fleet_of_any_size_is_found_after_a_restart(
    rows, own_found, other_found
):
    """Rows beyond one page are read by data centre."""

    async def main():
        table, clock = MemoryTable(), ManualClock()
        for data_centre in ("espoo", "helsinki"):
            for index in range(rows):
                name = f"{data_centre}-{index}"
                node = make_rows(table, name, data_centre, clock=clock)
                await node.write_own_row()
        reader = make_rows(table, "reader", "helsinki", clock=clock)
        fleet = await reader.read_fleet()
        assert len(fleet["helsinki"]) == own_found
        assert len(fleet["espoo"]) == other_found

    curio.run(main)


def test_nodes_without_peers_read_a_failed_table_at_a_bounded_rate():
    async def main():
        table = MemoryTable()
        table.available = False
        cluster = Cluster(4, CFG, table=table, seeds=0)
        for member in cluster.members:
            await cluster.start(member)
        await curio.sleep(1.0)
        # Each node joins at 0 and 1 s at the earliest, discovers other
        # data centres once, and reads its row up to five times.
        assert table.reads <= (2 + 1 + 5) * 4
        table.available = True
        await cluster.wait_joined()
        for member in cluster.members:
            await member.task.cancel()

    curio.run(main)


def test_nodes_without_peers_stay_within_the_read_limit():
    clock, share = ManualClock(), 10
    backoffs = []
    for index in range(FLEET // share):
        source = random.Random(index)
        cluster = ClusterState(
            MembershipSettings(), "n", "d", ADDRESS, clock, source
        )
        start_s = source.uniform(0, cluster.cfg.table_spread_s)
        backoffs.append(
            (clock.monotonic() + start_s, Backoff(cluster, *TABLE_BACKOFF_S))
        )
    for _ in range(120):
        clock.advance(1.0)
        now_s = clock.monotonic()
        reads = sum(
            backoff.start_if_due()
            for start_s, backoff in backoffs
            if start_s <= now_s
        )
        assert reads * share <= READS_PER_S


def test_node_without_peers_is_current_after_a_table_exchange():
    async def main():
        table = MemoryTable()
        cfg = attrs.evolve(CFG, suspicion_timeout_s=5.0)
        async with open_cluster(1, cfg, table=table, seeds=0) as cluster:
            (member,) = cluster.members
            table.available = False
            member.clock.offset_s += 6.0
            assert not member.membership.is_current
            await curio.sleep(0.2)
            assert not member.membership.is_current
            table.available = True
            await wait_until(
                lambda: member.membership.is_current, what="is current"
            )

    curio.run(main)
