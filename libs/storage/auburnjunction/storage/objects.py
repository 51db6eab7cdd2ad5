"""Port of the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Immutable content by its SHA-256 digest.

    Operations raise UnavailableError or, for put, UnknownOutcomeError;
    putting the same content again is harmless.
    """

    async def put(self, digest: bytes, content: bytes, timeout_s: float):
        """Store content under its digest."""

    async def get(self, digest: bytes, timeout_s: float) -> bytes | None:
        """Return the content, or None when there is none."""
