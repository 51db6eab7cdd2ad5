"""The own record kept in step with the backend servers of this host."""

from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.errors import UnknownInstanceError
from auburnjunction.membership.leases import Lease, LeaseTable, round_load
from auburnjunction.membership.rosters import Roster
from auburnjunction.model.services import Instance, InstanceState

# A change of load or revision waits for this long times the number of
# nodes, so that all nodes together make 20 such changes a second.
QUIET_INTERVAL_S = 0.05


class LocalInstances:
    """Backend servers of this host and how they are announced."""

    def __init__(self, roster: Roster):
        self._roster = roster
        self._leases = LeaseTable(roster.clock, roster.departures)
        self._quiet_s = 0.0

    def announce(self, announcement: Announcement) -> Lease:
        """Take in an announcement and spread what it changes."""
        lease = self._leases.renew(announcement)
        self._roster.shortest_lease_s = self._leases.shortest_s
        self._publish()
        return lease

    def set_draining(self, instance: str, draining: bool) -> None:
        """Show a backend server as leaving until undrained.

        Raise UnknownInstanceError when it has no lease.
        """
        lease = self._leases.get(instance)
        if lease is None:
            raise UnknownInstanceError(
                f"backend server {instance} has not announced itself here"
            )
        lease.draining = draining
        self._publish()

    def check(self, revision: int) -> None:
        """Let leases lapse and spread quiet changes that are due."""
        is_recalled = self._leases.recall_departures()
        if self._leases.lapse() or is_recalled:
            self._roster.shortest_lease_s = self._leases.shortest_s
            self._publish()
        own = self._roster.own
        instances = self._list_instances()
        if instances == own.instances and revision == own.revision:
            return
        now_s = self._roster.clock.monotonic()
        if now_s < self._quiet_s:
            return
        self._quiet_s = now_s + QUIET_INTERVAL_S * len(self._roster.view)
        self._roster.renew_own(instances=instances, revision=revision)

    def _publish(self) -> None:
        before = self._roster.own
        instances = self._list_instances()
        if _without_load(instances) == _without_load(before.instances):
            return
        self._roster.renew_own(instances=instances)
        if _list_ready(before.instances) != _list_ready(instances):
            self._roster.mark_urgent(self._roster.own)

    def _list_instances(self) -> tuple[Instance, ...]:
        return tuple(
            self._describe(lease) for lease in self._leases.list_all()
        )

    def _describe(self, lease: Lease) -> Instance:
        own = self._roster.own
        announcement = lease.announcement
        return Instance(
            instance=announcement.instance,
            service=announcement.service,
            state=lease.shown_state,
            slots=announcement.slots,
            load_percent=round_load(announcement.load_percent),
            node=own.node,
            data_centre=own.data_centre,
            host=own.address.host,
            peer_port=own.address.port,
            resources=announcement.resources,
        )


def _without_load(instances: tuple[Instance, ...]) -> list[tuple]:
    return [
        (i.instance, i.service, i.state, i.slots, i.resources)
        for i in instances
    ]


def _list_ready(instances: tuple[Instance, ...]) -> set[str]:
    """Return the names of the backend servers that take work."""
    ready = InstanceState.READY
    return {i.instance for i in instances if i.state is ready}
