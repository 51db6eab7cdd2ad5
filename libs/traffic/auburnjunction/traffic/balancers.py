"""Load balancing: choice of the instance for each attempt of a call."""

import random
from collections.abc import Sequence, Set

import attrs

from auburnjunction.model.services import Instance
from auburnjunction.rollouts.selectors import VersionSelector
from auburnjunction.traffic.call_forwarders import InstanceSource
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.placed_choices import PlacedChooser
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings

# Load from which an instance is taken to have no free slot. A refusal as busy
# counts as 1 and decays, so that a full instance is asked again after about a
# sixth of the half-life of load reports.
FULL_LOAD = 0.9


@attrs.frozen
class NodeLocation:
    """Identity and data centre of this node."""

    node: str
    data_centre: str


@attrs.define(slots=True)
class Candidates:
    """Instances that a call may be sent to and has not tried."""

    local: list[Instance]
    remote: list[Instance]
    # Whether the local data centre has any usable instance, also a tried one.
    local_exists: bool = False
    # Ejected instance that this call is to probe.
    probe: Instance | None = None
    # Whether instances of another version may take the call if these refuse.
    has_fallback: bool = False
    # Whether the call has tried no instance yet.
    is_first: bool = True


class Balancer:
    """Chooses instances by their load and latency, local ones first.

    Local instances are those of this node's data centre.
    """

    def __init__(
        self,
        location: NodeLocation,
        instances: InstanceSource,
        outlier_tracker: OutlierTracker,
        instance_tracker: InstanceTracker,
        settings: RoutingSettings,
        rng: random.Random,
        versions: VersionSelector | None = None,
    ):
        self._versions = versions
        self._location = location
        self._instances = instances
        self._outlier_tracker = outlier_tracker
        self._instance_tracker = instance_tracker
        self._settings = settings
        self._random = rng.random
        # Chooses by expected completion; None if that is off.
        self._placed: PlacedChooser | None = None
        if instance_tracker.placer is not None:
            self._placed = PlacedChooser(
                location.node,
                instance_tracker.placer,
                outlier_tracker.count_failures,
                rng,
            )

    @property
    def is_placing(self) -> bool:
        """Whether calls are placed by expected completion."""
        return self._placed is not None

    def list_candidates(
        self, routed: RoutedCall, tried: Set[str], now_s: float
    ) -> Candidates:
        """Return the untried instances of the call's service."""
        instances = self._find_reachable(routed, now_s)
        candidates = Candidates([], [], is_first=not tried)
        if self._versions is not None:
            call = routed.call
            selection = self._versions.select(
                call.service, call.route, instances, not tried
            )
            instances = selection.instances
            candidates.has_fallback = selection.has_fallback
        if not tried:
            candidates.probe = self._take_probe(
                instances, routed.call.repeatable, now_s
            )
        for instance in self._exclude_cooldowns(instances, now_s):
            is_local = instance.data_centre == self._location.data_centre
            candidates.local_exists |= is_local
            if instance.instance not in tried:
                found = candidates.local if is_local else candidates.remote
                found.append(instance)
        return candidates

    def list_eligible(self, routed: RoutedCall) -> Sequence[Instance]:
        """Return all instances that serve the route, whatever their state.

        During a roll-out these are the ones that retries may go to, which do
        not depend on a draw.
        """
        instances = self._find_eligible(routed)
        if self._versions is None:
            return instances
        call = routed.call
        return self._versions.select(
            call.service, call.route, instances, False
        ).instances

    def choose_from(
        self, routed: RoutedCall, candidates: Candidates, now_s: float
    ) -> Instance | None:
        """Return the instance for an attempt, local ones first."""
        if candidates.probe is not None:
            return candidates.probe
        if candidates.local:
            if self._uses_placement(routed, now_s):
                return self._choose_placed(routed, candidates, now_s)
            return self._choose_local(
                routed, candidates.local, candidates.remote, now_s
            )
        least_urgent = self._settings.refused_spill_priority
        # If local instances exist, all usable ones have been tried; ejected
        # ones and those in cooldown do not keep a call from spilling.
        if candidates.local_exists and routed.call.priority > least_urgent:
            return None
        return self.choose_remote(routed, candidates, now_s)

    def choose_remote(
        self, routed: RoutedCall, candidates: Candidates, now_s: float
    ) -> Instance | None:
        """Return an instance of another data centre that may take it."""
        remote = self._find_spill_targets(routed, candidates.remote, now_s)
        if remote and self._uses_placement(routed, now_s):
            return self._placed.choose_after_refusal(
                routed, remote, candidates.local_exists, now_s
            )
        return self._choose_by_two_samples(remote, now_s) if remote else None

    def choose_after_wait(
        self,
        routed: RoutedCall,
        candidates: Candidates,
        wait_s: float,
        now_s: float,
    ) -> Instance | None:
        """Return a remote instance for a call that must wait locally.

        wait_s is the shortest expected wait.
        """
        if self._uses_placement(routed, now_s):
            remote = self._find_spill_targets(routed, candidates.remote, now_s)
            return self._placed.choose_after_wait(
                routed, remote, wait_s, now_s
            )
        left_s = max(0.0, routed.call.deadline_s - now_s)
        limit_s = self._settings.remote_prompt_wait_share * left_s
        if not routed.call.nested or wait_s <= limit_s:
            return None
        return self.choose_free_remote(routed, candidates, now_s)

    def choose_free_remote(
        self, routed: RoutedCall, candidates: Candidates, now_s: float
    ) -> Instance | None:
        """Return one of them that is not known to be full."""
        free = [
            i
            for i in self._find_spill_targets(routed, candidates.remote, now_s)
            if self._instance_tracker.find_load(i, now_s) < FULL_LOAD
        ]
        return self._choose_by_two_samples(free, now_s) if free else None

    def _uses_placement(self, routed: RoutedCall, now_s: float) -> bool:
        if self._placed is None:
            return False
        return self._placed.has_figures(routed, now_s)

    def _choose_placed(
        self, routed: RoutedCall, candidates: Candidates, now_s: float
    ) -> Instance:
        """Return an instance of the data centre that the placement draws."""

        def find_remote() -> list[Instance]:
            return self._find_spill_targets(routed, candidates.remote, now_s)

        return self._placed.choose(
            routed, candidates.local, find_remote, candidates.is_first, now_s
        )

    def _exclude_cooldowns(
        self, instances: Sequence[Instance], now_s: float
    ) -> Sequence[Instance]:
        """Return the usable instances that are not in cooldown.

        If all of them are, all are returned: a refusal costs little, and
        the first instance that accepts calls again is found at once.
        """
        usable = self._outlier_tracker.find_usable(instances)
        available = [
            i
            for i in usable
            if not self._instance_tracker.is_in_cooldown(i, now_s)
        ]
        return available or usable

    def _find_reachable(
        self, routed: RoutedCall, now_s: float
    ) -> Sequence[Instance]:
        """Return the eligible instances of reachable data centres."""
        eligible = self._find_eligible(routed)
        unreachable = self._instance_tracker.find_unreachable_data_centres(
            now_s
        )
        unreachable -= {self._location.data_centre}
        if not unreachable:
            return eligible
        return [i for i in eligible if i.data_centre not in unreachable]

    def _find_eligible(self, routed: RoutedCall) -> Sequence[Instance]:
        instances = self._instance_tracker.exclude_left(
            self._instances.find_instances(routed.call.service)
        )
        resource = routed.route.resource
        if not resource:
            return instances
        return [i for i in instances if resource in i.resources]

    def _take_probe(
        self, instances: Sequence[Instance], repeatable: bool, now_s: float
    ) -> Instance | None:
        own = self._location.data_centre
        local = [i for i in instances if i.data_centre == own]
        return self._outlier_tracker.take_probe(
            local or instances, repeatable, now_s
        )

    def _choose_local(
        self,
        routed: RoutedCall,
        local: list[Instance],
        remote: list[Instance],
        now_s: float,
    ) -> Instance:
        own = self._choose_own(local, now_s)
        if own is not None:
            return own
        best = self._choose_by_two_samples(local, now_s)
        limit = self._settings.overload_limit
        if self._instance_tracker.find_load(best, now_s) < limit:
            return best
        remote = self._find_spill_targets(routed, remote, now_s)
        if not remote or not self._may_spill_overload(routed):
            return best
        other = self._choose_by_two_samples(remote, now_s)
        return (
            other
            if self._instance_tracker.find_load(other, now_s) < limit
            else best
        )

    def _may_spill_overload(self, routed: RoutedCall) -> bool:
        return routed.call.priority <= self._settings.spill_priority

    def _find_spill_targets(
        self, routed: RoutedCall, remote: list[Instance], now_s: float
    ) -> list[Instance]:
        if not routed.route.spill:
            return []
        remaining_s = routed.call.deadline_s - now_s
        limit_s = remaining_s / self._settings.spill_round_trips
        return [
            i
            for i in remote
            if self._instance_tracker.estimate_link_latency_s(i.data_centre)
            <= limit_s
        ]

    def _choose_own(
        self, local: list[Instance], now_s: float
    ) -> Instance | None:
        for instance in local:
            if instance.node != self._location.node:
                continue
            if self._outlier_tracker.count_failures(instance.instance):
                return None
            load = self._instance_tracker.find_load(instance, now_s)
            limit = self._settings.own_load_limit
            return instance if load < limit else None
        return None

    def _choose_by_two_samples(
        self, instances: list[Instance], now_s: float
    ) -> Instance:
        count = len(instances)
        if count == 1:
            return instances[0]
        first = int(self._random() * count)
        second = int(self._random() * (count - 1))
        if second >= first:
            second += 1
        one, two = instances[first], instances[second]
        return (
            one
            if self._instance_tracker.is_preferred(one, two, now_s)
            else two
        )
