"""Publication of local backend servers in this node's record."""

from auburnjunction.base.logs import log_event
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.cluster_states import ClusterState
from auburnjunction.membership.errors import UnknownInstanceError
from auburnjunction.membership.leases import Lease, LeaseTable, round_load
from auburnjunction.model.services import Instance, InstanceState

# Minimum interval between updates of load or revision, per node of the
# view: all nodes together make at most 20 such updates per second.
LOAD_UPDATE_INTERVAL_S = 0.05


class LocalInstances:
    """Keeps this node's record up to date with the leases of its host."""

    def __init__(self, cluster: ClusterState):
        self._cluster = cluster
        self._leases = LeaseTable(
            cluster.clock, cluster.departures, cluster.recovery
        )
        self._next_load_update_s = 0.0

    def announce(self, announcement: Announcement) -> Lease:
        """Renew the lease of a backend server and publish any change."""
        is_first = self._leases.get(announcement.instance) is None
        lease = self._leases.renew(announcement)
        if is_first and lease.state is InstanceState.READY:
            self._log_first_ready(lease)
        self._cluster.shortest_lease_s = self._leases.shortest_s
        self.publish()
        return lease

    def is_latest(self, announcement: Announcement) -> bool:
        """Return whether no later announcement of its instance is known."""
        lease = self._leases.get(announcement.instance)
        return lease is not None and lease.announcement == announcement

    def is_unconfirmed(self, instance: str) -> bool:
        """Return whether another "ready" is needed to keep it in use."""
        lease = self._leases.get(instance)
        if lease is None or not lease.is_unconfirmed:
            return False
        return self._cluster.recovery.is_active

    def set_draining(self, instance: str, draining: bool) -> None:
        """Start or end draining, which is published as leaving.

        Raise UnknownInstanceError if it has no lease.
        """
        lease = self._leases.get(instance)
        if lease is None:
            raise UnknownInstanceError(
                f"backend server {instance} has not announced itself here"
            )
        lease.draining = draining
        self.publish()

    def check(self, revision: int) -> None:
        """Expire leases; publish changes of load or revision when due."""
        has_changed = self._leases.apply_restored_departures()
        has_changed |= self._leases.update_trust()
        has_changed |= bool(self._leases.expire())
        if has_changed or self._has_unpublished_departures():
            self._cluster.shortest_lease_s = self._leases.shortest_s
            self.publish()
        own = self._cluster.own_record
        instances = self._list_instances()
        if instances == own.instances and revision == own.revision:
            return
        now_s = self._cluster.clock.monotonic()
        if now_s < self._next_load_update_s:
            return
        self._next_load_update_s = now_s + LOAD_UPDATE_INTERVAL_S * len(
            self._cluster.view
        )
        self._cluster.update_own_record(instances=instances, revision=revision)

    def publish(self) -> None:
        """Update this node's record unless only the load has changed."""
        before = self._cluster.own_record
        instances = self._list_instances()
        has_changed = _without_load(instances) != _without_load(
            before.instances
        )
        if not has_changed and not self._has_unpublished_departures():
            return
        self._cluster.update_own_record(instances=instances)
        if _list_ready(before.instances) != _list_ready(instances):
            self._cluster.queue_urgent_push(self._cluster.own_record)

    def _log_first_ready(self, lease: Lease) -> None:
        """Log what is known of departures when an instance becomes ready."""
        cluster, announcement = self._cluster, lease.announcement
        if not cluster.recovery.is_former(announcement):
            return
        log_event(
            "backend server from before the start of this node",
            instance=announcement.instance,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            node_age_s=round(cluster.recovery.measure_age(), 3),
            has_read_row=cluster.has_read_row,
            departures=len(cluster.departures),
            other_nodes=len(cluster.view) - 1,
            trust=lease.trust.name.lower(),
        )

    def _has_unpublished_departures(self) -> bool:
        cluster = self._cluster
        latest = cluster.departures.list_latest()
        return latest != cluster.own_record.departures

    def _list_instances(self) -> tuple[Instance, ...]:
        return tuple(
            self._make_instance(lease) for lease in self._leases.list_all()
        )

    def _make_instance(self, lease: Lease) -> Instance:
        own = self._cluster.own_record
        announcement = lease.announcement
        return Instance(
            instance=announcement.instance,
            service=announcement.service,
            state=lease.published_state,
            slots=announcement.slots,
            load_percent=round_load(announcement.load_percent),
            node=own.node,
            data_centre=own.data_centre,
            host=own.address.host,
            peer_port=own.address.port,
            resources=announcement.resources,
            born_ms=announcement.born_ms,
            version=announcement.version,
        )


def _without_load(instances: tuple[Instance, ...]) -> list[tuple]:
    return [
        (
            i.instance,
            i.service,
            i.state,
            i.slots,
            i.resources,
            i.born_ms,
            i.version,
        )
        for i in instances
    ]


def _list_ready(instances: tuple[Instance, ...]) -> set[str]:
    """Return the names of the ready backend servers."""
    ready = InstanceState.READY
    return {i.instance for i in instances if i.state is ready}
