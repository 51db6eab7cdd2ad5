"""Forwarding of calls between entry nodes and owner nodes."""

import math
from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import Protocol

import attrs
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.tasks import open_task_group, run_forever
from auburnjunction.http.clients import (
    Address,
    ClientConnection,
    ConnectionPool,
    PoolRegistry,
)
from auburnjunction.http.errors import (
    BadMessageError,
    ConnectTimeoutError,
    ExchangeTimeoutError,
    HttpError,
    NotSentError,
)
from auburnjunction.http.messages import (
    HttpRequest,
    HttpResponse,
    MessageLimits,
)
from auburnjunction.http.permits import WaitRefusedError
from auburnjunction.http.resources import ProcessResources
from auburnjunction.model.services import Instance
from auburnjunction.placements.reports import format_report, parse_report
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    CallRunner,
    NotRunError,
    Outcome,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.forwarded_calls import ForwardedCalls
from auburnjunction.traffic.headers import (
    ANSWER_LIMIT_HEADER,
    CALL_HEADER,
    ERROR_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    NESTED_HEADER,
    ORGANISATION_HEADER,
    OUTCOME_HEADER,
    OWNER_DURATION_HEADER,
    RATE_LIMIT_HEADER,
    REPORT_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    format_answer_limit,
    format_call,
    format_organisation,
    format_rate,
    make_error_response,
    parse_call,
    parse_rate,
    strip_headers,
)
from auburnjunction.traffic.nested_calls import (
    NestedReport,
    format_nested_report,
    parse_nested_report,
)
from auburnjunction.traffic.notices import LEAVING_VALUE
from auburnjunction.traffic.packed_headers import (
    pack_headers,
    unpack_headers,
)
from auburnjunction.traffic.routing_settings import RoutingSettings

MILLISECONDS_PER_SECOND = 1000
# Space for the headers that nodes add to a caller's request.
NODE_HEADER_BYTES = 4096
# The largest body that configurations allow callers.
MAX_FORWARDED_BODY_BYTES = 64 * 1024 * 1024
POOL_SWEEP_INTERVAL_S = 5.0
# HTTP requires a Host header; that of the caller is among the packed ones.
PLACEHOLDER_HOST = (b"host", b"node")
OK_VALUE = Outcome.OK.value.encode()
NOT_RUN_VALUE = Outcome.NOT_RUN.value.encode()


class InstanceSource(Protocol):
    """Provides the instances of each service."""

    def find_instances(self, service: str) -> Sequence[Instance]:
        """Return ready instances on live nodes of all data centres."""


class ReusedConnectionError(UnknownRunError):
    """A failure on a reused connection, which may be broken.

    It is weaker evidence of a fault of the instance than a failure on a new
    connection.
    """


class NodeConnectTimeoutError(NotRunError):
    """The connection to the owner node timed out.

    The node is down or the network to it is interrupted.
    """

    code = ErrorCode.UNREACHABLE


