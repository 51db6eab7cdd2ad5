"""Port of the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Immutable content addressed by its SHA-256 digest.

    Operations raise UnavailableError; put also raises
    UnknownOutcomeError. A put is idempotent.
    """

    async def put(self, digest: bytes, content: bytes, timeout_s: float):
        """Store content under its digest."""

    async def get(self, digest: bytes, timeout_s: float) -> bytes | None:
        """Return the content, or None if there is none."""
