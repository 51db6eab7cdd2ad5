"""Node and network failures: suspicion, refutation, rejoin, repair."""

from datetime import timedelta

import attrs
import pytest

from auburnjunction.membership.records import NodeState
from auburnjunction.membership.tests.support import (
    DATA_CENTRES,
    FAST,
    make_announcement,
    run_cluster,
    wait_until,
)

# Suspicions do not time out, so that no tombstone hides a recovery.
LONG_SUSPICION = attrs.evolve(FAST, suspicion_timeout_s=30.0)


def all_see(observers, member, state):
    return lambda: all(o.state_of(member) is state for o in observers)


def all_except(cluster, member):
    return [m for m in cluster.running if m is not member]


async def wait_gossip_settled(members):
    """Wait until the changes so far are no longer gossiped."""
    stats = [m.membership.stats for m in members]
    ends = [s.exchanges + 12 for s in stats]
    await wait_until(
        lambda: all(
            s.exchanges > end for s, end in zip(stats, ends, strict=True)
        ),
        what="a dozen exchanges of each",
    )


def test_killed_node_is_dead_everywhere():
    async def scenario(cluster):
        victim = cluster[2]
        victim.membership.announce(make_announcement("i2"))
        await cluster.wait_ready({"i2"})
        await cluster.kill(victim)
        dead = all_see(cluster.running, victim, NodeState.DEAD)
        await wait_until(dead, what="the killed node is dead")
        await cluster.wait_ready(set())

    run_cluster(scenario, 6)


@pytest.mark.parametrize("clock_error_s", [0, -3600])
def test_restarted_node_wins_over_its_tombstone(clock_error_s):
    async def scenario(cluster):
        victim = cluster[2]
        await cluster.kill(victim)
        dead = all_see(cluster.running, victim, NodeState.DEAD)
        await wait_until(dead, what="the killed node is dead")
        victim.clock.wall_offset = timedelta(seconds=clock_error_s)
        await cluster.start(victim)
        victim.membership.announce(make_announcement("i2"))
        alive = all_see(cluster.running, victim, NodeState.ALIVE)
        await wait_until(alive, what="the restarted node is alive")
        await cluster.wait_ready({"i2"})

    run_cluster(scenario, 6)


def test_node_reached_through_others_is_not_suspected():
    async def scenario(cluster):
        one, two = cluster[0], cluster[2]
        cluster.network.cut([one], [two])
        stats = one.membership.stats
        await wait_until(
            lambda: stats.indirect_probes >= 6, what="indirect probes"
        )
        assert stats.suspicions == 0
        assert all_see(cluster.running, two, NodeState.ALIVE)()

    run_cluster(scenario, 6)


def test_false_suspicion_is_refuted():
    async def scenario(cluster):
        victim = cluster[2]
        others = all_except(cluster, victim)
        cluster.network.cut_both_ways([victim], others)
        suspected = all_see(
            cluster.list_members("helsinki")[:1], victim, NodeState.SUSPECT
        )
        await wait_until(suspected, what="the node is suspected")
        cluster.network.cuts.clear()
        alive = all_see(others, victim, NodeState.ALIVE)
        await wait_until(alive, what="the node is alive again")
        assert victim.membership.stats.refutations >= 1

    run_cluster(scenario, 6, LONG_SUSPICION)


def test_node_falsely_marked_dead_returns():
    async def scenario(cluster):
        victim = cluster[2]
        others = all_except(cluster, victim)
        cluster.network.cut_both_ways([victim], others)
        await wait_until(
            all_see(others, victim, NodeState.DEAD), what="the node is dead"
        )
        # The isolated node must not mark the other nodes dead.
        assert all(victim.state_of(o) is not NodeState.DEAD for o in others)
        cluster.network.cuts.clear()
        await wait_until(
            all_see(others, victim, NodeState.ALIVE), what="it is back"
        )

    run_cluster(scenario, 6)


def test_leaving_node_that_stops_is_dead_without_suspicion():
    async def scenario(cluster):
        victim = cluster[2]
        victim.membership.set_leaving()
        leaving = all_see(cluster.running, victim, NodeState.LEAVING)
        await wait_until(leaving, what="the node is leaving")
        await cluster.kill(victim)
        dead = all_see(cluster.running, victim, NodeState.DEAD)
        await wait_until(dead, what="the node has left")
        stats = [m.membership.stats for m in cluster.running]
        assert sum(s.suspicions for s in stats) == 0

    run_cluster(scenario, 6, LONG_SUSPICION)


