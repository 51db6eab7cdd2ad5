"""asyncio client of the administration API."""

import asyncio
import uuid
from collections.abc import Sequence

from google.protobuf.message import Message
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from auburnjunction.base.errors import ErrorCode
from auburnjunction.distribution.records import (
    Commit,
    CommittedSnapshot,
    decode_commit,
)
from auburnjunction.http.clients import Address
from auburnjunction.model.codecs import decode_snapshot, encode_snapshot
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.model.validators import Problem
from auburnjunction.operators.errors import (
    ERROR_KEY,
    ErrorDetail,
    OperatorsError,
    decode_error,
    decode_problem,
)
from auburnjunction.schema import operators_pb2 as pb
from auburnjunction.schema.control_pb2 import InstanceRecord, NodeRecord
from auburnjunction.schema.operators_grpc import AdministrationStub

# Not retried at another node, which would return the same error.
NON_RETRYABLE_CODES = frozenset(
    {ErrorCode.INVALID, ErrorCode.NOT_FOUND, ErrorCode.CONFLICT}
)
UNKNOWN_OUTCOME_REMEDY = (
    "look it up with 'auburnctl operation', "
    "or retry with the same operation id"
)


def make_operation_id() -> str:
    """Return a new unique id for a write operation."""
    return uuid.uuid4().hex


class OperatorsClient:
    """Calls nodes in turn until one responds.

    Every call is idempotent, so it may be retried at another node: reads
    change nothing, a write carries its operation id, and a drain sets an
    absolute state.
    """

    def __init__(self, addresses: Sequence[Address], timeout_s: float = 10.0):
        self._addresses = list(addresses)
        self._timeout_s = timeout_s

    async def validate(self, snapshot: Snapshot) -> list[Problem]:
        """Return every problem that a node finds in a snapshot."""
        request = pb.ValidateRequest(snapshot=encode_snapshot(snapshot))
        response = await self._call("Validate", request)
        return [decode_problem(problem) for problem in response.problems]

    async def apply(
        self,
        operation_id: str,
        base_revision: int,
        snapshot: Snapshot,
        operator: str = "",
        comment: str = "",
    ) -> Commit:
        """Commit a snapshot; raise OperatorsError when it is not accepted."""
        request = pb.CommitRequest(
            operation_id=operation_id,
            base_revision=base_revision,
            snapshot=encode_snapshot(snapshot),
            operator=operator,
            comment=comment,
        )
        return decode_commit(await self._call("Apply", request, operation_id))

    async def rollback(
        self,
        operation_id: str,
        base_revision: int,
        revision: int,
        operator: str = "",
        comment: str = "",
    ) -> Commit:
        """Commit the content of an old revision as a new revision."""
        request = pb.RollbackRequest(
            operation_id=operation_id,
            base_revision=base_revision,
            revision=revision,
            operator=operator,
            comment=comment,
        )
        return decode_commit(
            await self._call("Rollback", request, operation_id)
        )

    async def get(self, revision: int = 0) -> CommittedSnapshot:
        """Return a revision; 0 means the head."""
        response = await self._call("Get", pb.GetRequest(revision=revision))
        return CommittedSnapshot(
            decode_commit(response.commit), decode_snapshot(response.snapshot)
        )

    async def history(self, before: int = 0, limit: int = 20) -> list[Commit]:
        """Return commits up to revision before, newest first.

        0 starts at the head.
        """
        request = pb.HistoryRequest(before=before, limit=limit)
        response = await self._call("History", request)
        return [decode_commit(commit) for commit in response.commits]

    async def find_operation(self, operation_id: str) -> Commit | None:
        """Return the commit of an operation id, or None."""
        request = pb.OperationRequest(operation_id=operation_id)
        response = await self._call("Operation", request)
        return decode_commit(response.commit) if response.applied else None

    async def list_nodes(self) -> list[NodeRecord]:
        """Return the nodes with their backend servers."""
        response = await self._call("Nodes", pb.NodesRequest())
        return list(response.nodes)

    async def drain(self, instance: str, drain: bool) -> InstanceRecord:
        """Start or end the draining of a backend server."""
        request = pb.DrainRequest(instance=instance, drain=drain)
        return (await self._call("Drain", request)).instance

    async def _call(
        self, name: str, request: Message, operation_id: str = ""
    ) -> Message:
        maybe_applied = False
        error = OperatorsError("no node address is given", ErrorCode.INVALID)
        for address in self._addresses:
            try:
                return await self._call_node(address, name, request)
            except OperatorsError as exc:
                error = exc
            if error.code in NON_RETRYABLE_CODES:
                raise error
            maybe_applied = maybe_applied or error.code is ErrorCode.UNKNOWN
        if not maybe_applied:
            raise error
        if not operation_id:
            raise OperatorsError(
                error.message, ErrorCode.UNAVAILABLE
            ) from error
        raise OperatorsError(
            f"the change may have been applied: {error.message}",
            ErrorCode.UNKNOWN,
            ErrorDetail(UNKNOWN_OUTCOME_REMEDY, operation_id),
        ) from error

    async def _call_node(
        self, address: Address, name: str, request: Message
    ) -> Message:
        channel = Channel(address.host, address.port)
        try:
            await _connect(channel, address, self._timeout_s)
            method = getattr(AdministrationStub(channel), name)
            return await _exchange(method, request, self._timeout_s, address)
        finally:
            channel.close()


async def _connect(
    channel: Channel, address: Address, timeout_s: float
) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await channel.__connect__()
    except (OSError, TimeoutError) as exc:
        raise OperatorsError(
            f"node {address} cannot be reached ({exc or 'no response'})",
            ErrorCode.UNAVAILABLE,
            ErrorDetail("give the operators' address of a running node"),
        ) from exc


async def _exchange(
    method: UnaryUnaryMethod,
    request: Message,
    timeout_s: float,
    address: Address,
) -> Message:
    stream = method.open(timeout=timeout_s)
    try:
        async with stream:
            await stream.send_message(request, end=True)
            return await stream.recv_message()
    except GRPCError as exc:
        metadata = stream.trailing_metadata or {}
        value = metadata.get(ERROR_KEY)
        raise decode_error(exc.status, exc.message, value) from exc
    except (
        OSError,
        TimeoutError,
        StreamTerminatedError,
        ProtocolError,
    ) as exc:
        raise OperatorsError(
            f"node {address} did not respond ({exc or 'timeout'})",
            ErrorCode.UNKNOWN,
        ) from exc
