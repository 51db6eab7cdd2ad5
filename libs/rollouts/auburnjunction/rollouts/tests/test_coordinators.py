"""Roll-outs of coordinators that share a store, without network."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.messages import HttpRequest
from auburnjunction.model.services import Instance, InstanceState
from auburnjunction.rollouts.coordinators import RolloutCoordinator
from auburnjunction.rollouts.orders import (
    Order,
    Phase,
    ReadOrder,
    RolloutAdapters,
    Status,
)
from auburnjunction.rollouts.peers import RolloutPeers
from auburnjunction.rollouts.selectors import FleetVersionSelector
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.statistics import RolloutStats
from auburnjunction.schema import control_pb2 as pb
from auburnjunction.storage.tables import VersionConflictError

SERVICE = "orders"
NAMES = ("a1", "a2", "a3", "b1")
SETTINGS = RolloutSettings(enabled=True)
STEP_S = 0.1


def make_instances(version, started_s):
    return tuple(
        Instance(
            f"{version}-{name}", SERVICE, InstanceState.READY, 3, 0, name,
            name[0], "127.0.0.1", 1, (), started_s * 1000, version,
        )
        for name in NAMES
    )  # fmt: skip


INSTANCES = make_instances("v1", 100) + make_instances("v2", 900)


@attrs.frozen
class Peer:
    """A node as membership lists it."""

    node: str
    data_centre: str
    address: str
    state: int = pb.NODE_STATE_ALIVE


class FixedMembership:
    """All nodes and instances are known to all."""

    def list_nodes(self, _data_centre):
        return [Peer(name, name[0], name) for name in NAMES]

    def find_instances(self, _service):
        return INSTANCES


@attrs.define
class SharedStore:
    """Status rows and the order that every node reads."""

    status: Status = Status(0)
    acceptance: Status = Status(0)
    written: list = attrs.field(factory=list)

    async def read(self, _service, _timeout_s):
        return self.status

    async def write(self, _service, target, phase, expected, _timeout_s):
        if expected != self.status.version:
            raise VersionConflictError("changed", None)
        self.status = Status(expected + 1, phase, target)
        self.written.append(phase)
        return self.status.version

    async def read_acceptance(self, _order, _timeout_s):
        return self.acceptance

    async def write_acceptance(self, order, expected, _timeout_s):
        self.acceptance = Status(expected + 1, Phase.ACCEPTED, order.target)


@attrs.define
class Orders:
    """Orders that one node reads."""

    clock: ManualClock
    orders: list = attrs.field(factory=list)
    era: int = 1

    @property
    def read_s(self):
        return self.clock.monotonic()

    def take(self):
        taken, self.orders = self.orders, []
        return taken


class Group:
    """Runs spawned functions at once."""

    async def spawn(self, func, *args, daemon):
        await func(*args)


class DirectPeers(RolloutPeers):
    """Hands messages over without a network, unless the link is cut."""

    def set_fleet(self, fleet):
        self._fleet = fleet

    async def _send(self, target, message):
        own = self._identity.node
        if self._fleet.is_cut and "b1" in (own, target.node):
            return False
        coordinator = self._fleet.coordinators[target.node]
        request = HttpRequest(b"POST", b"/", [], message.SerializeToString())
        response = await coordinator.handle(request)
        self._merge(pb.RolloutExchange.FromString(response.body))
        return True


class Fleet:
    """Coordinators of all nodes; b1 may be cut off from the others."""

    def __init__(self, is_cut):
        self.is_cut = is_cut
        self.clock = ManualClock()
        self.store = SharedStore()
        self.coordinators = {}
        self.bad_share = 0.0
        self._random = random.Random(4)
        self._orders = {}
        for name in NAMES:
            self._add_node(name)

    def _add_node(self, name):
        rng, stats = random.Random(name), RolloutStats()
        identity = NodeIdentity(name, name[0], NAMES.index(name) + 1, 0.0)
        selector = FleetVersionSelector(identity, SETTINGS, self.clock, rng)
        membership = FixedMembership()
        peers = DirectPeers(
            identity, selector, membership, None, self.clock, rng, stats
        )
        peers.set_fleet(self)
        self._orders[name] = Orders(self.clock)
        adapters = RolloutAdapters(self._orders[name], self.store)
        coordinator = RolloutCoordinator(
            SETTINGS, selector, membership, peers, adapters, self.clock, rng,
            stats,
        )  # fmt: skip
        coordinator._group = Group()
        self.coordinators[name] = coordinator

    def order(self, target="v2", version=5):
        for orders in self._orders.values():
            order = Order(SERVICE, target, 12.0, 1, version)
            orders.orders.append(ReadOrder(order, True))

    def find_state(self, name):
        return self.coordinators[name].selector.find_state(SERVICE)

    async def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            for coordinator in self.coordinators.values():
                self._make_calls(coordinator.selector)
                await coordinator.step()
                await coordinator.exchange()

    def _make_calls(self, selector):
        for _ in range(10):
            found = selector.select(SERVICE, "read", INSTANCES, True)
            instance = self._random.choice(list(found.instances))
            running = selector.start_call(instance)
            is_new = instance.version == "v2"
            is_bad = is_new and self._random.random() < self.bad_share
            selector.end_call(running, "read", True, is_bad, duration_s=0.05)


# Guards against a completion while a node that is cut off from the others,
# but not from the store, still sends requests to the old version, and
# against a verdict that it does not learn of.
@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("bad_share", [0.0, 0.4])
def test_roll_out_over_nodes(is_cut, bad_share):
    async def main():
        fleet = Fleet(is_cut)
        await fleet.run(6.0)
        fleet.bad_share = bad_share
        fleet.order()
        for _ in range(170):
            await fleet.run(STEP_S)
            if fleet.store.status.phase.is_final:
                break
        expected = Phase.ROLLED_BACK if bad_share else Phase.COMPLETED
        assert fleet.store.written == [Phase.RUNNING, expected]
        for name in NAMES:
            share = fleet.find_state(name).share
            assert share == (0.0 if bad_share else 1.0) or bad_share
        # Readers learn of a verdict within a second.
        await fleet.run(1.5)
        for name in NAMES:
            assert fleet.find_state(name).rollout.phase is expected
            assert fleet.find_state(name).share == (0.0 if bad_share else 1.0)

    curio.run(main)


# Guards against an order that is replaced and then given again.
def test_replaced_order_ends_its_roll_out():
    async def main():
        fleet = Fleet(False)
        await fleet.run(6.0)
        fleet.order()
        await fleet.run(3.0)
        fleet.order("v1", version=7)
        await fleet.run(6.0)
        assert fleet.store.status.phase is Phase.COMPLETED
        assert fleet.store.status.target == "v1"
        fleet.order("v2", version=9)
        await fleet.run(16.0)
        assert fleet.store.status.phase is Phase.COMPLETED
        assert fleet.store.status.target == "v2"

    curio.run(main)
