"""Quotas of organisations at a running node."""

import attrs
import curio
import pytest

from auburnjunction.model.organisations import Organisation, digest_key
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
KEY = b"key-of-acme"
ACME = Organisation("acme", (digest_key(KEY),), rate_per_s=2.0)
QUOTA = 4
WITH_KEY = [(b"authorization", b"Bearer " + KEY)]


def make_snapshot():
    """Return a snapshot whose routes need no key but accept one."""
    routes = tuple(
        attrs.evolve(route, allow_anonymous=True) for route in SNAPSHOT.routes
    )
    return attrs.evolve(SNAPSHOT, routes=routes, organisations=(ACME,))


@pytest.mark.parametrize(
    ("settings", "headers", "served"),
    [
        pytest.param(SETTINGS, WITH_KEY, QUOTA, id="over the quota"),
        pytest.param(SETTINGS, [], 10, id="without an organisation"),
        pytest.param({}, WITH_KEY, 10, id="quotas disabled"),
    ],
)
def test_requests_over_the_quota_are_refused(settings, headers, served):
    async def main():
        async with (
            open_test_node(FIRST_PORT, organisations=settings) as opened,
            open_backend() as backend,
            curio.timeout_after(20),
        ):
            cfg, node, platform = opened
            await announce_slots(cfg.admin_port, "box-1", backend.port, 20)
            await curio.sleep(MIN_FRESH_S + 0.2)
            await commit(platform, make_snapshot())
            while node._components.holder.current is None:
                await curio.sleep(0.05)
            # Two ticks of quotas.
            await curio.sleep(1.2)
            responses = [
                await send(cfg.caller_port, "GET", "/boxes/1", b"", headers)
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
