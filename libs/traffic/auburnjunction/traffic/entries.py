"""Entry side of a node: handling of callers' requests."""

import random
from collections.abc import Callable

import attrs
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.crashes import CrashLog
from auburnjunction.organisations.errors import QuotaExceededError
from auburnjunction.organisations.holdings import Charge
from auburnjunction.organisations.quotas import Quotas
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.placements.meters import PlacementMetrics
from auburnjunction.placements.placers import Placer
from auburnjunction.placements.settings import PlacementSettings
from auburnjunction.rollouts.selectors import VersionSelector
from auburnjunction.traffic.balancers import Balancer, NodeLocation
from auburnjunction.traffic.call_forwarders import InstanceSource, PeerRunner
from auburnjunction.traffic.call_reports import CallReporter
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    CallRunner,
    NotRunError,
    Outcome,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.forwarded_calls import ForwardedCalls
from auburnjunction.traffic.headers import (
    DEFAULT_HEADER_NAMES,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    HeaderNames,
    make_error_response,
    strip_headers,
)
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.key_checks import KeyChecker
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.nested_calls import NestedCallTracker
from auburnjunction.traffic.quarantines import Quarantine
from auburnjunction.traffic.retries import NodeCounter, count_one
from auburnjunction.traffic.return_ledgers import ReturnLedgers
from auburnjunction.traffic.room_gates import RoomGate
from auburnjunction.traffic.room_senders import RoomSender
from auburnjunction.traffic.routers import (
    ParentFinder,
    ReadinessSource,
    RequestIdGenerator,
    Router,
    ServiceSource,
    SnapshotSource,
    find_no_parent,
    has_no_parent,
    no_service,
)
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.senders import CallSender, CallTrace, Sender
from auburnjunction.traffic.version_observers import VersionObserver

# Minimum Retry-After, in seconds, of calls whose refusal gave none: the time
# in which a change reaches every node. It is jittered up to twice this time.
DEFAULT_RETRY_AFTER_S = 0.1
# Codes of calls that a node or a backend server refused as it ends.
SHUTDOWN_CODES = frozenset({ErrorCode.DRAINING, ErrorCode.SHUTDOWN})
OK_VALUE = Outcome.OK.value.encode()


class EntryHandler:
    """Handles the requests that callers send to this node."""

    def __init__(
        self,
        router: Router,
        sender: Sender,
        reporter: CallReporter,
        clock: Clock,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        lifetime: NodeLifetime | None = None,
        quotas: Quotas | None = None,
    ):
        self._quotas = quotas
        self._lifetime = lifetime or NodeLifetime(clock)
        self._names = names
        self._router = router
        self._sender = sender
        self._reporter = reporter
        self._clock = clock
        self._ids = RequestIdGenerator()
        self._draining = False
        self._in_flight: dict[int, CallTrace] = {}

    @property
    def in_flight(self) -> list[CallTrace]:
        """Records of the calls that have no answer yet."""
        return list(self._in_flight.values())

    def start_draining(self) -> None:
        """Refuse new calls as not run; calls in flight continue."""
        self._draining = True

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return whether the request may run beside others of its caller.

        Those that a caller sends ahead on one connection overlap only if
        their routes allow repetition.
        """
        return self._router.is_repeatable(request)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer, or an error response with the outcome.

        The deadline counts from the receipt of the request's head, also
        where the request has waited behind others of its connection.
        """
        request_id = self._get_request_id(request)
        started_s = request.received_s
        if started_s is None:
            started_s = self._clock.monotonic()
        trace = CallTrace(request_id, started_s)
        self._in_flight[id(trace)] = trace
        try:
            response = await self._handle(request, trace)
        except TrafficError as exc:
            return self._make_failure(exc, trace)
        except Exception:
            logging.exception("call %s failed", trace.request_id)
            error = UnknownRunError("internal error", ErrorCode.INTERNAL)
            return self._make_failure(error, trace)
        finally:
            del self._in_flight[id(trace)]
        self._report(trace, Outcome.OK, response.status)
        return response

    async def _handle(
        self, request: HttpRequest, trace: CallTrace
    ) -> HttpResponse:
        if self._draining:
            raise NotRunError("this node is draining", ErrorCode.DRAINING)
        routed = self._router.route_request(
            request, trace.request_id, trace.started_s
        )
        trace.deadline_s = routed.call.deadline_s
        trace.service = routed.call.service
        trace.route = routed.call.route
        trace.nested = routed.call.nested
        trace.priority = int(routed.call.priority)
        trace.revision = routed.call.revision
        charge = await self._charge(routed.call)
        try:
            answer = await self._sender.send_call(routed, trace)
        except NotRunError:
            if charge is not None:
                self._quotas.refund(charge)
            raise
        return self._make_response(answer, trace.request_id)

    async def _charge(self, call: Call) -> Charge | None:
        """Charge a call to its organisation's quota, if it has one."""
        if self._quotas is None or not call.organisation or call.nested:
            return None
        try:
            return await self._quotas.charge(call.organisation)
        except QuotaExceededError as exc:
            raise NotRunError(
                exc.message, exc.code, exc.retry_after_s
            ) from exc

    def _get_request_id(self, request: HttpRequest) -> str:
        if self._names.preserves_request_id:
            value = request.header(self._names.request_id)
            if value:
                return value.decode("latin-1")
        return self._ids.make_id()

    def _make_response(self, answer: Answer, request_id: str) -> HttpResponse:
        response = answer.response
        headers = strip_headers(response.headers)
        if not self._names.preserves_request_id:
            headers += [
                (OUTCOME_HEADER, OK_VALUE),
                (REQUEST_ID_HEADER, request_id.encode()),
            ]
        return attrs.evolve(response, headers=headers)

    def _make_failure(
        self, error: TrafficError, trace: CallTrace
    ) -> HttpResponse:
        if error.outcome is Outcome.NOT_RUN:
            self._set_retry_after(error)
        trace.reason = error.message
        trace.retry_after_s = error.retry_after_s
        self._report(trace, error.outcome, error.code)
        return make_error_response(error, trace.request_id, self._names)

    def _set_retry_after(self, error: TrafficError) -> None:
        """Set the delay of a refusal that has none, or is due to shutdown."""
        if self._lifetime.is_ending and error.code in SHUTDOWN_CODES:
            delay_s = self._lifetime.find_return_delay()
            error.retry_after_s = delay_s + draw_retry_after()
        elif not error.retry_after_s:
            error.retry_after_s = draw_retry_after()

    def _report(self, trace: CallTrace, outcome: Outcome, code) -> None:
        duration_s = self._clock.monotonic() - trace.started_s
        self._reporter.report_call(trace, outcome, code, duration_s)


