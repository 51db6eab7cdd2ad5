"""Distribution over real connections that are lost without a reset."""

from contextlib import asynccontextmanager

import attrs
import curio
import pytest

from auburnjunction.distribution.exchanges import PULL_PATH, PUSH_PATH
from auburnjunction.distribution.settings import DistributionSettings
from auburnjunction.distribution.tests.support import Fleet, make_snapshot
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpRequest
from auburnjunction.http.servers import open_server
from auburnjunction.standins.faults import ForwarderFaults
from auburnjunction.standins.forwarders import open_forwarder
from auburnjunction.standins.tests.support import HOST

# The users' limit from a commit until it is in force on every node.
CONFIG_APPLY_S = 2.0
LONG_S = 60.0
# Pushes and pulls have the default time-outs. Nodes learn of a revision from
# the platform and by pushes only.
SETTINGS = DistributionSettings(
    fleet_size=24,
    fleet_reads_per_s=2000,
    read_interval_s=0.1,
    check_interval_s=LONG_S,
    silence_s=LONG_S,
    start_up_wait_s=1.0,
)


class SeverableFleet(Fleet):
    """A fleet whose nodes exchange messages over loopback connections."""

    def __init__(self, size, cfg, data_centres=3):
        super().__init__(size, data_centres, cfg)
        self.pools = {}
        self.forwarders = {}
        # Number of further pushes to each node that get no response.
        self.lost_pushes = 0
        self._translations = {}

    def make_pools(self, name):
        self.pools[name] = PoolRegistry(self.clock, self._translations)
        return self.pools[name]

    @asynccontextmanager
    async def open_listener(self, address, handler):
        lossy = LossyHandler(self, handler)
        async with (
            open_server(HOST, 0, lossy, self.clock) as server,
            open_forwarder(
                HOST, 0, Address(HOST, server.port), self.clock
            ) as (forwarder, port),
        ):
            self._translations[address] = Address(HOST, port)
            self.forwarders[address] = forwarder
            yield

    async def open_idle_connections(self, count):
        """Open idle connections from each node to each other one."""
        async with curio.TaskGroup() as group:
            for name, pools in self.pools.items():
                for node in self.directory.nodes:
                    if node.node != name:
                        pool = pools.get(node.address)
                        for _ in range(count):
                            await group.spawn(request_pull, pool)

    def sever(self):
        """Make every open connection silent; new ones work."""
        for forwarder in self.forwarders.values():
            forwarder.set_faults(ForwarderFaults(silent=True))

    def cut_off(self, data_centre):
        """Hold back what is sent to the nodes of a data centre."""
        for address, forwarder in self.forwarders.items():
            if address.host.startswith(data_centre):
                forwarder.set_faults(ForwarderFaults(cut="both"))


@attrs.define
class LossyHandler:
    """Leaves the first pushes to one node without effect and response."""

    fleet: SeverableFleet
    handler: object
    lost: int = 0

    async def __call__(self, request):
        if request.target == PUSH_PATH and self.lost < self.fleet.lost_pushes:
            self.lost += 1
            await curio.sleep(LONG_S)
        return await self.handler(request)


async def request_pull(pool):
    request = HttpRequest(b"POST", PULL_PATH, [(b"host", b"t")])
    await pool.exchange(request, LONG_S)


# Guards against changes that come into force late because pushes and pulls
# wait for responses on connections that were lost before.
@pytest.mark.parametrize("idle_connections", [1, 4])
def test_change_is_in_force_in_time_after_a_silent_loss(idle_connections):
    async def main():
        fleet = SeverableFleet(12, SETTINGS)
        async with fleet.open():
            await fleet.commit("one", 0, make_snapshot(1))
            await fleet.wait_for(1)
            fleet.gossip_enabled = False
            await fleet.open_idle_connections(idle_connections)
            fleet.sever()
            await fleet.commit("two", 1, make_snapshot(2))
            await fleet.wait_for(2, CONFIG_APPLY_S)

    curio.run(main)


# Guards against nodes that are left out of a change, because the connection
# was lost on which it was pushed to them.
@pytest.mark.parametrize("size", [2, 6, 12])
def test_push_without_response_is_repeated(size):
    cfg = attrs.evolve(SETTINGS, readers=1)

    async def main():
        fleet = SeverableFleet(size, cfg, data_centres=1)
        async with fleet.open():
            await fleet.commit("one", 0, make_snapshot(1))
            await fleet.wait_for(1)
            fleet.gossip_enabled = False
            fleet.lost_pushes = 1
            await fleet.commit("two", 1, make_snapshot(2))
            await fleet.wait_for(2, CONFIG_APPLY_S)

    curio.run(main)


# Guards against readers that do not read the next change, because they wait
# for pushes to a data centre that is cut off.
def test_readers_read_on_while_a_data_centre_is_cut_off():
    cfg = attrs.evolve(SETTINGS, readers=1)

    async def main():
        fleet = SeverableFleet(12, cfg)
        async with fleet.open():
            fleet.gossip_enabled = False
            fleet.cut_off("dc2")
            members = [
                m for m in fleet.members.values() if m.name[:3] != "dc2"
            ]
            for revision in (1, 2, 3):
                snapshot = make_snapshot(revision)
                await fleet.commit(str(revision), revision - 1, snapshot)
                await fleet.wait_for(revision, CONFIG_APPLY_S, members)

    curio.run(main)
