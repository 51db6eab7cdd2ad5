"""Departures kept for nodes that restart."""

from auburnjunction.http.clients import Address
from auburnjunction.membership.departures import (
    MAX_PUBLISHED,
    Departure,
    DepartureLog,
)
from auburnjunction.membership.records import Node


class DepartureHandover:
    """Departures that the current records of restarted nodes lack.

    A node that restarts while the table is down has lost its departure log.
    The nodes that hold the record of its previous incarnation send it the
    departures in there until its record lists them.
    """

    def __init__(self):
        # Earliest known incarnation of each node that has restarted since.
        self._earliest: dict[str, int] = {}
        self._departures: dict[Address, tuple[Departure, ...]] = {}

    def observe(self, previous: Node | None, current: Node) -> None:
        """Compare a record with the one of the same node that it replaces."""
        missing = list(self._departures.pop(current.address, ()))
        if previous and previous.incarnation < current.incarnation:
            self._earliest.setdefault(current.node, previous.incarnation)
            missing += previous.departures
        if not missing or len(current.departures) >= MAX_PUBLISHED:
            # The record lists only the latest; any others are earlier.
            return
        listed = DepartureLog()
        listed.restore(current.departures)
        missing = [d for d in missing if d not in listed]
        if missing:
            latest = dict.fromkeys(missing[-MAX_PUBLISHED:])
            self._departures[current.address] = tuple(latest)

    def list_for(self, address: Address) -> tuple[Departure, ...]:
        """Return the departures to send to the node at an address."""
        return self._departures.get(address, ())

    def find_earliest(self, node: str) -> int:
        """Return the earliest known incarnation of a node, or 0.

        It is 0 if none from before its restart is known.
        """
        return self._earliest.get(node, 0)

    def forget(self, node: Node) -> None:
        """Drop what is known of a node."""
        self._departures.pop(node.address, None)
        self._earliest.pop(node.node, None)
