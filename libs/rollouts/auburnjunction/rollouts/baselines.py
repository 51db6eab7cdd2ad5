"""The version in force of a service without a completed roll-out."""

from collections.abc import Iterable

import attrs

from auburnjunction.model.services import Instance

# Time after the start of a node in which its view of the instances fills,
# so that the version in force is chosen anew with each change of it.
SETTLING_S = 10.0
# Difference between the median starts of two versions from which the one
# started first is in force; below, it is the one with most instances.
START_DIFFERENCE_MS = 1000


@attrs.frozen(slots=True)
class Baseline:
    """A version taken to be in force, since a local monotonic time."""

    version: str
    since_s: float


def choose_version(
    instances: Iterable[Instance], excluded: str | None = None
) -> str | None:
    """Return the version in force among instances, None without any.

    It is the one whose instances have started first. A single restarted
    instance does not change the median of the others.
    """
    groups: dict[str, list[int]] = {}
    for instance in instances:
        if instance.version != excluded:
            groups.setdefault(instance.version, []).append(instance.born_ms)
    if not groups:
        return None
    starts = {version: _find_median(born) for version, born in groups.items()}
    limit_ms = min(starts.values()) + START_DIFFERENCE_MS
    first = [v for v, start_ms in starts.items() if start_ms <= limit_ms]
    return max(first, key=lambda version: (len(groups[version]), version))


def merge_baselines(held: Baseline | None, received: Baseline) -> Baseline:
    """Return the belief that has been held for longer."""
    if held is None or received.since_s < held.since_s:
        return received
    return held


def _find_median(values: list[int]) -> int:
    # The module statistics takes 1.6 MB of each node with its imports.
    return sorted(values)[(len(values) - 1) // 2]
