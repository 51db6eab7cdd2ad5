"""Shares of a route's requests for several services."""

import itertools

from auburnjunction.model.routes import Route

# Steps of the golden ratio fall evenly over the unit interval, whatever
# their number.
GOLDEN_STEP = 0.6180339887498949
MAX_ROUTES = 4096


class TrafficSplitter:
    """Chooses a service for each request in proportion to the weights.

    The shares hold over short runs of requests too, which independent
    draws would not give.
    """

    def __init__(self):
        self._points: dict[str, float] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for the route's next request."""
        if not route.split:
            return route.service
        if len(self._points) > MAX_ROUTES:
            self._points.clear()
        point = (self._points.get(route.name, 0.0) + GOLDEN_STEP) % 1.0
        self._points[route.name] = point
        bounds = itertools.accumulate(part.weight for part in route.split)
        total = sum(part.weight for part in route.split)
        for part, bound in zip(route.split, bounds, strict=True):
            if point * total < bound:
                return part.service
        return route.split[-1].service
