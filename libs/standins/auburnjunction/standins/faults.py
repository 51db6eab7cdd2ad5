"""Faults that tests inject into a stand-in with POST /faults, as JSON.

Each request replaces all faults; fields that it leaves out are reset to
their defaults.
"""

import attrs

from auburnjunction.base.settings import check_range

check_share = check_range(0.0, 1.0)


@attrs.frozen
class PlatformFaults:
    """Faults and limits of the platform stand-in."""

    # Every operation is refused with 503 and outcome: not-applied.
    down: bool = False
    # Operations are accepted but neither applied nor answered.
    silent: bool = False
    delay_ms: float = attrs.field(
        default=0.0, validator=check_range(0, 600_000)
    )
    # Number of next successful writes that are applied but not answered.
    lost_answers: int = attrs.field(
        default=0, validator=check_range(0, 1_000_000_000)
    )
    # After these, the share of writes that are applied but not answered.
    lost_share: float = attrs.field(default=0.0, validator=check_share)
    seed: int = 1
    # Operations above these rates are refused with 503.
    reads_per_s: int = attrs.field(
        default=2000, validator=check_range(0, 1_000_000)
    )
    writes_per_s: int = attrs.field(
        default=500, validator=check_range(0, 1_000_000)
    )


@attrs.frozen
class BackendFaults:
    """Faults of a backend server stand-in."""

    # New requests are refused and the announced state is leaving.
    drain: bool = False
    # Gone is announced, then ready as if delayed, and requests are served.
    departed: bool = False
    # Time after the faults are set in which service times are multiplied
    # by cold_factor, as after a cold start.
    cold_s: float = attrs.field(default=0.0, validator=check_range(0, 3600))
    cold_factor: float = attrs.field(
        default=10.0, validator=check_range(1, 1000)
    )
    slow_factor: float = attrs.field(
        default=1.0, validator=check_range(0.01, 1000)
    )
    # Share of requests refused with 503 and auburn-shed: 1.
    shed_share: float = attrs.field(default=0.0, validator=check_share)
    # Requests per second that responses name as the limit; 0 names none.
    rate_limit_per_s: float = attrs.field(
        default=0.0, validator=check_range(0, 1_000_000)
    )
    # Share of requests that run and are then answered with 500.
    error_share: float = attrs.field(default=0.0, validator=check_share)
    # Share of requests that run and whose response is truncated.
    truncate_share: float = attrs.field(default=0.0, validator=check_share)
    # Requests on connections that are open when the fault is set are never
    # answered; new connections work.
    silent: bool = False
    # Time after the faults are set in which nothing is announced and only
    # /faults, /executions and /stats are answered.
    freeze_s: float = attrs.field(default=0.0, validator=check_range(0, 3600))
    # Health that GET /health reports: truth is the actual health.
    health: str = attrs.field(
        default="truth",
        validator=attrs.validators.in_(("truth", "healthy", "failing")),
    )
    # Load in percent that is reported by GET /load and announcements;
    # -1 reports the actual load.
    load_percent: int = attrs.field(default=-1, validator=check_range(-1, 100))
    # Maximum age of the reported load; an older one is updated when read.
    load_lag_s: float = attrs.field(default=0.0, validator=check_range(0, 600))
    seed: int = 1


@attrs.frozen
class ForwarderFaults:
    """Faults of a TCP forwarder."""

    # Directions in which data is held back until the fault ends.
    cut: str = attrs.field(
        default="none",
        validator=attrs.validators.in_(
            ("none", "both", "to-server", "to-client")
        ),
    )
    # New connections are closed at once; existing ones keep working.
    refuse: bool = False
    # Data of connections that are open when the fault is set is held back
    # until the fault ends; new connections work.
    silent: bool = False
    delay_ms: float = attrs.field(
        default=0.0, validator=check_range(0, 600_000)
    )
    jitter_ms: float = attrs.field(
        default=0.0, validator=check_range(0, 600_000)
    )
    # Share of data chunks that are delayed by a further loss_delay_ms, as
    # TCP data is by the retransmission of a lost packet.
    loss_share: float = attrs.field(default=0.0, validator=check_share)
    loss_delay_ms: float = attrs.field(
        default=200.0, validator=check_range(0, 600_000)
    )
    seed: int = 1
