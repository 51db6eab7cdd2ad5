"""Division of an organisation's quota into leases and equal parts."""

import math

import attrs

from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.settings import OrganisationSettings

# Slots of the sliding sums of charges. Up to one slot more than the window is
# counted, which costs 2 in 100 of a quota with 48.
ACCOUNTING_SLOTS = 48
# Part of overage and slack that all nodes share equally. The rest is leased
# with the quota: most organisations are so small that most nodes have no whole
# request of an equal part, and those that have one may see no demand. Without
# overage and slack in the leases, 1 to 3 in 100 requests of usual demand were
# refused in a simulation of 73 organisations at 61 nodes.
SHARED_PART = 0.5
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
    """Return the limits of an organisation that has a quota.

    Their sum is the bound, rounded down.
    """
    quota = (
        organisation.rate_per_s * settings.quota_window_s + organisation.burst
    )
    bound = quota * (1 + settings.quota_overage) + settings.quota_slack
    shared = (bound - quota) * SHARED_PART
    if settings.quota_equal_share and bound >= settings.quota_large_bound:
        shared = bound * settings.quota_equal_share
    shared = math.floor(shared + ROUNDING)
    return QuotaLimits(math.floor(bound + ROUNDING) - shared, shared)
