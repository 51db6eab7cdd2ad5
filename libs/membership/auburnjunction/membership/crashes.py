"""Log of calls that were running when a backend server crashed."""

import math
from collections.abc import Callable, Iterable

import attrs
import xxhash

from auburnjunction.base.clocks import Clock
from auburnjunction.base.logs import log_event
from auburnjunction.membership.clearances import (
    CLEARANCE_S,
    AnsweredRequests,
    Clearance,
    ClearanceLog,
    ClearanceObserver,
    compute_age_ms,
    ignore_clearances,
)
from auburnjunction.schema import control_pb2 as pb

MILLISECONDS_PER_SECOND = 1000
# Crashes under a request after which it is sent to no backend server.
CRASH_LIMIT = 3
# Time for which it is refused after the third crash. Each further one doubles
# it, up to the maximum.
FIRST_HOLD_S = 120.0
MAX_HOLD_S = 960.0
# The same if all of its runs were under way at the first crash, so that a
# probe shows whether the request has caused them.
JOINT_HOLD_S = 10.0
# Times of crashes that other nodes have seen are late by up to this, the time
# that messages take.
JOINT_MARGIN_S = 0.25
# Time after its last crash for which a request below the limit is suspect.
SUSPICION_S = 120.0
# Bounds of the log. A record takes about 60 bytes in a message.
MAX_FINGERPRINTS = 256
MAX_CRASHES = 8
MAX_SENT_RECORDS = 64


@attrs.frozen(slots=True)
class Crash:
    """A request that was running when a backend server crashed."""

    # Digest of the request, see traffic.fingerprints.
    fingerprint: bytes
    instance: str
    # Start of the incarnation in milliseconds since the epoch.
    born_ms: int
    # Time of the crash by the local monotonic clock.
    crashed_s: float
    # Time from the start of the run to the crash; 0 if it is not known.
    ran_s: float = 0.0

    @property
    def started_s(self) -> float:
        """Time at which the backend server was sent the request."""
        return self.crashed_s - self.ran_s

    @property
    def key(self) -> tuple[str, int]:
        """The incarnation that has crashed."""
        return self.instance, self.born_ms


Listener = Callable[[list[Crash]], None]


