"""Routes from a request's method and path to a service."""

import attrs

from auburnjunction.model.priorities import ClaimMode, Priority


@attrs.frozen(slots=True)
class SplitPart:
    """A service's part in a route whose requests several share."""

    service: str
    weight: int


@attrs.frozen(slots=True)
class Route:
    """Sends matching requests to a service, with their priority.

    An empty host means every host. A route with a split names no
    service; its requests go to the parts in proportion to their weights.
    Zero max_attempts leaves the number of instances to the node, and
    zero target_latency_ms means that no latency objective is set.
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

    @property
    def services(self) -> tuple[str, ...]:
        """Services that a request of this route may go to."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request of this method and path is meant."""
        if self.methods and method not in self.methods:
            return False
        if not path.startswith(self.path_prefix):
            return False
        rest = path[len(self.path_prefix) :]
        return not rest or self.path_prefix.endswith("/") or rest[0] in "/?"
