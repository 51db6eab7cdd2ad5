"""Announcements of backend servers to the node of their host."""

import attrs

from auburnjunction.base.settings import check_not_empty, check_range
from auburnjunction.membership.departures import Departure

MAX_LEASE_S = 300.0
MAX_COLD_S = 600


@attrs.frozen
class Announcement:
    """Body of POST /announce, as JSON.

    The backend server repeats it before the lease expires. State is one
    of starting, ready, leaving and gone.
    """

    instance: str = attrs.field(validator=check_not_empty)
    service: str = attrs.field(validator=check_not_empty)
    # HOST:PORT on which the backend server accepts requests.
    address: str = attrs.field(validator=check_not_empty)
    state: str = attrs.field(
        default="ready",
        validator=attrs.validators.in_(
            ("starting", "ready", "leaving", "gone")
        ),
    )
    slots: int = attrs.field(default=6, validator=check_range(1, 100_000))
    connections: int = attrs.field(
        default=130, validator=check_range(1, 100_000)
    )
    load_percent: int = attrs.field(default=0, validator=check_range(0, 100))
    resources: tuple[str, ...] = ()
    # Start of this incarnation of the backend server in milliseconds
    # since the epoch, and the sequence number of the announcement within
    # it; 0 if the backend server does not send them.
    born_ms: int = attrs.field(default=0, validator=check_range(0, 2**63))
    sequence: int = attrs.field(default=0, validator=check_range(0, 2**63))
    # Warm-up time after its start, during which it is slower.
    cold_s: float = attrs.field(
        default=0.0, validator=check_range(0, MAX_COLD_S)
    )
    # Version of its software; empty if the deployment has no use for it.
    version: str = ""
    lease_s: float = attrs.field(
        default=10.0, validator=check_range(0.5, MAX_LEASE_S)
    )

    @property
    def departure(self) -> Departure:
        """Key of this incarnation in the log of departures."""
        return Departure(self.instance, self.born_ms)

    @property
    def order(self) -> tuple[int, int]:
        """Ordering key of announcements; the later one is greater."""
        return (self.born_ms, self.sequence)
