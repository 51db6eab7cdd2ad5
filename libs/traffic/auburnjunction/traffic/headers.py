"""Headers that nodes add to requests and responses.

Between nodes, a single header carries all attributes of a call, so that
each hop parses one extra header instead of twelve, one per attribute. Nodes
remove every header with the internal prefix from callers' requests and
backend servers' responses.
"""

import math
import re
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
# Milliseconds that the call spent at the owner node.
OWNER_DURATION_HEADER = b"auburn-spent-ms"
REQUEST_ID_HEADER = b"auburn-request-id"
DEADLINE_HEADER = b"auburn-deadline-ms"
PRIORITY_HEADER = b"auburn-priority"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
# Set by a backend server on the refusal of a request that did not run.
SHED_HEADER = b"auburn-shed"
# Set to 1 by a backend server, on every response, once it is leaving; owner
# nodes set it for entry nodes.
LEAVING_HEADER = b"auburn-leaving"
# Calls per second that a backend server takes from all nodes together, as
# long as its responses say so; between nodes, in calls and answers, the last
# limit known.
RATE_LIMIT_HEADER = b"auburn-rate-limit"
# Figures of a backend server in its responses: running, waiting, slots and
# present speed (100 is usual, greater is slower), separated by commas.
SERVER_LOAD_HEADER = b"auburn-server-load"
# Report of the owner node on them, in answers and refusals between nodes.
REPORT_HEADER = b"auburn-report"
# Nested calls that the request has made, by called service, and how many of
# them found no room.
NESTED_HEADER = b"auburn-nested"
# Milliseconds within which an entry node that shuts down needs the answer.
ANSWER_LIMIT_HEADER = b"auburn-answer-within-ms"

# Name of the organisation and, if the call has one, the digest of its API
# key, separated by a semicolon.
ORGANISATION_HEADER = b"auburn-organisation"

RATE_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?\Z")

# Seconds after which a refused call should be retried.
RETRY_AFTER_HEADER = b"retry-after"
# HTTP requires it of each response with status 401.
CHALLENGE = (b"www-authenticate", b"Bearer")

# Number of fields in the value of the call header.
CALL_FIELD_COUNT = 12
# Flags of its eleventh field.
NESTED_FLAG = 1
REPEATED_FLAG = 2
PROBE_FLAG = 4
RETURNING_FLAG = 8
# Bits below the priority of the route in that field, 0 if none is sent.
ROUTE_PRIORITY_SHIFT = 4
# Values of the Connection header that list no other header.
PLAIN_CONNECTIONS = frozenset({b"keep-alive", b"close"})


# Statuses from which callers infer that a request did not and will not run
# (see HeaderNames.statuses_imply_not_run).
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REFUSED_STATUS = 503


@attrs.frozen
class HeaderNames:
    """Names of the headers that callers and backend servers use.

    All are in lower case; a header with an empty name is not sent.
    """

    request_id: bytes = REQUEST_ID_HEADER
    # Milliseconds until the deadline of the call.
    deadline: bytes = DEADLINE_HEADER
    # Marks a backend server's response to a request that it did not run.
    not_run: bytes = SHED_HEADER
    # Marks the responses of a backend server that is leaving.
    leaving: bytes = LEAVING_HEADER
    # Calls per second that the backend server takes, a decimal number.
    rate_limit: bytes = RATE_LIMIT_HEADER
    # Load and present speed of the backend server, on its responses.
    server_load: bytes = SERVER_LOAD_HEADER
    # Target instance of a request; other instances answer 421.
    instance: bytes = b""
    # Service of the host on which the call was made.
    caller_service: bytes = b""
    # Organisation of the API key of a request; nodes remove those of callers
    # while the configuration has organisations.
    organisation: bytes = b""
    # Present on every successful response of a backend server.
    signature: bytes = b""
    # Separates the id of the parent request from the rest of the id of a
    # nested call; empty if ids do not contain that of the parent.
    parent_id_separator: str = ""
    # Whether callers set request ids, which the answers repeat.
    preserves_request_id: bool = False
    # Whether callers infer from the statuses of NOT_RUN_STATUSES that a
    # request did not run, so that no other failure may use one of them.
    statuses_imply_not_run: bool = False

    @property
    def set_by_nodes(self) -> frozenset[bytes]:
        """Headers that nodes set, replacing any that the caller sent."""
        names = {self.deadline, self.instance, self.caller_service}
        return frozenset(names - {b""})


DEFAULT_HEADER_NAMES = HeaderNames()


def format_rate(rate_per_s: float) -> bytes:
    """Return a rate as the value of a header."""
    return b"%.3f" % rate_per_s


def parse_rate(value: bytes | None) -> float | None:
    """Return a decimal number, or None if it is missing or malformed."""
    if value is None or not RATE_PATTERN.match(value):
        return None
    return float(value)


def drop_headers(headers: Headers, names: Set[bytes]) -> Headers:
    """Return the headers whose names are not among the given ones."""
    return [(name, value) for name, value in headers if name not in names]


