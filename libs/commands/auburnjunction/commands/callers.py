"""Simulated callers, which retry calls and classify their responses."""

import random
from enum import StrEnum

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.commands.mixes import CallMix, LoadPlan
from auburnjunction.http.clients import Address, PoolRegistry, parse_address
from auburnjunction.http.errors import HttpError, NotSentError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.traffic.headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    SHED_HEADER,
)

CALL_ID_HEADER = b"x-call-id"


class CallOutcome(StrEnum):
    """Final outcome of a call, as its caller sees it."""

    OK = "ok"
    # The backend server returned a complete response with an error.
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    # The response belongs to another call.
    WRONG = "wrong"


@attrs.define(slots=True)
class CallRecord:
    """One call as seen by its caller; times are in seconds of the load."""

    call_id: str
    mix: CallMix
    due_s: float
    started_s: float = 0.0
    ended_s: float = 0.0
    outcome: CallOutcome = CallOutcome.UNKNOWN
    attempts: int = 0

    @property
    def latency_s(self) -> float:
        """Seconds from the time the call was due until it ended."""
        return self.ended_s - self.due_s


class Caller:
    """Sends calls to nodes and retries those that are safe to repeat."""

    def __init__(
        self,
        plan: LoadPlan,
        clock: Clock,
        pools: PoolRegistry,
        rng: random.Random,
    ):
        self._plan = plan
        self._clock = clock
        self._pools = pools
        self._random = rng
        self._nodes = [parse_address(text) for text in plan.nodes]

    async def call(self, record: CallRecord, number: int) -> None:
        """Make one call with retries and fill in its record.

        Each retry goes to another node, if there is one, after an
        exponential backoff with jitter.
        """
        deadline_s = self._clock.monotonic() + self._plan.timeout_ms / 1000
        backoff_s = self._plan.retries.first_pause_ms / 1000
        node = self._random.choice(self._nodes)
        outcomes: set[CallOutcome] = set()
        while True:
            request = self._make_request(record, number, node, deadline_s)
            outcome = await self._attempt(record, request, node, deadline_s)
            outcomes.add(outcome)
            remaining_s = deadline_s - self._clock.monotonic()
            if (
                not self._may_retry(record, outcome)
                or remaining_s <= backoff_s
            ):
                break
            await self._clock.sleep(backoff_s * self._random.uniform(0.5, 1.5))
            backoff_s *= self._plan.retries.pause_factor
            node = self._choose_other_node(node)
        record.outcome = _combine_outcomes(outcome, outcomes)

    def _may_retry(self, record: CallRecord, outcome: CallOutcome) -> bool:
        if record.attempts >= self._plan.retries.max_attempts:
            return False
        if outcome is CallOutcome.UNKNOWN:
            return record.mix.repeatable or record.mix.keyed
        return outcome is CallOutcome.NOT_RUN

    def _choose_other_node(self, node: Address) -> Address:
        others = [other for other in self._nodes if other != node]
        return self._random.choice(others or self._nodes)

    def _make_request(
        self, record: CallRecord, number: int, node: Address, deadline_s: float
    ) -> HttpRequest:
        mix = record.mix
        call_id = record.call_id.encode("ascii")
        headers = [
            (b"host", str(node).encode("ascii")),
            (CALL_ID_HEADER, call_id),
        ]
        if mix.keyed and not mix.repeatable:
            headers.append((IDEMPOTENCY_KEY_HEADER, call_id))
        if mix.deadline_ms:
            remaining_s = deadline_s - self._clock.monotonic()
            limit_ms = min(mix.deadline_ms, max(1, int(remaining_s * 1000)))
            headers.append((DEADLINE_HEADER, b"%d" % limit_ms))
        path = mix.path.replace("{n}", str(number)).encode("ascii")
        body = make_body(record)
        return HttpRequest(mix.method.encode("ascii"), path, headers, body)

    async def _attempt(
        self,
        record: CallRecord,
        request: HttpRequest,
        node: Address,
        deadline_s: float,
    ) -> CallOutcome:
        record.attempts += 1
        remaining_s = max(0.001, deadline_s - self._clock.monotonic())
        try:
            response = await self._pools.get(node).exchange(
                request, remaining_s
            )
        except NotSentError:
            return CallOutcome.NOT_RUN
        except HttpError:
            return CallOutcome.UNKNOWN
        return classify_response(record, response)


def make_body(record: CallRecord) -> bytes:
    """Return a request body that is unique to the call."""
    size = record.mix.body_bytes
    if not size:
        return b""
    return record.call_id.encode("ascii").ljust(size, b".")


def classify_response(
    record: CallRecord, response: HttpResponse
) -> CallOutcome:
    """Return the outcome of a call from its response.

    A node marks calls that were not run or whose outcome is unknown in
    its headers. Any other response is that of the backend server.
    """
    outcome = response.header(OUTCOME_HEADER)
    if outcome == CallOutcome.NOT_RUN.value.encode():
        return CallOutcome.NOT_RUN
    if outcome == CallOutcome.UNKNOWN.value.encode():
        return CallOutcome.UNKNOWN
    if response.header(SHED_HEADER) is not None:
        return CallOutcome.NOT_RUN
    if response.status >= 400:
        return CallOutcome.FAILED
    if response.header(CALL_ID_HEADER) != record.call_id.encode("ascii"):
        return CallOutcome.WRONG
    body = make_body(record)
    if body and record.mix.method != "HEAD" and response.body != body:
        return CallOutcome.WRONG
    return CallOutcome.OK


def _combine_outcomes(
    last: CallOutcome, outcomes: set[CallOutcome]
) -> CallOutcome:
    """Return the outcome of a call from the outcomes of its attempts.

    A call that was refused on its last attempt may still have run in an
    earlier attempt with unknown outcome, so it stays unknown.
    """
    if CallOutcome.WRONG in outcomes:
        return CallOutcome.WRONG
    if last is CallOutcome.NOT_RUN and CallOutcome.UNKNOWN in outcomes:
        return CallOutcome.UNKNOWN
    return last
