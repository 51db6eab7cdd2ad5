"""Settings of the admission of calls to backend servers."""

from enum import StrEnum

import attrs

from auburnjunction.base.settings import check_range
from auburnjunction.model.priorities import Priority


class Discipline(StrEnum):
    """Order in which waiting calls get a slot."""

    # By priority, with a guaranteed share for each lower one.
    SHARES = "shares"
    # By priority alone.
    STRICT = "strict"
    # By arrival.
    FIFO = "fifo"


@attrs.frozen
class PriorityShares:
    """Share of the starts that waiting calls of a priority get at least.

    The most urgent priority gets what is left.
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

    # Time limit of one operation of the claims table. A slow table must
    # not starve payments, and a slot is held meanwhile.
    timeout_s: float = attrs.field(
        default=1.0, validator=check_range(0.001, 60)
    )
    # Time for which the table is not asked after a failure.
    retry_delay_s: float = attrs.field(
        default=0.25, validator=check_range(0, 60)
    )
    # Largest response body that is kept with a claim.
    body_bytes: int = attrs.field(
        default=16 * 1024, validator=check_range(0, 1024 * 1024)
    )
    # Memory for claims that this node has made.
    memory_bytes: int = attrs.field(
        default=8 * 1024 * 1024, validator=check_range(0, 1024**3)
    )


@attrs.frozen
class AdmissionSettings:
    """How the node of a backend server admits calls to it."""

    discipline: Discipline = Discipline.SHARES
    shares: PriorityShares = attrs.field(factory=PriorityShares)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    # Whether calls that cannot end in time are refused before they start.
    deadline_checks: bool = True
    # Deviations above the mean that a call's duration is taken to have in
    # these checks.
    deadline_deviations: float = attrs.field(
        default=4.0, validator=check_range(-4, 10)
    )
    # Whether calls that would be late for their latency objective wait.
    late_waits: bool = True
    # Deviations above the mean that a waiting call's duration is taken to
    # have where it is held to its objective.
    objective_deviations: float = attrs.field(
        default=0.0, validator=check_range(0, 10)
    )
    adaptive_limit: bool = True
    # Least limit, as a share of the slots.
    limit_floor_share: float = attrs.field(
        default=0.34, validator=check_range(0, 1)
    )
    # Factor of the limit when calls slow down or are shed.
    limit_decrease: float = attrs.field(
        default=0.8, validator=check_range(0.1, 0.99)
    )
    # Multiple of the usual latency at which the limit falls.
    limit_slowdown: float = attrs.field(
        default=2.0, validator=check_range(1.1, 100)
    )
    # Calls between two changes of the limit.
    limit_window_calls: int = attrs.field(
        default=20, validator=check_range(1, 100_000)
    )
    # Share of the slots that a freshly started backend server gets.
    ramp_initial_share: float = attrs.field(
        default=0.34, validator=check_range(0.01, 1)
    )
    ramp_duration_s: float = attrs.field(
        default=10.0, validator=check_range(0, 600)
    )
    # Age of the node from which an unknown backend server counts as
    # freshly started; before, it may be the node that has restarted.
    ramp_node_age_s: float = attrs.field(
        default=30.0, validator=check_range(0, 3600)
    )
    # Longest time for which the slot of a cancelled call is not granted.
    cancel_grace_s: float = attrs.field(
        default=0.05, validator=check_range(0, 10)
    )
    # How long waiting calls may still start after draining has begun.
    drain_start_limit_s: float = attrs.field(
        default=1.5, validator=check_range(0, 3)
    )
    # Idle time after which a connection to the backend server is closed.
    idle_limit_s: float = attrs.field(
        default=20.0, validator=check_range(0, 3600)
    )
    # The same for a call that may not be repeated.
    unrepeatable_idle_limit_s: float = attrs.field(
        default=1.0, validator=check_range(0, 3600)
    )
    connect_timeout_s: float = attrs.field(
        default=0.5, validator=check_range(0.001, 60)
    )
    # Time limit of a probe of a backend server that does not answer.
    probe_timeout_s: float = attrs.field(
        default=0.5, validator=check_range(0.001, 60)
    )
    # Time for which calls are refused at once after a failed connect.
    reconnect_delay_s: float = attrs.field(
        default=0.25, validator=check_range(0, 60)
    )
