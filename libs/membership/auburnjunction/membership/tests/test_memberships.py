"""Announcements, gossip and leaving over loopback servers."""

import attrs
import orjson
import pytest

from auburnjunction.http.messages import HttpRequest
from auburnjunction.membership.errors import UnknownInstanceError
from auburnjunction.membership.records import NodeState
from auburnjunction.membership.tests.support import (
    make_announcement,
    run_cluster,
    wait_until,
)
from auburnjunction.model.services import InstanceState
from auburnjunction.model.snapshots import RevisionMark


def test_every_view_has_all_nodes_and_backend_servers():
    async def scenario(cluster):
        for index, member in enumerate(cluster.members):
            member.membership.announce(make_announcement(f"i{index}"))
        await cluster.wait_ready({f"i{n}" for n in range(4)})
        first = cluster[0].membership
        assert len(first.list_nodes()) == 4
        assert len(first.list_nodes("espoo")) == 2
        found = first.find_instance("i3")
        assert (found.node, found.data_centre) == ("n3", "espoo")
        instances = first.find_instances("orders")
        assert first.find_instances("orders") is instances

    run_cluster(scenario)


def drain(member):
    member.set_draining("i0", True)


def announce_leaving(member):
    member.announce(make_announcement("i0", state="leaving"))


def announce_gone(member):
    member.announce(make_announcement("i0", state="gone"))


def leave(member):
    member.set_leaving()


@pytest.mark.parametrize(
    "act", [drain, announce_leaving, announce_gone, leave]
)
def test_leaving_is_published_to_all_nodes(act):
    async def scenario(cluster):
        cluster[0].membership.announce(make_announcement("i0"))
        cluster[1].membership.announce(make_announcement("i1"))
        await cluster.wait_ready({"i0", "i1"})
        act(cluster[0].membership)
        await cluster.wait_ready({"i1"}, 3.0)

    run_cluster(scenario)


def test_undrained_backend_server_is_ready_again():
    async def scenario(cluster):
        owner = cluster[0].membership
        owner.announce(make_announcement("i0"))
        await cluster.wait_ready({"i0"})
        with pytest.raises(UnknownInstanceError):
            cluster[1].membership.set_draining("i0", True)
        owner.set_draining("i0", True)
        owner.announce(make_announcement("i0"))
        await cluster.wait_ready(set())
        owner.set_draining("i0", False)
        await cluster.wait_ready({"i0"})

    run_cluster(scenario)


def test_backend_server_with_expired_lease_is_gone_everywhere():
    async def scenario(cluster):
        owner = cluster[0].membership
        owner.announce(make_announcement("i0", lease_s=0.5))
        await cluster.wait_ready({"i0"})
        await cluster.wait_ready(set())
        found = cluster[3].membership.find_instance("i0")
        assert found.state is InstanceState.GONE

    run_cluster(scenario)


def test_higher_revision_of_a_peer_is_reported():
    async def scenario(cluster):
        marks = []

        async def on_mark(mark, address):
            marks.append((mark, address))

        mark = RevisionMark(7, b"digest")
        cluster[0].membership.on_mark = on_mark
        cluster[2].membership.mark_source = lambda: mark
        await wait_until(lambda: marks, what="a mark is received")
        assert marks[0] == (mark, cluster[2].address)

        def has_revision():
            nodes = cluster[1].membership.list_nodes()
            return {n.node: n.revision for n in nodes}["n2"] == 7

        await wait_until(has_revision, what="n1 has the revision of n2")

    run_cluster(scenario)


def test_listeners_are_called_on_change():
    async def scenario(cluster):
        calls = []
        cluster[1].membership.subscribe(lambda: calls.append(1))
        cluster[0].membership.announce(make_announcement("i0"))
        await cluster.wait_ready({"i0"})
        assert calls

    run_cluster(scenario)


@pytest.mark.parametrize(
    ("changes", "status", "part"),
    [
        ({}, 200, b'"state":"ready"'),
        ({"state": "asleep"}, 400, b'"field":"state"'),
        ({"lease_s": 0}, 400, b'"field":"lease_s"'),
        ({"address": "nowhere"}, 400, b'"field":"address"'),
        ({"colour": 1}, 400, b'"field":"colour"'),
    ],
)
def test_announcement_over_http(changes, status, part):
    async def scenario(cluster):
        values = attrs.asdict(make_announcement("i0")) | changes
        body = orjson.dumps(values)
        request = HttpRequest(b"POST", b"/announce", [], body)
        response = await cluster[0].membership.handle_announce(request)
        assert response.status == status
        assert part in response.body

    run_cluster(scenario, 1)


def test_node_state_is_gossiped():
    async def scenario(cluster):
        cluster[0].membership.set_leaving()
        await wait_until(
            lambda: cluster[3].state_of(cluster[0]) is NodeState.LEAVING,
            3.0,
            "n0 is leaving",
        )

    run_cluster(scenario)
