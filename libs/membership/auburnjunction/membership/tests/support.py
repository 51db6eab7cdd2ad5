"""Clusters of memberships over loopback servers, with network faults."""

import itertools
from contextlib import asynccontextmanager
from datetime import datetime, timedelta
from random import Random

import attrs
import curio

from auburnjunction.base.clocks import ManualClock, SystemClock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import NotSentError
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.http.tests.support import LOOPBACK_HOST
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.memberships import Membership, open_membership
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.schema import control_pb2 as pb

HOST = LOOPBACK_HOST
PORTS = itertools.count(20000)
SEED = 20261204
DATA_CENTRES = ("helsinki", "espoo")
FAST = MembershipSettings(
    gossip_min_interval_s=0.04,
    gossip_max_interval_s=0.08,
    exchange_timeout_s=0.3,
    cross_timeout_s=0.3,
    suspicion_timeout_s=0.5,
    unreachable_after_s=0.5,
    check_interval_s=0.02,
    repair_interval_s=0.1,
)


def make_announcement(instance="a-1", **fields):
    values = {
        "instance": instance,
        "service": "orders",
        "address": "127.0.0.1:9000",
        "lease_s": 60.0,
    }
    return Announcement(**(values | fields))


def make_record(node="n0", data_centre="helsinki", **fields):
    values = {
        "address": Address("127.0.0.1", 9001),
        "state": NodeState.ALIVE,
        "incarnation": 1,
        "version": 1,
    }
    return Node(node, data_centre, **(values | fields))


def make_cluster_state(node="n0"):
    """Return the state of a membership without tasks."""
    address = Address(HOST, 9001)
    clock = ManualClock()
    return ClusterState(FAST, node, "helsinki", address, clock, Random(1))


class JumpingClock(SystemClock):
    """Clock that jumps, as after a pause, and may show a wrong date."""

    def __init__(self):
        self.offset_s = 0.0
        self.wall_offset = timedelta()

    def now(self) -> datetime:
        """Return the wall-clock time plus the offset."""
        return super().now() + self.wall_offset

    def monotonic(self) -> float:
        """Return the system's monotonic time plus the jumps."""
        return super().monotonic() + self.offset_s

    def boottime(self) -> float:
        """Return the system's time since boot plus the jumps."""
        return super().boottime() + self.offset_s


@attrs.define
class Network:
    """Faults to inject into the exchanges between members."""

    drop_share: float = 0.0
    duplicate_share: float = 0.0
    max_delay_s: float = 0.0
    only_urgent: bool = False
    cuts: set[tuple[Address, Address]] = attrs.field(factory=set)
    random: Random = attrs.field(factory=lambda: Random(SEED))

    def cut(self, senders, receivers) -> None:
        """Drop all requests of some members to others."""
        self.cuts |= {
            (a.address, b.address) for a in senders for b in receivers
        }

    def cut_both_ways(self, some, others) -> None:
        """Drop all requests between two groups of members."""
        self.cut(some, others)
        self.cut(others, some)


def is_urgent(request) -> bool:
    """Return whether a request is an urgent push."""
    if request.path != "/gossip":
        return False
    return pb.GossipRequest.FromString(request.body).urgent


class FaultyPools(PoolRegistry):
    """Pools of one member that inject the faults of a network."""

    def __init__(self, clock, network: Network, source: Address):
        super().__init__(clock)
        self._network = network
        self._source = source

    def get(self, address):
        """Return a pool that injects the faults."""
        pool = super().get(address)
        return FaultyPool(pool, self._network, (self._source, address))


@attrs.define
class FaultyPool:
    """Pool whose exchanges are dropped, duplicated or delayed."""

    pool: object
    network: Network
    path: tuple[Address, Address]

    async def exchange(self, request, timeout_s, max_idle_s=None):
        """Exchange a request with the injected faults."""
        network = self.network
        draw = network.random.random
        if self.path in network.cuts or draw() < network.drop_share:
            raise NotSentError("lost")
        if network.only_urgent and not is_urgent(request):
            raise NotSentError("lost")
        if draw() < network.duplicate_share:
            await curio.spawn(self._repeat, request, timeout_s, daemon=True)
        await curio.sleep(draw() * network.max_delay_s)
        response = await self.pool.exchange(request, timeout_s, max_idle_s)
        if draw() < network.drop_share:
            raise NotSentError("response lost")
        return response

    async def _repeat(self, request, timeout_s):
        await curio.sleep(self.network.random.random())
        await self.pool.exchange(request, timeout_s)


