"""Division of an organisation's quota into leases and equal parts."""

import math

import attrs

from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.settings import OrganisationSettings

# Slots of the sliding sums of charges. Up to one slot more than the window is
# counted, which costs 2 in 100 of a quota with 48.
ACCOUNTING_SLOTS = 48
# Rounding of the product of rate and window must not cost a request.
ROUNDING = 1e-9


@attrs.frozen(slots=True)
class QuotaLimits:
    """Requests within any window: by leases, and by equal parts in all."""

    leased: int
    shared: int

    def find_part(self, node_count: int, rank: int | None) -> int:
        """Return the equal part of the node with a rank, from 0.

        What is left after an equal division goes to the first ranks, one
        request each. A node that does not know its rank has none of it.
        """
        part, left = divmod(self.shared, max(1, node_count))
        return part + (rank is not None and rank < left)


NO_LIMITS = QuotaLimits(0, 0)


def find_limits(
    organisation: Organisation, settings: OrganisationSettings
) -> QuotaLimits:
    """Return the limits of an organisation that has a quota."""
    quota = (
        organisation.rate_per_s * settings.quota_window_s + organisation.burst
    )
    bound = quota * (1 + settings.quota_overage) + settings.quota_slack
    leased = math.floor(quota + ROUNDING)
    return QuotaLimits(leased, math.floor(bound + ROUNDING) - leased)
