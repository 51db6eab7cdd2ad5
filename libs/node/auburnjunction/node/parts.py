"""The parts of a node, put together from its settings."""

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
from auburnjunction.http.servers import Handler
from auburnjunction.membership.members import Membership, open_membership
from auburnjunction.model.services import Service
from auburnjunction.node.currencies import NodeCurrency
from auburnjunction.node.instances import LocalInstanceKeeper
from auburnjunction.node.meters import ControlMeter
from auburnjunction.node.settings import NodeSettings
from auburnjunction.storage.clients import HttpObjectStore, HttpTable
from auburnjunction.storage.objects import ObjectStore
from auburnjunction.storage.tables import Table
from auburnjunction.traffic.balancers import Place
from auburnjunction.traffic.claims import ClaimStore
from auburnjunction.traffic.entries import EntryHandler, make_entry_handler
from auburnjunction.traffic.headers import OWN_NAMES, HeaderNames
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.owners import OwnerRegistry
from auburnjunction.traffic.peers import open_pools
from auburnjunction.traffic.routers import ServiceSource, no_service


@attrs.frozen
class HostListener:
    """A listener for what runs on the same host.

    Its handler is made of the node's parts and the keeper of the host's
    backend servers.
    """

    port: int
    make_handler: Callable[["NodeParts", LocalInstanceKeeper], Handler]


@attrs.frozen
class PlatformPorts:
    """What a node finds where it runs: storage, names and listeners."""

    table: Table
    # None where the configuration is read elsewhere.
    objects: ObjectStore | None
    # Where the configuration is read; None means the table's commits.
    head: HeadSource | None = None
    # How callers and backend servers name a call's data.
    names: HeaderNames = OWN_NAMES
    # Service whose calls begin at this node.
    own_service: ServiceSource = no_service
    # Listeners beside those that every node has.
    listeners: tuple[HostListener, ...] = ()


@attrs.frozen
class NodeParts:
    """What the listeners of a node serve."""

    membership: Membership
    distributor: Distributor
    owners: OwnerRegistry
    holder: SnapshotHolder
    entry: EntryHandler
    commits: CommitLog
    metrics: MetricRegistry
    currency: NodeCurrency


def connect_platform(cfg: NodeSettings, clock: Clock) -> PlatformPorts:
    """Return the clients of the platform named in the settings."""
    pools = PoolRegistry(clock, max_connections=16)
    table = HttpTable(parse_address(cfg.table_address), clock, pools)
    objects = HttpObjectStore(
        parse_address(cfg.object_store_address), clock, pools
    )
    return PlatformPorts(table, objects)


def make_service_finder(holder: SnapshotHolder):
    """Return a function that finds a service in the snapshot in force."""

    def find_service(name: str) -> Service | None:
        current = holder.current
        if current is None:
            return None
        return current.snapshot.services_by_name.get(name)

    return find_service


@asynccontextmanager
async def open_parts(
    cfg: NodeSettings, clock: Clock, platform: PlatformPorts, random: Random
):
    """Yield the parts of a node with their background tasks running."""
    metrics = MetricRegistry(
        {"node": cfg.node, "data_centre": cfg.data_centre}
    )
    holder = SnapshotHolder()
    owner_metrics = OwnerMetrics(metrics)
    owners = OwnerRegistry(
        cfg.admission,
        clock,
        owner_metrics,
        ClaimStore(cfg.admission.claims, platform.table, clock, owner_metrics),
        make_service_finder(holder),
        platform.names,
    )
    pool_options = (cfg.routing, clock, cfg.translations)
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
    ):
        membership.mark_source = lambda: holder.mark
        membership.on_mark = distributor.on_mark
        currency = NodeCurrency(membership, distributor, clock)
        entry = make_entry_handler(
            Place(cfg.node, cfg.data_centre),
            cfg.routing,
            clock,
            holder,
            currency,
            membership,
            owners,
            call_pools,
            metrics,
            random,
            platform.names,
            platform.own_service,
            owners.find_parent,
        )
        ControlMeter(metrics, membership.stats, distributor.stats)
        commits = CommitLog(platform.table, platform.objects, clock)
        yield NodeParts(
            membership,
            distributor,
            owners,
            holder,
            entry,
            commits,
            metrics,
            currency,
        )
