"""Nodes of the distribution bench, run as tasks of a few processes."""

import resource
import time
from contextlib import (
    AsyncExitStack,
    asynccontextmanager,
)
from random import Random

import attrs
import curio
from absl import logging
from distribution_trials import (
    DATA_CENTRES,
    HOST,
    POLL_S,
    ROUND_TRIP_S,
    STEP_S,
    Trial,
    make_snapshot,
)

from auburnjunction.base.clocks import SystemClock
from auburnjunction.distribution.commits import CommitLog
from auburnjunction.distribution.distributors import open_distribution
from auburnjunction.distribution.exchanges import measure_exchange
from auburnjunction.distribution.freshness import ReadFreshness
from auburnjunction.distribution.head_readers import HeadReader
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.sources import CommittedHead
from auburnjunction.distribution.statistics import DistributionStats
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.membership.memberships import open_membership
from auburnjunction.membership.settings import MembershipSettings
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
)
from auburnjunction.standins.faults import PlatformFaults
from auburnjunction.standins.platforms import PlatformServer
from auburnjunction.storage.clients import HttpObjectStore, HttpTable


class Traffic:
    """Bytes of one node's requests and their responses, by kind."""

    def __init__(self):
        self.control = 0
        self.gossip = 0
        self.remote = 0
        self.platform = 0


class MeasuredPool:
    """Connection pool that counts bytes and adds the delay of a link."""

    def __init__(self, pool, traffic: Traffic, kind: str, delay_s: float):
        self._pool = pool
        self._traffic = traffic
        self._kind = kind
        self._delay_s = delay_s

    async def exchange(self, request, timeout_s, max_idle_s=None):
        """Exchange a request and a response and count their bytes."""
        if self._delay_s:
            await curio.sleep(self._delay_s)
        response = await self._pool.exchange(request, timeout_s, max_idle_s)
        self.count(request, response)
        return response

    @asynccontextmanager
    async def lease(self, max_idle_s=None):
        """Yield a connection whose exchanges are counted."""
        async with self._pool.lease(max_idle_s) as conn:
            yield MeasuredConnection(conn, self)

    async def close(self) -> None:
        """Close every idle connection."""
        await self._pool.close()

    def count(self, request, response) -> None:
        """Count the bytes of one exchange."""
        size = measure_exchange(request, response)
        kind = self._kind
        if kind == "peers":
            is_gossip = request.path in ("/gossip", "/probe")
            kind = "gossip" if is_gossip else "control"
        setattr(self._traffic, kind, getattr(self._traffic, kind) + size)
        if self._delay_s:
            self._traffic.remote += size


@attrs.frozen
class MeasuredConnection:
    """Connection whose exchanges its pool counts."""

    conn: object
    pool: MeasuredPool

    async def exchange(self, request, timeout_s):
        """Exchange a request and a response and count their bytes."""
        response = await self.conn.exchange(request, timeout_s)
        self.pool.count(request, response)
        return response


class MeasuredPools:
    """Connection pools of one node.

    The data centre of a peer follows from its port number.
    """

    def __init__(self, trial: Trial, number: int, traffic, kind: str):
        self._pools = PoolRegistry(SystemClock(), max_connections=16)
        self._trial = trial
        self._number = number
        self._traffic = traffic
        self._kind = kind

    def get(self, address: Address) -> MeasuredPool:
        """Return the pool of an address."""
        number = address.port - self._trial.first_port
        is_remote = (number - self._number) % DATA_CENTRES != 0
        is_peer = self._kind == "peers"
        delay_s = ROUND_TRIP_S if is_remote and is_peer else 0.0
        pool = self._pools.get(address)
        return MeasuredPool(pool, self._traffic, self._kind, delay_s)


