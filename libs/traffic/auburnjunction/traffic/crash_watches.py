"""Detection of the calls under which a backend server has crashed."""

import math
from collections.abc import Callable, Iterable

import attrs
import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.membership.crashes import Crash, CrashLog
from auburnjunction.traffic.backends import BackendClient
from auburnjunction.traffic.calls import Call
from auburnjunction.traffic.fingerprints import compute_fingerprint
from auburnjunction.traffic.headers import HeaderNames

MILLISECONDS_PER_SECOND = 1000
FIRST_CLIENT_ERROR = 400

CrashObserver = Callable[[list[Crash]], None]


def ignore_crashes(_crashes: list[Crash]) -> None:
    """Ignore the crash of a backend server."""


@attrs.frozen(slots=True)
class RunningCall:
    """A call that the backend server was sent, and when."""

    call: Call
    started_s: float


class CrashWatch:
    """Watches one backend server for crashes, and the calls that it runs.

    Which of the calls that were running has ended it, one crash cannot tell.
    Requests that a backend server of this node has answered are left out, and
    if some of the others were running at earlier crashes, only those with the
    most of them are reported: a request that crashes whatever runs it has
    been at all of them.
    """

    def __init__(
        self,
        instance: str,
        backend: BackendClient,
        log: CrashLog,
        clock: Clock,
        names: HeaderNames,
        on_crash: CrashObserver = ignore_crashes,
    ):
        self._instance = instance
        self._backend = backend
        self._log = log
        self._clock = clock
        self._names = names
        self._on_crash = on_crash
        self._running: dict[int, RunningCall] = {}
        self._check = curio.Lock()
        # Time at which the last crash was found.
        self._crashed_s = -math.inf

    def start_call(self, call: Call) -> None:
        """Record a call that is sent to the backend server."""
        self._running[id(call)] = RunningCall(call, self._clock.monotonic())

    def end_call(self, call: Call) -> None:
        """Record the end of a call with any outcome."""
        self._running.pop(id(call), None)

    def record_answer(self, call: Call, status: int) -> None:
        """Record the answer of the backend server to a call.

        An error does not prove that it has survived the call: it may have
        rejected the call, or given up before the end.
        """
        if status < FIRST_CLIENT_ERROR:
            fingerprint = compute_fingerprint(call.request, self._names)
            self._log.record_answer(fingerprint)

    async def has_crashed(self, call: Call, born_ms: int) -> bool:
        """Return whether a call ended with a crash of the backend server.

        Its connection has broken; the backend server has crashed if it
        accepts no connection any more. Report the calls that were running,
        once for each crash. born_ms is that of the incarnation, 0 if unknown.
        """
        sent = self._running.get(id(call))
        if sent is None:
            return False
        # Computed before any wait: the body of a request is cleared when its
        # exchange ends. In the order of their starts, so that the latest one
        # of equal requests remains.
        started = {
            compute_fingerprint(r.call.request, self._names): r.started_s
            for r in self._running.values()
        }
        async with self._check:
            if sent.started_s <= self._crashed_s:
                return True
            if not await self._backend.has_ended():
                return False
            self._crashed_s = self._clock.monotonic()
            self._report(started, born_ms)
            return True

    def _report(self, started: dict[bytes, float], born_ms: int) -> None:
        """Report the requests that ran, by fingerprint with their starts."""
        # A crash of an unknown incarnation counts as one of its own.
        born_ms = born_ms or self._read_time_ms()
        blamed = self._select_blamed(started)
        log_event(
            "backend server crashed",
            instance=self._instance,
            born_ms=born_ms,
            running=len(started),
            fingerprints=[fingerprint.hex() for fingerprint in blamed],
        )
        now_s = self._clock.monotonic()
        self._on_crash(
            [
                Crash(f, self._instance, born_ms, now_s, now_s - started[f])
                for f in blamed
            ]
        )

    def _read_time_ms(self) -> int:
        return int(self._clock.now().timestamp() * MILLISECONDS_PER_SECOND)

    def _select_blamed(self, fingerprints: Iterable[bytes]) -> list[bytes]:
        suspects = [f for f in fingerprints if not self._log.was_answered(f)]
        counts = [self._log.count_crashes(f) for f in suspects]
        most = max(counts, default=0)
        return sorted(
            f
            for f, count in zip(suspects, counts, strict=True)
            if count == most
        )
