"""Pools of HTTP/1.1 client connections."""

import math
from collections import deque
from contextlib import asynccontextmanager

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.http.addresses import Address, parse_address
from auburnjunction.http.client_connections import (
    ClientConnection,
    ResponsePredicate,
    accept_any_response,
    connect,
)
from auburnjunction.http.errors import NotSentError
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.permits import Permits, WaitPredicate
from auburnjunction.http.resources import ProcessResources

__all__ = [
    "Address",
    "ClientConnection",
    "ConnectionPool",
    "PoolRegistry",
    "connect",
    "parse_address",
]


class ConnectionPool:
    """Pool of connections to one address.

    Each connection carries one exchange at a time. Connections may be lost
    without a reset, mostly all of a peer at once: after a time-out on a
    reused connection, only those that have been used since the exchange
    started are kept.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        *,
        max_connections: int = 64,
        idle_limit_s: float = 30.0,
        connect_timeout_s: float = 1.0,
        limits: MessageLimits | None = None,
        resources: ProcessResources | None = None,
        is_local: bool = False,
    ):
        self._resources = resources
        self._is_local = is_local
        self.address = address
        self._clock = clock
        self._idle_limit_s = idle_limit_s
        self._connect_timeout_s = connect_timeout_s
        self._limits = limits
        self._idle: deque[ClientConnection] = deque()
        self._max_connections = max_connections
        self._permits = Permits(max_connections)

    @property
    def idle_count(self) -> int:
        """Number of idle connections in the pool."""
        return len(self._idle)

    @asynccontextmanager
    async def lease(
        self,
        max_idle_s: float | None = None,
        timeout_s: float | None = None,
    ):
        """Yield a connection and return it to the pool afterwards.

        A connection that is not reusable is closed instead. Connections
        idle for longer than max_idle_s (by default the pool's limit) are
        closed and not used. Raise NotSentError if no connection is
        available within timeout_s, WaitRefusedError if refuse_waits() ends
        the wait.
        """
        start_s = self._clock.monotonic()
        await self._acquire_permit(timeout_s)
        try:
            if timeout_s is not None:
                timeout_s -= self._clock.monotonic() - start_s
            conn = await self._acquire_connection(max_idle_s, timeout_s)
            start_s = self._clock.monotonic()
            try:
                yield conn
            finally:
                await self._release_connection(conn)
                if conn.may_be_severed:
                    await self._close_unused_since(start_s)
        finally:
            await self._permits.release()

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        max_idle_s: float | None = None,
        is_own_response: ResponsePredicate = accept_any_response,
    ) -> HttpResponse:
        """Send a request on a pooled connection.

        timeout_s covers the wait for a connection too. See
        ClientConnection.exchange().
        """
        end_s = self._clock.monotonic() + timeout_s
        async with self.lease(max_idle_s, timeout_s) as conn:
            remaining_s = max(0.0, end_s - self._clock.monotonic())
            return await conn.exchange(request, remaining_s, is_own_response)

    @property
    def is_unused(self) -> bool:
        """Whether no connection is open or being opened."""
        return not self._idle and self._permits.are_unused

    async def refuse_waits(self, may_wait: WaitPredicate) -> None:
        """Refuse the waits for a connection that may not go on.

        may_wait is given the monotonic time until which each would last.
        """
        await self._permits.refuse_waits(may_wait)

    async def sweep(self) -> None:
        """Close connections that idled too long or are not reusable."""
        kept: deque[ClientConnection] = deque()
        expired = []
        while self._idle:
            conn = self._idle.popleft()
            is_usable = self._is_usable(conn, self._idle_limit_s)
            (kept if is_usable else expired).append(conn)
        self._idle = kept
        for conn in expired:
            await conn.close()

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._idle.pop().close()

    async def _close_unused_since(self, time_s: float) -> None:
        """Close the idle connections that were last used before a time."""
        kept = deque(c for c in self._idle if c.last_used_s >= time_s)
        unused = [c for c in self._idle if c.last_used_s < time_s]
        self._idle = kept
        for conn in unused:
            await conn.close()

    async def _acquire_permit(self, timeout_s: float | None) -> None:
        limit_s = math.inf
        if timeout_s is not None:
            limit_s = self._clock.monotonic() + timeout_s
        try:
            await self._permits.acquire(timeout_s, limit_s)
        except curio.TaskTimeout as exc:
            raise NotSentError(
                f"all {self._max_connections} connections to "
                f"{self.address} in use for {timeout_s:.3f} s"
            ) from exc

    async def _acquire_connection(
        self, max_idle_s: float | None, timeout_s: float | None
    ) -> ClientConnection:
        idle_limit_s = self._idle_limit_s if max_idle_s is None else max_idle_s
        while self._idle:
            conn = self._idle.pop()
            if self._is_usable(conn, idle_limit_s):
                return conn
            await conn.close()
        connect_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_s = max(0.0, min(connect_s, timeout_s))
        return await connect(
            self.address,
            self._clock,
            connect_s,
            self._limits,
            self._resources,
            self._is_local,
        )

    def _is_usable(self, conn: ClientConnection, idle_limit_s: float) -> bool:
        idle_s = self._clock.monotonic() - conn.last_used_s
        return (
            idle_s <= min(idle_limit_s, conn.keep_alive_s) and conn.is_reusable
        )

    async def _release_connection(self, conn: ClientConnection) -> None:
        if conn.is_reusable:
            self._idle.append(conn)
        else:
            await conn.close()


class PoolRegistry:
    """Connection pools by address, created on first use.

    Translations map an announced address to the one to connect to.
    """

    def __init__(
        self,
        clock: Clock,
        translations: dict[Address, Address] | None = None,
        **options,
    ):
        self._clock = clock
        self._translations = {} if translations is None else translations
        self._options = options
        self._pools: dict[Address, ConnectionPool] = {}

    def get(self, address: Address) -> ConnectionPool:
        """Return the pool of an address; create it if there is none."""
        pool = self._pools.get(address)
        if pool is None:
            target = self._translations.get(address, address)
            pool = ConnectionPool(target, self._clock, **self._options)
            self._pools[address] = pool
        return pool

    async def refuse_waits(self, may_wait: WaitPredicate) -> None:
        """Refuse waits for connections of every pool."""
        for pool in list(self._pools.values()):
            await pool.refuse_waits(may_wait)

    async def sweep(self) -> None:
        """Close expired idle connections and remove unused pools."""
        for address, pool in list(self._pools.items()):
            await pool.sweep()
            if pool.is_unused:
                del self._pools[address]

    async def close(self) -> None:
        """Close every idle connection of every pool."""
        for pool in self._pools.values():
            await pool.close()
