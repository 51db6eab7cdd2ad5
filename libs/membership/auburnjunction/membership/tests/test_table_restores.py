"""A table that is restored from an older copy."""

import attrs
import curio
import pytest

from auburnjunction.membership.seeds import SeedTable, make_key
from auburnjunction.membership.tests.support import (
    FAST,
    Cluster,
    make_announcement,
    make_cluster_state,
    wait_until,
)
from auburnjunction.schema import control_pb2 as pb
from auburnjunction.storage.fakes import MemoryTable

BORN_MS = 1_764_840_000_000
# Rows are not refreshed while a test runs.
CFG = attrs.evolve(FAST, table_refresh_s=600.0, first_write_spread_s=0.01)


class TableClient:
    """Client of one node, which learns of restores from responses only."""

    def __init__(self, table):
        self._table = table
        self.generation = 0

    async def get(self, key, timeout_s):
        return await self._finish(self._table.get(key, timeout_s))

    async def put_if(self, key, value, expected_version, timeout_s):
        put = self._table.put_if(key, value, expected_version, timeout_s)
        return await self._finish(put)

    async def scan(self, prefix, after, limit, timeout_s):
        scan = self._table.scan(prefix, after, limit, timeout_s)
        return await self._finish(scan)

    async def _finish(self, operation):
        try:
            return await operation
        finally:
            self.generation = self._table.generation


async def list_saved_departures(table, member):
    row = await table.get(make_key(member), 1.0)
    if row is None:
        return []
    message = pb.NodeRow.FromString(row.value)
    return [departure.instance for departure in message.departures]


# Guards against departures that were saved, are lost by a restore of the
# table, and are then forgotten when their node restarts.
@pytest.mark.parametrize("informed", [0, 2])
def test_departures_are_saved_again_after_a_restore(informed):
    """Member 2 has the departure; one member sees the restore itself."""

    async def main():
        table = MemoryTable()
        cluster = Cluster(3, CFG)
        clients = []
        try:
            for member in cluster.members:
                cluster.table = TableClient(table)
                clients.append(cluster.table)
                await cluster.start(member)
            await cluster.wait_joined()
            member = cluster[2]
            await wait_until(lambda: table.has(make_key(member)))
            copy = table.copy()
            for state in ("ready", "leaving"):
                member.membership.announce(
                    make_announcement(state=state, born_ms=BORN_MS)
                )
            await member.membership.save_departures()
            assert await list_saved_departures(table, member) == ["a-1"]
            table.restore(copy)
            assert await list_saved_departures(table, member) == []
            await clients[informed].get("nodes/other", 1.0)
            async with curio.timeout_after(5):
                while not await list_saved_departures(table, member):
                    await curio.sleep(0.01)
        finally:
            for member in cluster.members:
                await member.task.cancel()

    curio.run(main)


# Guards against nodes that are missing in the table until the next refresh,
# as their rows were lost by a restore.
@pytest.mark.parametrize(
    ("generation", "is_recent"), [(0, True), (1, True), (2, False)]
)
def test_row_of_an_earlier_generation_is_not_recent(generation, is_recent):
    async def main():
        cluster = make_cluster_state()
        rows = SeedTable(cluster, MemoryTable())
        await rows.write_own_row()
        cluster.observe_table_generation(generation)
        assert rows.is_own_row_recent is is_recent

    curio.run(main)


# Guards against a write that is taken for saved though its response came from
# the table before its restore.
def test_write_across_a_restore_is_not_taken_for_saved():
    async def main():
        table = MemoryTable()
        cluster = make_cluster_state()
        rows = SeedTable(cluster, table)
        await rows.write_own_row()
        write = table.put_if

        async def write_across(*args):
            row = await write(*args)
            cluster.observe_table_generation(table.generation + 1)
            return row

        table.put_if = write_across
        await rows.write_own_row()
        assert not rows.is_own_row_recent

    curio.run(main)
