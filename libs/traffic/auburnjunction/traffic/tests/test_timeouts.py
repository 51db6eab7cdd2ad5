"""Time elapsed since first attempts, estimated from timeouts."""

import pytest

from auburnjunction.traffic.timeouts import SAMPLES, ElapsedTimeEstimator


@pytest.mark.parametrize(
    ("earlier_ms", "timeout_ms", "elapsed_ms"),
    [
        # First attempts of the route give 1,000 ms.
        ([1000] * 20, 1000, 0),
        ([1000] * 20, 650, 350),
        ([1000, 1000, 650, 777] * 5, 700, 300),
        # No estimate from a longer timeout, or from too few samples.
        ([1000] * 20, 5000, 0),
        ([1000] * 4, 650, 0),
        # No estimate without a common timeout.
        (list(range(100, 1000, 13)), 50, 0),
        # The operators have shortened the deadline.
        ([1000] * 20 + [400] * SAMPLES, 300, 100),
    ],
)
def test_elapsed_time_is_what_is_missing_of_the_common_timeout(
    earlier_ms, timeout_ms, elapsed_ms
):
    estimator = ElapsedTimeEstimator()
    for earlier in earlier_ms:
        estimator.estimate_ms("route", earlier)
    estimator.estimate_ms("other", 90_000)
    assert estimator.estimate_ms("route", timeout_ms) == elapsed_ms
