"""What a call costs its caller and the links, in milliseconds."""

import math
from enum import IntEnum

import attrs

from auburnjunction.placements.settings import PlacementSettings

# Standard deviation of a completion as a share of its expected value.
DEVIATION_SHARE = 0.25
# Steepness of the logistic function that is close to the normal distribution
# function.
LOGISTIC_SCALE = 1.7
MAX_EXPONENT = 50.0


class Level(IntEnum):
    """Which boundary a call crosses."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER_REGION = 2


@attrs.frozen(slots=True)
class Demand:
    """What a call asks for.

    objective_left_s is the time until an answer is late, or until the
    deadline if it is late already; kilobytes are those of the request.
    """

    service: str
    route: str
    kilobytes: float
    objective_left_s: float = math.inf
    nested: bool = False


def find_late_probability(expected_s: float, left_s: float) -> float:
    """Return how likely an answer with this expectation comes too late."""
    if left_s == math.inf:
        return 0.0
    if left_s <= 0.0:
        return 1.0
    deviation_s = DEVIATION_SHARE * expected_s + 1e-6
    exponent = LOGISTIC_SCALE * (left_s - expected_s) / deviation_s
    exponent = max(-MAX_EXPONENT, min(MAX_EXPONENT, exponent))
    return 1.0 / (1.0 + math.exp(exponent))


class CostModel:
    """Costs of completions and of boundaries."""

    def __init__(self, settings: PlacementSettings, data_centre: str):
        self._settings = settings
        self._data_centre = data_centre
        self._region = settings.regions.get(data_centre)

    def find_level(self, data_centre: str) -> Level:
        """Return the boundary between this data centre and another."""
        if data_centre == self._data_centre:
            return Level.DATA_CENTRE
        region = self._settings.regions.get(data_centre)
        if region is None or region != self._region:
            return Level.OTHER_REGION
        return Level.REGION

    def find_loss_ms(
        self, demand: Demand, expected_s: float, refused_share: float
    ) -> float:
        """Return the expected completion plus the cost of failing in it."""
        cfg = self._settings
        late = find_late_probability(expected_s, demand.objective_left_s)
        failing_ms = (
            cfg.late_cost_ms * late + cfg.refusal_cost_ms * refused_share
        )
        if demand.nested:
            failing_ms *= cfg.nested_weight
        return expected_s * 1000 + failing_ms

    def find_price_ms(self, level: Level, kilobytes: float) -> float:
        """Return the price of the bytes of a call and its answer."""
        if level is Level.DATA_CENTRE:
            return 0.0
        if level is Level.REGION:
            return kilobytes * self._settings.data_centre_price_ms_per_kb
        return kilobytes * self._settings.region_price_ms_per_kb
