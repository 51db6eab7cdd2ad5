"""Load plans: arrival rates of calls, and retries of their callers."""

import attrs

from auburnjunction.base.settings import (
    FieldError,
    check_not_empty,
    check_range,
)
from auburnjunction.http.clients import parse_address

PRIORITIES = ("critical", "high", "normal", "low")
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE")
MAX_RATE_PER_S = 100_000.0
MAX_DURATION_S = 3600.0


def check_addresses(_instance, attribute, value) -> None:
    """Validate, for attrs, that each item is HOST:PORT."""
    for text in value:
        try:
            parse_address(text)
        except ValueError as exc:
            problem, _, mend = str(exc).partition("|")
            raise FieldError(attribute.name, problem, mend) from exc


@attrs.frozen
class Flood:
    """Additional load of a mix during part of the run."""

    rate_per_s: float = attrs.field(validator=check_range(0, MAX_RATE_PER_S))
    start_s: float = attrs.field(
        default=0.0, validator=check_range(0, MAX_DURATION_S)
    )
    duration_s: float = attrs.field(
        default=MAX_DURATION_S, validator=check_range(0, MAX_DURATION_S)
    )

    def is_active(self, elapsed_s: float) -> bool:
        """Return whether the flood is active at a time of the load."""
        return self.start_s <= elapsed_s < self.start_s + self.duration_s


@attrs.frozen
class CallMix:
    """Calls of one kind, with Poisson arrivals at a mean rate.

    {n} in the path is replaced by the number of the call. The priority
    only groups the results; the routes of the node decide how a call is
    served.
    """

    name: str = attrs.field(validator=check_not_empty)
    path: str = attrs.field(validator=check_not_empty)
    rate_per_s: float = attrs.field(validator=check_range(0, MAX_RATE_PER_S))
    priority: str = attrs.field(
        default="normal", validator=attrs.validators.in_(PRIORITIES)
    )
    method: str = attrs.field(
        default="GET", validator=attrs.validators.in_(METHODS)
    )
    body_bytes: int = attrs.field(
        default=0, validator=check_range(0, 1_000_000)
    )
    # Whether a call whose outcome is unknown may be sent again.
    repeatable: bool = True
    # Whether calls that are not repeatable carry an idempotency key.
    keyed: bool = True
    # Value of the auburn-deadline-ms header; 0 sends no header.
    deadline_ms: int = attrs.field(
        default=0, validator=check_range(0, 300_000)
    )
    floods: tuple[Flood, ...] = ()

    def find_rate_per_s(self, elapsed_s: float) -> float:
        """Return the mean arrival rate at a time of the load."""
        return self.rate_per_s + sum(
            flood.rate_per_s
            for flood in self.floods
            if flood.is_active(elapsed_s)
        )


@attrs.frozen
class RetrySettings:
    """Retries of a caller, each at another node, with exponential backoff."""

    max_attempts: int = attrs.field(default=3, validator=check_range(1, 20))
    first_pause_ms: float = attrs.field(
        default=20.0, validator=check_range(0, 60_000)
    )
    pause_factor: float = attrs.field(
        default=2.0, validator=check_range(1, 10)
    )


@attrs.frozen
class LoadPlan:
    """Plan of a load run: nodes, mixes, limits and the final check."""

    # HOST:PORT of the caller listener of each node.
    nodes: tuple[str, ...] = attrs.field(
        validator=[check_not_empty, check_addresses]
    )
    mixes: tuple[CallMix, ...] = attrs.field(validator=check_not_empty)
    duration_s: float = attrs.field(
        default=10.0, validator=check_range(0.01, MAX_DURATION_S)
    )
    # Calls that are due earlier are sent and checked, but not counted in
    # the results.
    warm_up_s: float = attrs.field(
        default=0.0, validator=check_range(0, MAX_DURATION_S)
    )
    seed: int = 1
    # Timeout of a call, including all its attempts.
    timeout_ms: int = attrs.field(
        default=5000, validator=check_range(1, 300_000)
    )
    retries: RetrySettings = attrs.field(factory=RetrySettings)
    max_calls: int = attrs.field(
        default=200_000, validator=check_range(1, 2_000_000)
    )
    # Calls that are due beyond this limit are counted as not sent.
    max_in_flight: int = attrs.field(
        default=2000, validator=check_range(1, 20_000)
    )
    max_connections_per_node: int = attrs.field(
        default=128, validator=check_range(1, 10_000)
    )
    # HOST:PORT of backend server stand-ins whose executions are checked.
    backends: tuple[str, ...] = attrs.field(
        default=(), validator=check_addresses
    )
    # Wait for executions to end before they are checked.
    settle_s: float = attrs.field(default=1.0, validator=check_range(0, 60))

    def __attrs_post_init__(self) -> None:
        """Check that the warm-up is shorter than the load."""
        if self.warm_up_s >= self.duration_s:
            raise FieldError(
                "warm_up_s",
                f"{self.warm_up_s} is not below duration_s",
                f"write a number below {self.duration_s}",
            )
