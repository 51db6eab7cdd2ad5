"""Outlier ejection from the outcomes of calls that this node sent."""

from collections.abc import Sequence

import attrs

from auburnjunction.model.services import Instance
from auburnjunction.traffic.routing_settings import RoutingSettings

# Largest share of a service's instances that is left out at one time.
MAX_EJECTED_SHARE = 0.5
MAX_RECORDS = 8192


@attrs.define(slots=True)
class InstanceHealth:
    """Failures and ejections of an instance, in monotonic clock time."""

    # Consecutive failures.
    failures: int = 0
    # Whether one of these failures was on a newly opened connection.
    confirmed: bool = False
    ejected: bool = False
    # Ejections so far, reset when an ejection follows the last recovery by
    # more than ejection_max_ms. Each doubles the delay until the next probe.
    ejections: int = 0
    # Time of the next probe; after a recovery, the time of the recovery.
    probe_due_s: float = 0.0
    probing: bool = False


class OutlierTracker:
    """Ejects instances after consecutive failures until a probe succeeds.

    If more than half of a service's instances are ejected, ejections are
    ignored (panic mode): the cause is then more likely the network or
    overload than the instances, and the rest could not carry the load.
    """

    def __init__(self, settings: RoutingSettings):
        self._failure_threshold = settings.ejection_failures
        self._base_delay_s = settings.ejection_base_ms / 1000
        self._max_delay_s = settings.ejection_max_ms / 1000
        self._probe_grace_s = settings.probe_grace_ms / 1000
        self._health_by_instance: dict[str, InstanceHealth] = {}
        self._ejected: set[str] = set()
        self.ejection_count = 0
        self.panic_count = 0

    def count_failures(self, instance: str) -> int:
        """Return the number of consecutive failures of an instance."""
        health = self._health_by_instance.get(instance)
        return health.failures if health else 0

    def record_success(self, instance: str, now_s: float) -> None:
        """Record a complete answer, which ends an ejection."""
        health = self._health_by_instance.get(instance)
        if health is None or not health.failures:
            return
        health.failures = 0
        health.confirmed = False
        if health.ejected:
            health.ejected = False
            health.probing = False
            health.probe_due_s = now_s
            self._ejected.discard(instance)

    def record_failure(
        self, instance: str, now_s: float, confirmed: bool = True
    ) -> None:
        """Record a failure; confirmed if on a newly opened connection."""
        health = self._health_by_instance.get(instance)
        if health is None:
            health = self._add_health(instance)
        health.failures += 1
        health.confirmed = health.confirmed or confirmed
        if health.ejected:
            if health.probing:
                self._eject(instance, health, now_s)
            return
        if health.failures >= self._failure_threshold and health.confirmed:
            if now_s - health.probe_due_s > self._max_delay_s:
                health.ejections = 0
            self._eject(instance, health, now_s)

    def find_usable(self, instances: Sequence[Instance]) -> Sequence[Instance]:
        """Return the instances that are not ejected, or all in panic mode."""
        if not self._ejected:
            return instances
        usable = [i for i in instances if i.instance not in self._ejected]
        ejected = len(instances) - len(usable)
        if ejected > len(instances) * MAX_EJECTED_SHARE:
            self.panic_count += 1
            return instances
        return usable

    def take_probe(
        self, instances: Sequence[Instance], repeatable: bool, now_s: float
    ) -> Instance | None:
        """Return an ejected instance that is due for a probe, if any.

        The caller must send it the call and record the outcome, or release
        the probe. Non-repeatable calls probe later, so that a repeatable
        call probes first if there is one.
        """
        if not self._ejected:
            return None
        latest_s = now_s if repeatable else now_s - self._probe_grace_s
        for instance in instances:
            if instance.instance not in self._ejected:
                continue
            health = self._health_by_instance[instance.instance]
            if not health.probing and health.probe_due_s <= latest_s:
                health.probing = True
                return instance
        return None

    def release_probe(self, instance: str) -> None:
        """Release a probe whose call ended without an outcome."""
        health = self._health_by_instance.get(instance)
        if health is not None:
            health.probing = False

    def _eject(
        self, instance: str, health: InstanceHealth, now_s: float
    ) -> None:
        delay_s = min(
            self._max_delay_s, self._base_delay_s * 2**health.ejections
        )
        health.ejected = True
        health.probing = False
        health.ejections = min(health.ejections + 1, 32)
        health.probe_due_s = now_s + delay_s
        self._ejected.add(instance)
        self.ejection_count += 1

    def _add_health(self, instance: str) -> InstanceHealth:
        if len(self._health_by_instance) >= MAX_RECORDS:
            oldest = next(iter(self._health_by_instance))
            del self._health_by_instance[oldest]
            self._ejected.discard(oldest)
        health = InstanceHealth()
        self._health_by_instance[instance] = health
        return health
