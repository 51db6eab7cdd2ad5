"""Organisations that call through the mesh, and the digests of their keys."""

import hashlib

import attrs

from auburnjunction.model.priorities import Priority

# Digits of a key's digest that log lines show.
FINGERPRINT_DIGITS = 8


def digest_key(key: bytes) -> str:
    """Return the digest of an API key, in hexadecimal digits.

    Only digests are kept, compared and sent between nodes, so that neither
    the time of a look-up nor a stored configuration discloses a key.
    """
    return hashlib.sha256(key).hexdigest()


@attrs.frozen(slots=True)
class Organisation:
    """An organisation with the digests of its API keys and its quota.

    Its priority takes precedence over that of a route; None leaves the
    route's in force. With rate_per_s 0 there is no quota.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: Priority | None = None
    # Requests per second over all nodes, and requests beyond that rate.
    rate_per_s: float = 0.0
    burst: float = 0.0
