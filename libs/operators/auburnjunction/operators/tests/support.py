"""An administration server on in-memory storage, for tests."""

import asyncio
from contextlib import asynccontextmanager

import curio

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.distribution.commits import CommitLog
from auburnjunction.http.clients import Address
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.operators.backends import NodeAdministration
from auburnjunction.operators.servers import open_operators_server
from auburnjunction.schema import control_pb2 as pb
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable


def make_snapshot(timeout_ms: int = 500) -> Snapshot:
    """Return a valid snapshot whose content varies with the timeout."""
    route = Route("pay", "/pay", "billing", timeout_ms=timeout_ms)
    return Snapshot((Service("billing"),), (route,))


class FakeNode:
    """Fake directory, drainer and commit publisher of one node."""

    def __init__(self):
        self.revision = 0
        self.instance = pb.InstanceRecord(
            instance="billing-1",
            service="billing",
            state=pb.INSTANCE_STATE_READY,
            slots=6,
        )

    def list_records(self):
        return [
            pb.NodeRecord(
                node="n1",
                data_centre="dc1",
                state=pb.NODE_STATE_ALIVE,
                revision=self.revision,
                instances=[self.instance],
            )
        ]

    async def drain(self, instance, drain):
        if instance != self.instance.instance:
            raise AuburnError(
                f"no backend server {instance}", ErrorCode.NOT_FOUND
            )
        leaving, ready = pb.INSTANCE_STATE_LEAVING, pb.INSTANCE_STATE_READY
        self.instance.state = leaving if drain else ready
        return self.instance

    async def publish_commit(self, revised):
        self.revision = revised.mark.revision


class Administration:
    """The server under test, with its fakes and its address."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.node = FakeNode()
        log = CommitLog(self.table, self.objects, SystemClock())
        self.backend = NodeAdministration(log, self.node, self.node, self.node)
        self.address = None

    @asynccontextmanager
    async def open(self):
        async with open_operators_server(
            "127.0.0.1", 0, self.backend
        ) as server:
            self.address = Address("127.0.0.1", server.port)
            yield self


def run_with_server(function):
    """Run an asyncio coroutine function against a server run by curio."""
    administration = Administration()

    async def main():
        async with administration.open():
            await curio.run_in_thread(asyncio.run, function(administration))

    curio.run(main)
