"""Connections that carry calls between nodes."""

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.tests.support import (
    LONG_ENOUGH_S,
    REQUEST,
    open_silent_peer,
)
from auburnjunction.traffic.call_forwarders import make_pools
from auburnjunction.traffic.routing_settings import RoutingSettings


# Guards against calls that wait for their deadline on connections that were
# lost, without a reset, while they were idle.
@pytest.mark.parametrize("idle_s", [1.5, 7.0, 25.0])
def test_calls_use_no_connection_that_was_idle_for_long(idle_s):
    async def main():
        clock = ManualClock()
        pools = make_pools(RoutingSettings(), clock)
        async with open_silent_peer(pools) as (peer, pool):
            await pool.exchange(REQUEST, LONG_ENOUGH_S)
            peer.sever()
            clock.advance(idle_s)
            response = await pool.exchange(REQUEST, LONG_ENOUGH_S)
            assert response.body == b"ok"

    curio.run(main)
