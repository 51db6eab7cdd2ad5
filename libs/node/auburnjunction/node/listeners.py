"""The listeners of a node and their request handlers."""

from collections.abc import Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.http.messages import MessageLimits
from auburnjunction.http.servers import (
    HttpServer,
    ServerOptions,
    open_server,
)
from auburnjunction.model.services import InstanceState
from auburnjunction.model.snapshots import CallerLimits, RevisedSnapshot
from auburnjunction.node.administrations import MeshDirectory, MeshDrainer
from auburnjunction.node.components import HostListener, NodeComponents
from auburnjunction.node.endpoints import (
    AdminHandler,
    PeerDispatcher,
    Readiness,
)
from auburnjunction.node.instances import LocalInstanceRegistry
from auburnjunction.node.meters import PipelineMetrics
from auburnjunction.node.settings import NodeSettings
from auburnjunction.organisations.exchanges import (
    LEDGER_TARGET,
    REPORT_TARGET,
)
from auburnjunction.rollouts.peers import EXCHANGE_TARGET
from auburnjunction.traffic.answer_limits import (
    ANSWER_LIMIT_TARGET,
    AnswerLimitHandler,
)
from auburnjunction.traffic.call_forwarders import (
    PeerHandler,
    make_peer_limits,
    make_pools,
)
from auburnjunction.traffic.refusals import (
    find_caller_request_id,
    find_forwarded_request_id,
    make_refusal,
)

MILLISECONDS_PER_SECOND = 1000


@attrs.frozen
class NodeServers:
    """The listeners of a node."""

    callers: HttpServer
    peers: HttpServer
    admin: HttpServer


@attrs.frozen
class ListenerOptions:
    """Options of the listeners by who uses them."""

    callers: ServerOptions = ServerOptions()
    peers: ServerOptions = ServerOptions()
    local: ServerOptions = ServerOptions()

    @property
    def has_budget(self) -> bool:
        """Whether the process has a memory limit."""
        return self.callers.resources is not None


def make_server_options(components: NodeComponents) -> ListenerOptions:
    """Return what each listener may use of the process's resources."""
    resources, names = components.resources, components.names
    if resources is None:
        return ListenerOptions()
    return ListenerOptions(
        callers=ServerOptions(
            resources,
            resources.callers,
            partial(find_caller_request_id, names=names),
            partial(make_refusal, names=names),
        ),
        peers=ServerOptions(
            resources,
            resources.peers,
            find_forwarded_request_id,
            make_refusal,
        ),
        local=ServerOptions(resources, resources.local),
    )


def make_admin_handler(
    components: NodeComponents, registry: LocalInstanceRegistry
) -> AdminHandler:
    """Return the handler of the administration listener."""

    def read_readiness() -> Readiness:
        reason = components.readiness_gate.find_unready_reason()
        instances = sum(
            instance.state is InstanceState.READY
            for instance in components.membership.list_instances()
        )
        revision = components.holder.mark.revision
        return Readiness(not reason, reason, revision, instances)

    return AdminHandler(
        read_readiness, components.metrics, registry.handle_announce
    )


def make_peer_dispatcher(
    components: NodeComponents, drainer: MeshDrainer, clock: Clock
) -> PeerDispatcher:
    """Return the handler of the listener for other nodes."""
    control_handlers = {
        b"/gossip": components.membership.handle_gossip,
        b"/probe": components.membership.handle_probe,
        b"/push": components.distributor.handle_push,
        b"/pull": components.distributor.handle_pull,
        b"/drain": drainer.handle_drain,
        REPORT_TARGET: components.quotas.handle_reports,
        LEDGER_TARGET: components.quotas.handle_ledgers,
        ANSWER_LIMIT_TARGET: AnswerLimitHandler(
            components.owners, clock
        ).handle,
    }
    if components.rollouts is not None:
        control_handlers[EXCHANGE_TARGET] = components.rollouts.handle
    peer_handler = PeerHandler(components.owners, clock)
    return PeerDispatcher(control_handlers, peer_handler.handle)


@asynccontextmanager
async def open_servers(
    cfg: NodeSettings,
    clock: Clock,
    components: NodeComponents,
    extra_listeners: Sequence[HostListener] = (),
):
    """Yield the running listeners of a node.

    Raise AddressInUseError if a listening address is in use.
    """
    registry = LocalInstanceRegistry(components.membership, components.owners)
    drainer = MeshDrainer(
        components.membership,
        make_pools(cfg.routing, clock, cfg.translations),
        cfg.node,
    )
    dispatcher = make_peer_dispatcher(components, drainer, clock)
    admin_handler = make_admin_handler(components, registry)
    entry = components.entry
    options = make_server_options(components)
    async with (
        open_server(
            cfg.host,
            cfg.peer_port,
            dispatcher.handle,
            clock,
            make_peer_limits(cfg.limits, options.has_budget),
            options=options.peers,
        ) as peers,
        open_server(
            cfg.host,
            cfg.admin_port,
            admin_handler.handle,
            clock,
            cfg.limits,
            options=options.local,
        ) as admin,
        open_server(
            cfg.host,
            cfg.caller_port,
            entry.handle,
            clock,
            cfg.limits,
            entry.may_overlap,
            options.callers,
        ) as callers,
        AsyncExitStack() as stack,
    ):
        for listener in extra_listeners:
            handler = listener.make_handler(components, registry)
            await stack.enter_async_context(
                open_server(
                    cfg.host,
                    listener.port,
                    handler,
                    clock,
                    cfg.limits,
                    options=options.local,
                )
            )
        if cfg.operators_port:
            await stack.enter_async_context(
                _open_operators(cfg, components, drainer)
            )
        follow_limits(components.holder, callers, cfg.limits)
        PipelineMetrics(components.metrics, callers.stats)
        yield NodeServers(callers, peers, admin)


def _open_operators(
    cfg: NodeSettings, components: NodeComponents, drainer: MeshDrainer
):
    # Imported here because gRPC and asyncio take memory that a node without
    # the operators' listener can save.
    from auburnjunction.operators.backends import NodeAdministration
    from auburnjunction.operators.servers import open_operators_server

    backend = NodeAdministration(
        components.commits,
        components.distributor,
        MeshDirectory(components.membership),
        drainer,
    )
    return open_operators_server(cfg.host, cfg.operators_port, backend)


def follow_limits(
    holder: SnapshotHolder, server: HttpServer, default: MessageLimits
) -> None:
    """Apply the limits of each configuration in force to a server."""

    def update(revised: RevisedSnapshot) -> None:
        server.set_limits(merge_limits(revised.snapshot.limits, default))

    holder.subscribe(update)
    if holder.current is not None:
        update(holder.current)


def merge_limits(limits: CallerLimits, default: MessageLimits):
    """Return the limits, with the default in place of each that is 0."""
    return attrs.evolve(
        default,
        head_bytes=limits.head_bytes or default.head_bytes,
        body_bytes=limits.body_bytes or default.body_bytes,
        head_timeout_s=limits.head_timeout_ms / MILLISECONDS_PER_SECOND
        or default.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND
        or default.idle_timeout_s,
    )
