"""Errors of auburnctl and their exit codes."""

from auburnjunction.base.errors import AuburnError, ErrorCode, ExitCode
from auburnjunction.operators.errors import ErrorDetail, OperatorsError

EXIT_CODES = {
    ErrorCode.INVALID: ExitCode.INVALID_CONFIGURATION,
    ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorCode.CONFLICT: ExitCode.CONFLICT,
    ErrorCode.UNAVAILABLE: ExitCode.PLATFORM_UNAVAILABLE,
    ErrorCode.UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
    ErrorCode.TIMEOUT: ExitCode.TIMEOUT,
}


class ControlError(AuburnError):
    """Raised when a command fails; mend is the suggested remedy."""

    def __init__(self, message: str, code: ErrorCode, mend: str = ""):
        super().__init__(message, code)
        self.mend = mend


class UsageError(ControlError):
    """Raised for an invalid option or an unreadable file."""

    def __init__(self, message: str, mend: str):
        super().__init__(message, ErrorCode.INVALID, mend)


def choose_exit_code(exc: AuburnError) -> int:
    """Return the exit code for an error."""
    if isinstance(exc, UsageError):
        return ExitCode.USAGE
    return EXIT_CODES.get(exc.code, ExitCode.FAILED)


def list_error_values(exc: AuburnError) -> dict[str, object]:
    """Return an error as JSON-compatible values."""
    values = {"code": str(exc.code), "message": exc.message}
    detail = exc.detail if isinstance(exc, OperatorsError) else ErrorDetail()
    values["mend"] = getattr(exc, "mend", "") or detail.mend
    if detail.operation_id:
        values["operation_id"] = detail.operation_id
    if exc.code is ErrorCode.CONFLICT:
        values["base_revision"] = detail.base_revision
        values["head_revision"] = detail.head_revision
    if detail.problems:
        values["problems"] = [
            {"field": p.field, "message": p.message, "mend": p.mend}
            for p in detail.problems
        ]
    return values


def format_error(exc: AuburnError) -> str:
    """Return an error as one line of text."""
    values = list_error_values(exc)
    parts = [exc.message]
    if values["mend"]:
        parts.append(str(values["mend"]))
    if "operation_id" in values:
        parts.append(f"operation id {values['operation_id']}")
    return "; ".join(parts).replace("\n", " ")