def test_node_that_missed_a_change_is_repaired():
    async def scenario(cluster):
        cut_off = cluster[4]
        others = all_except(cluster, cut_off)
        await wait_gossip_settled(cluster.members)
        cluster.network.cut_both_ways([cut_off], others)
        # On a node of the other data centre, which the cut-off node does
        # not probe: a gossiped suspicion would bring the newer record
        # back without a repair.
        cluster[1].membership.announce(make_announcement("i0"))
        seen = [lambda m=m: m.ready() == {"i0"} for m in others]
        await wait_until(lambda: all(f() for f in seen), what="i0 is ready")
        await wait_gossip_settled(others)
        cluster.network.cuts.clear()
        await cluster.wait_ready({"i0"})

    run_cluster(scenario, 6, LONG_SUSPICION)


@pytest.mark.parametrize("both_ways", [True, False])
def test_partition_between_data_centres_heals(both_ways):
    async def scenario(cluster):
        here, there = (cluster.list_members(name) for name in DATA_CENTRES)
        here[0].membership.announce(make_announcement("old"))
        await cluster.wait_ready({"old"})
        cluster.network.cut(here, there)
        if both_ways:
            cluster.network.cut(there, here)
        unreachable = frozenset({"espoo"})
        await wait_until(
            lambda: all(
                m.membership.unreachable_data_centres == unreachable
                for m in here
            ),
            what="the other data centre is unreachable",
        )
        assert here[1].state_of(there[1]) is NodeState.SUSPECT
        here[1].membership.announce(make_announcement("here"))
        there[1].membership.announce(make_announcement("there"))
        if both_ways:
            await wait_until(lambda: here[2].ready() == {"old", "here"})
            await wait_until(lambda: there[2].ready() == {"old", "there"})
        else:
            await cluster.wait_ready({"old", "here", "there"})
        cluster.network.cuts.clear()
        await cluster.wait_ready({"old", "here", "there"})
        await wait_until(
            all_see(here, there[1], NodeState.ALIVE), what="all are reached"
        )

    run_cluster(scenario, 6)


def test_partition_within_data_centres_heals():
    async def scenario(cluster):
        half, rest = cluster.members[:4], cluster.members[4:]
        cluster.network.cut_both_ways(half, rest)
        for member in rest[:2]:
            observers = [
                m for m in half if m.data_centre == member.data_centre
            ]
            dead = all_see(observers, member, NodeState.DEAD)
            await wait_until(dead, what="the other half is dead")
        cluster.network.cuts.clear()
        for member in cluster.members:
            alive = all_see(cluster.members, member, NodeState.ALIVE)
            await wait_until(alive, what="all are alive")

    run_cluster(scenario, 8)


def test_paused_isolated_node_becomes_current_again():
    async def scenario(cluster):
        paused = cluster[2]
        cluster.network.cut_both_ways([paused], all_except(cluster, paused))
        paused.clock.offset_s += 1.0
        assert not paused.membership.is_current
        await wait_until(
            lambda: paused.membership.is_current, what="it is current"
        )
        assert paused.state_of(cluster[0]) is not NodeState.DEAD

    run_cluster(scenario, 6)


def test_node_at_the_address_of_another_does_not_respond_for_it():
    async def scenario(cluster):
        victim = cluster[2]
        await cluster.kill(victim)
        successor = attrs.evolve(victim, node="n2-again", task=None)
        cluster.members.append(successor)
        await cluster.start(successor)
        running = cluster.running
        await wait_until(
            all_see(running, victim, NodeState.DEAD), what="n2 is dead"
        )
        await wait_until(
            all_see(running, successor, NodeState.ALIVE),
            what="n2-again is alive",
        )

    run_cluster(scenario, 6)


def test_paused_node_is_not_current_until_an_exchange():
    async def scenario(cluster):
        paused = cluster[2]
        assert paused.membership.is_current
        cluster.network.cut_both_ways([paused], all_except(cluster, paused))
        paused.clock.offset_s += 6.0
        assert not paused.membership.is_current
        await wait_until(
            lambda: paused.membership.stats.failed_exchanges > 3,
            what="exchanges fail",
        )
        assert not paused.membership.is_current
        cluster.network.cuts.clear()
        await wait_until(
            lambda: paused.membership.is_current, what="it is current"
        )

    run_cluster(scenario, 6, attrs.evolve(FAST, suspicion_timeout_s=5.0))
