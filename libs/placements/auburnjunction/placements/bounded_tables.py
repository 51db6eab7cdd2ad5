"""Tables that forget their oldest entry."""

from collections.abc import Callable


def get_or_add(table: dict, key, make: Callable, limit: int):
    """Return the entry of a bounded table; evict the oldest for a new one."""
    found = table.get(key)
    if found is None:
        if len(table) >= limit:
            del table[next(iter(table))]
        found = table[key] = make()
    return found
