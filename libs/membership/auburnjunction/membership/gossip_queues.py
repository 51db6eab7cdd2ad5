"""Queue of changed records to gossip."""

import attrs

from auburnjunction.membership.records import Node

MAX_GOSSIP_RECORDS = 64
# A record leaves the queue after this many peers already had it.
MAX_REDUNDANT_SENDS = 3


@attrs.define(slots=True)
class Rumor:
    """A changed record in the queue, with counts of its sends."""

    record: Node
    redundant: int = 0
    sent: int = 0


class GossipQueue:
    """Changed records to gossip, one per node (rumor mongering)."""

    def __init__(self):
        self._rumors: dict[str, Rumor] = {}

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, record: Node) -> None:
        """Add a record, replacing an older one of the same node."""
        self._rumors[record.node] = Rumor(record)

    def select(self, limit: int = MAX_GOSSIP_RECORDS) -> list[Node]:
        """Return the least often sent records and count them as sent."""
        rumors = sorted(self._rumors.values(), key=lambda r: r.sent)
        for rumor in rumors[:limit]:
            rumor.sent += 1
        return [rumor.record for rumor in rumors[:limit]]

    def count_redundant(self, record: Node) -> None:
        """Count a peer that already had the record."""
        rumor = self._rumors.get(record.node)
        if rumor is None or rumor.record is not record:
            return
        rumor.redundant += 1
        if rumor.redundant >= MAX_REDUNDANT_SENDS:
            del self._rumors[record.node]
