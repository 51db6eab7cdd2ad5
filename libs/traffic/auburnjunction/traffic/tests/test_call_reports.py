"""Results of finished calls in metrics and log lines."""

import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.traffic.call_reports import find_result
from auburnjunction.traffic.calls import Outcome


@pytest.mark.parametrize(
    ("outcome", "code", "result"),
    [
        (Outcome.OK, 200, "ok"),
        (Outcome.OK, 404, "ok"),
        (Outcome.OK, 500, "failed"),
        (Outcome.NOT_RUN, ErrorCode.OVERLOADED, "not-run"),
        (Outcome.UNKNOWN, ErrorCode.UNKNOWN, "unknown"),
    ],
)
def test_server_error_is_a_failed_call(outcome, code, result):
    assert find_result(outcome, code) == result
