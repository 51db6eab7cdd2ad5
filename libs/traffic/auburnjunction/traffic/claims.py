"""Claims that make a request with an idempotency key run at most once."""

import hashlib
import os
from collections import deque
from enum import StrEnum
from urllib.parse import quote

import attrs
import curio
from absl import logging

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
from auburnjunction.traffic.breakers import CircuitBreakerTable
from auburnjunction.traffic.calls import Call, NotRunError, UnknownRunError
from auburnjunction.traffic.claim_caches import ClaimCache
from auburnjunction.traffic.meters import OwnerMetrics

TOKEN_BYTES = 16
WRITE_ATTEMPTS = 4
# Outcomes queued to be written again while the table is unavailable.
MAX_UNRECORDED = 1024
OUTCOME_ATTEMPTS = 2


class ClaimOutcome(StrEnum):
    """Outcome of an attempt to claim a request."""

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
    """A claim under which the owner node may send the request.

    A version of None means that the row's version is unknown. If a response
    is set, the request has run before and must not be sent.
    """

    key: str
    row: pb.Claim
    version: int | None = None
    row_may_exist: bool = False
    response: HttpResponse | None = None


class ClaimStore:
    """Claims requests in the platform's table and in a local cache."""

    def __init__(
        self,
        cfg: ClaimSettings,
        table: Table,
        clock: Clock,
        metrics: OwnerMetrics,
    ):
        # Number of outcome writes in progress.
        self.pending_writes = 0
        self._cfg = cfg
        self._table = CircuitBreakerTable(
            table, clock, cfg.timeout_s, cfg.retry_delay_s
        )
        self._clock = clock
        self._metrics = metrics
        self._cache = ClaimCache(cfg.memory_bytes)
        self._unrecorded: deque[HeldClaim] = deque()
        self._is_retrying = False

    def find_cached_response(self, call: Call) -> HttpResponse | None:
        """Return the answer cached at this node for the call's key, if any.

        Raise UnknownRunError if a request with the key may have run, and
        NotRunError if the key was used for another request.
        """
        entry = self._cache.get(format_key(call))
        if entry is None:
            return None
        return self._replay_or_raise(
            call, entry.fingerprint, entry.response, entry.response is not None
        )

    async def acquire(self, call: Call) -> HeldClaim:
        """Claim a call that is about to be sent.

        Raise NotRunError if it must not be sent now, and UnknownRunError if
        another attempt may have run it.
        """
        # Another call with this key may have been claimed while this one
        # waited for its slot.
        response = self.find_cached_response(call)
        if response is not None:
            return HeldClaim(format_key(call), pb.Claim(), response=response)
        row = pb.Claim(
            state=pb.CLAIM_STATE_CLAIMED,
            token=os.urandom(TOKEN_BYTES),
            fingerprint=digest_request(call),
            claimed_ms=int(self._clock.now().timestamp() * 1000),
        )
        claim = HeldClaim(format_key(call), row)
        self._cache.start(claim.key, row.fingerprint)
        try:
            await self._claim_row(call, claim)
        except BaseException:
            self._cache.discard(claim.key)
            raise
        return claim

    async def record(self, claim: HeldClaim, response: HttpResponse) -> None:
        """Record the answer for later calls with the same key."""
        row = claim.row
        row.state = pb.CLAIM_STATE_ANSWERED
        row.status = response.status
        for name, value in response.headers:
            row.headers.add(name=name, value=value)
        row.body_dropped = len(response.body) > self._cfg.body_bytes
        cached = None
        if not row.body_dropped:
            # The response's own body is cleared when its exchange ends.
            row.body = bytes(response.body)
            cached = HttpResponse(response.status, response.headers, row.body)
        self._cache.finish(claim.key, cached)
        await self._record_outcome(claim)

    async def release(self, claim: HeldClaim) -> None:
        """Release the key for another claim, because the call did not run."""
        self._cache.discard(claim.key)
        self._count(ClaimOutcome.RELEASED)
        claim.row.state = pb.CLAIM_STATE_RELEASED
        await self._record_outcome(claim)

    async def retry_unrecorded(self) -> None:
        """Retry the outcome writes that failed.

        Must be called a few times per second; stops at the first failure.
        """
        if self._is_retrying:
            # The sweep of a node that drains runs beside the periodic one.
            return
        self._is_retrying = True
        try:
            for _ in range(len(self._unrecorded)):
                claim = self._unrecorded.popleft()
                self.pending_writes += 1
                if not await self._write_outcome(claim):
                    return
        finally:
            self._is_retrying = False

    def keep_unknown(self, claim: HeldClaim) -> None:
        """Keep the claim of a call with an unknown outcome."""
        self._cache.finish(claim.key, None)

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
            await self._spawn_release(claim)
            raise
        found = pb.Claim.FromString(row.value)
        if found.token == claim.row.token:
            claim.version = row.version
            self._count(ClaimOutcome.CLAIMED)
            return
        claim.response = self._replay_or_raise(
            call,
            found.fingerprint,
            _make_response(found),
            found.state == pb.CLAIM_STATE_ANSWERED,
        )
        self._cache.finish(claim.key, claim.response)

    def _replay_or_raise(
        self,
        call: Call,
        fingerprint: bytes,
        response: HttpResponse | None,
        was_answered: bool,
    ) -> HttpResponse:
        if fingerprint != digest_request(call):
            self._count(ClaimOutcome.MISMATCH)
            raise NotRunError(
                "the idempotency key was used for another request",
                ErrorCode.CONFLICT,
            )
        if not was_answered or response is None:
            self._count(ClaimOutcome.IN_DOUBT)
            raise UnknownRunError(
                "a request with this idempotency key may have run"
            )
        self._count(ClaimOutcome.REPLAYED)
        return response

    async def _write_claim(self, claim: HeldClaim) -> Row:
        """Write the claim unless the key is claimed; return the key's row."""
        version = 0
        for _ in range(WRITE_ATTEMPTS):
            row = await self._put(claim, version)
            if row is not None and not _is_released(row):
                return row
            version = row.version if row is not None else 0
        raise UnavailableError(
            f"the claim was not written after {WRITE_ATTEMPTS} attempts"
        )

    async def _put(self, claim: HeldClaim, version: int) -> Row | None:
        """Write the row at a version; return the row then in the table.

        After a conflict or an unknown outcome, the row may be another's.
        """
        claim.row_may_exist = True
        value = claim.row.SerializeToString()
        try:
            return await self._table.put_if(claim.key, value, version)
        except VersionConflictError as exc:
            if exc.current is not None:
                return exc.current
        except UnknownOutcomeError:
            pass
        return await self._table.get(claim.key)

    async def _record_outcome(self, claim: HeldClaim) -> None:
        """Write the outcome; cancelling the call does not stop the write."""
        if claim.row_may_exist:
            task = await self._spawn_outcome_write(claim)
            await task.join()

    async def _spawn_release(self, claim: HeldClaim) -> None:
        if claim.row_may_exist:
            claim.row.state = pb.CLAIM_STATE_RELEASED
            await self._spawn_outcome_write(claim)

    async def _spawn_outcome_write(self, claim: HeldClaim) -> curio.Task:
        self.pending_writes += 1
        return await curio.spawn(self._write_outcome, claim, daemon=True)

    async def _write_outcome(self, claim: HeldClaim) -> bool:
        """Write the outcome; on failure, queue it and return False."""
        try:
            if claim.version is None:
                claim.version = await self._read_own_version(claim)
            if claim.version is not None:
                await self._write_at_version(claim, claim.version)
        except PlatformError as exc:
            self._count(ClaimOutcome.UNRECORDED)
            self._queue_unrecorded(claim)
            log_event(
                "claim outcome not written; queued for retry",
                key=claim.key,
                error=exc.message,
            )
            return False
        finally:
            self.pending_writes -= 1
        return True

    def _queue_unrecorded(self, claim: HeldClaim) -> None:
        """Queue an outcome for retry; drop the oldest if the queue is full.

        The row of a dropped claim stays without an answer, so that its key
        is never run again.
        """
        if len(self._unrecorded) == MAX_UNRECORDED:
            dropped = self._unrecorded.popleft()
            log_event(
                "claim outcome dropped; its key stays in doubt",
                logging.WARNING,
                key=dropped.key,
                limit=MAX_UNRECORDED,
            )
        self._unrecorded.append(claim)

    async def _write_at_version(self, claim: HeldClaim, version: int) -> None:
        for _ in range(OUTCOME_ATTEMPTS):
            row = await self._put(claim, version)
            if row is None and version:
                return
            if row is not None and row.version != version:
                return
        raise UnavailableError(
            f"the outcome was not written after {OUTCOME_ATTEMPTS} attempts"
        )

    async def _read_own_version(self, claim: HeldClaim) -> int | None:
        row = await self._table.get(claim.key)
        if row is None:
            # Writing the outcome as a new row makes a delayed write of the
            # claim conflict.
            return 0
        found = pb.Claim.FromString(row.value)
        return row.version if found.token == claim.row.token else None

    def _count(self, outcome: ClaimOutcome) -> None:
        self._metrics.claims[outcome.value] += 1


def needs_claim(call: Call) -> bool:
    """Return whether a call must be claimed before it runs."""
    if call.repeatable or not call.idempotency_key:
        return False
    return call.claims is not ClaimMode.NONE


def format_key(call: Call) -> str:
    """Return the key of the row that claims a call.

    Equal idempotency keys of two organisations are different keys.
    """
    key = call.idempotency_key.encode("latin-1")
    if call.organisation:
        name = call.organisation.encode()
        key = b"%d:%b%b" % (len(name), name, key)
    digest = hashlib.sha256(key).hexdigest()
    return f"claims/{quote(call.service, safe='')}/{digest}"


def digest_request(call: Call) -> bytes:
    """Return a digest that distinguishes requests with the same key."""
    request = call.request
    digest = hashlib.sha256()
    for part in (request.method, request.target, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def _is_released(row: Row) -> bool:
    state = pb.Claim.FromString(row.value).state
    return state == pb.CLAIM_STATE_RELEASED


def _make_response(row: pb.Claim) -> HttpResponse | None:
    if row.body_dropped:
        return None
    headers = [(header.name, header.value) for header in row.headers]
    return HttpResponse(row.status, headers, row.body)
