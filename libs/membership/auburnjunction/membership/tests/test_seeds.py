"""Seeds in the table, and its outages."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock, SystemClock
from auburnjunction.http.clients import Address
from auburnjunction.membership.joins import TABLE_WAITS_S, Backoff
from auburnjunction.membership.rosters import Roster
from auburnjunction.membership.seeds import MAX_ROWS, SeedTable
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
# What the platform bears, less two reads for each head reading that the
# distribution may make.
READS_PER_S = 2000 - 2 * 300
ADDRESS = Address(HOST, 9001)
CFG = attrs.evolve(FAST, table_refresh_s=0.5, table_spread_s=0.02)


def make_rows(table, node="n0", data_centre="helsinki", port=9001, clock=None):
    clock = clock or ManualClock()
    address = Address(HOST, port)
    source = random.Random(1)
    roster = Roster(FAST, node, data_centre, address, clock, source)
    return SeedTable(roster, table)


async def write_row(member, table):
    """Write the row that an earlier life of a member left."""
    clock = SystemClock()
    address, source = member.address, random.Random(1)
    name, data_centre = member.node, member.data_centre
    roster = Roster(FAST, name, data_centre, address, clock, source)
    await SeedTable(roster, table).write_own()


def test_rows_are_read_by_data_centre_until_they_expire():
    async def main():
        table, clock = MemoryTable(), ManualClock()
        port = 9001
        for data_centre in ("espoo", "helsinki", "turku"):
            for index in range(5):
                name = f"{data_centre}-{index}"
                rows = make_rows(table, name, data_centre, port, clock)
                await rows.write_own()
                port += 1
        reader = make_rows(table, "espoo-0", "espoo", 9001, clock)
        found = await reader.read_data_centre("helsinki")
        assert found == [Address(HOST, p) for p in range(9006, 9011)]
        ports = {a.port for a in await reader.read_others()}
        assert ports >= {9006, 9011}
        assert 9001 not in ports
        # One for each row at first, one for the data centre, then one
        # for each of three data centres and one that finds no more.
        assert table.reads == 15 + 1 + 4
        clock.advance(5 * FAST.table_refresh_s + 1)
        assert await reader.read_data_centre("helsinki") == []

    curio.run(main)


def test_row_of_an_earlier_life_is_replaced():
    async def main():
        table = MemoryTable()
        await make_rows(table).write_own()
        second = make_rows(table, port=9002)
        await second.write_own()
        table.lost_answers = 1
        with pytest.raises(PlatformError):
            await second.write_own()
        await second.write_own()
        reader = make_rows(table, "n1")
        found = await reader.read_data_centre("helsinki")
        assert found == [Address(HOST, 9002)]

    curio.run(main)


def test_nodes_without_seeds_meet_through_the_table():
    async def scenario(cluster):
        await wait_until(
            lambda: cluster.table.writes >= 4, what="each wrote its row"
        )

    run_cluster(scenario, 4, CFG, table=MemoryTable(), seeds=0)


@pytest.mark.parametrize("restarts", [False, True])
def test_herd_that_returns_finds_itself_at_once(restarts):
    """All nodes return together; none waits for rows that are there."""

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


def test_fleet_of_many_pages_is_not_read_as_a_whole():
    async def main():
        table, clock = MemoryTable(), ManualClock()
        for index in range(MAX_ROWS):
            await make_rows(table, f"n{index}", clock=clock).write_own()
            reader = make_rows(table, "reader", clock=clock)
            if index in (3, MAX_ROWS - 1):
                fleet = await reader.read_fleet()
                assert bool(fleet) is (index == 3)

    curio.run(main)


def test_lone_nodes_read_a_dead_table_at_a_bounded_rate():
    async def main():
        table = MemoryTable()
        table.available = False
        cluster = Cluster(4, CFG, table=table, seeds=0)
        for member in cluster.members:
            await cluster.start(member)
        await curio.sleep(1.0)
        # A node joins at 0 and 1 s at the soonest, looks for other data
        # centres once, and reads its row up to five times.
        assert table.reads <= (2 + 1 + 5) * 4
        table.available = True
        await cluster.wait_joined()
        for member in cluster.members:
            await member.task.cancel()

    curio.run(main)


def test_herd_of_lone_nodes_stays_within_the_reads_of_the_table():
    clock, share = ManualClock(), 10
    herd = []
    for index in range(FLEET // share):
        source = random.Random(index)
        roster = Roster(MembershipSettings(), "n", "d", ADDRESS, clock, source)
        start_s = source.uniform(0, roster.cfg.table_spread_s)
        herd.append(
            (clock.monotonic() + start_s, Backoff(roster, *TABLE_WAITS_S))
        )
    for _ in range(120):
        clock.advance(1.0)
        now_s = clock.monotonic()
        reads = sum(
            backoff.is_due() for start_s, backoff in herd if start_s <= now_s
        )
        assert reads * share <= READS_PER_S


def test_lone_node_is_current_after_an_exchange_with_the_table():
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
