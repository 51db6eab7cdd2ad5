"""Calls on their way through nodes, and how they ended."""

import math
from enum import StrEnum
from typing import Protocol

import attrs

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.priorities import ClaimMode, Priority

FIRST_SERVER_ERROR = 500


class Outcome(StrEnum):
    """What is known of a call when it is answered."""

    OK = "ok"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TrafficError(AuburnError):
    """A call that did not end with a backend server's answer.

    The caller does best to come back after retry_after_s seconds; 0
    leaves that to it.
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


class NotRunError(TrafficError):
    """The call certainly did not run; a retry cannot double it."""

    outcome = Outcome.NOT_RUN


class UnknownRunError(TrafficError):
    """The call may have run; it must not be sent again."""

    code = ErrorCode.UNKNOWN


@attrs.define(slots=True)
class Call:
    """One request with what its route says of it.

    Deadline and target are in seconds of the local monotonic clock; an
    answer is at its best up to the target. A nested call is one that a
    backend server makes for a request that it runs. A prompt call is
    refused rather than made to wait for a slot.
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
    prompt: bool = False


@attrs.define(slots=True)
class Answer:
    """A backend server's whole response to a call.

    The load is that of the owner node: requests running and waiting
    as a share of the slots in force. The owner node held the call for
    spent_s seconds; what the call took beyond that is the link's.
    """

    response: HttpResponse
    load: float = 0.0
    spent_s: float = 0.0


class CallRunner(Protocol):
    """Runs calls on one instance, locally or through its own node."""

    async def run_call(self, call: Call, instance: str) -> Answer:
        """Return the answer; raise NotRunError or UnknownRunError."""
