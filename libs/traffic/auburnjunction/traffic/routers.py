"""Matching of callers' requests against the snapshot in force."""

import itertools
import math
import os
import re
from collections.abc import Callable
from typing import Protocol

import attrs

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import Headers, HttpRequest
from auburnjunction.model.priorities import Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import RevisedSnapshot
from auburnjunction.organisations.authentications import (
    ANONYMOUS,
    AUTHORIZATION_HEADER,
    Authentication,
)
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.headers import (
    DEFAULT_HEADER_NAMES,
    IDEMPOTENCY_KEY_HEADER,
    HeaderNames,
    drop_headers,
    strip_headers,
)
from auburnjunction.traffic.key_checks import KeyChecker, SnapshotSource
from auburnjunction.traffic.splits import TrafficSplitter
from auburnjunction.traffic.timeouts import ElapsedTimeEstimator

MAX_KEY_LENGTH = 255
# Time elapsed since the first attempt from which a call is a return. Less is
# due to rounding and to callers that are late themselves.
MIN_RETURN_MS = 10
ID_PREFIX_BYTES = 4
DEADLINE_PATTERN = re.compile(rb"[0-9]{1,9}\Z")
KEY_PATTERN = re.compile(rb"[\x21-\x7e]+\Z")
# Sequences that a backend server may normalise, so that it would serve
# another path than the one that was matched against the routes.
AMBIGUOUS_PATH = re.compile(r"/\.{1,2}(/|$)|//|\\|%2[ef]|%5c|%00|#", re.I)


ServiceSource = Callable[[], str]


def no_service() -> str:
    """Return an empty name, for a node without a backend server."""
    return ""


ParentFinder = Callable[[str], Call | None]


def find_no_parent(_request_id: str) -> None:
    """Return None, for nodes that do not track parent requests."""


def has_no_parent(_request_id: str) -> bool:
    """Return False, for nodes that do not track parent requests."""
    return False


class ReadinessSource(Protocol):
    """Reports whether this node's state is recent enough to route calls.

    A node that was paused is not current until it has caught up.
    """

    @property
    def is_current(self) -> bool:
        """Whether the node may route calls."""


@attrs.define(slots=True)
class RoutedCall:
    """A call with its route and service from the snapshot that routed it."""

    call: Call
    route: Route
    service: Service
    # Whether the caller returns after a refusal, by its shortened timeout.
    is_return: bool = False


class RequestIdGenerator:
    """Generates short request ids that are unique in the mesh.

    An id is a random prefix, drawn once per generator, and a counter.
    """

    def __init__(self):
        self._prefix = os.urandom(ID_PREFIX_BYTES).hex()
        self._counter = itertools.count(1)

    def make_id(self) -> str:
        """Return a new unique id."""
        return f"{self._prefix}-{next(self._counter):x}"


class Router:
    """Matches callers' requests with routes and makes calls of them."""

    def __init__(
        self,
        snapshots: SnapshotSource,
        readiness: ReadinessSource,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        own_service: ServiceSource = no_service,
        find_parent: ParentFinder = find_no_parent,
        uniform_timeouts: bool = False,
        keys: KeyChecker | None = None,
        has_abandoned_parent: Callable[[str], bool] = has_no_parent,
    ):
        self._has_abandoned_parent = has_abandoned_parent
        self._keys = keys or KeyChecker(OrganisationSettings(), snapshots)
        self._set_by_keys = frozenset(
            {AUTHORIZATION_HEADER, names.organisation}
        )
        self._elapsed = ElapsedTimeEstimator() if uniform_timeouts else None
        self._find_parent = find_parent
        self._snapshots = snapshots
        self._readiness = readiness
        self._names = names
        self._set_by_nodes = names.set_by_nodes
        self._own_service = own_service
        self._splitter = TrafficSplitter()

    def route_request(
        self, request: HttpRequest, request_id: str, now_s: float
    ) -> RoutedCall:
        """Return the call for a request; raise NotRunError if refused."""
        revised = self._require_snapshot()
        if request.header(b"host") is None:
            raise NotRunError(
                "the request has no Host header", ErrorCode.INVALID
            )
        route = self._find_route(revised, request, request_id)
        name = self._splitter.choose_service(route)
        service = revised.snapshot.services_by_name[name]
        timeout_ms = _read_timeout(request, route, self._names.deadline)
        parent = self._find_parent(request_id)
        headers = self._make_headers(request)
        access = ANONYMOUS
        if revised.snapshot.organisations:
            if parent is not None and not parent.started:
                # An id that a caller invents from that of a waiting call.
                parent = None
            access = self._authenticate(
                revised, route, request, request_id, parent
            )
            headers = drop_headers(headers, self._set_by_keys)
            headers += self._make_organisation_header(access)
        priority = _find_priority(route, parent, access)
        elapsed_ms = 0
        if self._elapsed is not None and parent is None:
            elapsed_ms = self._elapsed.estimate_ms(route.name, timeout_ms)
        call = Call(
            request_id=request_id,
            route=route.name,
            service=service.name,
            priority=priority,
            route_priority=_find_route_priority(route, parent, priority),
            nested=parent is not None,
            repeated=parent is not None and parent.repeated,
            target_s=_compute_target(route, elapsed_ms, now_s),
            repeatable=route.repeatable,
            claims=route.claims,
            deadline_s=now_s + timeout_ms / 1000,
            revision=revised.mark.revision,
            request=HttpRequest(
                request.method,
                request.target,
                headers,
                request.body,
                account=request.account,
            ),
            idempotency_key=_read_idempotency_key(request),
            organisation=_find_organisation_name(parent, access),
            key_digest=access.key_digest,
        )
        return RoutedCall(call, route, service, elapsed_ms >= MIN_RETURN_MS)

    def _find_route(
        self, revised: RevisedSnapshot, request: HttpRequest, request_id: str
    ) -> Route:
        try:
            return _find_route(revised, request)
        except NotRunError as exc:
            if (
                exc.code is ErrorCode.NOT_FOUND
                and revised.snapshot.organisations
            ):
                self._keys.require_current(request_id)
            raise

    def _authenticate(
        self,
        revised: RevisedSnapshot,
        route: Route,
        request: HttpRequest,
        request_id: str,
        parent: Call | None,
    ) -> Authentication:
        """Return the accepted authentication of a request.

        A nested call needs no key: the backend server that makes it runs a
        request that was authenticated.
        """
        needs_key = parent is None and not route.allow_anonymous
        if (
            needs_key
            and request.header(AUTHORIZATION_HEADER) is None
            and self._has_abandoned_parent(request_id)
        ):
            # Nested calls have no key; 401 would be wrong for this one.
            raise NotRunError("the parent request has ended without an answer")
        return self._keys.authenticate(revised, request, request_id, needs_key)

    def _make_organisation_header(self, access: Authentication) -> Headers:
        name = self._names.organisation
        if not name or access.organisation is None:
            return []
        return [(name, access.organisation.name.encode())]

    def is_repeatable(self, request: HttpRequest) -> bool:
        """Return whether the route of a request allows repetition.

        Return False for a request without a route.
        """
        revised = self._snapshots.current
        if revised is None:
            return False
        try:
            return _find_route(revised, request).repeatable
        except NotRunError:
            return False

    def _make_headers(self, request: HttpRequest) -> Headers:
        names = self._names
        headers = strip_headers(request.headers)
        headers = drop_headers(headers, self._set_by_nodes)
        if names.caller_service:
            service = self._own_service().encode()
            headers.append((names.caller_service, service))
        return headers

    def _require_snapshot(self) -> RevisedSnapshot:
        if not self._readiness.is_current:
            raise NotRunError(
                "this node is starting or catching up after a pause"
            )
        revised = self._snapshots.current
        if revised is None:
            raise NotRunError("this node has no configuration yet")
        return revised


