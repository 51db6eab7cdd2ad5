"""Settings of the entry side: load balancing, retries, ejection."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class RoutingSettings:
    """Settings of an entry node; docs/routing.md explains the defaults."""

    # Attempts per call, including the first.
    max_attempts: int = attrs.field(default=3, validator=check_range(1, 10))
    # Retries as a share of first attempts, per service and priority.
    retry_share: float = attrs.field(
        default=0.1, validator=check_range(0.0, 1.0)
    )
    # The same for retries after refusals by nodes, which add no load to
    # backend servers.
    refused_retry_share: float = attrs.field(
        default=0.1, validator=check_range(0.0, 2.0)
    )
    # Retries of each service that all nodes together may make within
    # retry_window_s in addition to the share.
    retry_slack: float = attrs.field(
        default=10.0, validator=check_range(0.0, 1e6)
    )
    retry_window_s: float = attrs.field(
        default=10.0, validator=check_range(0.1, 3600.0)
    )
    retry_backoff_ms: float = attrs.field(
        default=4.0, validator=check_range(0.0, 10_000.0)
    )
    # Consecutive failures after which an instance is ejected.
    ejection_failures: int = attrs.field(
        default=5, validator=check_range(1, 1000)
    )
    ejection_base_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 600_000.0)
    )
    ejection_max_ms: float = attrs.field(
        default=30_000.0, validator=check_range(1.0, 3_600_000.0)
    )
    # Additional time for which non-repeatable calls do not probe an ejected
    # instance, so that a repeatable call probes it first.
    probe_grace_ms: float = attrs.field(
        default=1000.0, validator=check_range(0.0, 600_000.0)
    )
    # Cooldown of an instance that refused a call as draining, unresponsive,
    # unreachable or misplaced.
    draining_hold_ms: float = attrs.field(
        default=3000.0, validator=check_range(0.0, 60_000.0)
    )
    # Half-life of a load report, which decays exponentially.
    load_half_life_ms: float = attrs.field(
        default=500.0, validator=check_range(1.0, 60_000.0)
    )
    # Load, as a share of slots, below which this node's own instance is
    # chosen without comparing it with others.
    own_load_limit: float = attrs.field(
        default=0.7, validator=check_range(0.0, 10.0)
    )
    # Load, as a share of slots, at which an instance counts as overloaded.
    overload_limit: float = attrs.field(
        default=1.5, validator=check_range(0.1, 100.0)
    )
    # Least urgent priority whose calls spill from an overloaded data centre.
    spill_priority: int = attrs.field(default=2, validator=check_range(0, 4))
    # Least urgent priority whose calls spill after the data centre refused
    # them.
    refused_spill_priority: int = attrs.field(
        default=2, validator=check_range(0, 4)
    )
    # Round trips to another data centre that must fit in the remaining time
    # of a call that spills.
    spill_round_trips: float = attrs.field(
        default=3.0, validator=check_range(1.0, 100.0)
    )
    # Assumed round trip to a data centre without a measured one.
    link_latency_ms: float = attrs.field(
        default=10.0, validator=check_range(0.1, 10_000.0)
    )
    # Interval of the calls that probe an unreachable data centre.
    link_retry_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 60_000.0)
    )
    # Time by which the deadline of a forwarded call is shortened, so that
    # the owner node answers before the entry node times out.
    answer_margin_ms: float = attrs.field(
        default=10.0, validator=check_range(0.0, 1000.0)
    )
    # Maximum number of connections to one node.
    pool_connections: int = attrs.field(
        default=64, validator=check_range(1, 10_000)
    )
    # Maximum idle time of a connection to another node. A connection that is
    # lost without a reset costs the call or message that is sent on it, a new
    # one a round trip.
    pool_idle_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 3_600_000.0)
    )
    # Maximum idle time of a connection that is reused for a non-repeatable
    # call.
    non_repeatable_idle_ms: float = attrs.field(
        default=1000.0, validator=check_range(0.0, 3_600_000.0)
    )
    connect_timeout_ms: float = attrs.field(
        default=1000.0, validator=check_range(1.0, 60_000.0)
    )
    # Maximum number of fail-fast attempts, which try instances of the local
    # data centre for a free slot before a call is queued at one.
    prompt_attempts: int = attrs.field(default=0, validator=check_range(0, 10))
    # The same for instances of other data centres, which nested calls try if
    # the shortest wait in the local one exceeds a share of the time until
    # their deadline.
    remote_prompt_attempts: int = attrs.field(
        default=0, validator=check_range(0, 10)
    )
    remote_prompt_wait_share: float = attrs.field(
        default=0.25, validator=check_range(0.0, 1.0)
    )
    # Whether callers send the same timeout with each first attempt on a
    # route, so that a shorter one yields the time elapsed since then.
    uniform_timeouts: bool = False
    # Whether requests are refused before they run if the services that they
    # call refuse nested calls (docs/design/room.md).
    room_checks: bool = False
    # Whether refused callers are promised times at which there is room. Takes
    # uniform_timeouts to recognise their return.
    return_places: bool = False
    # Share of successful calls that are written to the access log; 0 turns it
    # off.
    access_log_share: float = attrs.field(
        default=0.01, validator=check_range(0.0, 1.0)
    )
    # The same for failed calls.
    error_log_share: float = attrs.field(
        default=0.1, validator=check_range(0.0, 1.0)
    )
