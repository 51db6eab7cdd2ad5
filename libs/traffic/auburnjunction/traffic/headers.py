"""Headers that nodes add to requests and responses.

Between nodes one header carries all of a call's own data, so that a hop
parses one header more instead of nine. Nodes remove every header that
begins with the internal prefix from callers' requests and backend
servers' responses.
"""

import math
from collections.abc import Set
from urllib.parse import quote, unquote

import attrs

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.errors import BadMessageError
from auburnjunction.http.messages import (
    HOP_BY_HOP_HEADERS,
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.traffic.calls import Call, Outcome, TrafficError

INTERNAL_PREFIX = b"auburn-"
CALL_HEADER = b"auburn-call"
OUTCOME_HEADER = b"auburn-outcome"
ERROR_HEADER = b"auburn-error"
LOAD_HEADER = b"auburn-load"
# Milliseconds for which the owner node held the call.
SPENT_HEADER = b"auburn-spent-ms"
REQUEST_ID_HEADER = b"auburn-request-id"
DEADLINE_HEADER = b"auburn-deadline-ms"
PRIORITY_HEADER = b"auburn-priority"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
# A backend server sets this on a refusal to say that nothing ran.
SHED_HEADER = b"auburn-shed"

# Time in seconds after which a refused call had best be tried again.
RETRY_AFTER_HEADER = b"retry-after"

FIELD_COUNT = 12
# Values of the Connection header that name no other header.
PLAIN_CONNECTIONS = frozenset({b"keep-alive", b"close"})


# Statuses that tell a caller that its request did not and will not run.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
REFUSED_STATUS = 503


@attrs.frozen
class HeaderNames:
    """Names under which callers and backend servers know a call's data.

    All are in lower case; what has an empty name is not sent.
    """

    request_id: bytes = REQUEST_ID_HEADER
    # Milliseconds that are left for the answer.
    deadline: bytes = DEADLINE_HEADER
    # Marks a backend server's response to a request that it did not run.
    not_run: bytes = SHED_HEADER
    # Instance that a request is meant for; others answer 421.
    instance: bytes = b""
    # Service on whose host the call began.
    caller_service: bytes = b""
    # Mark that every success of a backend server bears.
    signature: bytes = b""
    # Stands in the id of a nested call behind the id of the request that
    # the call is made for; empty where ids do not tell.
    nesting_mark: str = ""
    # Whether callers name their requests, and answers bear that name.
    keeps_request_id: bool = False
    # Whether the statuses of PROMISE_STATUSES alone tell callers that
    # nothing ran, so that no other failure may have one of them.
    statuses_promise: bool = False

    @property
    def set_by_nodes(self) -> frozenset[bytes]:
        """Headers that nodes set, whatever the caller sent."""
        names = {self.deadline, self.instance, self.caller_service}
        return frozenset(names - {b""})


OWN_NAMES = HeaderNames()


def drop_headers(headers: Headers, names: Set[bytes]) -> Headers:
    """Return the headers without those of these names."""
    return [(name, value) for name, value in headers if name not in names]


def strip_headers(headers: Headers) -> Headers:
    """Return the headers that may pass on to the next hop."""
    kept = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS
        and not name.startswith(INTERNAL_PREFIX)
    ]
    connection = find_header(headers, b"connection")
    if connection is None or connection.lower() in PLAIN_CONNECTIONS:
        return kept
    named = _list_connection_names(headers)
    return [(name, value) for name, value in kept if name not in named]


def _list_connection_names(headers: Headers) -> set[bytes]:
    """Return the headers that are for this connection only."""
    names = set()
    for name, value in headers:
        if name == b"connection":
            names.update(v.strip() for v in value.lower().split(b","))
    return names


def format_call(call: Call, instance: str, now_s: float) -> bytes:
    """Return the value of the call header for a forwarded request."""
    remaining_ms = max(0, int((call.deadline_s - now_s) * 1000))
    fields = (
        quote(call.request_id, safe=""),
        quote(call.route, safe=""),
        quote(call.service, safe=""),
        quote(instance, safe=""),
        str(int(call.priority)),
        "1" if call.repeatable else "0",
        str(int(call.claims)),
        str(remaining_ms),
        str(call.revision),
        _format_target(call, now_s),
        "1" if call.nested else "0",
        "1" if call.prompt else "0",
    )
    return ";".join(fields).encode("ascii")


def _format_target(call: Call, now_s: float) -> str:
    if call.target_s == math.inf:
        return ""
    return str(int((call.target_s - now_s) * 1000))


def parse_call(request: HttpRequest, now_s: float) -> tuple[Call, str]:
    """Return the call and instance of a forwarded request.

    Raise BadMessageError when the call header is missing or bad.
    """
    value = request.header(CALL_HEADER)
    if value is None:
        raise BadMessageError("the call header is missing")
    fields = value.decode("latin-1").split(";")
    if len(fields) != FIELD_COUNT:
        raise BadMessageError("the call header has missing fields")
    try:
        key = request.header(IDEMPOTENCY_KEY_HEADER) or b""
        call = Call(
            request_id=unquote(fields[0]),
            route=unquote(fields[1]),
            service=unquote(fields[2]),
            priority=Priority(int(fields[4])),
            repeatable=fields[5] == "1",
            claims=ClaimMode(int(fields[6])),
            deadline_s=now_s + int(fields[7]) / 1000,
            revision=int(fields[8]),
            request=request,
            idempotency_key=key.decode("latin-1"),
            target_s=now_s + int(fields[9]) / 1000 if fields[9] else math.inf,
            nested=fields[10] == "1",
            prompt=fields[11] == "1",
        )
    except (ValueError, OverflowError) as exc:
        raise BadMessageError(f"the call header is bad: {exc}") from exc
    return call, unquote(fields[3])


STATUS_BY_CODE = {
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.INVALID: 400,
    ErrorCode.CONFLICT: 409,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.BUSY: 503,
    ErrorCode.SHED: 503,
    ErrorCode.UNREACHABLE: 503,
    ErrorCode.MISPLACED: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.UNRESPONSIVE: 503,
    ErrorCode.UNAVAILABLE: 503,
    ErrorCode.TIMEOUT: 504,
    ErrorCode.UNKNOWN: 502,
    ErrorCode.PROTOCOL: 502,
    ErrorCode.INTERNAL: 500,
}


def make_error_response(
    error: TrafficError, request_id: str, names: HeaderNames = OWN_NAMES
) -> HttpResponse:
    """Return the response that tells a caller how its call ended."""
    headers = [
        (OUTCOME_HEADER, error.outcome.value.encode()),
        (ERROR_HEADER, error.code.value.encode()),
        (names.request_id, request_id.encode("latin-1")),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    if error.retry_after_s:
        value = f"{error.retry_after_s:.3f}".encode()
        headers.append((RETRY_AFTER_HEADER, value))
    status = STATUS_BY_CODE.get(error.code, 500)
    if names.statuses_promise:
        status = _keep_promise(status, error.outcome)
    return HttpResponse(status, headers, f"{error.message}\n".encode())


def _keep_promise(status: int, outcome: Outcome) -> int:
    """Return a status that says no less and no more than the outcome."""
    if outcome is Outcome.NOT_RUN:
        return min(status, REFUSED_STATUS)
    return 502 if status in PROMISE_STATUSES else status
