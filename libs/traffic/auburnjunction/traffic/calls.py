"""Calls, their answers and the errors that end them."""

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Protocol

import attrs

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.placements.reports import LoadReport

FIRST_SERVER_ERROR = 500


class Outcome(StrEnum):
    """Whether a call ran, as reported to its caller."""

    OK = "ok"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TrafficError(AuburnError):
    """A call ended without an answer from a backend server.

    The caller should retry after retry_after_s seconds at the earliest;
    0 means that no delay is suggested. The report is that of the owner node
    on the load of its backend server; None if it sent none.
    """

    code = ErrorCode.UNAVAILABLE
    outcome = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        code: ErrorCode | None = None,
        retry_after_s: float = 0.0,
    ):
        super().__init__(message, code)
        self.retry_after_s = retry_after_s
        self.report: LoadReport | None = None
        # Nested calls of the request, as in Answer.
        self.nested: Mapping[str, Any] | None = None


class NotRunError(TrafficError):
    """The call did not run, so that a retry cannot run it twice."""

    outcome = Outcome.NOT_RUN


class UnknownRunError(TrafficError):
    """The call may have run; only repeatable calls may be retried."""

    code = ErrorCode.UNKNOWN


# Calls are served in ascending order of their ranks.
Rank = tuple[Priority, Priority]


@attrs.define(slots=True)
class Call:
    """A request with the attributes of its route.

    Deadline and target are in seconds of the local monotonic clock; an
    answer before the target meets the route's latency objective. A nested
    call is one that a backend server makes while it runs a request. A
    fail-fast call is refused with BUSY instead of being queued for a slot.
    A repeated call was sent to a backend server before, or is made for a
    request that was. The rate limit is the one that the backend server has
    named, in calls per second, as far as the entry node knows. The answer
    limit, by the same clock, is when the entry node shuts down; a call that
    would end later is not started. The organisation is that of the API key,
    for a nested call that of the request it is made for; empty without one.
    A probe runs a request under which backend servers have crashed.
    key_digest is the digest of the API key, empty without one. A started call
    has been sent to its backend server. run_s is set by the owner node: the
    time that the backend server took. A returning call takes a place that its
    caller was promised when it was refused. route_priority orders the calls of
    one priority where that is the organisation's; None if it is the route's.
    """

    request_id: str
    route: str
    service: str
    priority: Priority
    repeatable: bool
    claims: ClaimMode
    deadline_s: float
    revision: int
    request: HttpRequest
    idempotency_key: str = ""
    target_s: float = math.inf
    nested: bool = False
    fail_fast: bool = False
    repeated: bool = False
    rate_limit_per_s: float | None = None
    answer_limit_s: float = math.inf
    organisation: str = ""
    route_priority: Priority | None = None
    probe: bool = False
    key_digest: str = ""
    started: bool = False
    run_s: float = 0.0
    returning: bool = False

    @property
    def rank(self) -> Rank:
        """Its priority, and that of its route within the same priority."""
        return self.priority, self.route_priority or self.priority


@attrs.define(slots=True)
class Answer:
    """A backend server's complete response to a call.

    The load is that of the owner node: running and queued requests as a
    share of the slots in force. owner_duration_s is the time that the call
    spent at the owner node; the rest of its latency is due to the link.
    leaving means that the response says that the backend server is leaving;
    the rate limit is the one that it names, in calls per second. The report
    is None unless the owner node reports the load of its backend server.
    nested reports the nested calls of the request (see nested_calls), None if
    its node does not count them.
    """

    response: HttpResponse
    load: float = 0.0
    owner_duration_s: float = 0.0
    leaving: bool = False
    rate_limit_per_s: float | None = None
    report: LoadReport | None = None
    nested: Mapping[str, Any] | None = None


class CallRunner(Protocol):
    """Runs calls on an instance, locally or through its owner node."""

    async def run_call(self, call: Call, instance: str) -> Answer:
        """Return the answer; raise NotRunError or UnknownRunError."""
