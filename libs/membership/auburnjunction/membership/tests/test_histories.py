"""Backend servers that are leaving get no new calls after 3 s."""

import functools

import curio
import pytest

from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.membership.tests.histories import (
    LEAVING_LIMIT_S,
    HistoryRecorder,
    LeaveEvent,
    find_late_selections,
    find_returns,
)
from auburnjunction.membership.tests.support import (
    Cluster,
    make_announcement,
    open_cluster,
)

MEMBERS = 10
AFTER_LIMIT_S = 0.2


async def no_fault(cluster: Cluster):
    """Leave the network as it is."""


async def drop_rounds(cluster: Cluster):
    """Drop every exchange except urgent pushes."""
    cluster.network.only_urgent = True


async def drop_a_third(cluster: Cluster):
    """Drop a third of the requests and a third of the responses."""
    cluster.network.drop_share = 0.33


async def reorder_and_duplicate(cluster: Cluster):
    """Delay exchanges at random and send half of them twice."""
    cluster.network.max_delay_s = 0.3
    cluster.network.duplicate_share = 0.5


async def kill_one(cluster: Cluster):
    """Kill a node, which the others have not detected yet."""
    await cluster.kill(cluster[8])


FAULTS = (no_fault, drop_rounds, drop_a_third, reorder_and_duplicate, kill_one)


async def churn(cluster: Cluster, recorder: HistoryRecorder, fault):
    """Make backend servers and nodes leave while others start."""

    def announce(index, instance, **fields):
        membership = cluster[index].membership
        membership.announce(make_announcement(instance, **fields))

    for index in range(6):
        announce(index, f"i{index}")
    await cluster.wait_ready({f"i{n}" for n in range(6)}, 10.0)
    watcher = await curio.spawn(recorder.watch)
    await fault(cluster)
    recorder.record_leave("i2")
    cluster[2].membership.set_leaving()
    announce(6, "i6")
    recorder.record_leave("i3")
    announce(3, "i3", state="leaving")
    announce(7, "i7", state="starting")
    await curio.sleep(0.2)
    # A late "ready" of a backend server that is leaving.
    announce(3, "i3")
    announce(7, "i7")
    recorder.record_leave("i4")
    cluster[4].membership.set_draining("i4", True)
    announce(4, "i4", load_percent=90)
    recorder.record_leave("i5")
    announce(5, "i5", state="gone")
    await curio.sleep(LEAVING_LIMIT_S + AFTER_LIMIT_S)
    await watcher.cancel()


async def run_fault(fault, histories):
    async with open_cluster(MEMBERS, MembershipSettings()) as cluster:
        recorder = HistoryRecorder(cluster)
        histories[fault] = recorder.events
        await churn(cluster, recorder, fault)


@functools.cache
def record_histories():
    """Run one cluster per fault, concurrently to save time."""
    histories = {}

    async def main():
        async with curio.TaskGroup() as group:
            for fault in FAULTS:
                await group.spawn(run_fault, fault, histories)
        return group.results

    curio.run(main)
    return histories


@pytest.mark.parametrize("fault", FAULTS)
def test_leaving_gets_no_new_calls_after_3_s(fault):
    events = record_histories()[fault]
    assert len([e for e in events if isinstance(e, LeaveEvent)]) == 4
    assert find_late_selections(events) == []
    assert find_returns(events) == []


def test_new_backend_server_is_published_without_a_round():
    """After a node restart, calls wait for its new backend server."""

    async def main():
        async with open_cluster(MEMBERS) as cluster:
            cluster.network.only_urgent = True
            cluster[3].membership.announce(make_announcement("new-1"))
            await cluster.wait_ready({"new-1"}, LEAVING_LIMIT_S)

    curio.run(main)
