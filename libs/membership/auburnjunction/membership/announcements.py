"""What a backend server tells its own node about itself."""

import attrs

from auburnjunction.base.settings import check_not_empty, check_range
from auburnjunction.membership.departures import Departure

MAX_LEASE_S = 300.0


@attrs.frozen
class Announcement:
    """Body of POST /announce, as JSON.

    The backend server repeats it before the lease ends. State is one of
    starting, ready, leaving and gone.
    """

    instance: str = attrs.field(validator=check_not_empty)
    service: str = attrs.field(validator=check_not_empty)
    # HOST:PORT where the backend server takes requests.
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
    # Milliseconds since the epoch at which this life of the instance
    # began, and the place of the announcement among those of this life;
    # 0 where the backend server does not tell.
    born_ms: int = attrs.field(default=0, validator=check_range(0, 2**63))
    sequence: int = attrs.field(default=0, validator=check_range(0, 2**63))
    # Time for which a backend server that has started is still slow.
    cold_s: float = attrs.field(default=0.0, validator=check_range(0, 600))
    lease_s: float = attrs.field(
        default=10.0, validator=check_range(0.5, MAX_LEASE_S)
    )

    @property
    def life(self) -> Departure:
        """What names this life of the backend server once it is over."""
        return Departure(self.instance, self.born_ms)

    @property
    def order(self) -> tuple[int, int]:
        """Key by which the later of two announcements is told."""
        return (self.born_ms, self.sequence)