class PeerRunner(CallRunner):
    """Runs calls on the instances of other nodes by forwarding them."""

    def __init__(
        self,
        instances: InstanceSource,
        pools: PoolRegistry,
        clock: Clock,
        settings: RoutingSettings,
        forwarded: ForwardedCalls | None = None,
    ):
        self._forwarded = forwarded or ForwardedCalls()
        self._instances = instances
        self._pools = pools
        self._clock = clock
        self._answer_margin_s = settings.answer_margin_ms / 1000
        self._non_repeatable_idle_s = settings.non_repeatable_idle_ms / 1000

    async def run_call(self, call: Call, instance: str) -> Answer:
        """Return the answer; raise NotRunError or UnknownRunError."""
        for candidate in self._instances.find_instances(call.service):
            if candidate.instance == instance:
                return await self.forward_call(call, candidate)
        raise NotRunError(f"instance {instance} is not available any more")

    async def forward_call(self, call: Call, instance: Instance) -> Answer:
        """Forward the call to the instance's owner node."""
        now_s = self._clock.monotonic()
        timeout_s = call.deadline_s - now_s
        if timeout_s <= 0:
            raise NotRunError("the deadline has passed", ErrorCode.TIMEOUT)
        address = Address(instance.host, instance.peer_port)
        pool = self._pools.get(address)
        try:
            with self._forwarded.track(call, address):
                response = await self._send(pool, call, instance, timeout_s)
        except ConnectTimeoutError as exc:
            raise NodeConnectTimeoutError(exc.message) from exc
        except WaitRefusedError as exc:
            raise NotRunError(
                "this node shuts down before it has a connection for the call",
                ErrorCode.SHUTDOWN,
            ) from exc
        except NotSentError as exc:
            raise NotRunError(exc.message, ErrorCode.UNREACHABLE) from exc
        return _read_answer(response)

    async def _send(
        self,
        pool: ConnectionPool,
        call: Call,
        instance: Instance,
        timeout_s: float,
    ) -> HttpResponse:
        max_idle_s = None if call.repeatable else self._non_repeatable_idle_s
        async with pool.lease(max_idle_s, timeout_s) as conn:
            now_s = self._clock.monotonic()
            remaining_s = call.deadline_s - now_s
            if remaining_s <= 0:
                raise NotRunError(
                    "the deadline passed before there was a connection",
                    ErrorCode.TIMEOUT,
                )
            request = self._make_request(call, instance.instance, now_s)
            response = await _exchange(conn, request, remaining_s)
            response.headers = unpack_headers(response.headers)
            if not _is_answer_to(response, call):
                conn.mark_not_reusable()
                raise UnknownRunError("the answer belongs to another request")
            return response

    def _make_request(
        self, call: Call, instance: str, now_s: float
    ) -> HttpRequest:
        timeout_s = call.deadline_s - now_s
        margin_s = min(self._answer_margin_s, timeout_s / 10)
        value = format_call(call, instance, now_s + margin_s)
        req = call.request
        own_headers = req.headers
        if call.rate_limit_per_s is not None:
            rate = format_rate(call.rate_limit_per_s)
            own_headers = [*own_headers, (RATE_LIMIT_HEADER, rate)]
        if call.answer_limit_s < math.inf:
            limit = format_answer_limit(call, now_s)
            own_headers = [*own_headers, (ANSWER_LIMIT_HEADER, limit)]
        if call.organisation:
            organisation = format_organisation(call)
            own_headers = [*own_headers, (ORGANISATION_HEADER, organisation)]
        packed = pack_headers(own_headers)
        headers = [(CALL_HEADER, value), *packed]
        if packed is not own_headers:
            headers.append(PLACEHOLDER_HOST)
        return HttpRequest(
            req.method, req.target, headers, req.body, account=req.account
        )


async def _exchange(
    conn: ClientConnection, request: HttpRequest, timeout_s: float
) -> HttpResponse:
    is_reused = conn.exchanges > 0
    try:
        return await conn.exchange(request, timeout_s)
    except NotSentError:
        raise
    except HttpError as exc:
        is_timeout = isinstance(exc, ExchangeTimeoutError)
        code = ErrorCode.TIMEOUT if is_timeout else ErrorCode.UNKNOWN
        error = ReusedConnectionError if is_reused else UnknownRunError
        raise error(exc.message, code) from exc


def _is_answer_to(response: HttpResponse, call: Call) -> bool:
    return response.header(REQUEST_ID_HEADER) == call.request_id.encode()


def _read_answer(response: HttpResponse) -> Answer:
    outcome = response.header(OUTCOME_HEADER)
    if outcome == OK_VALUE:
        load = _read_number(response, LOAD_HEADER)
        owner_duration_s = (
            _read_number(response, OWNER_DURATION_HEADER)
            / MILLISECONDS_PER_SECOND
        )
        return Answer(
            response,
            load,
            owner_duration_s,
            leaving=response.header(LEAVING_HEADER) == LEAVING_VALUE,
            rate_limit_per_s=parse_rate(response.header(RATE_LIMIT_HEADER)),
            report=parse_report(response.header(REPORT_HEADER)),
            nested=_read_nested_report(response),
        )
    message = response.body.decode(errors="replace").strip()
    code = _read_code(response)
    if outcome == NOT_RUN_VALUE:
        retry_after_s = _read_number(response, RETRY_AFTER_HEADER)
        error = NotRunError(message, code, retry_after_s)
    else:
        error = UnknownRunError(message, code)
        error.nested = _read_nested_report(response)
    error.report = parse_report(response.header(REPORT_HEADER))
    raise error


def _read_nested_report(response: HttpResponse) -> NestedReport | None:
    value = response.header(NESTED_HEADER)
    return None if value is None else parse_nested_report(value)


def _read_number(response: HttpResponse, name: bytes) -> float:
    """Return the number in a header, or 0 if missing or malformed.

    Older nodes do not send all of these headers.
    """
    try:
        return float(response.header(name) or 0)
    except ValueError:
        return 0.0


