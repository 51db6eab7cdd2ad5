"""Routes from a request's method and path to a service."""

import attrs

from auburnjunction.model.priorities import ClaimMode, Priority


@attrs.frozen(slots=True)
class SplitPart:
    """One service of a route's traffic split, with its weight."""

    service: str
    weight: int


@attrs.frozen(slots=True)
class Route:
    """Maps matching requests to a service and a priority.

    An empty host matches every host. A route with a split names no
    service; its requests go to the parts in proportion to their weights.
    With max_attempts 0 the settings of the node limit the instances that
    a request may be sent to; with target_latency_ms 0 there is no latency
    objective.
    """

    name: str
    path_prefix: str
    service: str
    methods: tuple[str, ...] = ()
    resource: str = ""
    priority: Priority = Priority.NORMAL
    repeatable: bool = False
    claims: ClaimMode = ClaimMode.NONE
    timeout_ms: int = 2000
    spill: bool = True
    host: str = ""
    split: tuple[SplitPart, ...] = ()
    max_attempts: int = 0
    target_latency_ms: int = 0
    # Whether a request needs no API key in a configuration with organisations.
    allow_anonymous: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Services that a request of this route may go to."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route matches a method and a path."""
        if self.methods and method not in self.methods:
            return False
        if not path.startswith(self.path_prefix):
            return False
        remainder = path[len(self.path_prefix) :]
        return (
            not remainder
            or self.path_prefix.endswith("/")
            or remainder[0] in "/?"
        )