def strip_headers(headers: Headers) -> Headers:
    """Return the headers that may be forwarded to the next hop."""
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
    """Return the names of the headers that Connection lists."""
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
        str(_format_flags(call)),
        "1" if call.fail_fast else "0",
    )
    return ";".join(fields).encode("ascii")


def _format_flags(call: Call) -> int:
    return (
        NESTED_FLAG * call.nested
        + REPEATED_FLAG * call.repeated
        + PROBE_FLAG * call.probe
        + RETURNING_FLAG * call.returning
        + ((call.route_priority or 0) << ROUTE_PRIORITY_SHIFT)
    )


def _parse_route_priority(flags: int) -> Priority | None:
    value = flags >> ROUTE_PRIORITY_SHIFT
    return Priority(value) if value else None


def format_organisation(call: Call) -> bytes:
    """Return the value of the header for the call's organisation."""
    name = quote(call.organisation, safe="")
    return f"{name};{call.key_digest}".encode("ascii")


def _parse_organisation(request: HttpRequest) -> tuple[str, str]:
    """Return the organisation and the key digest; empty without them."""
    value = request.header(ORGANISATION_HEADER) or b""
    name, _, key_digest = value.decode("latin-1").partition(";")
    return unquote(name), key_digest


def _format_target(call: Call, now_s: float) -> str:
    if call.target_s == math.inf:
        return ""
    return str(int((call.target_s - now_s) * 1000))


def parse_call(request: HttpRequest, now_s: float) -> tuple[Call, str]:
    """Return the call and instance of a forwarded request.

    Raise BadMessageError if the call header is missing or invalid.
    """
    value = request.header(CALL_HEADER)
    if value is None:
        raise BadMessageError("missing call header")
    fields = value.decode("latin-1").split(";")
    if len(fields) != CALL_FIELD_COUNT:
        raise BadMessageError(
            f"call header has {len(fields)} fields, not {CALL_FIELD_COUNT}"
        )
    try:
        key = request.header(IDEMPOTENCY_KEY_HEADER) or b""
        organisation, key_digest = _parse_organisation(request)
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
            nested=bool(int(fields[10]) & NESTED_FLAG),
            repeated=bool(int(fields[10]) & REPEATED_FLAG),
            probe=bool(int(fields[10]) & PROBE_FLAG),
            returning=bool(int(fields[10]) & RETURNING_FLAG),
            route_priority=_parse_route_priority(int(fields[10])),
            fail_fast=fields[11] == "1",
            rate_limit_per_s=parse_rate(request.header(RATE_LIMIT_HEADER)),
            answer_limit_s=_parse_answer_limit(request, now_s),
            organisation=organisation,
            key_digest=key_digest,
        )
    except (ValueError, OverflowError) as exc:
        raise BadMessageError(f"invalid call header: {exc}") from exc
    return call, unquote(fields[3])


def format_answer_limit(call: Call, now_s: float) -> bytes:
    """Return the value of the header for the call's answer limit."""
    return b"%d" % max(0, int((call.answer_limit_s - now_s) * 1000))


def _parse_answer_limit(request: HttpRequest, now_s: float) -> float:
    value = request.header(ANSWER_LIMIT_HEADER)
    return math.inf if value is None else now_s + int(value) / 1000


STATUS_BY_CODE = {
    ErrorCode.UNAUTHORISED: 401,
    ErrorCode.STALE: 503,
    ErrorCode.REVOKED: 503,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.INVALID: 400,
    ErrorCode.CONFLICT: 409,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.QUOTA: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.BUSY: 503,
    ErrorCode.SHED: 503,
    ErrorCode.UNREACHABLE: 503,
    ErrorCode.MISPLACED: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.SHUTDOWN: 503,
    ErrorCode.UNRESPONSIVE: 503,
    ErrorCode.UNAVAILABLE: 503,
    ErrorCode.QUARANTINED: 503,
    ErrorCode.NO_ROOM: 503,
    ErrorCode.TIMEOUT: 504,
    ErrorCode.UNKNOWN: 502,
    ErrorCode.CRASHED: 502,
    ErrorCode.PROTOCOL: 502,
    ErrorCode.INTERNAL: 500,
}


def make_error_response(
    error: TrafficError,
    request_id: str,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> HttpResponse:
    """Return the response to the caller of a failed call."""
    headers = [
        (OUTCOME_HEADER, error.outcome.value.encode()),
        (ERROR_HEADER, error.code.value.encode()),
        (names.request_id, request_id.encode("latin-1")),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    if error.code is ErrorCode.UNAUTHORISED:
        headers.append(CHALLENGE)
    if error.retry_after_s:
        value = f"{error.retry_after_s:.3f}".encode()
        headers.append((RETRY_AFTER_HEADER, value))
    status = STATUS_BY_CODE.get(error.code, 500)
    if names.statuses_imply_not_run:
        status = _match_status_to_outcome(status, error.outcome)
    return HttpResponse(status, headers, f"{error.message}\n".encode())


def _match_status_to_outcome(status: int, outcome: Outcome) -> int:
    """Return a status from which callers infer the right outcome."""
    if outcome is Outcome.NOT_RUN:
        return min(status, REFUSED_STATUS)
    return 502 if status in NOT_RUN_STATUSES else status
