"""Statuses from which callers infer whether a request ran."""

import attrs
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpResponse
from auburnjunction.traffic.backends import (
    MisplacedError,
    ShedError,
    check_response,
)
from auburnjunction.traffic.calls import NotRunError, UnknownRunError
from auburnjunction.traffic.headers import (
    HeaderNames,
    drop_headers,
    make_error_response,
)

NAMES = HeaderNames(
    request_id=b"x-id",
    deadline=b"x-left-ms",
    not_run=b"x-not-run",
    instance=b"x-instance",
    caller_service=b"x-caller",
    signature=b"x-signature",
    statuses_imply_not_run=True,
)
SIGNED = (b"x-signature", b"s")
NOT_RUN = (b"x-not-run", b"1")


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (NotRunError("late", ErrorCode.TIMEOUT), 503),
        (NotRunError("full", ErrorCode.OVERLOADED), 503),
        (NotRunError("no route", ErrorCode.NOT_FOUND), 404),
        (NotRunError("broken", ErrorCode.INTERNAL), 500),
        (UnknownRunError("late", ErrorCode.TIMEOUT), 504),
        (UnknownRunError("lost", ErrorCode.UNAVAILABLE), 502),
        (UnknownRunError("lost", ErrorCode.UNKNOWN), 502),
    ],
)
def test_status_implies_not_run_only_if_the_call_did_not_run(error, status):
    error.retry_after_s = 0.25
    response = make_error_response(error, "r;1", NAMES)
    expected = min(status, 503) if isinstance(error, NotRunError) else status
    assert response.status == expected
    assert response.header(b"x-id") == b"r;1"
    assert response.header(b"retry-after") == b"0.250"


@pytest.mark.parametrize(
    ("status", "headers", "error"),
    [
        (200, [SIGNED], None),
        (200, [], UnknownRunError),
        (200, [SIGNED, (b"content-encoding", b"gzip")], UnknownRunError),
        (404, [], None),
        (500, [SIGNED], None),
        (421, [], MisplacedError),
        (503, [NOT_RUN], ShedError),
        (429, [NOT_RUN], ShedError),
        (400, [NOT_RUN], ShedError),
        (503, [SIGNED], UnknownRunError),
        (429, [], UnknownRunError),
    ],
)
def test_responses_that_may_be_forwarded(status, headers, error):
    response = HttpResponse(status, headers)
    if error is None:
        check_response(response, NAMES)
        return
    with pytest.raises(error):
        check_response(response, NAMES)


def test_headers_that_nodes_set_are_removed_from_requests():
    headers = [(b"x-caller", b"forged"), (b"x-left-ms", b"9"), (b"a", b"b")]
    assert drop_headers(headers, NAMES.set_by_nodes) == [(b"a", b"b")]
    assert not attrs.evolve(NAMES, caller_service=b"").set_by_nodes & {b""}
