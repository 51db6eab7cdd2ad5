"""Weighted split of a route's requests over several services."""

import itertools

from auburnjunction.model.routes import Route

# Multiples of the golden ratio, modulo 1, are spread evenly over the unit
# interval for any number of steps (a low-discrepancy sequence).
GOLDEN_STEP = 0.6180339887498949
MAX_ROUTES = 4096


class TrafficSplitter:
    """Chooses a service for each request in proportion to the weights.

    Unlike independent random draws, the sequence keeps the proportions
    over short runs of requests too.
    """

    def __init__(self):
        self._positions: dict[str, float] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for the route's next request."""
        if not route.split:
            return route.service
        if len(self._positions) > MAX_ROUTES:
            self._positions.clear()
        position = (self._positions.get(route.name, 0.0) + GOLDEN_STEP) % 1.0
        self._positions[route.name] = position
        bounds = itertools.accumulate(part.weight for part in route.split)
        total = sum(part.weight for part in route.split)
        for part, bound in zip(route.split, bounds, strict=True):
            if position * total < bound:
                return part.service
        return route.split[-1].service
