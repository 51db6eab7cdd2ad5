"""Requests that backend servers have answered, as evidence after crashes."""

import math
from collections.abc import Callable, Iterable

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.schema import control_pb2 as pb

MILLISECONDS_PER_SECOND = 1000
# Time after an answer in which a crash under the request is no evidence
# against it. A later version of a service may crash where an earlier one
# answered.
CLEARANCE_S = 120.0
# Requests of which a node remembers that one of its backend servers has
# answered them. One takes about 100 bytes.
MAX_ANSWERED = 512
MAX_CLEARANCES = 256
MAX_SENT_CLEARANCES = 64


@attrs.frozen(slots=True)
class Clearance:
    """A quarantined request that a backend server has answered."""

    # Digest of the request, see traffic.fingerprints.
    fingerprint: bytes
    # Time of the answer by the local monotonic clock.
    answered_s: float

    @property
    def expires_s(self) -> float:
        """Time until which crashes under the request prove nothing."""
        return self.answered_s + CLEARANCE_S


ClearanceObserver = Callable[[list[Clearance]], None]


def ignore_clearances(_clearances: list[Clearance]) -> None:
    """Ignore the clearance of requests."""


class AnsweredRequests:
    """The requests that backend servers of this node have answered last."""

    def __init__(self):
        self._times: dict[bytes, float] = {}

    def add(self, fingerprint: bytes, answered_s: float) -> None:
        """Add a request; forget the one answered the longest time ago."""
        self._times.pop(fingerprint, None)
        self._times[fingerprint] = answered_s
        if len(self._times) > MAX_ANSWERED:
            del self._times[next(iter(self._times))]

    def find_time(self, fingerprint: bytes) -> float:
        """Return when a request was answered last, or minus infinity."""
        return self._times.get(fingerprint, -math.inf)


class ClearanceLog:
    """Clearances that this node knows of, each until it expires."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._clearances: dict[bytes, Clearance] = {}

    def add(self, clearance: Clearance) -> bool:
        """Add a clearance; return whether the request had none."""
        if clearance.expires_s <= self._clock.monotonic():
            return False
        known = self._clearances.pop(clearance.fingerprint, None)
        latest = clearance
        if known is not None and known.answered_s > clearance.answered_s:
            latest = known
        # The one added the longest time ago comes first.
        self._clearances[clearance.fingerprint] = latest
        if len(self._clearances) > MAX_CLEARANCES:
            del self._clearances[next(iter(self._clearances))]
        return known is None

    def covers(self, fingerprint: bytes, crashed_s: float) -> bool:
        """Return whether a crash at a time proves nothing."""
        clearance = self._clearances.get(fingerprint)
        return clearance is not None and crashed_s <= clearance.expires_s

    def select(self) -> list[Clearance]:
        """Return the clearances that a message carries, the latest ones."""
        now_s = self._clock.monotonic()
        self._clearances = {
            fingerprint: clearance
            for fingerprint, clearance in self._clearances.items()
            if clearance.expires_s > now_s
        }
        return list(self._clearances.values())[-MAX_SENT_CLEARANCES:]


def compute_age_ms(now_s: float, time_s: float) -> int:
    """Return the time since then in milliseconds, for a message."""
    return max(0, int((now_s - time_s) * MILLISECONDS_PER_SECOND))


def encode_clearances(
    clearances: Iterable[Clearance], clock: Clock
) -> list[pb.ClearanceRecord]:
    """Encode clearances, with their ages, as protobuf messages."""
    now_s = clock.monotonic()
    return [
        pb.ClearanceRecord(
            fingerprint=clearance.fingerprint,
            age_ms=compute_age_ms(now_s, clearance.answered_s),
        )
        for clearance in clearances
    ]


def decode_clearances(
    messages: Iterable[pb.ClearanceRecord], clock: Clock
) -> list[Clearance]:
    """Decode at most MAX_SENT_CLEARANCES; skip incomplete ones."""
    now_s = clock.monotonic()
    return [
        Clearance(
            message.fingerprint,
            now_s - message.age_ms / MILLISECONDS_PER_SECOND,
        )
        for message in list(messages)[:MAX_SENT_CLEARANCES]
        if message.fingerprint
    ]