def draw_retry_after() -> float:
    """Return a Retry-After in seconds for a refusal that gives none."""
    return DEFAULT_RETRY_AFTER_S * random.uniform(1, 2)


def make_entry_handler(
    location: NodeLocation,
    settings: RoutingSettings,
    clock: Clock,
    snapshots: SnapshotSource,
    readiness: ReadinessSource,
    instances: InstanceSource,
    local: CallRunner,
    pools: PoolRegistry,
    metrics: MetricRegistry,
    rng: random.Random | None = None,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
    own_service: ServiceSource = no_service,
    find_parent: ParentFinder = find_no_parent,
    count_nodes: NodeCounter = count_one,
    crashes: CrashLog | None = None,
    lifetime: NodeLifetime | None = None,
    forwarded: ForwardedCalls | None = None,
    keys: KeyChecker | None = None,
    has_abandoned_parent: Callable[[str], bool] = has_no_parent,
    versions: VersionSelector | None = None,
    placement: PlacementSettings | None = None,
    nested_calls: NestedCallTracker | None = None,
    quotas: Quotas | None = None,
) -> EntryHandler:
    """Return a node's entry handler with all its components."""
    rng = rng or random.Random()
    keys = keys or KeyChecker(OrganisationSettings(), snapshots)
    outlier_tracker = OutlierTracker(settings)
    instance_tracker = InstanceTracker(outlier_tracker, clock, settings)
    if placement is not None and placement.is_enabled:
        instance_tracker.placer = Placer(
            placement,
            location.data_centre,
            rng,
            instance_tracker.estimate_link_latency_s,
        )
        PlacementMetrics(metrics, instance_tracker.placer)
    balancer = Balancer(
        location,
        instances,
        outlier_tracker,
        instance_tracker,
        settings,
        rng,
        versions,
    )
    peer_runner = PeerRunner(instances, pools, clock, settings, forwarded)
    sender: Sender = CallSender(
        location,
        balancer,
        instance_tracker,
        local,
        peer_runner,
        clock,
        settings,
        rng,
        count_nodes,
        Quarantine(crashes or CrashLog(clock), names),
        lifetime,
        keys.find_attempt_refusal,
        VersionObserver(versions, clock) if versions is not None else None,
    )
    if settings.room_checks or settings.return_places:
        sender = RoomSender(
            sender,
            clock,
            metrics,
            RoomGate(rng) if settings.room_checks else None,
            ReturnLedgers() if settings.return_places else None,
            nested_calls,
            names.parent_id_separator,
        )
    reporter = CallReporter(metrics, outlier_tracker, settings)
    router = Router(
        snapshots,
        readiness,
        names,
        own_service,
        find_parent,
        settings.uniform_timeouts,
        keys,
        has_abandoned_parent,
    )
    return EntryHandler(
        router, sender, reporter, clock, names, lifetime, quotas
    )
