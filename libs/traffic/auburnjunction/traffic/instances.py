"""Owner of one backend server; all calls to it pass through its owner."""

from collections.abc import Callable
from functools import partial

import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import Address
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.resources import ProcessResources
from auburnjunction.membership.crashes import CrashLog
from auburnjunction.model.services import Service
from auburnjunction.placements.measurements import SpeedMeter
from auburnjunction.placements.reports import LoadReport, parse_server_load
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.backends import (
    BackendClient,
    MisplacedError,
    ShedError,
)
from auburnjunction.traffic.calls import (
    FIRST_SERVER_ERROR,
    Answer,
    Call,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.claims import ClaimStore, needs_claim
from auburnjunction.traffic.crash_watches import (
    CrashObserver,
    CrashWatch,
    ignore_crashes,
)
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES, HeaderNames
from auburnjunction.traffic.key_checks import RefusalFinder, find_no_refusal
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.limits import SlotLimit
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.notices import ServerNotice
from auburnjunction.traffic.quarantines import Quarantine
from auburnjunction.traffic.rate_limits import RateLimiter
from auburnjunction.traffic.slots import AdmissionController

DRAIN_POLL_INTERVAL_S = 0.02


# Called with the instance and the incarnation that says that it is leaving.
DepartureObserver = Callable[[str, int], None]


def ignore_departure(_instance: str, _born_ms: int) -> None:
    """Ignore the departure of a backend server."""


class InstanceOwner:
    """Runs calls on one backend server of this node within its slots."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        instance: str,
        service: Service,
        address: Address,
        slots: int,
        connections: int,
        clock: Clock,
        metrics: OwnerMetrics,
        claims: ClaimStore | None = None,
        cold: bool = False,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        on_departure: DepartureObserver = ignore_departure,
        crashes: CrashLog | None = None,
        on_crash: CrashObserver = ignore_crashes,
        lifetime: NodeLifetime | None = None,
        find_refusal: RefusalFinder = find_no_refusal,
        resources: ProcessResources | None = None,
        reports_load: bool = False,
    ):
        self.instance = instance
        self._speed_meter = SpeedMeter() if reports_load else None
        # Incarnation that announced itself last; 0 if it is not known.
        self.born_ms = 0
        self._leaving = False
        self._on_departure = on_departure
        self.service = service
        self.address = address
        self._clock = clock
        self._metrics = metrics
        self._claims = claims
        self._rate_limiter = RateLimiter(instance, cfg.rate_burst_s)
        self._limit = SlotLimit(cfg, slots, connections, clock, cold)
        self._admission = AdmissionController(
            cfg,
            self._limit,
            service.queue_limit,
            clock,
            self._rate_limiter,
            lifetime,
            find_refusal,
        )
        self._backend = BackendClient(
            cfg, address, connections, clock, instance, names, resources
        )
        self._backend.health_target = service.health_path.encode()
        self._is_misplaced = False
        log = crashes or CrashLog(clock)
        self._quarantine = Quarantine(log, names)
        self._crash_watch = CrashWatch(
            instance, self._backend, log, clock, names, on_crash
        )

    @property
    def load(self) -> float:
        """Running and waiting calls as a multiple of those it can run.

        These are the limit in force or, if fewer, the calls that its rate
        limit keeps running.
        """
        capacity = float(self.limit)
        if self.rate_limit_per_s is not None:
            kept_running = self.rate_limit_per_s * self._limit.times.mean_s
            capacity = min(capacity, max(1.0, kept_running))
        return (self.running + self.waiting) / capacity

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return self._admission.waiting

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return self._limit.value

    @property
    def rate_limit_per_s(self) -> float | None:
        """Calls per second that the backend server takes; None if any."""
        return self._rate_limiter.limit_per_s

    @property
    def draining(self) -> bool:
        """Whether new calls are refused."""
        return self._admission.draining

    @property
    def suspect(self) -> bool:
        """Whether a call timed out and no probe has been answered since."""
        return self._backend.suspect

    def clear_misplaced(self) -> None:
        """Send calls again; the backend server has announced itself."""
        self._is_misplaced = False

    async def run_call(self, call: Call) -> Answer:
        """Return the answer; raise NotRunError or UnknownRunError."""
        if self._is_misplaced:
            raise MisplacedError("another instance uses the address")
        self._quarantine.check(call)
        if call.rate_limit_per_s is not None:
            self._rate_limiter.adopt(call.rate_limit_per_s)
        try:
            if self._claims is not None and needs_claim(call):
                response = await self._run_claimed(call, self._claims)
            else:
                async with self._admission.hold_slot(call):
                    response = await self._send(call)
        except TrafficError as exc:
            self._metrics.count_error(call, exc)
            exc.report = self._make_report()
            raise
        except curio.CancelledError:
            self._metrics.count_abandoned(call)
            raise
        self._metrics.count_answer(call)
        return Answer(
            response,
            self.load,
            leaving=self._leaving,
            rate_limit_per_s=self.rate_limit_per_s,
            report=self._make_report(call.run_s),
        )

    def _make_report(self, run_s: float = 0.0) -> LoadReport | None:
        """Return the report for entry nodes; None if none are sent."""
        if self._speed_meter is None:
            return None
        now_s = self._clock.monotonic()
        return self._speed_meter.make_report(
            self.running, self.waiting, self.limit, now_s, run_s
        )

    def set_incarnation(self, born_ms: int) -> None:
        """Set the incarnation; a new one has named no rate limit."""
        if born_ms != self.born_ms:
            self.born_ms = born_ms
            self._rate_limiter.reset()
            if self._speed_meter is not None:
                self._speed_meter = SpeedMeter()

    def set_capacity(self, slots: int, connections: int) -> None:
        """Set the announced slots and connections."""
        self._limit.set_capacity(slots, connections)

    def set_service(self, service: Service) -> None:
        """Apply the limits of the service in a new configuration."""
        self.service = service
        self._backend.health_target = service.health_path.encode()
        self._admission.set_queue_limit(service.queue_limit)

    def restart_ramp(self) -> None:
        """Restart the slow start; the backend server has just started."""
        self._limit.ramp.restart()

    def start_draining(self, refuses_waiting: bool = False) -> None:
        """Refuse new calls as not run; calls in flight continue.

        Calls that wait may start within the drain start limit, unless they
        are refused.
        """
        self._admission.start_draining(refuses_waiting)

    def stop_draining(self) -> None:
        """Admit new calls again."""
        self._leaving = False
        self._admission.stop_draining()

    async def drain(self, limit_s: float) -> int:
        """Wait until no call is in flight; return how many remain."""
        self.start_draining()
        end_s = self._clock.monotonic() + limit_s
        while self.running + self.waiting:
            await self._admission.refuse_waiting()
            if self._clock.monotonic() >= end_s:
                break
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)
        await self._backend.close_idle()
        return self.running + self.waiting

    async def _run_claimed(
        self, call: Call, claims: ClaimStore
    ) -> HttpResponse:
        response = claims.find_cached_response(call)
        if response is not None:
            return response
        claim = None
        try:
            async with self._admission.hold_slot(call):
                claim = await claims.acquire(call)
                if claim.response is not None:
                    return claim.response
                response = await self._send(call)
        except NotRunError:
            if claim is not None:
                await claims.release(claim)
            raise
        except BaseException:
            if claim is not None:
                claims.keep_unknown(claim)
            raise
        await claims.record(claim, response)
        return response

    async def _send(self, call: Call) -> HttpResponse:
        start_s = self._clock.monotonic()
        born_ms = self.born_ms
        timeout_s = self.service.attempt_timeout_ms / 1000
        try:
            response = await self._backend.send(
                call,
                timeout_s,
                partial(self._check_start, call),
                partial(self._apply_notice, born_ms, start_s),
            )
        except ShedError:
            # Shedding below the slot limit is not caused by load.
            if self.running >= self.limit:
                self._limit.add_shed()
            raise
        except MisplacedError:
            self._is_misplaced = True
            raise
        except UnknownRunError as exc:
            self._record_duration(call, start_s)
            if await self._has_crashed(call, exc, born_ms):
                raise UnknownRunError(
                    "the backend server crashed while it ran the call",
                    ErrorCode.CRASHED,
                ) from exc
            raise
        except curio.CancelledError:
            self._metrics.count_abandoned_run(call)
            self._admission.log_abandoned_run(call, start_s)
            raise
        finally:
            self._crash_watch.end_call(call)
            self._quarantine.end_run(call)
        self._crash_watch.record_answer(call, response.status)
        self._record_duration(call, start_s)
        self._record_run(call, response, start_s)
        return response

    async def _has_crashed(
        self, call: Call, exc: UnknownRunError, born_ms: int
    ) -> bool:
        """Return whether the backend server has ended, and not as planned."""
        if exc.code is ErrorCode.TIMEOUT or self.draining:
            return False
        return await self._crash_watch.has_crashed(call, born_ms)

    def _check_start(self, call: Call) -> None:
        """Raise NotRunError if the call may not be sent any more."""
        try:
            self._admission.check_start(call)
        except NotRunError:
            self._metrics.count_late_start(call)
            raise
        self._quarantine.start_run(call)
        self._crash_watch.start_call(call)
        call.started = True

    def _apply_notice(
        self, born_ms: int, sent_s: float, notice: ServerNotice
    ) -> None:
        """Apply what the incarnation says in response to a call."""
        if born_ms != self.born_ms:
            return
        now_s = self._clock.monotonic()
        if self._speed_meter is not None:
            load = parse_server_load(notice.load)
            if load is not None:
                self._speed_meter.record_load(load, now_s)
        self._rate_limiter.update(notice.rate_limit_per_s, sent_s, now_s)
        if notice.leaving and not self._leaving:
            self._start_leaving(born_ms)

    def _start_leaving(self, born_ms: int) -> None:
        self._leaving = True
        self._admission.start_draining()
        self._on_departure(self.instance, born_ms)

    def _record_duration(self, call: Call, start_s: float) -> None:
        duration_s = self._clock.monotonic() - start_s
        self._limit.add_sample(call.route, duration_s, self.running)

    def _record_run(
        self, call: Call, response: HttpResponse, start_s: float
    ) -> None:
        """Measure the speed of the backend server by a success."""
        if self._speed_meter is None or response.status >= FIRST_SERVER_ERROR:
            return
        call.run_s = self._clock.monotonic() - start_s
        self._speed_meter.record_run(call.route, call.run_s)

    async def probe(self) -> None:
        """Probe the backend server if it is suspect."""
        await self._backend.probe()

    async def sweep(self) -> None:
        """Refuse calls that wait in vain; close unused connections."""
        await self._admission.refuse_waiting()
        if self.draining and not self.running:
            await self._backend.close_idle()
