"""Settings of membership."""

import attrs

from auburnjunction.base.settings import FieldError, check_range
from auburnjunction.http.clients import Address, parse_address


def _check_seeds(_instance, attribute, value) -> None:
    for seed in value:
        try:
            parse_address(seed)
        except ValueError as exc:
            problem, _, mend = str(exc).partition("|")
            raise FieldError(attribute.name, problem, mend) from exc


@attrs.frozen
class MembershipSettings:
    """Timings and bounds of gossip, leases and failure detection."""

    # HOST:PORT of listeners of other nodes that are tried at the start.
    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_seeds)
    # A round of gossip waits a random time between these two.
    gossip_min_interval_s: float = attrs.field(
        default=0.5, validator=check_range(0.01, 60)
    )
    gossip_max_interval_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 60)
    )
    exchange_timeout_s: float = attrs.field(
        default=0.5, validator=check_range(0.01, 30)
    )
    # Time limit of an exchange with another data centre.
    cross_timeout_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 30)
    )
    # Other nodes asked to probe a node that does not answer.
    indirect_probes: int = attrs.field(default=2, validator=check_range(0, 10))
    # Time from suspect to dead among up to ten nodes; it grows with the
    # logarithm of their number.
    suspicion_timeout_s: float = attrs.field(
        default=3.0, validator=check_range(0.05, 600)
    )
    # Time without an answer after which a data centre is unreachable.
    unreachable_after_s: float = attrs.field(
        default=5.0, validator=check_range(0.05, 600)
    )
    # Time that the record of a dead node is kept.
    tombstone_keep_s: float = attrs.field(
        default=6 * 3600.0, validator=check_range(1, 7 * 86400)
    )
    # Time between checks of leases, pauses and records to be spread.
    check_interval_s: float = attrs.field(
        default=0.1, validator=check_range(0.01, 5)
    )
    # Least time between two repairs of a view that differs.
    repair_interval_s: float = attrs.field(
        default=5.0, validator=check_range(0.01, 600)
    )
    # Nodes of a data centre that exchange records with other ones.
    cross_links: int = attrs.field(default=2, validator=check_range(1, 10))
    # Peers told at once of a node or backend server that is leaving.
    urgent_fanout: int = attrs.field(default=4, validator=check_range(1, 32))
    # Time between writes of this node's row in the table.
    table_refresh_s: float = attrs.field(
        default=60.0, validator=check_range(0.1, 3600)
    )
    # Time over which starting nodes that no seed answers spread their
    # first reads of the table.
    table_spread_s: float = attrs.field(
        default=10.0, validator=check_range(0, 600)
    )
    # Time over which starting nodes spread the first write of their row;
    # 0 takes a part of the refresh interval.
    first_write_spread_s: float = attrs.field(
        default=0.0, validator=check_range(0, 600)
    )
    # Bandwidth of this host's link in Mbit/s, which decides who reads for
    # the others; 0 where it is not known.
    link_mbps: int = attrs.field(default=0, validator=check_range(0, 10**6))
    table_timeout_s: float = attrs.field(
        default=2.0, validator=check_range(0.05, 60)
    )
    # How long the acknowledgement of a departure waits for the table to
    # keep it; backend servers expect it within a second.
    departure_save_limit_s: float = attrs.field(
        default=0.2, validator=check_range(0, 1)
    )

    @property
    def seed_addresses(self) -> list[Address]:
        """Addresses of the seeds."""
        return [parse_address(seed) for seed in self.seeds]
