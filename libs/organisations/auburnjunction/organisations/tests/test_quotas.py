"""Exchanges about quotas between nodes over loopback."""

import random
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.http.tests.support import LOOPBACK_HOST
from auburnjunction.membership.records import Node, NodeState
from auburnjunction.model.organisations import Organisation
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.organisations.errors import QuotaExceededError
from auburnjunction.organisations.exchanges import (
    LEDGER_TARGET,
    REPORT_TARGET,
)
from auburnjunction.organisations.quotas import MIN_FRESH_S, open_quotas
from auburnjunction.organisations.settings import OrganisationSettings

SETTINGS = OrganisationSettings(
    quota_window_s=5.0, quota_overage=0.1, quota_slack=3.0, fresh_start=True
)
ACME = Organisation("acme", rate_per_s=10.0, burst=10.0)
UNLIMITED = Organisation("mill")
# Half of the 9 requests beyond the quota is shared equally, rounded down.
LEASED, BOUND = 65, 69
CLOCK = SystemClock()
FIRST_PORT = 18_900


@attrs.define
class FixedView:
    """Membership and configuration that a test sets."""

    nodes: list[Node]
    current: RevisedSnapshot | None = None
    unreachable_data_centres: frozenset = frozenset()
    listeners: list = attrs.field(factory=list)

    def subscribe(self, listener):
        self.listeners.append(listener)

    def set_leaving(self, index):
        node = attrs.evolve(self.nodes[index], state=NodeState.LEAVING)
        self.nodes[index] = node
        for listener in self.listeners:
            listener()

    def list_nodes(self):
        return self.nodes


def make_view(count):
    return FixedView(
        [
            Node(
                f"n{index}",
                f"dc-{index}",
                Address(LOOPBACK_HOST, FIRST_PORT + index),
                NodeState.ALIVE,
                incarnation=1,
                version=1,
            )
            for index in range(count)
        ]
    )


@asynccontextmanager
async def open_fleet(count, answering):
    """Yield quotas of nodes; those from answering on get no messages."""
    view = make_view(count)
    fleet = []
    async with AsyncExitStack() as stack:
        for index, node in enumerate(view.nodes):
            pools = PoolRegistry(CLOCK, max_connections=4)
            quotas = await stack.enter_async_context(
                open_quotas(
                    node.node,
                    SETTINGS,
                    CLOCK,
                    view,
                    view,
                    pools,
                    random.Random(index),
                )
            )
            fleet.append(quotas)
            if index < answering:
                handler = make_handler(quotas)
                await stack.enter_async_context(
                    open_server(
                        LOOPBACK_HOST, FIRST_PORT + index, handler, CLOCK
                    )
                )
        await curio.sleep(MIN_FRESH_S + 0.1)
        snapshot = Snapshot(organisations=(ACME, UNLIMITED))
        view.current = RevisedSnapshot(RevisionMark(1, b"d"), snapshot)
        # Two ticks: the first adopts the roles, the second has contacts.
        await curio.sleep(1.2)
        yield fleet


def make_handler(quotas):
    handlers = {
        REPORT_TARGET: quotas.handle_reports,
        LEDGER_TARGET: quotas.handle_ledgers,
    }

    async def handle(request):
        handler = handlers.get(request.target)
        return await handler(request) if handler else HttpResponse(404)

    return handle


async def charge_all(fleet, count):
    """Return charges and errors of requests, in turn at all nodes."""
    charges, errors = [], []

    async def charge(quotas):
        try:
            charges.append((quotas, await quotas.charge("acme")))
        except QuotaExceededError as exc:
            errors.append(exc)

    async with curio.TaskGroup() as group:
        for index in range(count):
            await group.spawn(charge, fleet[index % len(fleet)])
    return charges, errors


def run(test, count=3, answering=3):
    async def main():
        async with (
            open_fleet(count, answering) as fleet,
            curio.timeout_after(10),
        ):
            await test(fleet)

    curio.run(main)


def test_nodes_spend_the_quota_and_no_more():
    async def test(fleet):
        charges, errors = await charge_all(fleet, 150)
        assert LEASED <= len(charges) <= BOUND
        assert len(charges) + len(errors) == 150
        assert all(0 < error.retry_after_s < 10 for error in errors)
        assert "acme" in errors[0].message
        # The others are not asked again for each further request.
        before = sum(quotas.stats.exchanges for quotas in fleet)
        assert not (await charge_all(fleet, 150))[0]
        after = sum(quotas.stats.exchanges for quotas in fleet)
        assert after - before < 10

    run(test)


def test_refunds_make_room():
    async def test(fleet):
        charges, _ = await charge_all(fleet, 150)
        for quotas, charge in charges[:30]:
            quotas.refund(charge)
            # A charge is taken back once.
            quotas.refund(charge)
        await curio.sleep(1.2)
        again, _ = await charge_all(fleet, 150)
        assert 25 <= len(again) <= 30

    run(test)


def test_leaving_node_hands_its_ledger_over():
    """Guards against a second quota from the next home node, and none."""

    async def test(fleet):
        spent, _ = await charge_all(fleet, 40)
        index = int(fleet[0]._roster.find_home("acme")[1:])
        leaving = fleet.pop(index)
        leaving._snapshots.set_leaving(index)
        await leaving.leave(5.0)
        assert leaving.stats.ledgers_handed_over == 1
        more, _ = await charge_all(fleet, 150)
        assert LEASED - 5 <= len(spent) + len(more) <= BOUND

    run(test)


def test_node_without_the_others_has_its_part_only():
    async def test(fleet):
        charges, errors = await charge_all(fleet[:1], 50)
        # 4 requests for 3 nodes.
        assert 1 <= len(charges) <= 2
        assert errors

    run(test, answering=0)


@pytest.mark.parametrize("name", ["mill", "unknown", ""])
def test_without_a_quota_nothing_is_charged(name):
    async def test(fleet):
        for _ in range(100):
            assert await fleet[0].charge(name) is None
        assert fleet[0].stats.exchanges < 10

    run(test)