@attrs.define(eq=False)
class Member:
    """One member of a cluster; membership is None while it is down."""

    node: str
    data_centre: str
    address: Address
    clock: JumpingClock = attrs.field(factory=JumpingClock)
    membership: Membership | None = None
    task: curio.Task | None = None

    def state_of(self, other: "Member") -> NodeState | None:
        """Return the state of another member in the view of this one."""
        for node in self.membership.list_nodes():
            if node.node == other.node:
                return node.state
        return None

    def ready(self, service: str = "orders") -> set[str]:
        """Return the names of ready backend servers."""
        found = self.membership.find_instances(service)
        return {instance.instance for instance in found}


class Cluster:
    """Members in two data centres; the first of each is a seed."""

    def __init__(self, count=4, cfg=FAST, table=None, seeds=2):
        self.network = Network()
        self.table = table
        addresses = reserve_addresses(count)
        seed_addresses = tuple(str(a) for a in addresses[:seeds])
        self.cfg = attrs.evolve(cfg, seeds=seed_addresses)
        self.members = [
            Member(f"n{i}", DATA_CENTRES[i % 2], addresses[i])
            for i in range(count)
        ]

    def __getitem__(self, index: int) -> Member:
        return self.members[index]

    @property
    def running(self) -> list[Member]:
        """Members that are up."""
        return [m for m in self.members if m.membership is not None]

    def list_members(self, data_centre: str) -> list[Member]:
        """Return the members of one data centre."""
        return [m for m in self.members if m.data_centre == data_centre]

    async def start(self, member: Member) -> None:
        """Start or restart a member."""
        ready = curio.Event()
        member.task = await curio.spawn(self._run, member, ready)
        await ready.wait()
        if member.membership is None:
            await member.task.join()

    async def kill(self, member: Member) -> None:
        """Stop a member without announcing that it is leaving."""
        member.membership = None
        await member.task.cancel()

    async def wait_joined(self) -> None:
        """Wait until the views of all running members contain them all."""
        names = {m.node for m in self.running}

        def has_joined():
            return all(
                {n.node for n in m.membership.list_nodes()} >= names
                for m in self.running
            )

        await wait_until(has_joined, what="all members are in every view")

    async def wait_ready(self, names, limit_s=5.0) -> None:
        """Wait until every view has exactly these ready backend servers."""
        await wait_until(
            lambda: all(m.ready() == names for m in self.running),
            limit_s,
            f"ready is {names}",
        )

    async def _run(self, member: Member, ready: curio.Event) -> None:
        try:
            await self._serve(member, ready)
        finally:
            await ready.set()

    async def _serve(self, member: Member, ready: curio.Event) -> None:
        pools = FaultyPools(member.clock, self.network, member.address)
        async with open_member(
            self.cfg,
            member.node,
            member.data_centre,
            member.address,
            member.clock,
            pools,
            self.table,
        ) as membership:
            member.membership = membership
            await ready.set()
            await curio.sleep(3600)


@asynccontextmanager
async def open_cluster(count=4, cfg=FAST, **options):
    """Yield a running cluster after all members have joined."""
    cluster = Cluster(count, cfg, **options)
    try:
        for member in cluster.members:
            await cluster.start(member)
        await cluster.wait_joined()
        yield cluster
    finally:
        for member in cluster.members:
            if member.task is not None:
                await member.task.cancel()


def run_cluster(scenario, count=4, cfg=FAST, **options):
    """Run a scenario against a running cluster."""

    async def main():
        async with open_cluster(count, cfg, **options) as cluster:
            await scenario(cluster)

    curio.run(main)


def reserve_addresses(count: int) -> list[Address]:
    """Return addresses with ports not returned before."""
    return [Address(HOST, next(PORTS)) for _ in range(count)]


@asynccontextmanager
async def open_member(cfg, node, data_centre, address, clock, pools, table):
    """Yield a Membership behind a server at the address."""
    source = Random(f"{SEED}{node}")
    async with open_membership(
        cfg, node, data_centre, address, clock, pools, table, source
    ) as membership:
        handlers = {
            "/gossip": membership.handle_gossip,
            "/probe": membership.handle_probe,
            "/announce": membership.handle_announce,
        }

        async def handle(request):
            handler = handlers.get(request.path)
            return await handler(request) if handler else HttpResponse(404)

        async with open_server(address.host, address.port, handle, clock):
            yield membership
        await pools.close()


async def wait_until(condition, limit_s=5.0, what=""):
    """Wait until a condition holds; fail after limit_s."""
    try:
        async with curio.timeout_after(limit_s):
            while not condition():
                await curio.sleep(0.01)
    except curio.TaskTimeout:
        raise AssertionError(
            f"condition not met within {limit_s} s: {what}"
        ) from None
