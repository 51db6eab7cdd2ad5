"""Refusal of requests under which several backend servers have crashed."""

from auburnjunction.base.errors import ErrorCode
from auburnjunction.membership.crashes import CRASH_LIMIT, CrashLog
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.fingerprints import compute_fingerprint
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES, HeaderNames


class Quarantine:
    """Refuses requests under which several backend servers have crashed."""

    def __init__(
        self, log: CrashLog, names: HeaderNames = DEFAULT_HEADER_NAMES
    ):
        self._log = log
        self._names = names

    def check(self, call: Call) -> None:
        """Raise NotRunError if the request is quarantined."""
        if self._log.is_empty:
            return
        fingerprint = compute_fingerprint(call.request, self._names)
        hold_s = self._log.find_hold(fingerprint)
        if hold_s:
            count = self._log.count_crashes(fingerprint)
            raise NotRunError(
                f"{count} backend servers have crashed while they ran this "
                f"request, the limit is {CRASH_LIMIT}; it is refused for "
                f"{hold_s:.0f} s",
                ErrorCode.QUARANTINED,
                hold_s,
            )

    def count_crashes(self, call: Call) -> int:
        """Return how many crashes under the request are known."""
        if self._log.is_empty:
            return 0
        return self._log.count_crashes(
            compute_fingerprint(call.request, self._names)
        )
