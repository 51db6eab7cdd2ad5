"""Division of quotas into leases and equal parts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.base.settings import FieldError
from auburnjunction.model.organisations import Organisation
from auburnjunction.organisations.limits import find_limits
from auburnjunction.organisations.settings import OrganisationSettings


@given(
    st.floats(0.01, 1000),
    st.floats(0, 1000),
    st.floats(0, 1),
    st.floats(0, 100),
    st.integers(1, 1000),
)
def test_parts_and_leases_stay_within_the_bound(
    rate_per_s, burst, overage, slack, node_count
):
    settings = OrganisationSettings(5.0, overage, slack)
    organisation = Organisation("acme", rate_per_s=rate_per_s, burst=burst)
    limits = find_limits(organisation, settings)
    bound = (rate_per_s * 5.0 + burst) * (1 + overage) + slack
    parts = [limits.find_part(node_count, i) for i in range(node_count)]
    assert sum(parts) == limits.shared
    assert bound - 1 <= sum(parts) + limits.leased <= bound + 1e-6
    assert max(parts) - min(parts) <= 1
    # A node that does not know its rank has no more than any other.
    assert limits.find_part(node_count, None) == min(parts)


@pytest.mark.parametrize("window_s", [-1.0, 0.5, 1.9, 3601.0])
def test_windows_shorter_than_leases_are_rejected(window_s):
    with pytest.raises(FieldError):
        OrganisationSettings(window_s)
