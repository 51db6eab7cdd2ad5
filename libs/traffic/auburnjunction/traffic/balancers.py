"""Choice of the instance that a call goes to."""

import random
from collections.abc import Sequence, Set

import attrs

from auburnjunction.model.services import Instance
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.observations import Observer
from auburnjunction.traffic.peers import InstanceSource
from auburnjunction.traffic.routers import RoutedCall
from auburnjunction.traffic.routing_settings import RoutingSettings


@attrs.frozen
class Place:
    """Where this node is."""

    node: str
    data_centre: str


class Balancer:
    """Chooses instances by what was seen of them, near ones first."""

    def __init__(
        self,
        place: Place,
        instances: InstanceSource,
        tracker: OutlierTracker,
        observer: Observer,
        settings: RoutingSettings,
        rng: random.Random,
    ):
        self._place = place
        self._instances = instances
        self._tracker = tracker
        self._observer = observer
        self._settings = settings
        self._random = rng.random

    def choose(
        self, routed: RoutedCall, tried: Set[str], now_s: float
    ) -> Instance | None:
        """Return the instance for the next attempt of a call, if any."""
        instances = self._find_reached(routed, now_s)
        if not tried:
            call = routed.call
            probe = self._find_probe(instances, call.repeatable, now_s)
            if probe is not None:
                return probe
        usable = self._find_unheld(instances, now_s)
        near, far = [], []
        near_exists = False
        for instance in usable:
            is_near = instance.data_centre == self._place.data_centre
            near_exists = near_exists or is_near
            if instance.instance not in tried:
                (near if is_near else far).append(instance)
        if near:
            return self._choose_near(routed, near, far, now_s)
        return self._choose_far(routed, far, near_exists, now_s)

    def has_other_near(
        self, routed: RoutedCall, tried: Set[str], now_s: float
    ) -> bool:
        """Tell whether the own data centre has an instance not tried."""
        return any(
            i.data_centre == self._place.data_centre
            and i.instance not in tried
            for i in self._find_unheld(
                self._find_reached(routed, now_s), now_s
            )
        )

    def _find_unheld(
        self, instances: Sequence[Instance], now_s: float
    ) -> Sequence[Instance]:
        """Return the instances that did not refuse all calls just now.

        Where all of them did, none is held: a refusal costs little, and
        the first that takes calls again is found at once.
        """
        usable = self._tracker.find_usable(instances)
        unheld = [i for i in usable if not self._observer.is_held(i, now_s)]
        return unheld or usable

    def _find_reached(
        self, routed: RoutedCall, now_s: float
    ) -> Sequence[Instance]:
        """Return the able instances but those behind a link that is cut."""
        able = self._find_able(routed)
        closed = self._observer.find_closed_links(now_s)
        closed -= {self._place.data_centre}
        if not closed:
            return able
        return [i for i in able if i.data_centre not in closed]

    def _find_able(self, routed: RoutedCall) -> Sequence[Instance]:
        instances = self._instances.find_instances(routed.call.service)
        resource = routed.route.resource
        if not resource:
            return instances
        return [i for i in instances if resource in i.resources]

    def _find_probe(
        self, instances: Sequence[Instance], repeatable: bool, now_s: float
    ) -> Instance | None:
        own = self._place.data_centre
        near = [i for i in instances if i.data_centre == own]
        return self._tracker.take_probe(near or instances, repeatable, now_s)

    def _choose_near(
        self,
        routed: RoutedCall,
        near: list[Instance],
        far: list[Instance],
        now_s: float,
    ) -> Instance:
        own = self._find_own(near, now_s)
        if own is not None:
            return own
        best = self._choose_of_two(near, now_s)
        limit = self._settings.overload_limit
        if self._observer.find_load(best, now_s) < limit:
            return best
        far = self._find_worthwhile(routed, far, now_s)
        if not far or not self._may_leave_overload(routed):
            return best
        other = self._choose_of_two(far, now_s)
        return (
            other if self._observer.find_load(other, now_s) < limit else best
        )

    def _choose_far(
        self,
        routed: RoutedCall,
        far: list[Instance],
        near_exists: bool,
        now_s: float,
    ) -> Instance | None:
        # The near ones have refused the call, or would.
        least = self._settings.refused_spill_priority
        if near_exists and routed.call.priority > least:
            return None
        far = self._find_worthwhile(routed, far, now_s)
        return self._choose_of_two(far, now_s) if far else None

    def _may_leave_overload(self, routed: RoutedCall) -> bool:
        return routed.call.priority <= self._settings.spill_priority

    def _find_worthwhile(
        self, routed: RoutedCall, far: list[Instance], now_s: float
    ) -> list[Instance]:
        if not routed.route.spill:
            return []
        remaining_s = routed.call.deadline_s - now_s
        limit_s = remaining_s / self._settings.spill_round_trips
        return [
            i
            for i in far
            if self._observer.estimate_link_s(i.data_centre) <= limit_s
        ]

    def _find_own(self, near: list[Instance], now_s: float) -> Instance | None:
        for instance in near:
            if instance.node != self._place.node:
                continue
            if self._tracker.count_failures(instance.instance):
                return None
            load = self._observer.find_load(instance, now_s)
            limit = self._settings.own_load_limit
            return instance if load < limit else None
        return None

    def _choose_of_two(
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
        return one if self._observer.is_better(one, two, now_s) else two
