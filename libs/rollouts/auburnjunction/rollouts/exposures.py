"""This node's part of the exposure that a version may have."""

import random

import attrs

from auburnjunction.rollouts.settings import RolloutSettings

# Parts of the limits that nodes plan with before a version is accepted. The
# rest is for requests counted late and for nodes that restart with a new
# part of the slack.
SHARE_PART = 0.8
SLACK_PART = 0.5
# Factor of the share of a route with few answers, so that routes with
# little traffic are judged in time.
RARE_ROUTE_FACTOR = 4.0


@attrs.define(slots=True)
class ExposureBudget:
    """Requests that this node may send to a target before acceptance.

    Each node's part grows with its own requests, so that the sum over the
    nodes holds without their knowing of each other. Parts below one request
    are rounded at random.
    """

    share: float
    slack: float
    seen: int = 0
    sent: int = 0
    _credits: dict[str, float] = attrs.field(factory=dict)

    def draw(
        self,
        route: str,
        share: float,
        factor: float,
        is_limited: bool,
        random_value: float,
    ) -> bool:
        """Count a request; return whether to send it to the target.

        random_value, from 0 to 1, sets the phase of a route's first one.
        """
        self.seen += 1
        if share <= 0.0:
            return False
        credit = self._credits.get(route, random_value)
        credit += min(1.0, share * factor)
        has_room = self.sent + 1 <= self.share * self.seen + self.slack
        if credit < 1.0 or (is_limited and not has_room):
            self._credits[route] = min(credit, 1.0)
            return False
        self._credits[route] = credit - 1.0
        self.sent += 1
        return True


def make_budget(
    settings: RolloutSettings, node_count: int, rng: random.Random
) -> ExposureBudget:
    """Return the budget of one node among so many."""
    slack = SLACK_PART * settings.exposure_slack / max(1, node_count)
    return ExposureBudget(
        SHARE_PART * settings.exposure_share, slack + rng.random()
    )
