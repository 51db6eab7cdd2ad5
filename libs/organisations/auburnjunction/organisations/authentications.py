"""Authentication of requests by API key against a snapshot."""

from collections.abc import Iterable
from enum import StrEnum

import attrs

from auburnjunction.model.organisations import (
    FINGERPRINT_DIGITS,
    Organisation,
    digest_key,
)
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.organisations.settings import OrganisationSettings

AUTHORIZATION_HEADER = b"authorization"
KEY_SCHEME = b"bearer"


class Verdict(StrEnum):
    """What the API key of a request, or its absence, allows."""

    ACCEPTED = "accepted"
    ANONYMOUS = "anonymous"
    # No valid key, by a configuration that is recent enough to say so.
    UNKNOWN = "unknown"
    # No valid key, but a later configuration may have it.
    BEHIND = "behind"
    # A valid key, but a later configuration may have withdrawn it.
    STALE = "stale"


class KeyProblem(StrEnum):
    """Why a request has no valid key."""

    MISSING = "missing key"
    MALFORMED = "malformed Authorization header"
    UNKNOWN = "unknown key"
    WITHDRAWN = "withdrawn key"


@attrs.frozen(slots=True)
class Authentication:
    """Verdict on a request, with the digest of its key if it has one."""

    verdict: Verdict
    organisation: Organisation | None = None
    key_digest: str = ""
    problem: KeyProblem | None = None

    @property
    def fingerprint(self) -> str:
        """Digits of the key's digest for log lines."""
        return self.key_digest[:FINGERPRINT_DIGITS]


ANONYMOUS = Authentication(Verdict.ANONYMOUS)


class MalformedKeyError(Exception):
    """The Authorization header is repeated or not of the form Bearer KEY."""


def read_key(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Return the API key of a request; None without the header.

    Names of headers are in lower case. Raise MalformedKeyError.
    """
    values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
    if not values:
        return None
    if len(values) > 1:
        raise MalformedKeyError
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key or b" " in key:
        raise MalformedKeyError
    return key


def authenticate(
    cfg: OrganisationSettings,
    snapshot: Snapshot,
    headers: Iterable[tuple[bytes, bytes]],
    needs_key: bool,
    proof_age_s: float,
) -> Authentication:
    """Return the verdict on a request by a snapshot with organisations.

    proof_age_s is the age of the proof that the snapshot is the newest one.
    """
    try:
        key = read_key(headers)
    except MalformedKeyError:
        return _reject(cfg, KeyProblem.MALFORMED, "", proof_age_s)
    if key is None:
        if not needs_key:
            return ANONYMOUS
        return _reject(cfg, KeyProblem.MISSING, "", proof_age_s)
    digest = digest_key(key)
    organisation = snapshot.find_digest(digest)
    if organisation is None:
        return _reject(cfg, KeyProblem.UNKNOWN, digest, proof_age_s)
    verdict = Verdict.ACCEPTED
    if is_stale(cfg, proof_age_s):
        verdict = Verdict.STALE
    return Authentication(verdict, organisation, digest)


def recheck(
    cfg: OrganisationSettings,
    snapshot: Snapshot,
    organisation: str,
    key_digest: str,
    proof_age_s: float,
    is_older: bool = False,
) -> Authentication:
    """Return the verdict on a request that was accepted before.

    is_older tells that the snapshot is older than the one that accepted the
    key. Whatever withdrew the key since is then newer than both, so that the
    age of the proof alone bounds when the key was withdrawn.
    """
    if is_stale(cfg, proof_age_s):
        return Authentication(Verdict.STALE, key_digest=key_digest)
    if is_older:
        return Authentication(Verdict.ACCEPTED, key_digest=key_digest)
    found = snapshot.find_digest(key_digest)
    if found is None or found.name != organisation:
        return _reject(cfg, KeyProblem.WITHDRAWN, key_digest, proof_age_s)
    return Authentication(Verdict.ACCEPTED, found, key_digest)


def is_stale(cfg: OrganisationSettings, proof_age_s: float) -> bool:
    """Return whether requests with keys must not start."""
    return cfg.strict and proof_age_s >= cfg.stale_after_s


def is_behind(cfg: OrganisationSettings, proof_age_s: float) -> bool:
    """Return whether a configuration in force may be unknown here."""
    return proof_age_s >= cfg.apply_s


def _reject(
    cfg: OrganisationSettings,
    problem: KeyProblem,
    key_digest: str,
    proof_age_s: float,
) -> Authentication:
    verdict = Verdict.UNKNOWN
    if is_behind(cfg, proof_age_s):
        verdict = Verdict.BEHIND
    return Authentication(verdict, None, key_digest, problem)
