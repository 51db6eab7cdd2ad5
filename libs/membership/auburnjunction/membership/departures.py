"""Log of departed backend servers, kept across node restarts."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

# A host runs one backend server at a time; the others are for its
# replacements.
MAX_DEPARTURES = 16
# Latest departures that a node's record lists, so that records stay small.
MAX_PUBLISHED = 4


@attrs.frozen(slots=True)
class Departure:
    """Departure of the incarnations of a backend server up to one."""

    instance: str
    # Start of the last of them in milliseconds since the epoch.
    born_ms: int


class DepartureLog:
    """Departures acknowledged by this node, also before a restart.

    They are saved in the node's row of the platform's table, so that a
    late "ready" brings no backend server back after a node restart.
    """

    def __init__(self, limit: int = MAX_DEPARTURES):
        self._limit = limit
        self._born_ms: OrderedDict[str, int] = OrderedDict()
        self._changes = 0
        self._saved_changes = 0

    def __len__(self) -> int:
        return len(self._born_ms)

    def __contains__(self, departure: Departure) -> bool:
        """Return whether an incarnation has departed."""
        return self.covers(departure.instance, departure.born_ms)

    def covers(self, instance: str, born_ms: int) -> bool:
        """Return whether an incarnation has departed.

        One without born_ms never has: it cannot be told from a new one of
        the same backend server.
        """
        return 0 < born_ms <= self._born_ms.get(instance, 0)

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
        return [Departure(*item) for item in self._born_ms.items()]

    def list_latest(self) -> tuple[Departure, ...]:
        """Return the departures that the node's record lists."""
        return tuple(self.list_all()[-MAX_PUBLISHED:])

    def add(self, departure: Departure) -> None:
        """Add a departure; ignore one without born_ms."""
        if not departure.born_ms or departure in self:
            return
        self._insert(departure)
        self._changes += 1

    def restore(self, departures: Iterable[Departure]) -> None:
        """Add departures that this node saved before a restart.

        They count as earlier than all added since, also above the limit.
        """
        added = self.list_all()
        self._born_ms.clear()
        for departure in [*departures, *added]:
            self._insert(departure)

    def adopt(self, departures: Iterable[Departure]) -> None:
        """Restore departures that the table may lack."""
        unknown = [d for d in departures if d not in self]
        if not unknown:
            return
        self.restore(unknown)
        if any(d in self for d in unknown):
            self._changes += 1

    def mark_saved(self, change_count: int) -> None:
        """Record that the table holds all changes up to a change count."""
        self._saved_changes = max(self._saved_changes, change_count)

    def mark_lost(self) -> None:
        """Record that the table may have lost what it held."""
        if self._born_ms:
            self._changes += 1

    def _insert(self, departure: Departure) -> None:
        earlier_ms = self._born_ms.pop(departure.instance, 0)
        self._born_ms[departure.instance] = max(earlier_ms, departure.born_ms)
        while len(self._born_ms) > self._limit:
            self._born_ms.popitem(last=False)
