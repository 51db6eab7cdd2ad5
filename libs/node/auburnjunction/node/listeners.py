"""The listeners of a node and what answers on them."""

from collections.abc import Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.http.messages import MessageLimits
from auburnjunction.http.servers import HttpServer, open_server
from auburnjunction.model.services import InstanceState
from auburnjunction.model.snapshots import CallerLimits, RevisedSnapshot
from auburnjunction.node.administrations import MeshDirectory, MeshDrainer
from auburnjunction.node.endpoints import (
    AdminHandler,
    PeerDispatcher,
    Readiness,
)
from auburnjunction.node.instances import LocalInstanceKeeper
from auburnjunction.node.parts import HostListener, NodeParts
from auburnjunction.node.settings import NodeSettings
from auburnjunction.traffic.peers import (
    PeerHandler,
    make_peer_limits,
    make_pools,
)

MILLISECONDS = 1000


@attrs.frozen
class NodeServers:
    """The listeners of a node."""

    callers: HttpServer
    peers: HttpServer
    admin: HttpServer


def make_admin_handler(
    parts: NodeParts, keeper: LocalInstanceKeeper
) -> AdminHandler:
    """Return the handler of the administration listener."""

    def read_readiness() -> Readiness:
        reason = parts.currency.find_fault()
        instances = sum(
            instance.state is InstanceState.READY
            for instance in parts.membership.list_instances()
        )
        revision = parts.holder.mark.revision
        return Readiness(not reason, reason, revision, instances)

    return AdminHandler(read_readiness, parts.metrics, keeper.handle_announce)


def make_peer_dispatcher(
    parts: NodeParts, drainer: MeshDrainer, clock: Clock
) -> PeerDispatcher:
    """Return the handler of the listener for other nodes."""
    controls = {
        b"/gossip": parts.membership.handle_gossip,
        b"/probe": parts.membership.handle_probe,
        b"/push": parts.distributor.handle_push,
        b"/pull": parts.distributor.handle_pull,
        b"/drain": drainer.handle_drain,
    }
    forward = PeerHandler(parts.owners, clock)
    return PeerDispatcher(controls, forward.handle)


@asynccontextmanager
async def open_servers(
    cfg: NodeSettings,
    clock: Clock,
    parts: NodeParts,
    extra: Sequence[HostListener] = (),
):
    """Yield the listeners of a node.

    Raise AddressInUseError when a listening address is taken.
    """
    keeper = LocalInstanceKeeper(parts.membership, parts.owners)
    drainer = MeshDrainer(
        parts.membership,
        make_pools(cfg.routing, clock, cfg.translations),
        cfg.node,
    )
    dispatcher = make_peer_dispatcher(parts, drainer, clock)
    admin_handler = make_admin_handler(parts, keeper)
    entry = parts.entry
    async with (
        open_server(
            cfg.host,
            cfg.peer_port,
            dispatcher.handle,
            clock,
            make_peer_limits(cfg.limits),
        ) as peers,
        open_server(
            cfg.host,
            cfg.admin_port,
            admin_handler.handle,
            clock,
            cfg.limits,
        ) as admin,
        open_server(
            cfg.host, cfg.caller_port, entry.handle, clock, cfg.limits
        ) as callers,
        AsyncExitStack() as stack,
    ):
        for listener in extra:
            handler = listener.make_handler(parts, keeper)
            await stack.enter_async_context(
                open_server(
                    cfg.host, listener.port, handler, clock, cfg.limits
                )
            )
        if cfg.operators_port:
            await stack.enter_async_context(
                _open_operators(cfg, parts, drainer)
            )
        follow_limits(parts.holder, callers, cfg.limits)
        yield NodeServers(callers, peers, admin)


def _open_operators(cfg: NodeSettings, parts: NodeParts, drainer: MeshDrainer):
    # gRPC and asyncio take memory that a node without operators saves.
    from auburnjunction.operators.backends import NodeAdministration
    from auburnjunction.operators.servers import open_operators_server

    backend = NodeAdministration(
        parts.commits,
        parts.distributor,
        MeshDirectory(parts.membership),
        drainer,
    )
    return open_operators_server(cfg.host, cfg.operators_port, backend)


def follow_limits(
    holder: SnapshotHolder, server: HttpServer, default: MessageLimits
) -> None:
    """Keep a server's limits as the configuration in force says."""

    def update(revised: RevisedSnapshot) -> None:
        server.limits = merge_limits(revised.snapshot.limits, default)

    holder.subscribe(update)
    if holder.current is not None:
        update(holder.current)


def merge_limits(limits: CallerLimits, default: MessageLimits):
    """Return the limits, those that are 0 taken from the default."""
    return attrs.evolve(
        default,
        head_bytes=limits.head_bytes or default.head_bytes,
        body_bytes=limits.body_bytes or default.body_bytes,
        head_timeout_s=limits.head_timeout_ms / MILLISECONDS
        or default.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_ms / MILLISECONDS
        or default.idle_timeout_s,
    )
