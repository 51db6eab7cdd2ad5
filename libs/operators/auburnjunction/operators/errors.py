"""Errors of the administration API and their encoding."""

import attrs
from google.protobuf.message import DecodeError
from grpclib.const import Status

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.model.validators import Problem
from auburnjunction.schema import operators_pb2 as pb

ERROR_KEY = "auburn-error-bin"

STATUS_BY_CODE = {
    ErrorCode.INVALID: Status.INVALID_ARGUMENT,
    ErrorCode.NOT_FOUND: Status.NOT_FOUND,
    ErrorCode.CONFLICT: Status.ABORTED,
    ErrorCode.UNAVAILABLE: Status.UNAVAILABLE,
    ErrorCode.UNKNOWN: Status.UNKNOWN,
    ErrorCode.TIMEOUT: Status.DEADLINE_EXCEEDED,
    ErrorCode.OVERLOADED: Status.RESOURCE_EXHAUSTED,
    ErrorCode.DRAINING: Status.UNAVAILABLE,
}

CODE_BY_STATUS = {
    Status.INVALID_ARGUMENT: ErrorCode.INVALID,
    Status.NOT_FOUND: ErrorCode.NOT_FOUND,
    Status.ABORTED: ErrorCode.CONFLICT,
    Status.UNAVAILABLE: ErrorCode.UNAVAILABLE,
    Status.UNKNOWN: ErrorCode.UNKNOWN,
    Status.DEADLINE_EXCEEDED: ErrorCode.UNKNOWN,
    Status.RESOURCE_EXHAUSTED: ErrorCode.OVERLOADED,
}


@attrs.frozen
class ErrorDetail:
    """Details of a failed call beyond its code and message."""

    mend: str = ""
    operation_id: str = ""
    base_revision: int = 0
    head_revision: int = 0
    problems: tuple[Problem, ...] = ()


class OperatorsError(AuburnError):
    """Raised when a call of the administration API fails."""

    def __init__(
        self,
        message: str,
        code: ErrorCode,
        detail: ErrorDetail | None = None,
    ):
        super().__init__(message, code)
        self.detail = detail or ErrorDetail()


def convert_error(exc: AuburnError) -> OperatorsError:
    """Convert an error of a lower layer to an OperatorsError."""
    if isinstance(exc, OperatorsError):
        return exc
    detail = ErrorDetail(
        mend=getattr(exc, "mend", ""),
        operation_id=getattr(exc, "operation_id", ""),
        base_revision=getattr(exc, "base_revision", 0),
        head_revision=getattr(exc, "head_revision", 0),
        problems=tuple(getattr(exc, "problems", ())),
    )
    return OperatorsError(exc.message, exc.code, detail)


def encode_problem(problem: Problem) -> pb.Problem:
    """Return a problem as its protobuf message."""
    return pb.Problem(**attrs.asdict(problem))


def decode_problem(message: pb.Problem) -> Problem:
    """Return the problem of a protobuf message."""
    return Problem(message.field, message.message, message.mend)


def encode_error(exc: OperatorsError) -> bytes:
    """Return an error as the value of the ERROR_KEY trailing metadata."""
    detail = exc.detail
    return pb.ErrorDetail(
        code=exc.code,
        message=exc.message,
        mend=detail.mend,
        operation_id=detail.operation_id,
        base_revision=detail.base_revision,
        head_revision=detail.head_revision,
        problems=[encode_problem(problem) for problem in detail.problems],
    ).SerializeToString()


def decode_error(
    status: Status, message: str | None, value: bytes | None
) -> OperatorsError:
    """Return the error encoded in a status and its trailing metadata.

    Falls back to the status alone where the metadata is missing or
    cannot be decoded.
    """
    code = CODE_BY_STATUS.get(status, ErrorCode.INTERNAL)
    if value is None:
        return OperatorsError(message or status.name, code)
    try:
        detail = pb.ErrorDetail.FromString(value)
        code = ErrorCode(detail.code)
    except (DecodeError, ValueError):
        return OperatorsError(message or status.name, code)
    return OperatorsError(
        detail.message,
        code,
        ErrorDetail(
            detail.mend,
            detail.operation_id,
            detail.base_revision,
            detail.head_revision,
            tuple(decode_problem(problem) for problem in detail.problems),
        ),
    )
