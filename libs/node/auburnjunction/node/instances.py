"""Keeps the owners of this node's backend servers as announced."""

import attrs

from auburnjunction.base.logs import log_event
from auburnjunction.base.settings import parse_settings
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.members import Membership
from auburnjunction.model.services import InstanceState
from auburnjunction.traffic.owners import OwnerRegistry


class LocalInstanceKeeper:
    """Passes the state of local backend servers from leases to owners.

    Membership decides what is shown of a backend server: it may lapse or
    be drained by an operator between two of its announcements.
    """

    def __init__(self, membership: Membership, owners: OwnerRegistry):
        self._membership = membership
        self._owners = owners
        self._announced: dict[str, Announcement] = {}
        self._shown: dict[str, InstanceState] = {}
        membership.subscribe(self.update_owners)

    async def handle_announce(self, request: HttpRequest) -> HttpResponse:
        """Answer POST /announce of a backend server of this host."""
        response = await self._membership.handle_announce(request)
        if response.status == 200:
            self._remember(parse_settings(request.body, Announcement))
            await self.save_departures()
        return response

    def announce(self, announcement: Announcement) -> InstanceState:
        """Take in what a backend server of this host says of itself.

        Return the state in which it is shown from now on. No call is
        sent to one that is leaving, or not later than the limit of the
        admission settings.
        """
        lease = self._membership.announce(announcement)
        if lease.announcement is announcement:
            self._remember(announcement)
        return lease.shown_state

    async def save_departures(self) -> None:
        """Keep departures beyond the life of this node, if possible.

        To be awaited before a departure is acknowledged.
        """
        await self._membership.save_departures()

    def withdraw(self, instance: str) -> None:
        """Take in that a backend server is gone or about to go."""
        known = self._announced.get(instance)
        if known is not None:
            self.announce(attrs.evolve(known, state="gone"))

    def update_owners(self) -> None:
        """Bring every owner to the state that membership shows."""
        for name, announcement in list(self._announced.items()):
            record = self._membership.find_instance(name)
            state = record.state if record else InstanceState.GONE
            if self._shown.get(name) is not state:
                self._show(announcement, state)

    def _remember(self, announcement: Announcement) -> None:
        known = self._announced.get(announcement.instance)
        self._announced[announcement.instance] = announcement
        if known is None or not _says_same(known, announcement):
            self._shown.pop(announcement.instance, None)
        self.update_owners()

    def _show(self, announcement: Announcement, state: InstanceState) -> None:
        name = announcement.instance
        self._shown[name] = state
        shown = attrs.evolve(announcement, state=state.name.lower())
        self._owners.update(shown)
        if state is InstanceState.GONE:
            del self._announced[name]
            del self._shown[name]
        log_event(
            "backend server state",
            instance=name,
            service=announcement.service,
            state=shown.state,
        )


def _says_same(known: Announcement, later: Announcement) -> bool:
    """Tell whether the later one of a life says nothing new."""
    return known == attrs.evolve(
        later, sequence=known.sequence, cold_s=known.cold_s
    )
