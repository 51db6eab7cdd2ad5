"""Construction of a node's components from its settings."""

from collections.abc import Callable
from contextlib import asynccontextmanager
from random import Random

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.distribution.commits import CommitLog
from auburnjunction.distribution.distributors import (
    Distributor,
    open_distribution,
)
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.sources import CommittedHead, HeadSource
from auburnjunction.http.clients import Address, PoolRegistry, parse_address
from auburnjunction.http.resources import ProcessResources, make_resources
from auburnjunction.http.servers import Handler
from auburnjunction.membership.memberships import Membership, open_membership
from auburnjunction.model.services import Service
from auburnjunction.node.instances import LocalInstanceRegistry
from auburnjunction.node.meters import (
    ControlPlaneMetrics,
    QuotaMetrics,
    ResourceMetrics,
)
from auburnjunction.node.readiness_gates import ReadinessGate
from auburnjunction.node.settings import NodeSettings
from auburnjunction.organisations.quotas import Quotas, open_quotas
from auburnjunction.rollouts.coordinators import (
    RolloutCoordinator,
    open_rollouts,
)
from auburnjunction.rollouts.orders import RolloutAdapters
from auburnjunction.storage.clients import HttpObjectStore, HttpTable
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.tables import Table
from auburnjunction.traffic.answer_limits import AnswerLimitSender
from auburnjunction.traffic.balancers import NodeLocation
from auburnjunction.traffic.call_forwarders import open_pools
from auburnjunction.traffic.claims import ClaimStore
from auburnjunction.traffic.entries import EntryHandler, make_entry_handler
from auburnjunction.traffic.forwarded_calls import ForwardedCalls
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES, HeaderNames
from auburnjunction.traffic.key_checks import KeyChecker
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.nested_calls import NestedCallTracker
from auburnjunction.traffic.owners import OwnerRegistry
from auburnjunction.traffic.routers import ServiceSource, no_service


@attrs.frozen
class HostListener:
    """An additional listener for processes on the same host.

    make_handler returns its request handler.
    """

    port: int
    make_handler: Callable[["NodeComponents", LocalInstanceRegistry], Handler]


@attrs.frozen
class PlatformAdapters:
    """Platform-dependent parts: storage, header names and listeners."""

    table: Table
    # None if the configuration is not read from an object store.
    objects: ObjectStore | None
    # Source of the configuration; None means the commits in the table.
    head: HeadSource | None = None
    # Headers that callers and backend servers use for a call's metadata.
    names: HeaderNames = DEFAULT_HEADER_NAMES
    # Returns the service whose calls enter the mesh at this node.
    own_service: ServiceSource = no_service
    # Listeners in addition to those of every node.
    listeners: tuple[HostListener, ...] = ()
    # Orders and status rows of roll-outs; None if there are none.
    rollouts: RolloutAdapters | None = None


@attrs.frozen
class NodeComponents:
    """Components that the request handlers of a node use."""

    membership: Membership
    distributor: Distributor
    owners: OwnerRegistry
    holder: SnapshotHolder
    entry: EntryHandler
    commits: CommitLog
    metrics: MetricRegistry
    readiness_gate: ReadinessGate
    lifetime: NodeLifetime
    answer_limits: AnswerLimitSender
    # Connections to other nodes for calls.
    call_pools: PoolRegistry
    quotas: Quotas
    # None if roll-outs are not in force.
    rollouts: RolloutCoordinator | None = None
    # None without a memory limit.
    resources: ProcessResources | None = None
    names: HeaderNames = DEFAULT_HEADER_NAMES


def connect_platform(cfg: NodeSettings, clock: Clock) -> PlatformAdapters:
    """Return clients of the table and object store in the settings."""
    pools = PoolRegistry(clock, max_connections=16)
    table = HttpTable(parse_address(cfg.table_address), clock, pools)
    objects = HttpObjectStore(
        parse_address(cfg.object_store_address), clock, pools
    )
    return PlatformAdapters(table, objects)


