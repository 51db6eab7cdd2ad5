"""Bounded cache of the claims that one owner node has made."""

from collections import OrderedDict

import attrs

from auburnjunction.http.messages import HttpResponse

ENTRY_OVERHEAD_BYTES = 400


@attrs.frozen(slots=True)
class ClaimEntry:
    """A cached claim of this node.

    Without a response, the call is running or its outcome is unknown.
    """

    fingerprint: bytes
    response: HttpResponse | None = None

    @property
    def size(self) -> int:
        """Estimated memory use of the entry, in bytes."""
        return ENTRY_OVERHEAD_BYTES + (
            len(self.response.body) if self.response else 0
        )


class ClaimCache:
    """Claims by row key; evicts the oldest ones of ended calls first.

    Claims of running calls are neither evicted nor counted.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._bytes = 0
        self._running: dict[str, ClaimEntry] = {}
        self._ended: OrderedDict[str, ClaimEntry] = OrderedDict()

    def get(self, key: str) -> ClaimEntry | None:
        """Return the entry of a key, or None."""
        return self._running.get(key) or self._ended.get(key)

    def start(self, key: str, fingerprint: bytes) -> None:
        """Add an entry for a call that is about to run."""
        self._running[key] = ClaimEntry(fingerprint)

    def discard(self, key: str) -> None:
        """Remove the entry of a call that did not run."""
        self._running.pop(key, None)

    def finish(self, key: str, response: HttpResponse | None) -> None:
        """Store a call's response; None if unknown or too large to keep."""
        entry = self._running.pop(key)
        replaced = self._ended.pop(key, None)
        if replaced is not None:
            self._bytes -= replaced.size
        self._ended[key] = attrs.evolve(entry, response=response)
        self._bytes += self._ended[key].size
        while self._bytes > self._max_bytes:
            _, oldest = self._ended.popitem(last=False)
            self._bytes -= oldest.size
