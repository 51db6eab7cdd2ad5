"""Choice of the instance of an attempt by expected completion."""

import math
import random
from collections.abc import Callable, Sequence

from auburnjunction.model.services import Instance
from auburnjunction.placements.costs import Demand
from auburnjunction.placements.placers import (
    BYTES_PER_KB,
    HEAD_KB,
    Placer,
)
from auburnjunction.traffic.routers import RoutedCall

FailureCounter = Callable[[str], int]


def make_demand(routed: RoutedCall, now_s: float) -> Demand:
    """Return what the call asks for."""
    call = routed.call
    left_s = call.target_s - now_s
    if left_s <= 0 or left_s == math.inf:
        left_s = call.deadline_s - now_s
    return Demand(
        call.service,
        call.route,
        HEAD_KB + len(call.request.body) / BYTES_PER_KB,
        left_s,
        call.nested,
    )


class PlacedChooser:
    """Chooses instances with the figures of a Placer."""

    def __init__(
        self,
        node: str,
        placer: Placer,
        count_failures: FailureCounter,
        rng: random.Random,
    ):
        self._node = node
        self._placer = placer
        self._count_failures = count_failures
        self._random = rng.random

    def has_figures(self, routed: RoutedCall, now_s: float) -> bool:
        """Return whether the service reports figures here."""
        return self._placer.has_figures(routed.call.service, now_s)

    def choose(
        self,
        routed: RoutedCall,
        local: Sequence[Instance],
        find_remote: Callable[[], list[Instance]],
        is_first: bool,
        now_s: float,
    ) -> Instance:
        """Return the instance of an attempt that may stay here.

        Only the first attempt of a call may leave by the shares; find_remote
        returns the instances that it may go to then.
        """
        if is_first and routed.route.spill:
            demand = make_demand(routed, now_s)
            name = self._placer.draw_data_centre(
                demand, lambda: _list_data_centres(find_remote()), now_s
            )
            if name != self._placer.data_centre:
                remote = [i for i in find_remote() if i.data_centre == name]
                if remote:
                    return self._choose_within(routed, remote, now_s)
        return self._choose_within(routed, local, now_s)

    def choose_after_wait(
        self,
        routed: RoutedCall,
        remote: list[Instance],
        wait_s: float,
        now_s: float,
    ) -> Instance | None:
        """Return an instance for a call that would have to wait here."""
        demand = make_demand(routed, now_s)
        name = self._placer.choose_after_wait(
            demand, wait_s, _list_data_centres(remote), now_s
        )
        return self._choose_in(routed, remote, name, now_s)

    def choose_after_refusal(
        self,
        routed: RoutedCall,
        remote: list[Instance],
        local_exists: bool,
        now_s: float,
    ) -> Instance | None:
        """Return an instance for a call that no instance here takes.

        A call that has none here at all also goes where it may be late.
        """
        demand = make_demand(routed, now_s)
        names = _list_data_centres(remote)
        name = self._placer.choose_after_refusal(demand, names, now_s)
        if not name and not local_exists:
            name = self._placer.find_nearest(demand, names, now_s)
        return self._choose_in(routed, remote, name, now_s)

    def _choose_in(
        self,
        routed: RoutedCall,
        instances: list[Instance],
        name: str,
        now_s: float,
    ) -> Instance | None:
        found = [i for i in instances if i.data_centre == name]
        return self._choose_within(routed, found, now_s) if found else None

    def _choose_within(
        self, routed: RoutedCall, instances: Sequence[Instance], now_s: float
    ) -> Instance:
        """Return the best of a few random ones and that of this node."""
        samples = self._draw_samples(instances)
        if len(samples) == 1:
            return samples[0]
        route = routed.call.route
        best, least = samples[0], math.inf
        for instance in samples:
            cost = self._placer.estimate_at(
                instance, route, now_s, instance.node == self._node
            ) * (1 + self._count_failures(instance.instance))
            if cost < least:
                best, least = instance, cost
        return best

    def _draw_samples(self, instances: Sequence[Instance]) -> list[Instance]:
        count = len(instances)
        wanted = self._placer.samples
        if count <= wanted:
            return list(instances)
        # Few of many: a number that is drawn twice is drawn again.
        drawn: dict[int, None] = {}
        while len(drawn) < wanted:
            drawn[int(self._random() * count)] = None
        samples = [instances[i] for i in drawn]
        for instance in instances:
            if instance.node == self._node:
                if instance not in samples:
                    samples.append(instance)
                break
        return samples


def _list_data_centres(instances: Sequence[Instance]) -> set[str]:
    return {i.data_centre for i in instances}
