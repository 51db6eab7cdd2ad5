"""Choice of versions for calls, and counting of their answers."""

import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.model.services import Instance
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import NodeIdentity
from auburnjunction.rollouts.states import Selection, ServiceState


class VersionSelector(Protocol):
    """Decides which versions get calls, and counts their answers."""

    def select(
        self,
        service: str,
        route: str,
        instances: Sequence[Instance],
        is_first: bool,
    ) -> Selection:
        """Return the instances that an attempt of a call may use."""

    def start_call(self, instance: Instance) -> "RunningCall":
        """Record a call that is about to be sent to the instance."""

    def end_call(
        self,
        running: "RunningCall",
        route: str,
        is_counted: bool,
        is_bad: bool = False,
        is_timeout: bool = False,
        duration_s: float = 0.0,
    ) -> None:
        """Record the end of the call, and its answer if it is counted."""


@attrs.define(slots=True)
class RunningCall:
    """A call in flight; counted_in is the roll-out that it keeps open."""

    instance: Instance
    counted_in: object | None


class FleetVersionSelector:
    """Selects versions by the states of the services on this node."""

    def __init__(
        self,
        identity: NodeIdentity,
        settings: RolloutSettings,
        clock: Clock,
        rng: random.Random,
    ):
        self._identity = identity
        self._settings = settings
        self._clock = clock
        self._random = rng
        self.states: dict[str, ServiceState] = {}

    def find_state(self, service: str) -> ServiceState:
        """Return the state of a service."""
        state = self.states.get(service)
        if state is None:
            state = ServiceState(self._identity, self._settings, self._random)
            self.states[service] = state
        return state

    def select(
        self,
        service: str,
        route: str,
        instances: Sequence[Instance],
        is_first: bool,
    ) -> Selection:
        """Return the instances that an attempt of a call may use."""
        state = self.find_state(service)
        now_s = self._clock.monotonic()
        return state.select(route, instances, is_first, now_s)

    def start_call(self, instance: Instance) -> RunningCall:
        """Record a call that is about to be sent to the instance."""
        state = self.find_state(instance.service)
        if (
            not state.is_active
            or instance.version == state.rollout.order.target
        ):
            return RunningCall(instance, None)
        state.running_old += 1
        return RunningCall(instance, state.book)

    def end_call(
        self,
        running: RunningCall,
        route: str,
        is_counted: bool,
        is_bad: bool = False,
        is_timeout: bool = False,
        duration_s: float = 0.0,
    ) -> None:
        """Record the end of the call, and its answer if it is counted."""
        instance = running.instance
        state = self.find_state(instance.service)
        if running.counted_in is state.book:
            state.running_old -= 1
        if is_counted:
            now_s = self._clock.monotonic()
            state.count_answer(
                route, instance, is_bad, is_timeout, duration_s, now_s
            )
