"""Dispatch of request messages to the administration backend, in curio."""

from collections.abc import Awaitable, Callable
from concurrent.futures import Future

import attrs
from absl import logging
from google.protobuf.message import Message

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.base.logs import log_event
from auburnjunction.distribution.records import encode_commit
from auburnjunction.model.codecs import (
    decode_snapshot,
    digest_snapshot,
    encode_snapshot,
)
from auburnjunction.operators.backends import AdministrationBackend
from auburnjunction.operators.errors import (
    OperatorsError,
    convert_error,
    encode_problem,
)
from auburnjunction.schema import operators_pb2 as pb

DEFAULT_HISTORY_LIMIT = 50


@attrs.define(eq=False)
class OperatorCall:
    """A request passed from the gRPC thread to curio, and its response."""

    request: Message
    timeout_s: float
    response: Future = attrs.field(factory=Future)


Handler = Callable[[Message, float], Awaitable[Message]]


class CallDispatcher:
    """Runs calls on the backend and sets their responses."""

    def __init__(self, backend: AdministrationBackend):
        self._backend = backend
        self._handlers: dict[type[Message], Handler] = {
            pb.ValidateRequest: self._validate,
            pb.CommitRequest: self._apply,
            pb.RollbackRequest: self._rollback,
            pb.GetRequest: self._get,
            pb.HistoryRequest: self._history,
            pb.OperationRequest: self._find_operation,
            pb.NodesRequest: self._list_nodes,
            pb.DrainRequest: self._drain,
        }

    async def run_call(self, call: OperatorCall) -> None:
        """Run a call and set its response or its OperatorsError."""
        name = type(call.request).__name__
        try:
            handler = self._handlers[type(call.request)]
            response = await handler(call.request, call.timeout_s)
        except AuburnError as exc:
            log_event("administration call failed", call=name, code=exc.code)
            call.response.set_exception(convert_error(exc))
        except Exception:
            logging.exception("administration call %s failed", name)
            call.response.set_exception(
                OperatorsError("internal error", ErrorCode.INTERNAL)
            )
        else:
            call.response.set_result(response)

    async def _validate(
        self, request: pb.ValidateRequest, _timeout_s: float
    ) -> pb.ValidateResponse:
        snapshot = decode_snapshot(request.snapshot)
        problems = await self._backend.validate(snapshot)
        return pb.ValidateResponse(
            problems=[encode_problem(problem) for problem in problems],
            digest=digest_snapshot(snapshot),
        )

    async def _apply(
        self, request: pb.CommitRequest, timeout_s: float
    ) -> pb.Commit:
        commit = await self._backend.apply(
            request.operation_id,
            request.base_revision,
            decode_snapshot(request.snapshot),
            request.operator,
            request.comment,
            timeout_s,
        )
        return encode_commit(commit)

    async def _rollback(
        self, request: pb.RollbackRequest, timeout_s: float
    ) -> pb.Commit:
        commit = await self._backend.rollback(
            request.operation_id,
            request.base_revision,
            request.revision,
            request.operator,
            request.comment,
            timeout_s,
        )
        return encode_commit(commit)

    async def _get(
        self, request: pb.GetRequest, _timeout_s: float
    ) -> pb.GetResponse:
        found = await self._backend.get(request.revision)
        return pb.GetResponse(
            commit=encode_commit(found.commit),
            snapshot=encode_snapshot(found.snapshot),
        )

    async def _history(
        self, request: pb.HistoryRequest, _timeout_s: float
    ) -> pb.HistoryResponse:
        commits = await self._backend.history(
            request.before, request.limit or DEFAULT_HISTORY_LIMIT
        )
        return pb.HistoryResponse(
            commits=[encode_commit(commit) for commit in commits]
        )

    async def _find_operation(
        self, request: pb.OperationRequest, _timeout_s: float
    ) -> pb.OperationResponse:
        commit = await self._backend.find_operation(request.operation_id)
        if commit is None:
            return pb.OperationResponse(applied=False)
        return pb.OperationResponse(applied=True, commit=encode_commit(commit))

    async def _list_nodes(
        self, _request: pb.NodesRequest, _timeout_s: float
    ) -> pb.NodesResponse:
        return pb.NodesResponse(nodes=await self._backend.list_nodes())

    async def _drain(
        self, request: pb.DrainRequest, _timeout_s: float
    ) -> pb.DrainResponse:
        record = await self._backend.drain(request.instance, request.drain)
        return pb.DrainResponse(instance=record)
