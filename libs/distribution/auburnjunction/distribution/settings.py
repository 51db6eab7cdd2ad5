"""Settings of the distribution of revisions."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class DistributionSettings:
    """Settings for reading, pushing and pulling revisions."""

    # Number of nodes in the fleet; spreads out their reads of the platform.
    fleet_size: int = attrs.field(
        default=300, validator=check_range(1, 1_000_000)
    )
    # Budget of the whole fleet for reads of the platform's head.
    fleet_reads_per_s: float = attrs.field(
        default=300.0, validator=check_range(1, 100_000)
    )
    # Number of elected head readers per data centre.
    readers: int = attrs.field(default=2, validator=check_range(1, 10))
    read_interval_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 60)
    )
    # Interval at which a node that is not a reader rechecks the election.
    duty_check_interval_s: float = attrs.field(
        default=0.25, validator=check_range(0.01, 60)
    )
    # Long-poll time of a head read, if the source supports long polls.
    read_wait_s: float = attrs.field(default=0.0, validator=check_range(0, 25))
    # Nodes that one node pushes a revision to directly.
    fan_out: int = attrs.field(default=4, validator=check_range(1, 64))
    # Nodes of each other data centre that a revision is pushed to.
    remote_copies: int = attrs.field(default=2, validator=check_range(1, 8))
    # Interval of a node's freshness checks.
    check_interval_s: float = attrs.field(
        default=10.0, validator=check_range(0.01, 300)
    )
    # Age of the last known read after which any node may read the head.
    silence_s: float = attrs.field(
        default=20.0, validator=check_range(0.01, 600)
    )
    # Age of the proof of the head from which a node pulls one from a head
    # reader, if its configuration has organisations.
    proof_refresh_s: float = attrs.field(
        default=1.5, validator=check_range(0.05, 300)
    )
    # Longest wait of a starting node for a read of the head; after it, the
    # node serves with the highest revision of its peers.
    start_up_wait_s: float = attrs.field(
        default=5.0, validator=check_range(0.01, 300)
    )
    # Maximum random delay of the first read of a starting node, in which it
    # can learn of the read of another node; 0 selects the time that spreads
    # the reads of a whole fleet.
    first_read_spread_s: float = attrs.field(
        default=0.0, validator=check_range(0, 300)
    )
    push_timeout_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 30)
    )
    # Time without a response after which a push is repeated. The first push
    # may still succeed, until push_timeout_s.
    push_repeat_s: float = attrs.field(
        default=0.4, validator=check_range(0.01, 30)
    )
    pull_timeout_s: float = attrs.field(
        default=2.0, validator=check_range(0.01, 30)
    )
    # Maximum delay before a pull, so that a push can arrive first.
    pull_jitter_s: float = attrs.field(
        default=0.3, validator=check_range(0, 10)
    )
    # Full snapshots that a node serves to pulling peers per second.
    wholes_served_per_s: int = attrs.field(
        default=32, validator=check_range(1, 10_000)
    )
    platform_timeout_s: float = attrs.field(
        default=2.0, validator=check_range(0.01, 30)
    )
    # Recent revisions kept as bases of deltas.
    revisions_kept: int = attrs.field(
        default=16, validator=check_range(1, 1000)
    )
    # Maximum size of a delta, as a share of the full snapshot.
    delta_share: float = attrs.field(default=0.5, validator=check_range(0, 1))
