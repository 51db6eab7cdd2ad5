"""Claims that let a request with an idempotency key run at most once."""

import hashlib
import os
from collections import deque
from enum import StrEnum
from urllib.parse import quote

import attrs
import curio

from auburnjunction.base.clocks import Clock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.logs import log_event
from auburnjunction.http.messages import HttpResponse
from auburnjunction.model.priorities import ClaimMode
from auburnjunction.schema import claims_pb2 as pb
from auburnjunction.storage.tables import (
    PlatformError,
    Row,
    Table,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)
from auburnjunction.traffic.admissions import ClaimSettings
from auburnjunction.traffic.breakers import GuardedTable
from auburnjunction.traffic.calls import Call, NotRunError, UnknownRunError
from auburnjunction.traffic.memories import ClaimMemory
from auburnjunction.traffic.meters import OwnerMetrics

TOKEN_BYTES = 16
WRITE_ATTEMPTS = 4
# Outcomes kept for later while the table is down.
MAX_UNFINISHED = 1024
OUTCOME_ATTEMPTS = 2


class ClaimOutcome(StrEnum):
    """How an attempt to claim a request ended."""

    CLAIMED = "claimed"
    MEMORY_ONLY = "memory-only"
    REPLAYED = "replayed"
    IN_DOUBT = "in-doubt"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"
    RELEASED = "released"
    UNRECORDED = "unrecorded"


@attrs.define(eq=False, slots=True)
class HeldClaim:
    """A claim that lets its holder send the request.

    A version of None means that the row could not be confirmed. With a
    response the request ran before and must not be sent.
    """

    key: str
    row: pb.Claim
    version: int | None = None
    may_exist: bool = False
    response: HttpResponse | None = None


