"""Tests of distributors of a small fleet with network faults."""

import attrs
import curio
import pytest

from auburnjunction.distribution.errors import CommitUnavailableError
from auburnjunction.distribution.peers import choose_readers
from auburnjunction.distribution.revisions import encode_mark
from auburnjunction.distribution.tests.support import (
    FAST_SETTINGS,
    Fleet,
    change_snapshot,
    make_snapshot,
    wait_until,
)
from auburnjunction.http.messages import HttpRequest
from auburnjunction.model.codecs import digest_content, dump_snapshot
from auburnjunction.model.routes import Route
from auburnjunction.model.snapshots import RevisionMark, Snapshot
from auburnjunction.model.validators import validate_snapshot
from auburnjunction.schema import control_pb2 as pb

FIRST = make_snapshot(1, 30)
# The users' limit from a commit until it is in force on every node.
CONFIG_APPLY_S = 2.0


def test_commit_reaches_every_node_by_push():
    async def main():
        fleet = Fleet(12)
        async with fleet.open():
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            await fleet.wait_for(1)
            second = change_snapshot(FIRST, 77)
            await fleet.commit("two", 1, second, "dc1-n1")
            await fleet.wait_for(2)
            members = fleet.members.values()
            assert all(m.holder.current.snapshot == second for m in members)
            assert all(m.distributor.is_ready for m in members)
            assert sum(m.distributor.stats.deltas for m in members) > 0

    curio.run(main)


def inject_no_fault(fleet):
    """Inject no fault."""


def disable_pushes(fleet):
    fleet.network.pushes_disabled = True


def isolate_data_centre(fleet):
    fleet.isolated_from_platform.add("dc1")


def partition_data_centre(fleet):
    fleet.network.partitions.add(frozenset(("dc1", "dc0")))
    fleet.network.partitions.add(frozenset(("dc1", "dc2")))


def isolate_two_data_centres(fleet):
    fleet.isolated_from_platform.update(["dc0", "dc2"])


def choose_fleet_readers(fleet):
    """Return the elected readers of each data centre, by rank."""
    names = [name for name, _ in fleet.list_names()]
    return {
        data_centre: choose_readers(
            [name for name in names if name[:3] == data_centre],
            data_centre,
            fleet.cfg.readers,
        )
        for data_centre in fleet.data_centres
    }


def isolate_readers(fleet):
    """Isolate all elected readers from the platform."""
    for readers in choose_fleet_readers(fleet).values():
        fleet.isolated_from_platform.update(readers)


@pytest.mark.parametrize(
    "cut",
    [
        inject_no_fault,
        disable_pushes,
        isolate_data_centre,
        isolate_two_data_centres,
        partition_data_centre,
        isolate_readers,
    ],
)
def test_commit_of_crashed_node_comes_into_force(cut):
    """The node crashes after the commit, before it pushes the revision."""

    async def main():
        fleet = Fleet(12)
        async with fleet.open():
            cut(fleet)
            await fleet.commit("one", 0, FIRST)
            await fleet.wait_for(1)

    curio.run(main)


def isolate_all_but_one(fleet):
    """Isolate every node but one that is no reader from the platform."""
    isolate_readers(fleet)
    isolated = fleet.isolated_from_platform
    names = [name for name, _ in fleet.list_names() if name not in isolated]
    isolated.update(names[1:])


# Guards against changes that come into force only after silence_s, because
# the elected readers are alive but cannot reach the platform.
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("isolate", [isolate_readers, isolate_all_but_one])
def test_nodes_read_for_readers_that_cannot_reach_the_platform(
    isolate, is_silent
):
    cfg = attrs.evolve(FAST_SETTINGS, silence_s=20, check_interval_s=10)

    async def main():
        fleet = Fleet(12, cfg=cfg)
        fleet.is_platform_silent = is_silent
        async with fleet.open():
            isolate(fleet)
            for revision in (1, 2):
                await fleet.commit(
                    str(revision), revision - 1, make_snapshot(revision)
                )
                await fleet.wait_for(revision, CONFIG_APPLY_S)

    curio.run(main)


# Guards against a data centre that gets no change until its own readers have
# detected that the platform is silent for them, although others can read.
@pytest.mark.parametrize("rank", [0, 1])
def test_every_reader_pushes_to_other_data_centres(rank):
    cfg = attrs.evolve(
        FAST_SETTINGS, silence_s=20, check_interval_s=10, platform_timeout_s=10
    )

    async def main():
        fleet = Fleet(12, cfg=cfg)
        fleet.gossip_enabled = False
        fleet.is_platform_silent = True
        async with fleet.open():
            readers = choose_fleet_readers(fleet)
            isolated = {readers[name][rank] for name in ("dc1", "dc2")}
            fleet.isolated_from_platform.update({"dc0", *isolated})
            await fleet.commit("one", 0, FIRST)
            await fleet.wait_for(1, CONFIG_APPLY_S)

    curio.run(main)


def leave_only_push(fleet):
    fleet.gossip_enabled = False
    fleet.isolated_from_platform.update(fleet.data_centres)


def leave_only_gossip(fleet):
    disable_pushes(fleet)
    fleet.isolated_from_platform.update(fleet.data_centres)


def leave_only_readers(fleet):
    fleet.gossip_enabled = False
    disable_pushes(fleet)


def leave_only_remote_data_centres(fleet):
    leave_only_readers(fleet)
    isolate_data_centre(fleet)


