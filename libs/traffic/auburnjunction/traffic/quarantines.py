"""Refusal of requests under which several backend servers have crashed."""

from collections.abc import Iterable, Sequence

import xxhash

from auburnjunction.base.errors import ErrorCode
from auburnjunction.membership.crashes import CRASH_LIMIT, CrashLog
from auburnjunction.model.services import Instance
from auburnjunction.traffic.calls import Call, NotRunError
from auburnjunction.traffic.fingerprints import compute_fingerprint
from auburnjunction.traffic.headers import DEFAULT_HEADER_NAMES, HeaderNames

# Seconds after which callers return while a probe of their request runs. Its
# answer clears the request at all nodes, its crash renews the quarantine.
PROBE_RETRY_S = 1.0


class Quarantine:
    """Refuses requests under which several backend servers have crashed.

    After the time of the quarantine, the request is on probation: all entry
    nodes send it as a probe to the same backend server, whose owner runs one
    probe at a time.
    """

    def __init__(
        self, log: CrashLog, names: HeaderNames = DEFAULT_HEADER_NAMES
    ):
        self._log = log
        self._names = names
        # Probes that run here, by the digest of their request.
        self._probes: dict[bytes, Call] = {}

    def check(self, call: Call) -> None:
        """Raise NotRunError if the request may not run at present."""
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
        if not self._log.is_on_probation(fingerprint):
            return
        if not call.probe or fingerprint in self._probes:
            raise NotRunError(
                "backend servers have crashed while they ran this request; "
                "one probe of it runs at a time",
                ErrorCode.QUARANTINED,
                PROBE_RETRY_S,
            )

    def start_run(self, call: Call) -> None:
        """Record that a backend server is sent the call.

        Raise NotRunError if the request may not run at present.
        """
        self.check(call)
        if call.probe:
            fingerprint = compute_fingerprint(call.request, self._names)
            self._probes[fingerprint] = call

    def end_run(self, call: Call) -> None:
        """Record the end of a run; those not admitted are ignored."""
        for fingerprint, probe in self._probes.items():
            if probe is call:
                del self._probes[fingerprint]
                return

    def is_on_probation(self, call: Call) -> bool:
        """Return whether the request may only be sent as a probe."""
        if self._log.is_empty:
            return False
        fingerprint = compute_fingerprint(call.request, self._names)
        return self._log.is_on_probation(fingerprint)

    def choose_probed(
        self, call: Call, instances: Sequence[Instance]
    ) -> Instance:
        """Return the instance that a probe of the request is sent to.

        Nodes with the same view choose the same one, by rendezvous hashing.
        Raise NotRunError if there is none.
        """
        if not instances:
            raise NotRunError(f"no instance of {call.service} is available")
        fingerprint = compute_fingerprint(call.request, self._names)
        return _choose_by_hash(fingerprint, instances)

    def count_crashes(self, call: Call) -> int:
        """Return how many crashes under the request are known."""
        if self._log.is_empty:
            return 0
        return self._log.count_crashes(
            compute_fingerprint(call.request, self._names)
        )


def _choose_by_hash(
    fingerprint: bytes, instances: Iterable[Instance]
) -> Instance:
    def score(instance: Instance) -> tuple[int, str]:
        name = instance.instance
        digest = xxhash.xxh64_intdigest(fingerprint + name.encode())
        return digest, name

    return max(instances, key=score)
