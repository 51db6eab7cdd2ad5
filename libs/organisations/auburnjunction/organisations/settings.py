"""Settings of organisations and their API keys."""

import attrs

from auburnjunction.base.settings import check_range


@attrs.frozen
class OrganisationSettings:
    """How long a node may judge API keys without a new proof.

    They have an effect only while a configuration with organisations is in
    force.
    """

    # Time from the acknowledgement of a configuration that withdraws a key
    # until no request with the key starts.
    revoke_s: float = attrs.field(
        default=5.0, validator=check_range(0.1, 3600)
    )
    # Whether a node refuses requests with keys once it cannot prove that its
    # configuration is recent enough for revoke_s.
    strict: bool = False
    # Age of the proof up to which an unknown key is refused for good; the
    # time within which a configuration is in force on all nodes.
    apply_s: float = attrs.field(default=2.5, validator=check_range(0.1, 3600))
    # Share of revoke_s after which a node without a new proof is stale. The
    # rest is for a request that was just admitted to reach its backend
    # server, also on a host that is short of processor time.
    stale_share: float = attrs.field(
        default=0.7, validator=check_range(0.1, 1)
    )

    @property
    def stale_after_s(self) -> float:
        """Age of the proof from which the node is stale; see strict."""
        return self.revoke_s * self.stale_share
