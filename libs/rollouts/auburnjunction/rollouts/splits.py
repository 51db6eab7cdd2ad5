"""Division of a service's instances by version."""

import math
from collections.abc import Sequence

import attrs

from auburnjunction.model.services import Instance
from auburnjunction.rollouts.baselines import (
    SETTLING_S,
    Baseline,
    choose_version,
    merge_baselines,
)
from auburnjunction.rollouts.counters import find_slice, hash_name
from auburnjunction.rollouts.orders import Phase, Rollout

# Time after which new instances get requests before acceptance.
WARM_UP_S = 2.5
# New instances are slow for some seconds. Until this long after they are
# ready, their durations and run-outs of deadlines do not count.
SLOW_START_S = 5.0
# Progress from which cold instances are used if no warm one is there.
COLD_PROGRESS = 0.3


@attrs.frozen(slots=True)
class Split:
    """Ready instances of a service by their part in a roll-out."""

    old: Sequence[Instance]
    target: Sequence[Instance]
    # Those of the target that get requests at the present share.
    chosen: Sequence[Instance]


@attrs.define(slots=True)
class NodeIdentity:
    """Name and data centre of this node, and its number as a source."""

    node: str
    data_centre: str
    source: int
    started_s: float


class VersionSplitter:
    """Divides the ready instances of one service by version.

    It keeps the version in force and since when instances are ready.
    """

    def __init__(self, identity: NodeIdentity):
        self._identity = identity
        self._first_seen_s: dict[tuple[str, int], float] = {}
        self._cached: tuple[object, Split] | None = None
        self.baseline: Baseline | None = None
        self.is_target_in_force = False

    def invalidate(self) -> None:
        """Forget the last split, as the roll-out or the share has changed."""
        self._cached = None

    def start_rollout(
        self, rollout: Rollout, previous: Rollout | None
    ) -> None:
        """Forget the last split, and find out whether the target is in force.

        An order of the version in force ends a roll-out, or changes nothing.
        The belief of a node that has just started does not count: it may
        have seen only instances of the target.
        """
        self.invalidate()
        if previous is not None and previous.phase is Phase.COMPLETED:
            self.baseline = Baseline(previous.order.target, previous.started_s)
        held = self.baseline
        self.is_target_in_force = (
            held is not None
            and held.version == rollout.order.target
            and (
                previous is not None
                or rollout.started_s - held.since_s > SETTLING_S
            )
        )

    def adopt_baseline(self, received: Baseline) -> None:
        """Merge another node's belief of the version in force."""
        merged = merge_baselines(self.baseline, received)
        if merged is not self.baseline:
            self.baseline = merged
            self.invalidate()

    def split(
        self,
        instances: Sequence[Instance],
        rollout: Rollout | None,
        share: float,
        now_s: float,
    ) -> Split:
        """Return the instances by version."""
        if self._cached is not None and self._cached[0] is instances:
            return self._cached[1]
        split = self._split_anew(instances, rollout, share, now_s)
        self._cached = (instances, split)
        return split

    def _split_anew(
        self,
        instances: Sequence[Instance],
        rollout: Rollout | None,
        share: float,
        now_s: float,
    ) -> Split:
        if rollout is None:
            return Split(self._list_old(instances, None, now_s), (), ())
        target_version = rollout.order.target
        target = [i for i in instances if i.version == target_version]
        if rollout.phase is Phase.COMPLETED:
            return Split((), target, target)
        rest = [i for i in instances if i.version != target_version]
        old = ()
        if not (rollout.phase.is_active and self.is_target_in_force):
            old = self._list_old(rest, target_version, now_s)
        if share >= 1.0:
            return Split(old, target, target)
        progress = rollout.find_progress(now_s)
        chosen = self._choose_target(target, share, progress, now_s)
        return Split(old, target, chosen)

    def _list_old(
        self,
        instances: Sequence[Instance],
        excluded: str | None,
        now_s: float,
    ) -> Sequence[Instance]:
        """Return the instances of the version in force, or any without it."""
        versions = {i.version for i in instances}
        if not versions:
            return ()
        held = self.baseline
        is_settling = now_s - self._identity.started_s < SETTLING_S
        if (
            held is not None
            and held.version in versions
            and not (is_settling and held.since_s >= self._identity.started_s)
        ):
            version = held.version
        else:
            version = choose_version(instances, excluded)
            if is_settling or held is None:
                since_s = now_s if held is None else held.since_s
                if held is None or held.since_s >= self._identity.started_s:
                    self.baseline = Baseline(version, since_s)
        if len(versions) == 1:
            return instances
        return [i for i in instances if i.version == version]

    def _choose_target(
        self,
        target: list[Instance],
        share: float,
        progress: float,
        now_s: float,
    ) -> list[Instance]:
        """Return the target instances that the share is concentrated on.

        Each then has about the load that all have once the target is in
        force, so that faults under load show with a small share. Others
        are chosen in each slice, so that a slow host counts for little.
        """
        own = self._identity.data_centre
        local = [i for i in target if i.data_centre == own]
        usable = [i for i in local if self.is_warm(i, now_s)]
        if not usable and progress >= COLD_PROGRESS:
            usable = local
        if not usable:
            return []
        count = max(1, math.ceil(share * len(usable)))
        usable.sort(key=lambda i: hash_name(i.instance))
        first = find_slice(progress) * count % len(usable)
        return (usable[first:] + usable[:first])[:count]

    def is_warm(
        self, instance: Instance, now_s: float, limit_s: float = WARM_UP_S
    ) -> bool:
        """Return whether the instance has been ready for that long."""
        seen_s = self._first_seen_s.get((instance.instance, instance.born_ms))
        return seen_s is not None and now_s - seen_s >= limit_s

    def observe_instances(
        self, instances: Sequence[Instance], now_s: float
    ) -> None:
        """Record since when instances are ready."""
        seen = self._first_seen_s
        self._first_seen_s = {
            key: seen.get(key, now_s)
            for key in ((i.instance, i.born_ms) for i in instances)
        }
