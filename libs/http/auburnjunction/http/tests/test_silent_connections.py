"""Connections that are lost without a reset, while new ones work."""

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.errors import ExchangeTimeoutError
from auburnjunction.http.tests.support import (
    LONG_ENOUGH_S,
    REQUEST,
    open_silent_peer,
)

TIMEOUT_S = 0.1
POOLS = PoolRegistry(SystemClock())


async def open_idle(pool, count):
    """Open idle connections by that many exchanges at a time."""
    async with curio.TaskGroup() as group:
        for _ in range(count):
            await group.spawn(pool.exchange, REQUEST, LONG_ENOUGH_S)
    assert pool.idle_count == count


# Guards against time-outs that leave open whether a connection was lost or
# the peer was slow.
@pytest.mark.parametrize(
    ("connections", "origin"),
    [(0, "a new connection"), (1, "a connection idle for 0.")],
)
def test_time_out_names_the_origin_of_the_connection(connections, origin):
    async def main():
        async with open_silent_peer(POOLS) as (peer, pool):
            await open_idle(pool, connections)
            peer.severed = 1
            with pytest.raises(ExchangeTimeoutError) as caught:
                await pool.exchange(REQUEST, TIMEOUT_S)
            assert origin in caught.value.message

    curio.run(main)


# Guards against lost connections that cost one time-out each, although they
# were lost at the same moment.
@pytest.mark.parametrize("connections", [1, 2, 5])
def test_one_time_out_discards_all_connections_that_were_idle(connections):
    async def main():
        async with open_silent_peer(POOLS) as (peer, pool):
            await open_idle(pool, connections)
            peer.sever()
            with pytest.raises(ExchangeTimeoutError):
                await pool.exchange(REQUEST, TIMEOUT_S)
            response = await pool.exchange(REQUEST, LONG_ENOUGH_S)
            assert response.body == b"ok"
            assert pool.idle_count == 1
            assert peer.accepted == connections + 1

    curio.run(main)


# Guards against the loss of connections that a peer answers on, because it
# answers one request too late.
def test_connections_used_during_the_time_out_are_kept():
    async def main():
        async with open_silent_peer(POOLS) as (peer, pool):
            await open_idle(pool, 3)
            peer.slow_requests.add(peer.requests)
            late = await curio.spawn(pool.exchange, REQUEST, TIMEOUT_S)
            await curio.sleep(0)
            while peer.requests < 4:
                await curio.sleep(0.001)
            await pool.exchange(REQUEST, LONG_ENOUGH_S)
            with pytest.raises(curio.TaskError):
                await late.join()
            assert pool.idle_count == 1

    curio.run(main)


# Guards against the closing of sound connections because a caller has left.
def test_cancelled_exchange_keeps_idle_connections():
    async def main():
        async with open_silent_peer(POOLS) as (peer, pool):
            await open_idle(pool, 2)
            peer.slow_requests.add(peer.requests)
            task = await curio.spawn(pool.exchange, REQUEST, LONG_ENOUGH_S)
            while peer.requests < 3:
                await curio.sleep(0.001)
            await task.cancel()
            assert pool.idle_count == 1

    curio.run(main)