def _find_priority(
    route: Route, parent: Call | None, access: Authentication
) -> Priority:
    """Return the priority of a request; a nested call has its parent's."""
    if parent is not None:
        # A slow nested call delays its parent request.
        return parent.priority
    organisation = access.organisation
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _find_route_priority(
    route: Route, parent: Call | None, priority: Priority
) -> Priority | None:
    """Return the priority of the route if another one precedes it."""
    if parent is not None:
        return parent.route_priority
    return None if route.priority is priority else route.priority


def _find_organisation_name(
    parent: Call | None, access: Authentication
) -> str:
    """Return the organisation that a request counts for."""
    if access.organisation is not None:
        return access.organisation.name
    return parent.organisation if parent is not None else ""


def _compute_target(route: Route, elapsed_ms: int, now_s: float) -> float:
    """Return the time until which an answer meets the objective.

    The objective counts from the caller's first attempt. Timeouts of nested
    calls are those that their parents have left.
    """
    if not route.target_latency_ms:
        return math.inf
    return now_s + (route.target_latency_ms - elapsed_ms) / 1000


def _find_route(revised: RevisedSnapshot, request: HttpRequest) -> Route:
    path = request.path
    if not path.startswith("/") or AMBIGUOUS_PATH.search(path):
        raise NotRunError("the path is ambiguous", ErrorCode.INVALID)
    host = (request.header(b"host") or b"").decode("latin-1")
    method = request.method.decode()
    route = revised.snapshot.find_route(method, path, host)
    if route is None:
        raise NotRunError(
            "no route matches host, method and path", ErrorCode.NOT_FOUND
        )
    return route


def _read_timeout(request: HttpRequest, route: Route, name: bytes) -> int:
    value = _read_single_header(request, name)
    if value is None:
        return route.timeout_ms
    if not DEADLINE_PATTERN.match(value):
        raise NotRunError(
            f"{name.decode()} is not a 1- to 9-digit number of milliseconds",
            ErrorCode.INVALID,
        )
    return min(int(value), route.timeout_ms)


def _read_idempotency_key(request: HttpRequest) -> str:
    value = _read_single_header(request, IDEMPOTENCY_KEY_HEADER)
    if value is None:
        return ""
    if len(value) > MAX_KEY_LENGTH or not KEY_PATTERN.match(value):
        raise NotRunError(
            f"Idempotency-Key is not 1 to {MAX_KEY_LENGTH} printable "
            "ASCII characters",
            ErrorCode.INVALID,
        )
    return value.decode("ascii")


def _read_single_header(request: HttpRequest, name: bytes) -> bytes | None:
    values = [value for key, value in request.headers if key == name]
    if len(values) > 1:
        raise NotRunError(
            f"{name.decode()} occurs {len(values)} times, not once",
            ErrorCode.INVALID,
        )
    return values[0] if values else None