class BenchNode:
    """One node and the times at which revisions came into force."""

    def __init__(self, trial: Trial, number: int):
        self.trial = trial
        self.number = number
        self.name = f"node-{number:04d}"
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.traffic = Traffic()
        self.applied: list[tuple[int, float]] = []
        self.ready_s = 0.0
        self.holder = SnapshotHolder()
        self.holder.subscribe(self._record_revision)
        self.distributor = None
        self.membership = None

    def _record_revision(self, revised: RevisedSnapshot) -> None:
        self.applied.append((revised.mark.revision, time.monotonic()))

    @asynccontextmanager
    async def open(self):
        """Run the node until the context exits."""
        platform = Address(HOST, self.trial.platform_port)
        pools = MeasuredPools(
            self.trial, self.number, self.traffic, "platform"
        )
        clock = SystemClock()
        table = HttpTable(platform, clock, pools)
        objects = HttpObjectStore(platform, clock, pools)
        if self.trial.mode == "every_node_polls":
            opened = self._open_polling(table, objects, clock)
        else:
            opened = self._open_distribution(table, objects, clock)
        async with opened:
            yield self

    @asynccontextmanager
    async def _open_polling(self, table, objects, clock):
        reader = HeadReader(
            DistributionSettings(),
            CommittedHead(table, objects),
            self.holder,
            ReadFreshness(clock),
            DistributionStats(),
            clock,
        )
        random = Random(self.number)

        async def poll():
            await clock.sleep(random.uniform(0, POLL_S))
            while True:
                await reader.try_read()
                await clock.sleep(POLL_S * random.uniform(0.75, 1.25))

        task = await curio.spawn(poll, daemon=True)
        try:
            yield
        finally:
            await task.cancel()

    @asynccontextmanager
    async def _open_distribution(self, table, objects, clock):
        pools = MeasuredPools(self.trial, self.number, self.traffic, "peers")
        random = Random(self.number)
        address = Address(HOST, self.trial.first_port + self.number)
        seeds = tuple(
            f"{HOST}:{self.trial.first_port + i}" for i in range(DATA_CENTRES)
        )
        async with (
            open_membership(
                MembershipSettings(seeds=seeds),
                self.name,
                self.data_centre,
                address,
                clock,
                pools,
                table,
                random,
            ) as self.membership,
            open_distribution(
                self.trial.cfg,
                self.name,
                self.data_centre,
                self.holder,
                self.membership,
                CommittedHead(table, objects),
                clock,
                pools,
                random,
            ) as self.distributor,
            open_server(HOST, address.port, self._handle, clock),
        ):
            self.membership.mark_source = lambda: self.holder.mark
            self.membership.on_mark = self.distributor.on_mark
            task = await curio.spawn(self._start_up, daemon=True)
            try:
                yield
            finally:
                await task.cancel()

    async def _start_up(self) -> None:
        await self.distributor.start_up()
        while not self.distributor.is_ready:
            await curio.sleep(STEP_S)
        self.ready_s = time.monotonic()

    async def _handle(self, request) -> HttpResponse:
        handlers = {
            "/gossip": self.membership.handle_gossip,
            "/probe": self.membership.handle_probe,
            "/push": self.distributor.handle_push,
            "/pull": self.distributor.handle_pull,
        }
        return await handlers[request.path](request)


class BenchProcess:
    """Runs the nodes of one process and executes the parent's commands."""

    def __init__(self, trial: Trial, process: int, conn):
        self._trial = trial
        self._process = process
        self._conn = conn
        self._nodes: list[BenchNode] = []

    async def run(self) -> None:
        """Execute commands until stop; on restart, open the nodes anew."""
        while True:
            async with AsyncExitStack() as stack:
                self._nodes = [
                    BenchNode(self._trial, number)
                    for number in self._trial.list_node_numbers(self._process)
                ]
                for node in self._nodes:
                    await stack.enter_async_context(node.open())
                if not await self._execute_commands():
                    return

    async def _execute_commands(self) -> bool:
        while True:
            message = await curio.run_in_thread(self._conn.recv)
            if message[0] in ("stop", "restart"):
                self._conn.send(None)
                return message[0] == "restart"
            self._conn.send(await getattr(self, message[0])(*message[1:]))

    async def commit(self, base: int) -> float:
        """Commit a change at the first node; return the time of acceptance."""
        node = self._nodes[0]
        platform = Address(HOST, self._trial.platform_port)
        pools = MeasuredPools(
            self._trial, node.number, node.traffic, "platform"
        )
        clock = SystemClock()
        log = CommitLog(
            HttpTable(platform, clock, pools),
            HttpObjectStore(platform, clock, pools),
            clock,
        )
        snapshot = make_snapshot(base)
        commit = await log.apply(
            f"change-{base}", base, snapshot, "bench", "", 5.0
        )
        accepted_s = time.monotonic()
        if node.distributor is not None:
            revised = RevisedSnapshot(commit.mark, snapshot)
            await node.distributor.publish_commit(revised)
        return accepted_s

    async def report(self) -> list[dict]:
        """Return the state and byte counts of each node."""
        return [
            {
                "applied": node.applied,
                "ready_s": node.ready_s,
                "alive": self._count_alive(node),
                **vars(node.traffic),
            }
            for node in self._nodes
        ]

    async def measure(self) -> dict:
        """Return the processor time and memory of this process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "max_rss_kb": usage.ru_maxrss,
        }

    def _count_alive(self, node: BenchNode) -> int:
        if node.membership is None:
            return self._trial.nodes
        return sum(n.state == 1 for n in node.membership.list_nodes())


def run_process(trial: Trial, process: int, conn) -> None:
    """Run one process of nodes."""
    logging.set_verbosity(logging.FATAL)
    curio.run(BenchProcess(trial, process, conn).run)


def run_platform(port: int, conn) -> None:
    """Run the platform stand-in; respond to messages with its counts."""

    async def main():
        clock = SystemClock()
        server = PlatformServer(clock, PlatformFaults())
        async with open_server(HOST, port, server.handle, clock):
            while True:
                message = await curio.run_in_thread(conn.recv)
                if message == "stop":
                    return
                if message == "reset":
                    server._reads.reset_peak()
                    server._writes.reset_peak()
                conn.send(attrs.asdict(server.stats))

    logging.set_verbosity(logging.FATAL)
    curio.run(main)
