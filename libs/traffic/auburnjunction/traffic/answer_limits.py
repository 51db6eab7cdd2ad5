"""Answer limits of calls that were forwarded before their node shut down.

A node that shuts down tells the owner nodes of its calls by when it needs the
answers. They refuse the calls that would not end by then, as not run, on the
connections of these calls. Those that run are not affected.
"""

import attrs
import curio
import orjson
from absl import logging

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.base.logs import log_event
from auburnjunction.base.settings import (
    SettingsError,
    check_range,
    parse_known_fields,
)
from auburnjunction.http.clients import Address, PoolRegistry
from auburnjunction.http.errors import HttpError
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.traffic.calls import Call
from auburnjunction.traffic.forwarded_calls import ForwardedCalls
from auburnjunction.traffic.lifetimes import NodeLifetime
from auburnjunction.traffic.owners import OwnerRegistry

ANSWER_LIMIT_TARGET = b"/answer-limit"
# Calls that are on their way are not known at their owner node yet, so that
# the limit is sent again until it knows them.
SEND_INTERVAL_S = 0.1
SEND_TIMEOUT_S = 0.5
MAX_WITHIN_MS = 3_600_000


@attrs.frozen
class AnswerLimit:
    """Body of POST /answer-limit."""

    within_ms: int = attrs.field(validator=check_range(0, MAX_WITHIN_MS))
    request_ids: list[str]


@attrs.frozen
class AnswerLimitReceipt:
    """Body of the response."""

    # Those of the request ids that the owner node does not know.
    unknown_ids: list[str]


class AnswerLimitError(AuburnError):
    """An owner node's response is not a receipt."""

    code = ErrorCode.PROTOCOL


class AnswerLimitSender:
    """Sends the answer limit of this node's calls to their owner nodes."""

    def __init__(
        self,
        forwarded: ForwardedCalls,
        lifetime: NodeLifetime,
        pools: PoolRegistry,
        clock: Clock,
    ):
        self._forwarded = forwarded
        self._lifetime = lifetime
        self._pools = pools
        self._clock = clock

    async def send_limits(self) -> None:
        """Send the limit to each owner node of a call that has none."""
        async with curio.TaskGroup() as group:
            for address, calls in self._forwarded.list_unlimited().items():
                await group.spawn(self._send_limit, address, calls)

    async def _send_limit(self, address: Address, calls: list[Call]) -> None:
        end_s = self._lifetime.end_s
        left_s = end_s - self._clock.monotonic()
        limit = AnswerLimit(
            max(0, int(left_s * 1000)), [call.request_id for call in calls]
        )
        request = HttpRequest(
            b"POST",
            ANSWER_LIMIT_TARGET,
            [(b"host", b"node")],
            orjson.dumps(attrs.asdict(limit)),
        )
        pool = self._pools.get(address)
        try:
            response = await pool.exchange(request, SEND_TIMEOUT_S)
            unknown = set(_read_receipt(response).unknown_ids)
        except (HttpError, AnswerLimitError) as exc:
            log_event(
                "answer limit not sent",
                logging.WARNING,
                address=str(address),
                calls=len(calls),
                reason=exc.message,
            )
            return
        for call in calls:
            if call.request_id not in unknown:
                call.answer_limit_s = end_s


def _read_receipt(response: HttpResponse) -> AnswerLimitReceipt:
    if response.status != 200:
        raise AnswerLimitError(f"response status {response.status}, not 200")
    try:
        return parse_known_fields(response.body, AnswerLimitReceipt)
    except SettingsError as exc:
        raise AnswerLimitError(exc.message) from exc


class AnswerLimitHandler:
    """Handles the answer limits that other nodes send."""

    def __init__(self, owners: OwnerRegistry, clock: Clock):
        self._owners = owners
        self._clock = clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle POST /answer-limit; respond with the unknown ids as JSON."""
        try:
            limit = parse_known_fields(request.body, AnswerLimit)
        except SettingsError as exc:
            return HttpResponse(400, [], f"{exc.message}\n".encode())
        limit_s = self._clock.monotonic() + limit.within_ms / 1000
        unknown = await self._owners.limit_answers(limit.request_ids, limit_s)
        headers = [(b"content-type", b"application/json")]
        receipt = AnswerLimitReceipt(unknown)
        return HttpResponse(200, headers, orjson.dumps(attrs.asdict(receipt)))
