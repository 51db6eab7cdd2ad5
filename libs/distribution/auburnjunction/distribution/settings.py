"""Settings of the distribution of revisions."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class DistributionSettings:
    """How a node learns of revisions and passes them on."""

    # Nodes of the whole fleet; spreads reads of the platform in time.
    fleet_size: int = attrs.field(
        default=300, validator=check_range(1, 1_000_000)
    )
    # Most reads of the platform's head by the whole fleet.
    fleet_reads_per_s: float = attrs.field(
        default=300.0, validator=check_range(1, 100_000)
    )
    # Nodes of a data centre that read the platform's head.
    readers: int = attrs.field(default=2, validator=check_range(1, 10))
    read_interval_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 60)
    )
    # Time between looks of other nodes whether they have become readers.
    duty_check_interval_s: float = attrs.field(
        default=0.25, validator=check_range(0.01, 60)
    )
    # Time for which a reading waits for a change, where the source tells
    # of changes.
    read_wait_s: float = attrs.field(default=0.0, validator=check_range(0, 25))
    # Nodes that one node pushes a revision to.
    fan_out: int = attrs.field(default=4, validator=check_range(1, 64))
    # Nodes of each other data centre that a committer pushes to.
    remote_copies: int = attrs.field(default=2, validator=check_range(1, 8))
    # Time between a node's questions to a reader.
    check_interval_s: float = attrs.field(
        default=10.0, validator=check_range(0.01, 300)
    )
    # Age of the last known read after which a node reads by itself.
    silence_s: float = attrs.field(
        default=20.0, validator=check_range(0.01, 600)
    )
    # Time in which a node takes the highest revision before it serves
    # with what its peers hold.
    start_up_wait_s: float = attrs.field(
        default=5.0, validator=check_range(0.01, 300)
    )
    push_timeout_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 30)
    )
    pull_timeout_s: float = attrs.field(
        default=2.0, validator=check_range(0.01, 30)
    )
    # Longest wait before a pull, so that a push may come first.
    pull_jitter_s: float = attrs.field(
        default=0.3, validator=check_range(0, 10)
    )
    # Whole contents that a node gives to pulling peers in a second.
    wholes_served_per_s: int = attrs.field(
        default=32, validator=check_range(1, 10_000)
    )
    platform_timeout_s: float = attrs.field(
        default=2.0, validator=check_range(0.01, 30)
    )
    # Revisions kept to make deltas from.
    revisions_kept: int = attrs.field(
        default=16, validator=check_range(1, 1000)
    )
    # Largest delta, as a share of the whole content.
    delta_share: float = attrs.field(default=0.5, validator=check_range(0, 1))
