"""Lives of backend servers that are over, beyond the life of a node."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

# One backend server runs beside a node; the rest is for replacements.
MAX_DEPARTURES = 16


@attrs.frozen(slots=True)
class Departure:
    """One life of a backend server that said it was leaving."""

    instance: str
    # Start of that life in milliseconds since the epoch.
    born_ms: int


class DepartureLog:
    """Departures that this node has acknowledged, or an earlier life.

    They are kept in the node's row of the platform's table, so that a
    late "ready" brings no backend server back after the node has died.
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
        """Number of changes so far, to be handed to note_saved."""
        return self._changes

    def list_all(self) -> list[Departure]:
        """Return the departures, the earliest first."""
        return list(self._departures)

    def add(self, departure: Departure) -> None:
        """Note a departure; one without its time of birth says nothing.

        The same backend server may then as well have started again.
        """
        if not departure.born_ms or departure in self._departures:
            return
        self._insert(departure)
        self._changes += 1

    def recall(self, departures: Iterable[Departure]) -> None:
        """Take in what an earlier life of this node has saved."""
        for departure in departures:
            self._insert(departure)

    def note_saved(self, change_count: int) -> None:
        """Note that the table holds the departures up to a change."""
        self._saved_changes = max(self._saved_changes, change_count)

    def _insert(self, departure: Departure) -> None:
        self._departures[departure] = None
        while len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
