"""A small fleet of distributors connected by an in-memory network."""

from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import attrs
import curio

from auburnjunction.base.clocks import SystemClock
from auburnjunction.distribution.commits import CommitLog
from auburnjunction.distribution.distributors import open_distribution
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.sources import CommittedHead
from auburnjunction.http.clients import Address
from auburnjunction.http.errors import (
    ExchangeError,
    ExchangeTimeoutError,
    NotSentError,
)
from auburnjunction.http.messages import HttpResponse
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    Snapshot,
    sort_snapshot,
)
from auburnjunction.schema import control_pb2 as pb
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable
from auburnjunction.storage.tables import UnavailableError

GOSSIP_INTERVAL_S = 0.1
FAST_SETTINGS = DistributionSettings(
    fleet_size=24,
    fleet_reads_per_s=2000,
    read_interval_s=0.1,
    check_interval_s=0.2,
    silence_s=0.5,
    start_up_wait_s=1.0,
    push_timeout_s=0.3,
    pull_timeout_s=0.3,
    pull_jitter_s=0.02,
    platform_timeout_s=0.3,
)


def make_snapshot(value: int = 0, routes: int = 3) -> Snapshot:
    """Return a valid snapshot that differs by its value."""
    service = Service(f"orders-{value}", ("forms",))
    return sort_snapshot(
        Snapshot(
            (service,),
            tuple(
                Route(f"route-{i}", f"/route/{i}", service.name, (), "forms")
                for i in range(routes)
            ),
        )
    )


def change_snapshot(snapshot: Snapshot, timeout_ms: int) -> Snapshot:
    """Return the snapshot with one route changed."""
    first = attrs.evolve(snapshot.routes[0], timeout_ms=timeout_ms)
    return Snapshot(snapshot.services, (first, *snapshot.routes[1:]))


@attrs.define
class FakeNode:
    """A node as listed by the fake membership."""

    node: str
    data_centre: str
    address: Address
    state: int = pb.NODE_STATE_ALIVE
    revision: int = 0
    link_mbps: int = 0


class Directory:
    """Fake membership whose nodes a test sets."""

    def __init__(self):
        self.nodes: list[FakeNode] = []
        self.is_hidden = False

    def list_nodes(self, data_centre):
        return [
            node
            for node in self.nodes
            if data_centre in (None, node.data_centre) and not self.is_hidden
        ]


class Network:
    """Delivers requests to handlers and injects faults.

    drop_share and duplicate_share are the shares of requests that are
    dropped or duplicated. A duplicate is delayed more than the original,
    so it may arrive after requests that were sent later.
    """

    def __init__(self, random: Random):
        self.handlers = {}
        self.partitions: set[frozenset[str]] = set()
        self.unreachable: set[Address] = set()
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.delay_s = 0.0
        self.pushes_disabled = False
        self._random = random

    async def deliver(self, sender: str, address: Address, request):
        handler = self.handlers.get(address)
        if address in self.unreachable or self.is_partitioned(sender, address):
            handler = None
        if handler is None:
            raise NotSentError(f"no connection to {address}")
        if self.pushes_disabled and request.path == "/push":
            raise NotSentError("pushes are disabled")
        await curio.sleep(self._random.uniform(0, self.delay_s))
        if self._random.random() < self.drop_share:
            raise ExchangeError("request dropped")
        if self._random.random() < self.duplicate_share:
            await curio.spawn(
                self._deliver_duplicate, handler, request, daemon=True
            )
        return await handler(request)

    async def _deliver_duplicate(self, handler, request) -> None:
        await curio.sleep(self._random.uniform(0, 10 * self.delay_s))
        await handler(request)

    def is_partitioned(self, sender: str, address: Address) -> bool:
        return frozenset((sender, address.host[:3])) in self.partitions


@attrs.define
class FakePools:
    """Connection pools of one node on the in-memory network."""

    data_centre: str
    network: Network

    def get(self, address: Address):
        return FakePool(self.data_centre, self.network, address)


@attrs.define
class FakePool:
    """Connection pool to one address."""

    data_centre: str
    network: Network
    address: Address

    async def exchange(self, request, timeout_s, max_idle_s=None):
        try:
            async with curio.timeout_after(timeout_s):
                return await self.network.deliver(
                    self.data_centre, self.address, request
                )
        except curio.TaskTimeout as exc:
            raise ExchangeTimeoutError(
                f"no response within {timeout_s} s"
            ) from exc


