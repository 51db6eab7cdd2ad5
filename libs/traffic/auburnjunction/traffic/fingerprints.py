"""Digests by which a request is recognised when it comes again."""

import xxhash

from auburnjunction.http.messages import HttpRequest
from auburnjunction.traffic.headers import HeaderNames


def compute_fingerprint(request: HttpRequest, names: HeaderNames) -> bytes:
    """Return a digest of method, host, target, caller and body, 16 bytes.

    It also covers the organisation, if the request has one.
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
    organisation = request.header(names.organisation)
    if names.organisation and organisation is not None:
        digest.update(b"%d:" % len(organisation))
        digest.update(organisation)
    digest.update(request.body)
    return digest.digest()