def make_service_finder(holder: SnapshotHolder):
    """Return a function that looks up a service in the snapshot in force."""

    def find_service(name: str) -> Service | None:
        current = holder.current
        if current is None:
            return None
        return current.snapshot.services_by_name.get(name)

    return find_service


@asynccontextmanager
async def open_components(
    cfg: NodeSettings, clock: Clock, platform: PlatformAdapters, random: Random
):
    """Yield the components of a node, their background tasks running."""
    metrics = MetricRegistry(
        {"node": cfg.node, "data_centre": cfg.data_centre}
    )
    holder = SnapshotHolder()
    owner_metrics = OwnerMetrics(metrics)
    resources = make_resources(cfg.resources, clock)
    pool_options = (cfg.routing, clock, cfg.translations, resources)
    async with (
        open_pools(*pool_options) as control_pools,
        open_pools(*pool_options) as call_pools,
        open_membership(
            cfg.membership,
            cfg.node,
            cfg.data_centre,
            Address(cfg.host, cfg.peer_port),
            clock,
            control_pools,
            platform.table,
            random,
        ) as membership,
        open_distribution(
            cfg.distribution,
            cfg.node,
            cfg.data_centre,
            holder,
            membership,
            platform.head or CommittedHead(platform.table, platform.objects),
            clock,
            control_pools,
            random,
        ) as distributor,
        open_rollouts(
            cfg.rollouts,
            cfg.node,
            cfg.data_centre,
            membership,
            control_pools,
            platform.rollouts,
            clock,
            random,
            metrics,
        ) as rollouts,
        open_quotas(
            cfg.node,
            cfg.organisations,
            clock,
            holder,
            membership,
            control_pools,
            random,
        ) as quotas,
    ):
        keys = KeyChecker(
            cfg.organisations,
            holder,
            lambda: distributor.proof.age_s,
            metrics,
        )
        membership.exchange_proofs(
            lambda: distributor.shared_proof_age_ms,
            distributor.record_peer_proof,
        )
        lifetime = NodeLifetime(clock)
        forwarded = ForwardedCalls()
        nested_calls = None
        if cfg.routing.room_checks:
            nested_calls = NestedCallTracker()
        owners = OwnerRegistry(
            cfg.admission,
            clock,
            owner_metrics,
            ClaimStore(
                cfg.admission.claims, platform.table, clock, owner_metrics
            ),
            make_service_finder(holder),
            platform.names,
            membership.crashes,
            lifetime,
            keys.find_start_refusal,
            resources,
            reports_load=cfg.placement.is_enabled,
            nested_calls=nested_calls,
        )
        membership.mark_source = lambda: holder.mark
        membership.on_mark = distributor.on_mark
        readiness_gate = ReadinessGate(membership, distributor, clock)
        entry = make_entry_handler(
            NodeLocation(cfg.node, cfg.data_centre),
            cfg.routing,
            clock,
            holder,
            readiness_gate,
            membership,
            owners,
            call_pools,
            metrics,
            random,
            platform.names,
            platform.own_service,
            owners.find_parent,
            lambda: membership.node_count,
            membership.crashes,
            lifetime,
            forwarded,
            keys,
            owners.has_abandoned_parent,
            versions=rollouts.selector if rollouts is not None else None,
            placement=cfg.placement,
            nested_calls=nested_calls,
            quotas=quotas,
        )
        ControlPlaneMetrics(metrics, membership.stats, distributor.stats)
        if resources is not None:
            ResourceMetrics(metrics, resources)
        if cfg.organisations.quota_window_s:
            QuotaMetrics(metrics, quotas.stats)
        commits = CommitLog(platform.table, platform.objects, clock)
        yield NodeComponents(
            membership,
            distributor,
            owners,
            holder,
            entry,
            commits,
            metrics,
            readiness_gate,
            lifetime,
            AnswerLimitSender(forwarded, lifetime, control_pools, clock),
            call_pools,
            quotas,
            rollouts,
            resources,
            platform.names,
        )