@attrs.define
class LocalTable:
    """The platform's table as seen by one node."""

    fleet: "Fleet"
    node: str

    async def get(self, key, timeout_s):
        """Read a row, unless the node or its data centre is isolated."""
        self.fleet.read_times.append(self.fleet.clock.monotonic())
        if {self.node, self.node[:3]} & self.fleet.isolated_from_platform:
            if self.fleet.is_platform_silent:
                await curio.sleep(timeout_s)
            raise UnavailableError("isolated from the platform")
        return await self.fleet.table.get(key, timeout_s)


@attrs.define
class Member:
    """One node of the fleet, and the snapshots it adopted."""

    name: str
    holder: SnapshotHolder
    distributor: object
    history: list = attrs.field(factory=list)


class Fleet:
    """Distributors of several data centres that share a platform."""

    def __init__(self, size, data_centres=3, cfg=FAST_SETTINGS, seed=1):
        self.size = size
        self.cfg = cfg
        self.random = Random(seed)
        self.network = Network(self.random)
        self.directory = Directory()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.clock = SystemClock()
        self.log = CommitLog(self.table, self.objects, self.clock)
        self.members: dict[str, Member] = {}
        self.isolated_from_platform: set[str] = set()
        # Whether reads of isolated nodes time out instead of failing at once.
        self.is_platform_silent = False
        self.read_times: list[float] = []
        self.gossip_enabled = True
        self.data_centres = [f"dc{i}" for i in range(data_centres)]

    @property
    def reads(self) -> int:
        """Number of reads of the platform by all nodes."""
        return len(self.read_times)

    def list_names(self):
        count = len(self.data_centres)
        return [
            (f"{self.data_centres[i % count]}-n{i}", i)
            for i in range(self.size)
        ]

    @asynccontextmanager
    async def open(self, start_up=True):
        async with AsyncExitStack() as stack:
            for name, index in self.list_names():
                await stack.enter_async_context(self.open_member(name, index))
            gossip = await curio.spawn(self._gossip, daemon=True)
            stack.push_async_callback(gossip.cancel)
            if start_up:
                await self.start_all()
            yield self

    async def start_all(self):
        async with curio.TaskGroup() as group:
            for member in self.members.values():
                await group.spawn(member.distributor.start_up)

    @asynccontextmanager
    async def open_member(self, name, index):
        holder = SnapshotHolder()
        history = []
        holder.subscribe(history.append)
        address = Address(name, index + 1)
        node = FakeNode(name, name[:3], address)
        self.directory.nodes.append(node)
        async with open_distribution(
            self.cfg,
            name,
            name[:3],
            holder,
            self.directory,
            CommittedHead(LocalTable(self, name), self.objects),
            self.clock,
            self.make_pools(name),
            Random(index),
        ) as distributor:
            self.members[name] = Member(name, holder, distributor, history)
            try:
                async with self.open_listener(address, Router(distributor)):
                    yield self.members[name]
            finally:
                self.directory.nodes.remove(node)
                del self.members[name]

    def make_pools(self, name):
        """Return the connection pools of a node."""
        return FakePools(name[:3], self.network)

    @asynccontextmanager
    async def open_listener(self, address, handler):
        """Serve requests to a node until the block ends."""
        self.network.handlers[address] = handler
        try:
            yield
        finally:
            del self.network.handlers[address]

    async def _gossip(self):
        """Pass the mark of a random node to each node periodically."""
        while True:
            await curio.sleep(GOSSIP_INTERVAL_S)
            for member in list(self.members.values()) * self.gossip_enabled:
                node = self.random.choice(self.directory.nodes)
                other = self.members[node.node]
                if not self.network.is_partitioned(
                    member.name[:3], node.address
                ):
                    mark = other.holder.mark
                    await member.distributor.on_mark(mark, node.address)

    async def commit(self, operation_id, base, snapshot, publisher=None):
        """Commit, and publish through the given node, if any."""
        commit = await self.log.apply(
            operation_id, base, snapshot, "operator", "", 2.0
        )
        if publisher is not None:
            revised = RevisedSnapshot(commit.mark, snapshot)
            await self.members[publisher].distributor.publish_commit(revised)
        return commit

    async def wait_for(self, revision, timeout_s=5.0, among=None):
        """Wait until the nodes have adopted the revision or a higher one."""
        members = among or list(self.members.values())
        await wait_until(
            lambda: all(
                member.holder.mark.revision >= revision for member in members
            ),
            timeout_s,
        )


@attrs.define
class Router:
    """Dispatches requests to the handler of their path."""

    distributor: object

    async def __call__(self, request) -> HttpResponse:
        if request.path == "/push":
            return await self.distributor.handle_push(request)
        return await self.distributor.handle_pull(request)


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds; raise TaskTimeout after timeout_s."""
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.005)