@attrs.define(slots=True)
class Suspect:
    """The crashes under one request, by incarnation."""

    crashes: dict[tuple[str, int], Crash] = attrs.field(factory=dict)
    # When a backend server of this node answered it last.
    answered_s: float = -math.inf

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it is new and one of the latest."""
        if crash.key in self.crashes:
            return False
        self.crashes[crash.key] = crash
        if self.count > MAX_CRASHES:
            # Of those at one moment, the earlier added stay.
            latest_added_first = reversed(self.crashes.values())
            oldest = min(latest_added_first, key=lambda c: c.crashed_s)
            del self.crashes[oldest.key]
        return crash.key in self.crashes

    def drop_crashes_until(self, time_s: float) -> int:
        """Drop the crashes until a time; return how many."""
        dropped = [
            crash.key
            for crash in self.crashes.values()
            if crash.crashed_s <= time_s
        ]
        for key in dropped:
            del self.crashes[key]
        return len(dropped)

    @property
    def count(self) -> int:
        """Number of incarnations that have crashed, MAX_CRASHES at most."""
        return len(self.crashes)

    @property
    def last_crash_s(self) -> float:
        """Time of the last crash."""
        return max(crash.crashed_s for crash in self.crashes.values())

    @property
    def is_quarantined(self) -> bool:
        """Whether the request has reached the limit of crashes."""
        return self.count >= CRASH_LIMIT

    @property
    def is_joint(self) -> bool:
        """Whether all runs were under way at the first crash.

        One cause from outside may have ended them all.
        """
        crashes = self.crashes.values()
        limit_s = min(c.crashed_s for c in crashes) - JOINT_MARGIN_S
        return all(crash.started_s <= limit_s for crash in crashes)

    @property
    def expires_s(self) -> float:
        """Time at which its quarantine or the suspicion ends."""
        if not self.is_quarantined:
            return self.last_crash_s + SUSPICION_S
        if self.is_joint:
            return self.last_crash_s + JOINT_HOLD_S
        hold_s = FIRST_HOLD_S * 2 ** (self.count - CRASH_LIMIT)
        return self.last_crash_s + min(MAX_HOLD_S, hold_s)

    @property
    def forgotten_s(self) -> float:
        """Time at which the crashes are forgotten.

        Until then, a request that was quarantined is so again after one
        further crash.
        """
        if not self.is_quarantined:
            return self.expires_s
        return self.last_crash_s + 2 * MAX_HOLD_S


class CrashLog:
    """Crashes that this node knows of, by the digest of the request.

    A request that ends each backend server that runs it is only known by the
    crashes of several, which different nodes see. Others may run on the same
    backend server by chance, so that one crash proves nothing, and neither do
    several if a backend server has answered the request: it is cleared then.
    """

    def __init__(
        self,
        clock: Clock,
        on_clearance: ClearanceObserver = ignore_clearances,
    ):
        self.clearances = ClearanceLog(clock)
        self._answered = AnsweredRequests()
        self._on_clearance = on_clearance
        self._clock = clock
        self._suspects: dict[bytes, Suspect] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._suspects

    @property
    def digest(self) -> int:
        """Digest of what messages carry; 0 if there is nothing."""
        digest = 0
        for clearance in self.clearances.select():
            digest ^= xxhash.xxh64_intdigest(clearance.fingerprint)
        for crash in self.select():
            name = f"{crash.instance}/{crash.born_ms}".encode()
            digest ^= xxhash.xxh64_intdigest(crash.fingerprint + name)
        return digest

    def count_crashes(self, fingerprint: bytes) -> int:
        """Return how many backend servers have crashed under a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_forgotten(suspect):
            return 0
        return suspect.count

    def find_hold(self, fingerprint: bytes) -> float:
        """Return for how many seconds a request is refused, or 0."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return 0.0
        return max(0.0, suspect.expires_s - self._clock.monotonic())

    def is_on_probation(self, fingerprint: bytes) -> bool:
        """Return whether a request may only be run as a probe.

        Its quarantine has ended, but nothing has cleared it. Released to all
        nodes at once, a request that several callers repeat would crash a
        backend server of each.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return False
        return not self._is_forgotten(suspect) and not self.find_hold(
            fingerprint
        )

    def add(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Add crashes; return those that were not known."""
        self._forget()
        new = [crash for crash in crashes if self._add_crash(crash)]
        for fingerprint in {crash.fingerprint for crash in new}:
            self._clear_if_answered(fingerprint)
        return new

    def was_answered(self, fingerprint: bytes) -> bool:
        """Return whether an answer of this node proves a request harmless.

        Answers of other nodes are known once they matter, as clearances.
        """
        now_s = self._clock.monotonic()
        answered_s = self._answered.find_time(fingerprint)
        return now_s <= answered_s + CLEARANCE_S

    def record_answer(self, fingerprint: bytes) -> None:
        """Record that a backend server of this node has run a request.

        It must have ended the run with an answer of its own.
        """
        now_s = self._clock.monotonic()
        self._answered.add(fingerprint, now_s)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.answered_s = now_s
            self._clear_if_answered(fingerprint)

    def clear(self, clearances: Iterable[Clearance]) -> list[Clearance]:
        """Clear requests; return the clearances that were not known."""
        return [c for c in clearances if self._add_clearance(c)]

    def select(self) -> list[Crash]:
        """Return the crashes that a message carries.

        Those of the requests with the most crashes come first.
        """
        self._forget()
        suspects = sorted(
            self._suspects.values(),
            key=lambda suspect: (suspect.count, suspect.last_crash_s),
            reverse=True,
        )
        crashes = [crash for s in suspects for crash in s.crashes.values()]
        return crashes[:MAX_SENT_RECORDS]

    def _clear_if_answered(self, fingerprint: bytes) -> None:
        """Clear a quarantined request that this node has seen answered."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return
        if suspect.last_crash_s <= suspect.answered_s + CLEARANCE_S:
            clearance = Clearance(fingerprint, suspect.answered_s)
            if self._add_clearance(clearance):
                self._on_clearance([clearance])

    def _add_clearance(self, clearance: Clearance) -> bool:
        is_new = self.clearances.add(clearance)
        suspect = self._suspects.get(clearance.fingerprint)
        if suspect is None:
            return is_new
        covered = suspect.drop_crashes_until(clearance.expires_s)
        if not suspect.crashes:
            del self._suspects[clearance.fingerprint]
        if covered:
            log_event(
                "request cleared",
                fingerprint=clearance.fingerprint.hex(),
                crashes=covered,
                left=suspect.count,
            )
        return is_new or covered > 0

    def _add_crash(self, crash: Crash) -> bool:
        if self.clearances.covers(crash.fingerprint, crash.crashed_s):
            return False
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            answered_s = self._answered.find_time(crash.fingerprint)
            suspect = Suspect(answered_s=answered_s)
        if not suspect.add(crash) or self._is_forgotten(suspect):
            return False
        self._suspects[crash.fingerprint] = suspect
        if suspect.is_quarantined:
            log_event(
                "request quarantined",
                fingerprint=crash.fingerprint.hex(),
                crashes=suspect.count,
                limit=CRASH_LIMIT,
                hold_s=round(self.find_hold(crash.fingerprint), 3),
                instance=crash.instance,
            )
        while len(self._suspects) > MAX_FINGERPRINTS:
            self._drop_least()
        return crash.fingerprint in self._suspects

    def _is_forgotten(self, suspect: Suspect) -> bool:
        return suspect.forgotten_s <= self._clock.monotonic()

    def _forget(self) -> None:
        self._suspects = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects.items()
            if not self._is_forgotten(suspect)
        }

    def _drop_least(self) -> None:
        """Drop the request with the fewest crashes, the oldest of these."""
        least = min(
            self._suspects,
            key=lambda fingerprint: (
                self._suspects[fingerprint].count,
                self._suspects[fingerprint].last_crash_s,
            ),
        )
        del self._suspects[least]


def encode_crashes(
    crashes: Iterable[Crash], clock: Clock
) -> list[pb.CrashRecord]:
    """Encode crashes, with their ages, as protobuf messages."""
    now_s = clock.monotonic()
    return [
        pb.CrashRecord(
            fingerprint=crash.fingerprint,
            instance=crash.instance,
            born_ms=crash.born_ms,
            age_ms=compute_age_ms(now_s, crash.crashed_s),
            ran_ms=int(crash.ran_s * MILLISECONDS_PER_SECOND),
        )
        for crash in crashes
    ]


def decode_crashes(
    messages: Iterable[pb.CrashRecord], clock: Clock
) -> list[Crash]:
    """Decode at most MAX_SENT_RECORDS crashes; skip incomplete ones."""
    now_s = clock.monotonic()
    return [
        Crash(
            message.fingerprint,
            message.instance,
            message.born_ms,
            now_s - message.age_ms / MILLISECONDS_PER_SECOND,
            message.ran_ms / MILLISECONDS_PER_SECOND,
        )
        for message in list(messages)[:MAX_SENT_RECORDS]
        if message.fingerprint and message.instance
    ]
