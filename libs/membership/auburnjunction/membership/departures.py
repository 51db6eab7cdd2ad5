"""Log of departed backend servers, kept across node restarts."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

# A host runs one backend server at a time; the others are for its
# replacements.
MAX_DEPARTURES = 16


@attrs.frozen(slots=True)
class Departure:
    """One incarnation of a backend server that has announced leaving."""

    instance: str
    # Start of that incarnation in milliseconds since the epoch.
    born_ms: int


class DepartureLog:
    """Departures acknowledged by this node, also before a restart.

    They are saved in the node's row of the platform's table, so that a
    late "ready" brings no backend server back after a node restart.
    """

    def __init__(self):
        self._departures: OrderedDict[Departure, None] = OrderedDict()
        self._changes = 0
        self._saved_changes = 0

    def __contains__(self, departure: Departure) -> bool:
        return departure in self._departures

    @property
    def is_saved(self) -> bool:
        """Whether the table holds every departure."""
        return self._saved_changes == self._changes

    @property
    def change_count(self) -> int:
        """Number of changes so far, for a later call of mark_saved."""
        return self._changes

    def list_all(self) -> list[Departure]:
        """Return the departures, the earliest first."""
        return list(self._departures)

    def add(self, departure: Departure) -> None:
        """Add a departure; ignore one without born_ms.

        Without it, a departed incarnation cannot be told from a new one
        of the same backend server.
        """
        if not departure.born_ms or departure in self._departures:
            return
        self._insert(departure)
        self._changes += 1

    def restore(self, departures: Iterable[Departure]) -> None:
        """Add departures that this node saved before a restart.

        They count as earlier than all added since, also above the limit.
        """
        added = self._departures
        self._departures = OrderedDict.fromkeys(departures)
        for departure in added:
            self._departures.pop(departure, None)
            self._insert(departure)

    def mark_saved(self, change_count: int) -> None:
        """Record that the table holds all changes up to a change count."""
        self._saved_changes = max(self._saved_changes, change_count)

    def _insert(self, departure: Departure) -> None:
        self._departures[departure] = None
        while len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
