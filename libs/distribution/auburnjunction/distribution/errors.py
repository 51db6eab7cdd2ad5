"""Errors of commits and of the distribution of revisions."""

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.model.validators import Problem


class DistributionError(AuburnError):
    """A commit or a transfer of a revision that failed."""


class BadContentError(DistributionError):
    """Content that is missing, corrupt or invalid; it is never adopted."""

    code = ErrorCode.INVALID


class PeerError(DistributionError):
    """A peer was unreachable, returned an error or sent invalid data."""

    code = ErrorCode.UNAVAILABLE


class CommitError(DistributionError):
    """A commit or a lookup of an operator that failed."""

    def __init__(self, message: str, mend: str, operation_id: str = ""):
        super().__init__(message)
        self.mend = mend
        self.operation_id = operation_id


class InvalidCommitError(CommitError):
    """The change is invalid; it was not applied."""

    code = ErrorCode.INVALID

    def __init__(
        self,
        message: str,
        mend: str,
        operation_id: str = "",
        problems: tuple[Problem, ...] = (),
    ):
        super().__init__(message, mend, operation_id)
        self.problems = problems


class CommitConflictError(CommitError):
    """The base revision is not the head; the change was not applied."""

    code = ErrorCode.CONFLICT

    def __init__(
        self,
        message: str,
        mend: str,
        operation_id: str,
        base_revision: int,
        head_revision: int,
    ):
        super().__init__(message, mend, operation_id)
        self.base_revision = base_revision
        self.head_revision = head_revision


class CommitUnavailableError(CommitError):
    """The platform was unavailable; the attempt applied nothing."""

    code = ErrorCode.UNAVAILABLE


class CommitUnknownError(CommitError):
    """The change may or may not have been applied."""

    code = ErrorCode.UNKNOWN


class RevisionNotFoundError(CommitError):
    """The revision was never committed."""

    code = ErrorCode.NOT_FOUND