def _read_code(response: HttpResponse) -> ErrorCode:
    value = response.header(ERROR_HEADER) or b""
    try:
        return ErrorCode(value.decode())
    except ValueError:
        return ErrorCode.UNKNOWN


def make_pools(
    settings: RoutingSettings,
    clock: Clock,
    translations: dict[Address, Address] | None = None,
    resources: ProcessResources | None = None,
) -> PoolRegistry:
    """Return the connection pools for other nodes."""
    return PoolRegistry(
        clock,
        translations,
        max_connections=settings.pool_connections,
        idle_limit_s=settings.pool_idle_ms / 1000,
        connect_timeout_s=settings.connect_timeout_ms / 1000,
        resources=resources,
    )


@asynccontextmanager
async def open_pools(
    settings: RoutingSettings,
    clock: Clock,
    translations: dict[Address, Address] | None = None,
    resources: ProcessResources | None = None,
):
    """Yield pools that are swept periodically, and close them at the end."""
    pools = make_pools(settings, clock, translations, resources)
    try:
        async with open_task_group() as group:
            await group.spawn(
                run_forever, pools.sweep, clock, POOL_SWEEP_INTERVAL_S
            )
            yield pools
    finally:
        await pools.close()


def make_peer_limits(
    limits: MessageLimits, has_budget: bool = False
) -> MessageLimits:
    """Return limits for the peer listener, given those for callers.

    A request head of the maximum size must still fit after an entry node
    has added its headers. Entry nodes apply the configuration's limit on
    bodies; where a budget bounds the bodies, the owner node takes each.
    """
    body_bytes = limits.body_bytes
    if has_budget:
        body_bytes = max(body_bytes, MAX_FORWARDED_BODY_BYTES)
    return attrs.evolve(
        limits,
        head_bytes=limits.head_bytes + NODE_HEADER_BYTES,
        body_bytes=body_bytes,
    )


class PeerHandler:
    """Handles calls that other nodes forward to this node's instances."""

    def __init__(self, runner: CallRunner, clock: Clock):
        self._runner = runner
        self._clock = clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer with headers for outcome, load and request id."""
        started_s = self._clock.monotonic()
        _unpack_request(request)
        try:
            call, instance = parse_call(request, self._clock.monotonic())
        except BadMessageError as exc:
            error = NotRunError(exc.message, ErrorCode.INVALID)
            return make_error_response(error, "")
        request.headers = strip_headers(request.headers)
        try:
            answer = await self._runner.run_call(call, instance)
        except TrafficError as exc:
            response = make_error_response(exc, call.request_id)
            if exc.report is not None:
                report = format_report(exc.report)
                response.headers.append((REPORT_HEADER, report))
            if exc.nested is not None:
                report = format_nested_report(exc.nested)
                response.headers.append((NESTED_HEADER, report))
            return response
        except Exception:
            logging.exception("call %s failed", call.request_id)
            error = UnknownRunError("internal error", ErrorCode.INTERNAL)
            return make_error_response(error, call.request_id)
        answer.owner_duration_s = self._clock.monotonic() - started_s
        return _make_response(answer, call.request_id)


def _unpack_request(request: HttpRequest) -> None:
    value = request.header(CALL_HEADER)
    unpacked = unpack_headers(request.headers)
    if unpacked is not request.headers and value is not None:
        request.headers = [(CALL_HEADER, value), *unpacked]


def _make_response(answer: Answer, request_id: str) -> HttpResponse:
    response = answer.response
    headers = [
        (OUTCOME_HEADER, OK_VALUE),
        (LOAD_HEADER, b"%.2f" % answer.load),
        (
            OWNER_DURATION_HEADER,
            b"%.1f" % (answer.owner_duration_s * MILLISECONDS_PER_SECOND),
        ),
        (REQUEST_ID_HEADER, request_id.encode()),
        *strip_headers(response.headers),
    ]
    if answer.leaving:
        headers.append((LEAVING_HEADER, LEAVING_VALUE))
    if answer.rate_limit_per_s is not None:
        rate = format_rate(answer.rate_limit_per_s)
        headers.append((RATE_LIMIT_HEADER, rate))
    if answer.report is not None:
        headers.append((REPORT_HEADER, format_report(answer.report)))
    if answer.nested is not None:
        headers.append((NESTED_HEADER, format_nested_report(answer.nested)))
    return attrs.evolve(response, headers=pack_headers(headers))
