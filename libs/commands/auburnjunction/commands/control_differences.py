"""Differences between two configurations, for auburnctl diff."""

import attrs

from auburnjunction.commands.control_views import list_snapshot_values
from auburnjunction.model.snapshots import Snapshot


@attrs.frozen
class Difference:
    """One service or route that was added, removed or changed."""

    kind: str
    name: str
    change: str
    fields: tuple[str, ...] = ()


def compare_snapshots(old: Snapshot, new: Snapshot) -> list[Difference]:
    """Return the differences, services before routes, sorted by name."""
    before, after = list_snapshot_values(old), list_snapshot_values(new)
    differences = []
    for kind in ("services", "routes"):
        differences += _compare_items(kind, before[kind], after[kind])
    return differences


def _compare_items(kind: str, before: list, after: list) -> list[Difference]:
    old = {item["name"]: item for item in before}
    new = {item["name"]: item for item in after}
    differences = []
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            differences.append(Difference(kind, name, "removed"))
        elif name not in old:
            differences.append(Difference(kind, name, "added"))
        elif old[name] != new[name]:
            fields = _describe_changed_fields(old[name], new[name])
            differences.append(Difference(kind, name, "changed", fields))
    return differences


def _describe_changed_fields(old: dict, new: dict) -> tuple[str, ...]:
    return tuple(
        f"{field}: {old[field]} -> {new[field]}"
        for field in new
        if old[field] != new[field]
    )
