"""Checks of API keys on the way of a call, with their log and metrics."""

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from auburnjunction.base.errors import ErrorCode
from auburnjunction.base.logs import log_event
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.messages import HttpRequest
from auburnjunction.model.snapshots import RevisedSnapshot
from auburnjunction.organisations.authentications import (
    Authentication,
    Verdict,
    authenticate,
    is_behind,
    recheck,
)
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.traffic.calls import Call, NotRunError

# Retry-After, in seconds, of a refusal by a node that is stale or behind. A
# new proof is due within this time unless the platform is out of reach; it
# is jittered up to twice this time.
STALE_RETRY_AFTER_S = 0.25


class SnapshotSource(Protocol):
    """Provides the configuration in force."""

    @property
    def current(self) -> RevisedSnapshot | None:
        """The snapshot in force, or None before the first one."""


ProofAge = Callable[[], float]
RefusalFinder = Callable[[Call], NotRunError | None]


def find_no_refusal(_call: Call) -> None:
    """Return None, for nodes that do not check keys."""


def never_proven() -> float:
    """Return the age of a proof of a node that has none."""
    return math.inf


class KeyChecker:
    """Checks the keys of requests at their arrival and before each start."""

    def __init__(
        self,
        cfg: OrganisationSettings,
        snapshots: SnapshotSource,
        find_proof_age: ProofAge = never_proven,
        metrics: MetricRegistry | None = None,
    ):
        self._cfg = cfg
        self._snapshots = snapshots
        self._find_proof_age = find_proof_age
        # Refusals by place and cause.
        self.refusals: Counter[tuple[str, str]] = Counter()
        if metrics is not None:
            self._add_metrics(metrics)

    def authenticate(
        self,
        revised: RevisedSnapshot,
        request: HttpRequest,
        request_id: str,
        needs_key: bool,
    ) -> Authentication:
        """Return the accepted authentication; raise NotRunError if refused.

        The snapshot is the one that routes the request; it has organisations.
        """
        age_s = self._find_proof_age()
        found = authenticate(
            self._cfg, revised.snapshot, request.headers, needs_key, age_s
        )
        error = self._make_error(found, request_id, "arrival", age_s)
        if error is not None:
            raise error
        return found

    def require_current(self, request_id: str) -> None:
        """Raise NotRunError for a missing route if the node may be behind."""
        age_s = self._find_proof_age()
        if is_behind(self._cfg, age_s):
            raise self._refuse(
                "no route matches, but the configuration may be outdated",
                ErrorCode.STALE,
                request_id,
                ("arrival", "route"),
                "",
                age_s,
                self._cfg.apply_s,
            )

    def find_attempt_refusal(self, call: Call) -> NotRunError | None:
        """Return why a call must not be sent on, by the newest snapshot."""
        return self._recheck(call, "attempt")

    def find_start_refusal(self, call: Call) -> NotRunError | None:
        """Return why a call must not start at a backend server."""
        return self._recheck(call, "start")

    def _recheck(self, call: Call, place: str) -> NotRunError | None:
        if not call.key_digest:
            return None
        age_s = self._find_proof_age()
        revised = self._snapshots.current
        if revised is None:
            found = Authentication(Verdict.STALE, key_digest=call.key_digest)
        else:
            found = recheck(
                self._cfg,
                revised.snapshot,
                call.organisation,
                call.key_digest,
                age_s,
                revised.mark.revision < call.revision,
            )
        return self._make_error(found, call.request_id, place, age_s)

    def _make_error(
        self,
        found: Authentication,
        request_id: str,
        place: str,
        age_s: float,
    ) -> NotRunError | None:
        if found.verdict in (Verdict.ACCEPTED, Verdict.ANONYMOUS):
            return None
        if found.verdict is Verdict.STALE:
            code = ErrorCode.STALE
            message = "the configuration may be too old to accept keys"
        elif place == "start":
            # The entry node decides whether the refusal is final.
            code, message = ErrorCode.REVOKED, str(found.problem)
        elif found.verdict is Verdict.BEHIND:
            code = ErrorCode.STALE
            message = f"{found.problem}; the configuration may be outdated"
        else:
            code, message = ErrorCode.UNAUTHORISED, str(found.problem)
        cause = found.problem or found.verdict
        is_stale = found.verdict is Verdict.STALE
        return self._refuse(
            message,
            code,
            request_id,
            (place, cause.value),
            found.fingerprint,
            age_s,
            self._cfg.stale_after_s if is_stale else self._cfg.apply_s,
        )

    def _refuse(
        self,
        message: str,
        code: ErrorCode,
        request_id: str,
        cause: tuple[str, str],
        fingerprint: str,
        age_s: float,
        limit_s: float,
    ) -> NotRunError:
        """Count and log a refusal; return its error."""
        self.refusals[cause] += 1
        retry_after_s = 0.0
        if code is not ErrorCode.UNAUTHORISED:
            retry_after_s = STALE_RETRY_AFTER_S * random.uniform(1, 2)
        log_event(
            "request refused for its key",
            request_id=request_id,
            code=code.value,
            place=cause[0],
            cause=cause[1],
            key_fingerprint=fingerprint,
            # JSON has no infinity.
            proof_age_s=round(age_s, 3) if age_s < math.inf else None,
            limit_s=limit_s,
            retry_after_s=round(retry_after_s, 3),
        )
        return NotRunError(message, code, retry_after_s)

    def _add_metrics(self, metrics: MetricRegistry) -> None:
        refused = metrics.make_counter(
            "auburn_key_refusals_total",
            "Requests refused for their key, by place and cause",
        )
        age = metrics.make_gauge(
            "auburn_head_proof_age_seconds",
            "Age of the proof that the configuration is in force; -1 if none",
        )

        def collect() -> None:
            for (place, cause), count in self.refusals.items():
                refused.set({"place": place, "cause": cause}, count)
            revised = self._snapshots.current
            if revised is not None and revised.snapshot.organisations:
                age_s = self._find_proof_age()
                age.set({}, age_s if age_s < math.inf else -1)

        metrics.add_collector(collect)
