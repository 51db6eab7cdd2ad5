"""Calls that a node has forwarded to the owners of other nodes."""

import math
from contextlib import asynccontextmanager

import attrs

from auburnjunction.http.clients import Address
from auburnjunction.traffic.calls import Call


@attrs.define(eq=False, slots=True)
class ForwardedCall:
    """A call at another node, whose peer listener has the address."""

    call: Call
    address: Address
    # Whether its owner node has been told the answer limit.
    is_limited: bool = False


class ForwardedCalls:
    """Calls of this node that are at other nodes, or on their way there."""

    def __init__(self):
        self._calls: dict[int, ForwardedCall] = {}

    @asynccontextmanager
    async def track(self, call: Call, address: Address):
        """Keep the call while the block runs."""
        forwarded = ForwardedCall(
            call, address, is_limited=call.answer_limit_s < math.inf
        )
        self._calls[id(forwarded)] = forwarded
        try:
            yield
        finally:
            del self._calls[id(forwarded)]

    def list_unlimited(self) -> dict[Address, list[ForwardedCall]]:
        """Return the calls whose owner nodes know no answer limit."""
        found: dict[Address, list[ForwardedCall]] = {}
        for forwarded in self._calls.values():
            if not forwarded.is_limited:
                found.setdefault(forwarded.address, []).append(forwarded)
        return found
