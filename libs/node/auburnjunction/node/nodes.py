"""Running a node: start-up, listeners and graceful shutdown."""

import math
from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random

import curio
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.base.signals import catch_stop_signals, ignore_reload
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.distribution.distributors import Distributor
from auburnjunction.node.allocators import return_freed_memory
from auburnjunction.node.components import (
    NodeComponents,
    PlatformAdapters,
    connect_platform,
    open_components,
)
from auburnjunction.node.listeners import NodeServers, open_servers
from auburnjunction.node.settings import NodeSettings
from auburnjunction.traffic.answer_limits import SEND_INTERVAL_S

OWNER_SWEEP_INTERVAL_S = 0.1
OWNER_PROBE_INTERVAL_S = 0.2
# During a shutdown; callers are refused this much later at most.
WAIT_CHECK_INTERVAL_S = 0.1
# Calls that are logged if they are cut off by the shutdown of the node.
MAX_LOGGED_CALLS = 50


class Node:
    """A running node."""

    def __init__(
        self,
        cfg: NodeSettings,
        clock: Clock,
        components: NodeComponents,
        servers: NodeServers,
    ):
        self._cfg = cfg
        self._clock = clock
        self._components = components
        self._servers = servers

    @property
    def distributor(self) -> Distributor:
        """Its part in the distribution of configurations."""
        return self._components.distributor

    async def drain(self) -> int:
        """Shut down gracefully: refuse new calls, finish those in flight.

        During the leaving notice, calls are still served while callers
        move to other nodes, and the backend servers of this host stay in
        use, as their service may have few others. Later the entry side takes
        only calls that end in time by their own limits. Return the number
        of calls that are still in flight at the drain limit.
        """
        log_event("node leaving")
        signal_s = self._clock.monotonic()
        self._components.readiness_gate.leaving = True
        self._servers.callers.disable_keep_alive()
        notice_s = self._cfg.leaving_notice_s
        notice_end_s = signal_s + notice_s
        deadline_s = notice_end_s + self._cfg.drain_limit_s
        self._components.lifetime.set_end(
            notice_end_s, deadline_s, self._find_estimates_end(signal_s)
        )
        async with open_task_group() as group:
            await group.spawn(
                run_forever,
                self._components.answer_limits.send_limits,
                self._clock,
                SEND_INTERVAL_S,
            )
            await group.spawn(
                run_forever,
                self._refuse_waits,
                self._clock,
                WAIT_CHECK_INTERVAL_S,
            )
            await self._clock.sleep(notice_s)
            self._components.membership.set_leaving()
            # The entry side stays open until the calls to this host's backend
            # servers have ended, as those may need nested calls.
            remaining = await self._components.owners.drain(
                self._remaining_s(deadline_s)
            )
            await self._components.quotas.leave(self._remaining_s(deadline_s))
            self._components.entry.start_draining()
            remaining += await self._drain_servers(deadline_s)
            await self._components.membership.save_departures_until(deadline_s)
        self._log_calls_in_flight(signal_s)
        log_event("node drained", remaining=remaining)
        return remaining

    async def _drain_servers(self, deadline_s: float) -> int:
        # Concurrently, so that neither listener takes new requests while the
        # other drains.
        async with curio.TaskGroup() as group:
            for server in (self._servers.callers, self._servers.peers):
                await group.spawn(server.drain, self._remaining_s(deadline_s))
        return sum(group.results)

    def _log_calls_in_flight(self, signal_s: float) -> None:
        """Log the calls that are cut off, and what bounded them.

        taken_after_s counts from the signal; a call without limit_left_s
        was not routed.
        """
        now_s = self._clock.monotonic()
        for trace in self._components.entry.in_flight[:MAX_LOGGED_CALLS]:
            log_event(
                "call cut off at the drain limit",
                logging.WARNING,
                request_id=trace.request_id,
                service=trace.service,
                instance=trace.instance,
                attempts=trace.attempts,
                age_s=round(now_s - trace.started_s, 3),
                taken_after_s=round(trace.started_s - signal_s, 3),
                limit_left_s=_round_limit(trace.deadline_s - now_s),
            )

    async def _refuse_waits(self) -> None:
        """Refuse calls that wait for a connection and may not be taken now.

        Their owner nodes don't know them.
        """
        now_s = self._clock.monotonic()
        lifetime = self._components.lifetime
        await self._components.call_pools.refuse_waits(
            lambda limit_s: lifetime.may_take(limit_s, now_s)
        )

    def _find_estimates_end(self, signal_s: float) -> float | None:
        until_s = self._cfg.estimates_until_s
        return None if until_s is None else signal_s + until_s

    def _remaining_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._clock.monotonic())


def _round_limit(left_s: float) -> float | None:
    return round(left_s, 3) if left_s < math.inf else None


@asynccontextmanager
async def open_node(
    cfg: NodeSettings,
    clock: Clock,
    platform: PlatformAdapters | None = None,
    random: Random | None = None,
):
    """Yield a listening node; it serves once a configuration is in force.

    Raise AddressInUseError if a listening address is in use.
    """
    platform = platform or connect_platform(cfg, clock)
    async with (
        open_components(
            cfg, clock, platform, random or Random()
        ) as components,
        open_servers(cfg, clock, components, platform.listeners) as servers,
        open_task_group() as group,
    ):
        await group.spawn(
            run_forever, components.owners.sweep, clock, OWNER_SWEEP_INTERVAL_S
        )
        await group.spawn(
            run_forever, components.owners.probe, clock, OWNER_PROBE_INTERVAL_S
        )
        await group.spawn(components.distributor.start_up)
        log_event("node listening", caller_port=cfg.caller_port)
        yield Node(cfg, clock, components, servers)


async def run_node(
    cfg: NodeSettings,
    clock: Clock,
    platform: PlatformAdapters | None = None,
    on_reload: Callable[[], None] = ignore_reload,
) -> int:
    """Run a node until SIGTERM or SIGINT, then drain it.

    Call on_reload at SIGHUP. Return the number of calls that are still in
    flight at the drain limit.
    """
    if cfg.resources.memory_mb:
        return_freed_memory()
    with catch_stop_signals() as stop:
        async with open_node(cfg, clock, platform) as node:
            await stop.wait(on_reload)
            return await node.drain()
