"""Calls that a node has forwarded to the owners of other nodes."""

import math
from contextlib import contextmanager

from auburnjunction.http.clients import Address
from auburnjunction.traffic.calls import Call


class ForwardedCalls:
    """Calls of this node that are at other nodes, or on their way there."""

    def __init__(self):
        # With the address of the owner node's peer listener.
        self._calls: dict[int, tuple[Call, Address]] = {}

    @contextmanager
    def track(self, call: Call, address: Address):
        """Keep the call while the block runs."""
        entry = (call, address)
        self._calls[id(entry)] = entry
        try:
            yield
        finally:
            del self._calls[id(entry)]

    def list_unlimited(self) -> dict[Address, list[Call]]:
        """Return the calls without an answer limit, by owner node."""
        found: dict[Address, list[Call]] = {}
        for call, address in self._calls.values():
            if call.answer_limit_s == math.inf:
                found.setdefault(address, []).append(call)
        return found
