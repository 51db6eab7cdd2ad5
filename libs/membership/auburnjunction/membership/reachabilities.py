"""Reachability of other data centres from this one's link nodes."""

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.schema import control_pb2 as pb

# Observations of link nodes are gossiped for this long.
OBSERVATION_RETENTION_S = 30.0
MIN_FAILURES = 3


@attrs.define(slots=True)
class ExchangeHistory:
    """Last success and failures since, of exchanges with a data centre."""

    last_success_s: float
    failures: int = 0


@attrs.frozen(slots=True)
class Observation:
    """Reachability that a link observed at a time of the local clock."""

    reached: bool
    time_s: float


class ReachabilityTable:
    """Observations of own exchanges and those gossiped by peers."""

    def __init__(self, clock: Clock, unreachable_after_s: float):
        self._clock = clock
        self._unreachable_after_s = unreachable_after_s
        self._histories: dict[str, ExchangeHistory] = {}
        self._observations: dict[str, Observation] = {}

    @property
    def unreachable(self) -> frozenset[str]:
        """Data centres whose latest observation is a recent failure."""
        oldest_s = self._clock.monotonic() - OBSERVATION_RETENTION_S
        return frozenset(
            name
            for name, observation in self._observations.items()
            if not observation.reached and observation.time_s >= oldest_s
        )

    def record_exchange(self, data_centre: str, reached: bool) -> None:
        """Record the outcome of an exchange with a data centre."""
        now_s = self._clock.monotonic()
        history = self._histories.get(data_centre)
        if history is None:
            history = self._histories[data_centre] = ExchangeHistory(now_s)
        if reached:
            history.last_success_s = now_s
            history.failures = 0
            if data_centre in self._observations:
                self._observe(data_centre, Observation(True, now_s))
            return
        history.failures += 1
        unreached_s = now_s - history.last_success_s
        if history.failures >= MIN_FAILURES and (
            unreached_s >= self._unreachable_after_s
        ):
            self._observe(data_centre, Observation(False, now_s))

    def merge(self, messages) -> None:
        """Merge the observations gossiped by a peer."""
        now_s = self._clock.monotonic()
        for message in messages:
            time_s = now_s - message.age_ms / 1000
            self._observe(
                message.data_centre, Observation(message.reached, time_s)
            )

    def encode_observations(self) -> list[pb.Reachability]:
        """Return the observations to gossip, without expired ones.

        There are none until a data centre becomes unreachable.
        """
        now_s = self._clock.monotonic()
        for name, observation in list(self._observations.items()):
            if now_s - observation.time_s > OBSERVATION_RETENTION_S:
                del self._observations[name]
        return [
            pb.Reachability(
                data_centre=name,
                reached=observation.reached,
                age_ms=int((now_s - observation.time_s) * 1000),
            )
            for name, observation in self._observations.items()
        ]

    def _observe(self, data_centre: str, observation: Observation) -> None:
        current = self._observations.get(data_centre)
        if current is None or observation.time_s > current.time_s:
            self._observations[data_centre] = observation
