"""Settings for admitting calls to backend servers."""

from enum import StrEnum

import attrs

from auburnjunction.base.settings import check_range
from auburnjunction.model.priorities import Priority


class Discipline(StrEnum):
    """Order in which waiting calls get a slot."""

    # By priority, with a guaranteed share for each lower priority.
    SHARES = "shares"
    # By priority alone.
    STRICT = "strict"
    # By arrival, regardless of priority.
    FIFO = "fifo"


@attrs.frozen
class PriorityShares:
    """Minimum share of call starts guaranteed to waiting calls by priority.

    The most urgent priority has no guarantee and gets the remaining starts.
    """

    high: float = attrs.field(default=0.1, validator=check_range(0, 0.3))
    normal: float = attrs.field(default=0.05, validator=check_range(0, 0.3))
    low: float = attrs.field(default=0.05, validator=check_range(0, 0.3))

    def of(self, priority: Priority) -> float:
        """Return the guaranteed share of a priority."""
        if priority is Priority.CRITICAL:
            return 0.0
        return getattr(self, priority.name.lower())


@attrs.frozen
class ClaimSettings:
    """How requests with an idempotency key are claimed."""

    # Timeout of one operation on the claims table. The call holds its slot
    # during the operation, and a slow table must not starve payments.
    timeout_s: float = attrs.field(
        default=1.0, validator=check_range(0.001, 60)
    )
    # Time after a failure before the table is probed again.
    retry_delay_s: float = attrs.field(
        default=0.25, validator=check_range(0, 60)
    )
    # Largest response body that is kept with a claim.
    body_bytes: int = attrs.field(
        default=16 * 1024, validator=check_range(0, 1024 * 1024)
    )
    # Memory limit of the cache of claims that this node has made.
    memory_bytes: int = attrs.field(
        default=8 * 1024 * 1024, validator=check_range(0, 1024**3)
    )


@attrs.frozen
class AdmissionSettings:
    """How the node of a backend server admits calls to it."""

    discipline: Discipline = Discipline.SHARES
    shares: PriorityShares = attrs.field(factory=PriorityShares)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    # Whether calls that cannot end by their deadline are refused before they
    # start.
    deadline_checks: bool = True
    # Number of mean deviations that these checks add to a route's mean
    # duration to estimate the duration of a call.
    deadline_deviations: float = attrs.field(
        default=4.0, validator=check_range(-4, 10)
    )
    # Whether calls that would miss their latency objective may still wait.
    late_waits: bool = True
    # The same for the check of a call's latency objective, which applies
    # where late_waits is off.
    objective_deviations: float = attrs.field(
        default=0.0, validator=check_range(0, 10)
    )
    # Whether waits of nested calls and of returning callers are estimated
    # apart from those of first attempts, which they overtake.
    separate_waits: bool = False
    # Whether organisations share the slots evenly within a priority.
    fair_shares: bool = False
    adaptive_limit: bool = True
    # Lower bound of the adaptive limit, as a share of the slots.
    limit_floor_share: float = attrs.field(
        default=0.34, validator=check_range(0, 1)
    )
    # Factor that the limit is multiplied by when calls slow down or are shed.
    limit_decrease: float = attrs.field(
        default=0.8, validator=check_range(0.1, 0.99)
    )
    # Ratio of recent to baseline latency above which the limit is decreased.
    limit_slowdown: float = attrs.field(
        default=2.0, validator=check_range(1.1, 100)
    )
    # Minimum number of calls in a sampling window, at whose end the limit is
    # adjusted; with more slots than this, it has as many calls as slots.
    limit_window_calls: int = attrs.field(
        default=20, validator=check_range(1, 100_000)
    )
    # Share of the slots with which a freshly started backend server begins
    # its slow start.
    ramp_initial_share: float = attrs.field(
        default=0.34, validator=check_range(0.01, 1)
    )
    ramp_duration_s: float = attrs.field(
        default=10.0, validator=check_range(0, 600)
    )
    # Age of the node from which a backend server that it has not seen before
    # counts as freshly started. On a younger node, the node itself may have
    # restarted instead.
    ramp_node_age_s: float = attrs.field(
        default=30.0, validator=check_range(0, 3600)
    )
    # Longest time for which the slot of a cancelled call is held back.
    cancel_grace_s: float = attrs.field(
        default=0.05, validator=check_range(0, 10)
    )
    # How long waiting calls may still start after draining has begun.
    drain_start_limit_s: float = attrs.field(
        default=1.5, validator=check_range(0, 3)
    )
    # Time over which calls to a backend server with a rate limit may be ahead
    # of an even spacing.
    rate_burst_s: float = attrs.field(
        default=0.25, validator=check_range(0, 2)
    )
    # Idle time after which a connection to the backend server is closed.
    idle_limit_s: float = attrs.field(
        default=20.0, validator=check_range(0, 3600)
    )
    # Longest idle time of a connection that is reused for a call that may
    # not be repeated.
    unrepeatable_idle_limit_s: float = attrs.field(
        default=1.0, validator=check_range(0, 3600)
    )
    connect_timeout_s: float = attrs.field(
        default=0.5, validator=check_range(0.001, 60)
    )
    # Timeout of a probe of an unresponsive backend server.
    probe_timeout_s: float = attrs.field(
        default=0.5, validator=check_range(0.001, 60)
    )
    # Time for which calls are refused at once after a connection attempt has
    # failed.
    reconnect_delay_s: float = attrs.field(
        default=0.25, validator=check_range(0, 60)
    )
