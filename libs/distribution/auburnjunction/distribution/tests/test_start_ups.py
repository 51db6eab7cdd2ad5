"""Tests of the synchronisation of a restarted node."""

import attrs
import curio
import pytest

from auburnjunction.distribution.holders import RevisionOrigin
from auburnjunction.distribution.tests.support import (
    FAST_SETTINGS,
    Fleet,
    make_snapshot,
    wait_until,
)
from auburnjunction.model.snapshots import RevisedSnapshot

RESTARTED = "dc0-n9"


async def commit_two(fleet):
    """Commit revisions 1 and 2 and wait until every node has 2."""
    await fleet.commit("one", 0, make_snapshot(1), "dc0-n0")
    await fleet.commit("two", 1, make_snapshot(2), "dc0-n0")
    await fleet.wait_for(2)


def disable_platform(fleet):
    fleet.table.available = False


def isolate_data_centre(fleet):
    fleet.isolated_from_platform.add("dc0")


def partition_peers(fleet):
    fleet.network.partitions.update(
        frozenset(("dc0", dc)) for dc in ("dc1", "dc2")
    )
    fleet.network.partitions.add(frozenset(("dc0",)))


def isolate_from_all(fleet):
    disable_platform(fleet)
    partition_peers(fleet)


@pytest.mark.parametrize(
    ("cut", "revision"),
    [
        (lambda fleet: None, 2),
        (disable_platform, 2),
        (isolate_data_centre, 2),
        (partition_peers, 2),
        (isolate_from_all, 0),
    ],
    ids=["nothing", "platform", "platform of one data centre", "peers", "all"],
)
def test_restarted_node_adopts_the_highest_revision(cut, revision):
    async def main():
        fleet = Fleet(6)
        async with fleet.open():
            await commit_two(fleet)
            cut(fleet)
            async with fleet.open_member(RESTARTED, 9) as member:
                await member.distributor.start_up()
                assert member.holder.mark.revision == revision
                assert member.distributor.is_ready is (revision > 0)
                fleet.network.partitions.clear()
                fleet.table.available = True
                await wait_until(lambda: member.distributor.is_ready)

    curio.run(main)


def test_node_does_not_serve_below_a_head_it_has_read():
    """Peers hold revision 1, but the node may have served 2 before."""

    async def main():
        fleet = Fleet(6)
        async with fleet.open():
            await fleet.commit("one", 0, make_snapshot(1), "dc0-n0")
            await fleet.wait_for(1)
            commit = await fleet.commit("two", 1, make_snapshot(2))
            content = fleet.objects.contents.pop(commit.digest)
            async with fleet.open_member(RESTARTED, 9) as member:
                await member.distributor.start_up()
                assert not member.distributor.is_ready
                fleet.objects.contents[commit.digest] = content
                await wait_until(lambda: member.distributor.is_ready)
                assert member.holder.mark.revision == 2

    curio.run(main)


def test_node_does_not_serve_before_the_head_is_known():
    async def main():
        fleet = Fleet(6)
        async with fleet.open():
            await commit_two(fleet)
            fleet.isolated_from_platform.add(RESTARTED)
            async with fleet.open_member(RESTARTED, 9) as member:
                earlier = RevisedSnapshot(
                    (await fleet.log.get(1)).commit.mark, make_snapshot(1)
                )
                member.holder.adopt(earlier, RevisionOrigin.PLATFORM)
                assert not member.distributor.is_ready
                await member.distributor.start_up()
                assert member.distributor.is_ready
                assert member.holder.mark.revision == 2

    curio.run(main)


FLEET_SIZE = 60
WINDOW_S = 0.5
# Reads are random, so a window may contain more than the mean.
WINDOW_FACTOR = 1.5


def test_simultaneous_start_keeps_the_read_budget():
    """No node lists a peer, as when all restart at the same time."""
    cfg = attrs.evolve(
        FAST_SETTINGS, fleet_size=FLEET_SIZE, fleet_reads_per_s=FLEET_SIZE
    )

    async def main():
        fleet = Fleet(FLEET_SIZE, 1, cfg)
        async with fleet.open(start_up=False):
            await fleet.commit("one", 0, make_snapshot(1))
            fleet.directory.is_hidden = True
            fleet.gossip_enabled = False
            await fleet.start_all()
            await fleet.wait_for(1, 3.0)
            await curio.sleep(2 * WINDOW_S)
            times = fleet.read_times
            max_reads = max(
                sum(time <= other < time + WINDOW_S for other in times)
                for time in times
            )
            assert max_reads <= FLEET_SIZE * WINDOW_S * WINDOW_FACTOR

    curio.run(main)
