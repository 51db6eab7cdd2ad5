"""A short seeded soak, and every seed that ever failed."""

import pytest

from auburnjunction.standins.soaks import make_plan, run_soak

# Seeds run in CI: one that covers kills, cuts and the platform, and each
# that failed once, with a line on its cause.
SEEDS = (3,)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_overlapping_faults(tmp_path, seed):
    run_soak(tmp_path, seed)


def test_plan_is_that_of_its_seed():
    assert make_plan(5, 12.0, 6) == make_plan(5, 12.0, 6)
    assert make_plan(5, 12.0, 6) != make_plan(6, 12.0, 6)
