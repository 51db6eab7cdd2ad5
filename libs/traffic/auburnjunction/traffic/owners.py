"""Registry of the owners of this node's backend servers."""

from collections.abc import Callable, Iterable

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import Address, parse_address
from auburnjunction.http.resources import ProcessResources
from auburnjunction.membership.announcements import Announcement
from auburnjunction.membership.crashes import Crash, CrashLog
from auburnjunction.model.services import Service
from auburnjunction.model.validators import MAX_TIMEOUT_MS
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    NotRunError,
    UnknownRunError,
)
from auburnjunction.traffic.claims import ClaimStore
from auburnjunction.traffic.crash_watches import CrashObserver, ignore_crashes
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES, HeaderNames
from auburnjunction.traffic.instances import (
    DRAIN_POLL_INTERVAL_S,
    DepartureObserver,
    InstanceOwner,
    ignore_departure,
)
from auburnjunction.traffic.key_checks import RefusalFinder, find_no_refusal
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.nested_calls import NestedCallTracker

REFUSED_STATES = ("starting", "leaving", "gone")

# Time for which a call that ended without an answer is known as a parent: the
# backend server may run it until then.
ABANDONED_KEEP_S = 10.0
MAX_ABANDONED = 1024

ServiceFinder = Callable[[str], Service | None]


