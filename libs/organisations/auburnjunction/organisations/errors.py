"""Errors of quotas."""

from auburnjunction.base.errors import AuburnError, ErrorCode


class QuotaExceededError(AuburnError):
    """A request exceeds the quota of its organisation.

    There should be room for it after retry_after_s seconds.
    """

    code = ErrorCode.QUOTA

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s
