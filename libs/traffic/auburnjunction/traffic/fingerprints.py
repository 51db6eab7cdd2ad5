"""Digests by which a request is recognised when it comes again."""

import xxhash

from auburnjunction.http.messages import HttpRequest
from auburnjunction.traffic.headers import HeaderNames

# Requests of which an owner remembers that a backend server has answered
# them. One takes about 100 bytes.
MAX_ANSWERED = 512


def compute_fingerprint(request: HttpRequest, names: HeaderNames) -> bytes:
    """Return a digest of method, host, target, caller and body, 16 bytes.

    The same caller's same request has the same digest under another id, with
    another deadline and at another node. The digest is not a cryptographic
    one.
    """
    digest = xxhash.xxh3_128()
    for part in (
        request.method,
        (request.header(b"host") or b"").lower(),
        request.target,
        request.header(names.caller_service) or b"",
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()


class AnsweredRequests:
    """The requests that a backend server has answered last."""

    def __init__(self):
        self._fingerprints: dict[bytes, None] = {}

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._fingerprints

    def add(self, fingerprint: bytes) -> None:
        """Add a request; forget the one answered the longest time ago."""
        self._fingerprints.pop(fingerprint, None)
        self._fingerprints[fingerprint] = None
        if len(self._fingerprints) > MAX_ANSWERED:
            del self._fingerprints[next(iter(self._fingerprints))]