class OwnerRegistry:
    """Owners of this node's backend servers by announced instance."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        clock: Clock,
        metrics: OwnerMetrics,
        claims: ClaimStore | None = None,
        find_service: ServiceFinder = lambda name: None,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        crashes: CrashLog | None = None,
        lifetime: NodeLifetime | None = None,
        find_refusal: RefusalFinder = find_no_refusal,
        resources: ProcessResources | None = None,
        reports_load: bool = False,
        nested_calls: NestedCallTracker | None = None,
    ):
        self._find_refusal = find_refusal
        self._resources = resources
        self._reports_load = reports_load
        self._nested_calls = nested_calls
        self.on_departure: DepartureObserver = ignore_departure
        self.on_crash: CrashObserver = ignore_crashes
        self._crashes = crashes or CrashLog(clock)
        self._names = names
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._claims = claims
        self._find_service = find_service
        self._start_s = clock.monotonic()
        self._owners: dict[str, InstanceOwner] = {}
        # Calls that run or wait, by request id.
        self._calls: dict[str, Call] = {}
        # Those that ended without an answer after their start, and when.
        self._abandoned: dict[str, float] = {}
        self._retired: list[InstanceOwner] = []
        self._draining = False
        self._lifetime = lifetime or NodeLifetime(clock)
        metrics.set_owners(self)

    def __iter__(self):
        return iter(self._owners.values())

    def get(self, instance: str) -> InstanceOwner | None:
        """Return the owner of an instance if it is registered here."""
        return self._owners.get(instance)

    def update(self, announcement: Announcement) -> None:
        """Apply a backend server's announcement."""
        if announcement.state == "gone":
            self.remove(announcement.instance)
            return
        owner = self._find_owner(announcement)
        owner.clear_misplaced()
        owner.set_incarnation(announcement.born_ms)
        owner.set_capacity(announcement.slots, announcement.connections)
        if announcement.state == "starting":
            owner.restart_ramp()
            owner.start_draining(refuses_waiting=True)
        elif announcement.state in REFUSED_STATES or self._draining:
            owner.start_draining()
        else:
            owner.stop_draining()

    def remove(self, instance: str) -> None:
        """Unregister an instance and refuse new calls to it."""
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
                "registered at this node",
                ErrorCode.MISPLACED,
            )
        service = self._find_service(call.service)
        if service is not None and service is not owner.service:
            owner.set_service(service)
        self._calls[call.request_id] = call
        try:
            if self._nested_calls is not None:
                return await self._run_tallied(owner, call, self._nested_calls)
            return await owner.run_call(call)
        except (UnknownRunError, curio.CancelledError):
            self._record_abandoned(call)
            raise
        finally:
            self._calls.pop(call.request_id, None)

    def _record_abandoned(self, call: Call) -> None:
        if not call.started or not self._names.parent_id_separator:
            return
        if len(self._abandoned) >= MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]
        self._abandoned[call.request_id] = self._clock.monotonic()

    def _drop_abandoned(self) -> None:
        limit_s = self._clock.monotonic() - ABANDONED_KEEP_S
        self._abandoned = {
            request_id: ended_s
            for request_id, ended_s in self._abandoned.items()
            if ended_s > limit_s
        }

    async def _run_tallied(
        self, owner: InstanceOwner, call: Call, tracker: NestedCallTracker
    ) -> Answer:
        """Run a call; report its nested calls with the result."""
        due_s = min(call.target_s, call.deadline_s)
        tracker.start_request(call.request_id, due_s)
        try:
            answer = await owner.run_call(call)
            answer.nested = tracker.end_request(call.request_id)
            return answer
        except UnknownRunError as exc:
            exc.nested = tracker.end_request(call.request_id)
            raise
        finally:
            tracker.end_request(call.request_id)

    def find_parent(self, request_id: str) -> Call | None:
        """Return the call that a nested call is made for.

        Return None if the parent does not run at this node.
        """
        separator = self._names.parent_id_separator
        if not separator:
            return None
        return self._calls.get(request_id.rpartition(separator)[0])

    def has_abandoned_parent(self, request_id: str) -> bool:
        """Return whether a nested call's parent ended without an answer."""
        separator = self._names.parent_id_separator
        if not separator:
            return False
        return request_id.rpartition(separator)[0] in self._abandoned

    async def limit_answers(
        self, request_ids: Iterable[str], limit_s: float
    ) -> list[str]:
        """Set the answer limit of calls; return the ids not known here.

        limit_s is a time of the monotonic clock. Waiting calls that would end
        later are refused.
        """
        unknown = []
        for request_id in request_ids:
            call = self._calls.get(request_id)
            if call is None:
                unknown.append(request_id)
            else:
                call.answer_limit_s = min(call.answer_limit_s, limit_s)
        for owner in self._list_owners():
            await owner.sweep()
        return unknown

    async def drain(self, limit_s: float) -> int:
        """Refuse new calls and wait; return how many are still in flight."""
        self._draining = True
        for owner in self._list_owners():
            owner.start_draining()
        end_s = self._clock.monotonic() + limit_s
        while self.in_flight and self._clock.monotonic() < end_s:
            await self.sweep()
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)
        await self.sweep()
        return self.in_flight

    @property
    def in_flight(self) -> int:
        """Number of running and waiting calls and pending claim writes."""
        pending_writes = self._claims.pending_writes if self._claims else 0
        return pending_writes + sum(
            o.running + o.waiting for o in self._list_owners()
        )

    async def probe(self) -> None:
        """Probe suspect backend servers.

        Must be called a few times per second.
        """
        for owner in list(self._owners.values()):
            await owner.probe()

    async def sweep(self) -> None:
        """Refuse overdue waiting calls and retry claim writes.

        Also close unused connections and drop retired owners without calls.
        Must be called a few times per second.
        """
        for owner in self._list_owners():
            await owner.sweep()
        if self._abandoned:
            self._drop_abandoned()
        if self._claims is not None:
            await self._claims.retry_unrecorded()
        self._retired = [
            owner for owner in self._retired if owner.running + owner.waiting
        ]

    def _list_owners(self) -> list[InstanceOwner]:
        """Return all owners, also retired ones that still have calls."""
        return [*self._owners.values(), *self._retired]

    def _find_owner(self, announcement: Announcement) -> InstanceOwner:
        address = parse_address(announcement.address)
        name = announcement.instance
        current = self._owners.get(name)
        # An owner retired when its lease expired may still have calls in
        # its slots.
        candidates = [*([current] if current else []), *self._retired]
        for owner in candidates:
            if _is_owner_of(owner, announcement, address):
                if owner is not current:
                    self._retired.remove(owner)
                    self._owners[name] = owner
                return owner
        if current is not None:
            self.remove(name)
        cold = current is not None or self._counts_as_cold_start()
        owner = self._make_owner(announcement, address, cold)
        self._owners[name] = owner
        return owner

    def _handle_departure(self, instance: str, born_ms: int) -> None:
        self.on_departure(instance, born_ms)

    def _handle_crash(self, crashes: list[Crash]) -> None:
        self.on_crash(crashes)

    def _counts_as_cold_start(self) -> bool:
        age_s = self._clock.monotonic() - self._start_s
        return age_s >= self._cfg.ramp_node_age_s

    def _make_owner(
        self, announcement: Announcement, address: Address, cold: bool
    ) -> InstanceOwner:
        name = announcement.service
        return InstanceOwner(
            self._cfg,
            announcement.instance,
            self._find_service(name) or _make_unknown_service(name),
            address,
            announcement.slots,
            announcement.connections,
            self._clock,
            self._metrics,
            self._claims,
            cold,
            self._names,
            self._handle_departure,
            self._crashes,
            self._handle_crash,
            self._lifetime,
            self._find_refusal,
            self._resources,
            self._reports_load,
        )


def _make_unknown_service(name: str) -> Service:
    """Return a service for use until a configuration is in force.

    Entry nodes know its time-out and have cut the deadlines of their calls.
    """
    return Service(name, attempt_timeout_ms=MAX_TIMEOUT_MS)


def _is_owner_of(
    owner: InstanceOwner, announcement: Announcement, address: Address
) -> bool:
    return (
        owner.instance == announcement.instance
        and owner.service.name == announcement.service
        and owner.address == address
    )
