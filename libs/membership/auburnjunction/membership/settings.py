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
    """Timings and limits of gossip, leases and failure detection."""

    # HOST:PORT of the listeners of other nodes to join through.
    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_seeds)
    # The interval of gossip rounds is random between these two.
    gossip_min_interval_s: float = attrs.field(
        default=0.5, validator=check_range(0.01, 60)
    )
    gossip_max_interval_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 60)
    )
    exchange_timeout_s: float = attrs.field(
        default=0.5, validator=check_range(0.01, 30)
    )
    # Timeout of an exchange with another data centre.
    cross_timeout_s: float = attrs.field(
        default=1.0, validator=check_range(0.01, 30)
    )
    # Relays that probe a node which fails a direct probe.
    indirect_probes: int = attrs.field(default=2, validator=check_range(0, 10))
    # Time from suspect to dead with up to ten peers; it grows with the
    # logarithm of their number.
    suspicion_timeout_s: float = attrs.field(
        default=3.0, validator=check_range(0.05, 600)
    )
    # Time without a response after which a data centre is unreachable.
    unreachable_after_s: float = attrs.field(
        default=5.0, validator=check_range(0.05, 600)
    )
    # Retention of the record of a dead node.
    tombstone_keep_s: float = attrs.field(
        default=6 * 3600.0, validator=check_range(1, 7 * 86400)
    )
    # Interval of checks of leases, suspicions, pauses and urgent pushes.
    check_interval_s: float = attrs.field(
        default=0.1, validator=check_range(0.01, 5)
    )
    # Mean minimum interval of anti-entropy repairs; jittered by half.
    repair_interval_s: float = attrs.field(
        default=5.0, validator=check_range(0.01, 600)
    )
    # Number of link nodes, which gossip with other data centres.
    cross_links: int = attrs.field(default=2, validator=check_range(1, 10))
    # Peers to which an urgent record is pushed at once.
    urgent_fanout: int = attrs.field(default=4, validator=check_range(1, 32))
    # Mean interval between writes of this node's row in the table.
    table_refresh_s: float = attrs.field(
        default=60.0, validator=check_range(0.1, 3600)
    )
    # Maximum random delay of a table read by a node that no seed responds
    # to, which spreads the reads of nodes that start together.
    table_spread_s: float = attrs.field(
        default=10.0, validator=check_range(0, 600)
    )
    # Maximum random delay of the first write of a node's row; 0 selects a
    # share of the refresh interval.
    first_write_spread_s: float = attrs.field(
        default=0.0, validator=check_range(0, 600)
    )
    # Whether the whole system starts for the first time, so that the table
    # holds no rows of its nodes yet. They are then not looked for.
    fresh_start: bool = False
    # Bandwidth of this host's network link in Mbit/s, by which the nodes
    # that read for the others are selected; 0 if unknown.
    link_mbps: int = attrs.field(default=0, validator=check_range(0, 10**6))
    table_timeout_s: float = attrs.field(
        default=2.0, validator=check_range(0.05, 60)
    )
    # Maximum time that the response to a departure waits, half of it for the
    # write to the table, then for another node that keeps it; backend servers
    # expect the response within a second.
    departure_save_limit_s: float = attrs.field(
        default=0.2, validator=check_range(0, 1)
    )

    # After a restart that may have lost departures: how long a backend server
    # from before it is in use without a confirmed announcement. Nodes are held
    # to earlier departures from a few seconds after the start of the process,
    # of which loading the program takes a part.
    provisional_use_s: float = attrs.field(
        default=2.1, validator=check_range(0, 60)
    )
    # Longest delay, counted from the start, of an announcement that was sent
    # before such a restart.
    max_announcement_delay_s: float = attrs.field(
        default=3.6, validator=check_range(0, 60)
    )
    # Time from the start from which their number confirms announcements. Late
    # ones may arrive together, as after a cut.
    min_confirmation_s: float = attrs.field(
        default=1.5, validator=check_range(0, 60)
    )
    # Announcements of one backend server that may be late at once: several
    # intervals of announcements fit into their delay.
    max_late_announcements: int = attrs.field(
        default=5, validator=check_range(0, 100)
    )
    # The same if the table answers at the start, as a departure is then lost
    # only by an outage that ended before.
    max_late_announcements_prompt: int = attrs.field(
        default=2, validator=check_range(0, 100)
    )

    @property
    def seed_addresses(self) -> list[Address]:
        """Parsed addresses of the seeds."""
        return [parse_address(seed) for seed in self.seeds]
