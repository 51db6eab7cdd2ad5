"""Settings of roll-outs."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class RolloutSettings:
    """Limits of roll-outs; docs/design/rollouts.md explains their use."""

    # Whether operators order roll-outs; without, versions have no effect.
    enabled: bool = False
    # Share of a service's requests that a bad version may get in all.
    exposure_share: float = attrs.field(
        default=0.1, validator=check_range(0.001, 1.0)
    )
    # Requests that it may get beyond that share, over all nodes.
    exposure_slack: float = attrs.field(
        default=50.0, validator=check_range(0.0, 1e6)
    )
    # Time from the 50th bad answer to the last request to a bad version.
    rollback_ms: float = attrs.field(
        default=5000.0, validator=check_range(1.0, 3_600_000.0)
    )
    # Time without news after which a node counts as not connected.
    contact_ms: float = attrs.field(
        default=3000.0, validator=check_range(1.0, 3_600_000.0)
    )
    # Time in which an order must be known to all nodes.
    config_apply_ms: float = attrs.field(
        default=2500.0, validator=check_range(1.0, 3_600_000.0)
    )