class ClaimStore:
    """Claims requests in the platform's table and in memory."""

    def __init__(
        self,
        cfg: ClaimSettings,
        table: Table,
        clock: Clock,
        metrics: OwnerMetrics,
    ):
        # Writes of outcomes that are still under way.
        self.pending = 0
        self._cfg = cfg
        self._table = GuardedTable(
            table, clock, cfg.timeout_s, cfg.retry_delay_s
        )
        self._clock = clock
        self._metrics = metrics
        self._memory = ClaimMemory(cfg.memory_bytes)
        self._unfinished: deque[HeldClaim] = deque(maxlen=MAX_UNFINISHED)

    def recall(self, call: Call) -> HttpResponse | None:
        """Return the answer that this node remembers, if any.

        Raise UnknownRunError when the call may have run before, and
        NotRunError when its key belongs to another request.
        """
        entry = self._memory.get(format_key(call))
        if entry is None:
            return None
        return self._judge(
            call, entry.fingerprint, entry.response, entry.response is not None
        )

    async def acquire(self, call: Call) -> HeldClaim:
        """Claim a call that is about to be sent.

        Raise NotRunError when it may not be sent for now, and
        UnknownRunError when another attempt may have run it.
        """
        # Another call with this key may have got a slot meanwhile.
        response = self.recall(call)
        if response is not None:
            return HeldClaim(format_key(call), pb.Claim(), response=response)
        row = pb.Claim(
            state=pb.CLAIM_STATE_CLAIMED,
            token=os.urandom(TOKEN_BYTES),
            fingerprint=digest_request(call),
            claimed_ms=int(self._clock.now().timestamp() * 1000),
        )
        claim = HeldClaim(format_key(call), row)
        self._memory.start(claim.key, row.fingerprint)
        try:
            await self._claim_row(call, claim)
        except BaseException:
            self._memory.forget(claim.key)
            raise
        return claim

    async def record(self, claim: HeldClaim, response: HttpResponse) -> None:
        """Keep the answer for later arrivals with the same key."""
        row = claim.row
        row.state = pb.CLAIM_STATE_ANSWERED
        row.status = response.status
        for name, value in response.headers:
            row.headers.add(name=name, value=value)
        row.body_dropped = len(response.body) > self._cfg.body_bytes
        if not row.body_dropped:
            row.body = response.body
        kept = None if row.body_dropped else response
        self._memory.end(claim.key, kept)
        await self._finish(claim)

    async def release(self, claim: HeldClaim) -> None:
        """Let the key be claimed again; the call did not run."""
        self._memory.forget(claim.key)
        self._count(ClaimOutcome.RELEASED)
        claim.row.state = pb.CLAIM_STATE_RELEASED
        await self._finish(claim)

    async def retry_unfinished(self) -> None:
        """Write outcomes again that the table did not take.

        To be called a few times a second; stops at the first failure.
        """
        for _ in range(len(self._unfinished)):
            claim = self._unfinished.popleft()
            self.pending += 1
            if not await self._write_outcome(claim):
                return

    def leave(self, claim: HeldClaim) -> None:
        """Keep the claim of a call that may have run."""
        self._memory.end(claim.key, None)

    async def _claim_row(self, call: Call, claim: HeldClaim) -> None:
        try:
            row = await self._write_claim(claim)
        except PlatformError as exc:
            if call.claims is ClaimMode.BEST_EFFORT:
                self._count(ClaimOutcome.MEMORY_ONLY)
                return
            self._count(ClaimOutcome.UNAVAILABLE)
            await self.release(claim)
            raise NotRunError(
                f"the request cannot be claimed: {exc.message}"
            ) from exc
        except curio.CancelledError:
            await self._start_release(claim)
            raise
        found = pb.Claim.FromString(row.value)
        if found.token == claim.row.token:
            claim.version = row.version
            self._count(ClaimOutcome.CLAIMED)
            return
        claim.response = self._judge(
            call,
            found.fingerprint,
            _make_response(found),
            found.state == pb.CLAIM_STATE_ANSWERED,
        )
        self._memory.end(claim.key, claim.response)

    def _judge(
        self,
        call: Call,
        fingerprint: bytes,
        response: HttpResponse | None,
        answered: bool,
    ) -> HttpResponse:
        if fingerprint != digest_request(call):
            self._count(ClaimOutcome.MISMATCH)
            raise NotRunError(
                "the idempotency key belongs to another request",
                ErrorCode.CONFLICT,
            )
        if not answered or response is None:
            self._count(ClaimOutcome.IN_DOUBT)
            raise UnknownRunError("a request with this key may have run")
        self._count(ClaimOutcome.REPLAYED)
        return response

    async def _write_claim(self, claim: HeldClaim) -> Row:
        """Return the row that stands after writing the claim."""
        version = 0
        for _ in range(WRITE_ATTEMPTS):
            row = await self._put(claim, version)
            if row is not None and not _is_free(row):
                return row
            version = row.version if row is not None else 0
        raise UnavailableError("the claim could not be written")

    async def _put(self, claim: HeldClaim, version: int) -> Row | None:
        """Return the row after a write at a version, whoever wrote it."""
        claim.may_exist = True
        value = claim.row.SerializeToString()
        try:
            return await self._table.put_if(claim.key, value, version)
        except VersionConflictError as exc:
            if exc.current is not None:
                return exc.current
        except UnknownOutcomeError:
            pass
        return await self._table.get(claim.key)

    async def _finish(self, claim: HeldClaim) -> None:
        """Write the outcome; go on when the caller goes meanwhile."""
        if claim.may_exist:
            task = await self._start_finish(claim)
            await task.join()

    async def _start_release(self, claim: HeldClaim) -> None:
        if claim.may_exist:
            claim.row.state = pb.CLAIM_STATE_RELEASED
            await self._start_finish(claim)

    async def _start_finish(self, claim: HeldClaim) -> curio.Task:
        self.pending += 1
        return await curio.spawn(self._write_outcome, claim, daemon=True)

    async def _write_outcome(self, claim: HeldClaim) -> bool:
        """Write the outcome; keep it for later and return False if not."""
        try:
            if claim.version is None:
                claim.version = await self._find_version(claim)
            if claim.version is not None:
                await self._write_at_version(claim, claim.version)
        except PlatformError as exc:
            self._count(ClaimOutcome.UNRECORDED)
            self._unfinished.append(claim)
            log_event("claim not updated", key=claim.key, error=exc.message)
            return False
        finally:
            self.pending -= 1
        return True

    async def _write_at_version(self, claim: HeldClaim, version: int) -> None:
        for _ in range(OUTCOME_ATTEMPTS):
            row = await self._put(claim, version)
            if row is None and version:
                return
            if row is not None and row.version != version:
                return
        raise UnavailableError("the outcome could not be written")

    async def _find_version(self, claim: HeldClaim) -> int | None:
        row = await self._table.get(claim.key)
        if row is None:
            # A late write of the claim then finds a row and conflicts.
            return 0
        found = pb.Claim.FromString(row.value)
        return row.version if found.token == claim.row.token else None

    def _count(self, outcome: ClaimOutcome) -> None:
        self._metrics.claims[outcome.value] += 1


def wants_claim(call: Call) -> bool:
    """Tell whether a call runs only under a claim."""
    if call.repeatable or not call.idempotency_key:
        return False
    return call.claims is not ClaimMode.NONE


def format_key(call: Call) -> str:
    """Return the key of the row that claims a call."""
    key = call.idempotency_key.encode("latin-1")
    digest = hashlib.sha256(key).hexdigest()
    return f"claims/{quote(call.service, safe='')}/{digest}"


def digest_request(call: Call) -> bytes:
    """Return a digest that tells requests with one key apart."""
    request = call.request
    digest = hashlib.sha256()
    for part in (request.method, request.target, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def _is_free(row: Row) -> bool:
    state = pb.Claim.FromString(row.value).state
    return state == pb.CLAIM_STATE_RELEASED


def _make_response(row: pb.Claim) -> HttpResponse | None:
    if row.body_dropped:
        return None
    headers = [(header.name, header.value) for header in row.headers]
    return HttpResponse(row.status, headers, row.body)
