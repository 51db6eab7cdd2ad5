"""Settings of organisations: API keys and quotas."""

import attrs

from auburnjunction.base.settings import FieldError, check_range

# Leases last 1.5 s, and refunds are taken back within half a window.
MIN_QUOTA_WINDOW_S = 2.0


def _check_window(_instance, attribute, value) -> None:
    if value and not MIN_QUOTA_WINDOW_S <= value <= 3600:
        raise FieldError(
            attribute.name,
            f"{value} is out of range",
            f"write 0, or a number from {MIN_QUOTA_WINDOW_S:g} to 3600",
        )


@attrs.frozen
class OrganisationSettings:
    """API keys, and bounds of the quotas of organisations over all nodes.

    Settings of keys tell how long a node may judge them without a new proof,
    and have an effect only while a configuration with organisations is in
    force. In any span of quota_window_s seconds, the requests of an
    organisation that run stay at or below (rate_per_s * window + burst) *
    (1 + quota_overage) + quota_slack.
    """

    # 0 disables quotas.
    quota_window_s: float = attrs.field(default=0.0, validator=_check_window)
    # Part of a quota by which it may be exceeded. Half of it is divided
    # equally among the nodes, so that each has something to spend while it is
    # cut off.
    quota_overage: float = attrs.field(
        default=0.0, validator=check_range(0, 10)
    )
    # Requests by which a quota may be exceeded beyond that, divided likewise.
    quota_slack: float = attrs.field(
        default=0.0, validator=check_range(0, 1e6)
    )
    # Time from the charge until the request reaches its backend server, by
    # which the accounting exceeds the window: requests that were charged in
    # the time before the window may run in it. Queues hold most requests for
    # less than a second.
    quota_transit_s: float = attrs.field(
        default=1.0, validator=check_range(0, 60)
    )
    # Part of the bound of large organisations that the nodes share equally,
    # so that most of their requests need no exchange with a home node; the
    # rest is leased. 0 leases all but half of overage and slack.
    quota_equal_share: float = attrs.field(
        default=0.0, validator=check_range(0, 1)
    )
    # Requests within a window from which an organisation is large. Equal parts
    # of less hold no whole request at most nodes.
    quota_large_bound: float = attrs.field(
        default=250.0, validator=check_range(0, 1e9)
    )
    # Whether the whole system starts for the first time, so that no earlier
    # process has spent anything. Unset it afterwards.
    fresh_start: bool = False
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

    @property
    def accounting_s(self) -> float:
        """Span of time over which charges are summed."""
        return self.quota_window_s + self.quota_transit_s
