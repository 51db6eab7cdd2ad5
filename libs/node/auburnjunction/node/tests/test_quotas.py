"""Quotas of organisations at a running node."""

import attrs
import curio
import pytest

from auburnjunction.model.organisations import Organisation
from auburnjunction.node.tests.support import (
    SNAPSHOT,
    announce_slots,
    commit,
    open_backend,
    open_test_node,
    send,
)
from auburnjunction.organisations.quotas import MIN_FRESH_S

FIRST_PORT = 18_950
# 2 requests a second in a window of 2 s.
SETTINGS = {"quota_window_s": 2.0, "fresh_start": True}
ACME = Organisation("acme", rate_per_s=2.0)
QUOTA = 4


def set_organisation(node, name):
    """Let each call be one of an organisation."""
    router = node._components.entry._router
    route_request = router.route_request

    def route(*args):
        routed = route_request(*args)
        call = attrs.evolve(routed.call, organisation=name)
        return attrs.evolve(routed, call=call)

    router.route_request = route


@pytest.mark.parametrize(
    ("settings", "name", "served"),
    [
        pytest.param(SETTINGS, "acme", QUOTA, id="over the quota"),
        pytest.param(SETTINGS, "", 10, id="without an organisation"),
        pytest.param({}, "acme", 10, id="quotas disabled"),
    ],
)
def test_requests_over_the_quota_are_refused(settings, name, served):
    async def main():
        async with (
            open_test_node(FIRST_PORT, organisations=settings) as opened,
            open_backend() as backend,
            curio.timeout_after(20),
        ):
            cfg, node, platform = opened
            set_organisation(node, name)
            await announce_slots(cfg.admin_port, "box-1", backend.port, 20)
            await curio.sleep(MIN_FRESH_S + 0.2)
            snapshot = attrs.evolve(SNAPSHOT, organisations=(ACME,))
            await commit(platform, snapshot)
            while node._components.holder.current is None:
                await curio.sleep(0.05)
            # Two ticks of quotas.
            await curio.sleep(1.2)
            responses = [
                await send(cfg.caller_port, "GET", "/boxes/1")
                for _ in range(10)
            ]
            statuses = [response.status for response in responses]
            assert statuses.count(200) == served, statuses
            refused = [r for r in responses if r.status != 200]
            assert {r.status for r in refused} <= {429}
            assert all(
                0 < float(r.header(b"retry-after")) < 4 for r in refused
            )

    curio.run(main)
