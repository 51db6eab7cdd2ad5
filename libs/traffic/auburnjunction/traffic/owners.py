"""The owners of this node's backend servers."""

import math
from collections.abc import Callable

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import Address, parse_address
from auburnjunction.membership.announcements import Announcement
from auburnjunction.model.priorities import Priority
from auburnjunction.model.services import Service
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import Answer, Call, NotRunError
from auburnjunction.traffic.claims import ClaimStore
from auburnjunction.traffic.headers import OWN_NAMES, HeaderNames
from auburnjunction.traffic.instances import DRAIN_POLL_S, InstanceOwner
from auburnjunction.traffic.meters import OwnerMetrics

REFUSED_STATES = ("starting", "leaving", "gone")

ServiceFinder = Callable[[str], Service | None]


class OwnerRegistry:
    """The backend servers of this node, as they announced themselves."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        clock: Clock,
        metrics: OwnerMetrics,
        claims: ClaimStore | None = None,
        find_service: ServiceFinder = lambda name: None,
        names: HeaderNames = OWN_NAMES,
    ):
        self._names = names
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._claims = claims
        self._find_service = find_service
        self._start_s = clock.monotonic()
        self._owners: dict[str, InstanceOwner] = {}
        # Priorities of the calls that run or wait, by request id.
        self._running: dict[str, Priority] = {}
        self._retired: list[InstanceOwner] = []
        self._closing = False
        self._end_s = math.inf
        metrics.watch(self)

    def __iter__(self):
        return iter(self._owners.values())

    def get(self, instance: str) -> InstanceOwner | None:
        """Return the owner of an instance, if it is of this node."""
        return self._owners.get(instance)

    def update(self, announcement: Announcement) -> None:
        """Take in what a backend server announces."""
        if announcement.state == "gone":
            self.remove(announcement.instance)
            return
        owner = self._find_owner(announcement)
        owner.note_announced()
        owner.set_capacity(announcement.slots, announcement.connections)
        if announcement.state == "starting":
            owner.restart_ramp()
        if announcement.state in REFUSED_STATES or self._closing:
            owner.start_draining()
        else:
            owner.stop_draining()

    def remove(self, instance: str) -> None:
        """Refuse new calls of an instance that has gone."""
        owner = self._owners.pop(instance, None)
        if owner is not None:
            owner.start_draining()
            self._retired.append(owner)

    async def run_call(self, call: Call, instance: str) -> Answer:
        """Return the answer; raise NotRunError or UnknownRunError."""
        owner = self._owners.get(instance)
        if owner is None or owner.service.name != call.service:
            raise NotRunError(
                f"instance {instance} of service {call.service} is not "
                "of this node",
                ErrorCode.MISPLACED,
            )
        service = self._find_service(call.service)
        if service is not None and service is not owner.service:
            owner.set_service(service)
        self._running[call.request_id] = call.priority
        try:
            return await owner.run_call(call)
        finally:
            self._running.pop(call.request_id, None)

    def find_parent(self, request_id: str) -> Priority | None:
        """Return the priority of the request that a call is made for.

        None means that it is made for none that runs here.
        """
        mark = self._names.nesting_mark
        if not mark:
            return None
        return self._running.get(request_id.rpartition(mark)[0])

    def set_end(self, end_s: float) -> None:
        """Take only calls that will most likely end by then.

        The node ends at that time of the clock; until it drains, its
        backend servers stay in use.
        """
        self._end_s = end_s
        for owner in self._owners.values():
            owner.set_end(end_s)

    async def drain(self, limit_s: float) -> int:
        """Refuse new calls and wait; return how many remain in flight."""
        self._closing = True
        owners = [*self._owners.values(), *self._retired]
        for owner in owners:
            owner.start_draining()
        end_s = self._clock.monotonic() + limit_s
        while self.in_flight and self._clock.monotonic() < end_s:
            await self.sweep()
            await self._clock.sleep(DRAIN_POLL_S)
        await self.sweep()
        return self.in_flight

    @property
    def in_flight(self) -> int:
        """Calls that run or wait, and claims still being written."""
        owners = [*self._owners.values(), *self._retired]
        pending = self._claims.pending if self._claims else 0
        return pending + sum(o.running + o.waiting for o in owners)

    async def probe(self) -> None:
        """Ask suspect backend servers for a sign of life.

        To be called a few times a second.
        """
        for owner in list(self._owners.values()):
            await owner.probe()

    async def sweep(self) -> None:
        """Refuse waiting calls that may not start; close what is unused.

        To be called a few times a second.
        """
        for owner in [*self._owners.values(), *self._retired]:
            await owner.sweep()
        if self._claims is not None:
            await self._claims.retry_unfinished()
        self._retired = [
            owner for owner in self._retired if owner.running + owner.waiting
        ]

    def _find_owner(self, announcement: Announcement) -> InstanceOwner:
        address = parse_address(announcement.address)
        name = announcement.instance
        current = self._owners.get(name)
        # One whose lease lapsed may still have calls in its slots.
        known = [*([current] if current else []), *self._retired]
        for owner in known:
            if _is_owner_of(owner, announcement, address):
                if owner is not current:
                    self._retired.remove(owner)
                    self._owners[name] = owner
                return owner
        if current is not None:
            self.remove(name)
        cold = current is not None or self._counts_as_fresh()
        owner = self._make_owner(announcement, address, cold)
        self._owners[name] = owner
        return owner

    def _counts_as_fresh(self) -> bool:
        age_s = self._clock.monotonic() - self._start_s
        return age_s >= self._cfg.ramp_node_age_s

    def _make_owner(
        self, announcement: Announcement, address: Address, cold: bool
    ) -> InstanceOwner:
        name = announcement.service
        owner = InstanceOwner(
            self._cfg,
            announcement.instance,
            self._find_service(name) or Service(name),
            address,
            announcement.slots,
            announcement.connections,
            self._clock,
            self._metrics,
            self._claims,
            cold,
            self._names,
        )
        owner.set_end(self._end_s)
        return owner


def _is_owner_of(
    owner: InstanceOwner, announcement: Announcement, address: Address
) -> bool:
    return (
        owner.instance == announcement.instance
        and owner.service.name == announcement.service
        and owner.address == address
    )
