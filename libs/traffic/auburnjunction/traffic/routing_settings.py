"""Settings of the entry side: choice of instance, retries, ejection."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class RoutingSettings:
    """Knobs of an entry node; docs/routing.md weighs their values."""

    # Attempts of one call, the first included.
    max_attempts: int = attrs.field(default=3, validator=check_range(1, 10))
    # Retries as a share of first tries, by service and priority.
    retry_share: float = attrs.field(
        default=0.1, validator=check_range(0.0, 1.0)
    )
    # The same after refusals by nodes, of which no backend server knows.
    refused_retry_share: float = attrs.field(
        default=0.1, validator=check_range(0.0, 2.0)
    )
    # Retries that a service with few calls may always make.
    retry_floor_per_s: float = attrs.field(
        default=0.1, validator=check_range(0.0, 100.0)
    )
    # Most retries that a quiet time can save up.
    retry_burst: float = attrs.field(
        default=10.0, validator=check_range(1.0, 10_000.0)
    )
    retry_backoff_ms: float = attrs.field(
        default=4.0, validator=check_range(0.0, 10_000.0)
    )
    # Failures in a row after which an instance is ejected.
    ejection_failures: int = attrs.field(
        default=5, validator=check_range(1, 1000)
    )
    ejection_base_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 600_000.0)
    )
    ejection_max_ms: float = attrs.field(
        default=30_000.0, validator=check_range(1.0, 3_600_000.0)
    )
    # How much longer a call that is not repeatable stays away from an
    # ejected instance, so that a repeatable one probes it first.
    probe_grace_ms: float = attrs.field(
        default=1000.0, validator=check_range(0.0, 600_000.0)
    )
    # How long an instance that refused as draining or unresponsive gets
    # no call.
    draining_hold_ms: float = attrs.field(
        default=3000.0, validator=check_range(0.0, 60_000.0)
    )
    # Half-life of a load report.
    load_half_life_ms: float = attrs.field(
        default=500.0, validator=check_range(1.0, 60_000.0)
    )
    # Load, as a share of slots, below which this node's own instance is
    # taken without comparing.
    own_load_limit: float = attrs.field(
        default=0.7, validator=check_range(0.0, 10.0)
    )
    # Load, as a share of slots, from which an instance is overloaded.
    overload_limit: float = attrs.field(
        default=1.5, validator=check_range(0.1, 100.0)
    )
    # Least urgent priority that leaves an overloaded data centre.
    spill_priority: int = attrs.field(default=2, validator=check_range(0, 4))
    # Least urgent priority that leaves a data centre which has refused it.
    refused_spill_priority: int = attrs.field(
        default=2, validator=check_range(0, 4)
    )
    # Round trips to another data centre that must fit in the deadline.
    spill_round_trips: float = attrs.field(
        default=3.0, validator=check_range(1.0, 100.0)
    )
    # Round trip to a data centre to which no call has gone yet.
    link_latency_ms: float = attrs.field(
        default=10.0, validator=check_range(0.1, 10_000.0)
    )
    # Time between calls that try a data centre which seems cut off.
    link_retry_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 60_000.0)
    )
    # Time by which an owner node must answer before the entry gives up.
    answer_margin_ms: float = attrs.field(
        default=10.0, validator=check_range(0.0, 1000.0)
    )
    # Connections to one node.
    pool_connections: int = attrs.field(
        default=64, validator=check_range(1, 10_000)
    )
    pool_idle_ms: float = attrs.field(
        default=30_000.0, validator=check_range(1.0, 3_600_000.0)
    )
    # Idle limit of a connection that carries a non-repeatable call.
    non_repeatable_idle_ms: float = attrs.field(
        default=1000.0, validator=check_range(0.0, 3_600_000.0)
    )
    connect_timeout_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 60_000.0)
    )
    # Instances of the own data centre that are asked for a free slot
    # before a call waits at one.
    prompt_attempts: int = attrs.field(default=0, validator=check_range(0, 10))
    # Share of calls that get a line in the access log; 0 switches it off.
    access_log_share: float = attrs.field(
        default=0.01, validator=check_range(0.0, 1.0)
    )
    # The same for calls that did not end well.
    error_log_share: float = attrs.field(
        default=0.1, validator=check_range(0.0, 1.0)
    )