@pytest.mark.parametrize(
    ("leave", "check_interval_s"),
    [
        (leave_only_push, 300),
        (leave_only_gossip, 300),
        (leave_only_readers, 0.2),
        (leave_only_remote_data_centres, 0.2),
    ],
)
def test_each_distribution_path_suffices_alone(leave, check_interval_s):
    cfg = attrs.evolve(FAST_SETTINGS, check_interval_s=check_interval_s)

    async def main():
        fleet = Fleet(12, cfg=cfg)
        async with fleet.open():
            leave(fleet)
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            await fleet.wait_for(1)

    curio.run(main)


def test_node_is_behind_until_the_reported_revision_is_adopted():
    async def main():
        fleet = Fleet(2, 1)
        async with fleet.open():
            leave_only_gossip(fleet)
            fleet.gossip_enabled = False
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            committer, behind = fleet.members.values()
            distributor = behind.distributor
            assert not distributor.is_behind
            address = fleet.directory.nodes[0].address
            await distributor.on_mark(committer.holder.mark, address)
            assert distributor.is_behind
            await fleet.wait_for(1)
            assert not distributor.is_behind

    curio.run(main)


def test_unreachable_tree_children_are_skipped():
    """Half of the nodes are unreachable but still listed as alive."""
    cfg = attrs.evolve(FAST_SETTINGS, check_interval_s=300, fan_out=2)

    async def main():
        fleet = Fleet(24, 1, cfg)
        async with fleet.open():
            leave_only_push(fleet)
            reachable = list(fleet.members.values())[::2]
            unreachable = fleet.directory.nodes[1::2]
            for node in unreachable:
                fleet.network.unreachable.add(node.address)
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            await fleet.wait_for(1, among=reachable)

    curio.run(main)


def test_outage_keeps_the_revision_and_recovery_keeps_the_read_budget():
    async def main():
        fleet = Fleet(24)
        async with fleet.open():
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            await fleet.wait_for(1)
            fleet.table.available = fleet.objects.available = False
            with pytest.raises(CommitUnavailableError):
                await fleet.commit("two", 1, make_snapshot(2), "dc0-n0")
            await curio.sleep(2 * fleet.cfg.silence_s)
            members = list(fleet.members.values())
            assert all(m.holder.mark.revision == 1 for m in members)
            assert all(m.distributor.is_ready for m in members)
            fleet.read_times.clear()
            fleet.table.available = fleet.objects.available = True
            await fleet.commit("two", 1, make_snapshot(2))
            await fleet.wait_for(2)
            await curio.sleep(0.5)
            assert fleet.reads <= fleet.cfg.fleet_reads_per_s

    curio.run(main)


INVALID_SNAPSHOT = Snapshot((), (Route("r", "/r", "missing"),))


@pytest.mark.parametrize(
    ("snapshot", "digested_snapshot", "status"),
    [
        (make_snapshot(2), make_snapshot(2), 200),
        (make_snapshot(2), make_snapshot(3), 422),
        (INVALID_SNAPSHOT, INVALID_SNAPSHOT, 422),
    ],
    ids=["good", "digest of other content", "route to a missing service"],
)
def test_push_of_bad_content_is_rejected(snapshot, digested_snapshot, status):
    async def main():
        fleet = Fleet(1, 1)
        async with fleet.open():
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            member = fleet.members["dc0-n0"]
            mark = RevisionMark(
                9, digest_content(dump_snapshot(digested_snapshot))
            )
            push = pb.PushRequest(
                mark=encode_mark(mark), snapshot=dump_snapshot(snapshot)
            )
            request = HttpRequest(b"POST", b"/push", [], b"")
            request.body = push.SerializeToString()
            response = await member.distributor.handle_push(request)
            assert response.status == status
            assert member.holder.mark.revision == (9 if status == 200 else 1)
            assert validate_snapshot(member.holder.current.snapshot) == []

    curio.run(main)


def test_delta_with_wrong_result_requests_the_snapshot():
    """The digest of the delta's result differs from the mark."""

    async def main():
        fleet = Fleet(2, 1)
        async with fleet.open():
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            await fleet.wait_for(1)
            target = fleet.members["dc0-n1"]
            mark = target.holder.mark
            delta = pb.PushRequest().delta
            delta.base_revision, delta.base_digest = 1, mark.digest
            delta.revision, delta.digest = 2, b"other"
            push = pb.PushRequest(mark={"revision": 2, "digest": b"other"})
            push.delta.CopyFrom(delta)
            body = push.SerializeToString()
            response = await target.distributor.handle_push(
                HttpRequest(b"POST", b"/push", [], body)
            )
            push_response = pb.PushResponse.FromString(response.body)
            assert push_response.need_snapshot
            assert target.holder.mark == mark

    curio.run(main)


@pytest.mark.parametrize("corrupt_content", [None, b"", b"\xff\xfe"])
def test_corrupt_object_is_skipped_until_it_is_repaired(corrupt_content):
    async def main():
        fleet = Fleet(6)
        async with fleet.open():
            await fleet.commit("one", 0, FIRST, "dc0-n0")
            await fleet.wait_for(1)
            commit = await fleet.commit("two", 1, make_snapshot(2))
            content = fleet.objects.contents.pop(commit.digest)
            if corrupt_content is not None:
                fleet.objects.contents[commit.digest] = corrupt_content
            members = list(fleet.members.values())
            reads = fleet.reads
            await wait_until(lambda: fleet.reads > reads + 20)
            assert all(m.holder.mark.revision == 1 for m in members)
            fleet.objects.contents[commit.digest] = content
            await fleet.wait_for(2)

    curio.run(main)
