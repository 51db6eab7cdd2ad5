"""Registry of the backend servers that announce themselves to this node."""

import attrs
from absl import logging

from auburnjunction.base.logs import log_event
from auburnjunction.base.settings import parse_settings
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.memberships import Membership
from auburnjunction.model.services import InstanceState
from auburnjunction.traffic.owners import OwnerRegistry


def make_refusal() -> HttpResponse:
    """Return the response that asks to repeat an announcement."""
    return HttpResponse(503, [], b"repeat the announcement\n")


class LocalInstanceRegistry:
    """Applies the state of local backend servers to their owners.

    Membership determines the published state of a backend server: its
    lease may expire, or an operator may drain it, between announcements.
    """

    def __init__(self, membership: Membership, owners: OwnerRegistry):
        self._membership = membership
        self._owners = owners
        self._announced: dict[str, Announcement] = {}
        self._applied_states: dict[str, InstanceState] = {}
        membership.subscribe(self.update_owners)
        owners.on_departure = self.report_departure
        owners.on_crash = membership.report_crashes

    async def handle_announce(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /announce from a backend server of this host."""
        response = await self._membership.handle_announce(request)
        if response.status == 200:
            announcement = parse_settings(request.body, Announcement)
            if self._membership.is_latest(announcement):
                self._record_announcement(announcement)
            await self.save_departures()
            if await self.needs_repetition(announcement.instance):
                return make_refusal()
        return response

    def announce(self, announcement: Announcement) -> InstanceState:
        """Process an announcement of a backend server of this host.

        Return its published state from now on. A backend server that is
        leaving gets no more calls, except waiting ones that start within
        the drain start limit of the admission settings.
        """
        lease = self._membership.announce(announcement)
        if lease.announcement is announcement:
            self._record_announcement(announcement)
        return lease.published_state

    async def needs_repetition(self, instance: str) -> bool:
        """Return whether the last announcement is to be repeated.

        It may have been sent before a departure that was lost in a restart.
        A refused announcement is repeated at once, but the sender of a late
        one does not wait for a response any more.
        """
        return await self._membership.needs_repetition(instance)

    async def save_departures(self) -> None:
        """Try to persist departures so that they outlive this node.

        Must be awaited before a departure is acknowledged.
        """
        await self._membership.save_departures()
        if not self._membership.are_departures_saved:
            log_event("departure not saved in the table", logging.WARNING)

    def report_departure(self, instance: str, born_ms: int) -> None:
        """Publish that an incarnation has said in a response that it leaves.

        Its announcement may be late or lost, and its lease may have expired
        since the call. The departure is saved in the background, as no
        acknowledgement waits for it.
        """
        previous = self._announced.get(instance)
        if previous is not None and previous.born_ms == born_ms:
            self.announce(attrs.evolve(previous, state="leaving"))
        else:
            self._membership.log_departure(instance, born_ms)

    def deregister(self, instance: str, born_ms: int = 0) -> None:
        """Mark an incarnation of a backend server as gone.

        With born_ms 0 it is the one that has announced itself last. One that
        has not announced itself to this process is gone as well: an
        announcement from before may arrive later.
        """
        previous = self._announced.get(instance)
        if born_ms:
            self._membership.log_departure(instance, born_ms)
            if previous is None or previous.born_ms > born_ms:
                return
        if previous is None:
            log_event(
                "departure of a backend server without an announcement",
                logging.WARNING,
                instance=instance,
            )
            self._membership.log_departure_by_now(instance)
            return
        self.announce(attrs.evolve(previous, state="gone"))

    def update_owners(self) -> None:
        """Apply published states that have changed to the owners."""
        for name, announcement in list(self._announced.items()):
            record = self._membership.find_instance(name)
            state = record.state if record else InstanceState.GONE
            if self._applied_states.get(name) is not state:
                self._apply_state(announcement, state)

    def _record_announcement(self, announcement: Announcement) -> None:
        previous = self._announced.get(announcement.instance)
        self._announced[announcement.instance] = announcement
        if previous is None or not _is_renewal(previous, announcement):
            self._applied_states.pop(announcement.instance, None)
        self.update_owners()

    def _apply_state(
        self, announcement: Announcement, state: InstanceState
    ) -> None:
        name = announcement.instance
        self._applied_states[name] = state
        updated = attrs.evolve(announcement, state=state.name.lower())
        self._owners.update(updated)
        if state is InstanceState.GONE:
            del self._announced[name]
            del self._applied_states[name]
        log_event(
            "backend server state",
            instance=name,
            service=announcement.service,
            state=updated.state,
        )


def _is_renewal(previous: Announcement, later: Announcement) -> bool:
    """Return whether nothing but sequence and cold_s differs."""
    return previous == attrs.evolve(
        later, sequence=previous.sequence, cold_s=previous.cold_s
    )
