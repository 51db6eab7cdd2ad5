"""One node: its parts, its listeners and its planned stop."""

from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.signals import catch_stop_signals, ignore_reload
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.node.listeners import NodeServers, open_servers
from auburnjunction.node.parts import (
    NodeParts,
    PlatformPorts,
    connect_platform,
    open_parts,
)
from auburnjunction.node.settings import NodeSettings

OWNER_SWEEP_INTERVAL_S = 0.1
OWNER_PROBE_INTERVAL_S = 0.2


class Node:
    """A running node."""

    def __init__(
        self,
        cfg: NodeSettings,
        clock: Clock,
        parts: NodeParts,
        servers: NodeServers,
    ):
        self._cfg = cfg
        self._clock = clock
        self._parts = parts
        self._servers = servers

    async def drain(self) -> int:
        """Leave: refuse new calls, finish those in flight.

        Callers are told first. The backend servers of this host stay in
        use meanwhile, as their service may have few others. Return how
        many calls were still in flight at the drain limit.
        """
        log_event("node leaving")
        self._parts.currency.leaving = True
        self._servers.callers.end_reuse()
        notice_s = self._cfg.leaving_notice_s
        end_s = self._clock.monotonic() + notice_s + self._cfg.drain_limit_s
        self._parts.owners.set_end(end_s)
        await self._clock.sleep(notice_s)
        self._parts.membership.set_leaving()
        # Calls of this host's backend servers are served until these have
        # answered what needs them.
        remaining = await self._parts.owners.drain(self._left(end_s))
        self._parts.entry.start_draining()
        remaining += await self._drain_servers(end_s)
        log_event("node drained", remaining=remaining)
        return remaining

    async def _drain_servers(self, end_s: float) -> int:
        # Both at once: while one waits, the other must take nothing new.
        async with curio.TaskGroup() as group:
            for server in (self._servers.callers, self._servers.peers):
                await group.spawn(server.drain, self._left(end_s))
        return sum(group.results)

    def _left(self, end_s: float) -> float:
        return max(0.0, end_s - self._clock.monotonic())


@asynccontextmanager
async def open_node(
    cfg: NodeSettings,
    clock: Clock,
    platform: PlatformPorts | None = None,
    random: Random | None = None,
):
    """Yield a node that listens; it serves once it has a configuration.

    Raise AddressInUseError when a listening address is taken.
    """
    platform = platform or connect_platform(cfg, clock)
    async with (
        open_parts(cfg, clock, platform, random or Random()) as parts,
        open_servers(cfg, clock, parts, platform.listeners) as servers,
        open_task_group() as group,
    ):
        await group.spawn(
            run_forever, parts.owners.sweep, clock, OWNER_SWEEP_INTERVAL_S
        )
        await group.spawn(
            run_forever, parts.owners.probe, clock, OWNER_PROBE_INTERVAL_S
        )
        await group.spawn(parts.distributor.start_up)
        log_event("node listening", caller_port=cfg.caller_port)
        yield Node(cfg, clock, parts, servers)


async def run_node(
    cfg: NodeSettings,
    clock: Clock,
    platform: PlatformPorts | None = None,
    on_reload: Callable[[], None] = ignore_reload,
) -> int:
    """Run a node until SIGTERM or SIGINT; return calls cut off.

    Call on_reload at SIGHUP.
    """
    with catch_stop_signals() as stop:
        async with open_node(cfg, clock, platform) as node:
            await stop.wait(on_reload)
            return await node.drain()
