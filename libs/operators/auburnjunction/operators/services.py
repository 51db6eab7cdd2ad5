"""The gRPC service, which runs on the asyncio thread."""

import asyncio

from curio import UniversalQueue
from grpclib.const import Status
from grpclib.server import Stream

from auburnjunction.base.errors import ErrorCode
from auburnjunction.operators.dispatchers import OperatorCall
from auburnjunction.operators.errors import (
    ERROR_KEY,
    STATUS_BY_CODE,
    OperatorsError,
    encode_error,
)
from auburnjunction.schema.operators_grpc import AdministrationBase

DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 60.0
# Part of the client's deadline reserved for returning the response.
RESPONSE_MARGIN_S = 0.2
MIN_TIMEOUT_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.02


class AdministrationService(AdministrationBase):
    """Passes each request to curio and returns its response."""

    def __init__(self, calls: UniversalQueue):
        self._calls = calls
        self._in_flight = 0
        self._closing = False

    async def drain(self, timeout_s: float) -> None:
        """Refuse new calls and wait for those in flight, up to a timeout."""
        self._closing = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self._in_flight and loop.time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _serve(self, stream: Stream) -> None:
        request = await stream.recv_message()
        self._in_flight += 1
        try:
            response = await self._submit(request, stream)
            await stream.send_message(response)
        except OperatorsError as exc:
            await stream.send_trailing_metadata(
                status=STATUS_BY_CODE.get(exc.code, Status.INTERNAL),
                status_message=exc.message,
                metadata={ERROR_KEY: encode_error(exc)},
            )
        finally:
            self._in_flight -= 1

    async def _submit(self, request, stream: Stream):
        if self._closing:
            raise OperatorsError(
                "this node is shutting down", ErrorCode.UNAVAILABLE
            )
        call = OperatorCall(request, choose_timeout(stream))
        await self._calls.put(call)
        return await asyncio.wrap_future(call.response)

    async def Validate(self, stream: Stream) -> None:  # noqa: N802
        """Validate a configuration."""
        await self._serve(stream)

    async def Apply(self, stream: Stream) -> None:  # noqa: N802
        """Commit a configuration."""
        await self._serve(stream)

    async def Rollback(self, stream: Stream) -> None:  # noqa: N802
        """Commit the content of an old revision as a new revision."""
        await self._serve(stream)

    async def Get(self, stream: Stream) -> None:  # noqa: N802
        """Return one revision."""
        await self._serve(stream)

    async def History(self, stream: Stream) -> None:  # noqa: N802
        """List commits."""
        await self._serve(stream)

    async def Operation(self, stream: Stream) -> None:  # noqa: N802
        """Look up the commit of an operation id."""
        await self._serve(stream)

    async def Nodes(self, stream: Stream) -> None:  # noqa: N802
        """List nodes and backend servers."""
        await self._serve(stream)

    async def Drain(self, stream: Stream) -> None:  # noqa: N802
        """Start or end the draining of a backend server."""
        await self._serve(stream)


def choose_timeout(stream: Stream) -> float:
    """Return the timeout of a call in seconds, from the client's deadline."""
    if stream.deadline is None:
        return DEFAULT_TIMEOUT_S
    remaining_s = stream.deadline.time_remaining() - RESPONSE_MARGIN_S
    return min(max(remaining_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
