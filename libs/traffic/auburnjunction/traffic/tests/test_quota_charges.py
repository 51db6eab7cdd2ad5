"""When the entry handler charges quotas and takes charges back."""

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.organisations.errors import QuotaExceededError
from auburnjunction.traffic.calls import (
    Answer,
    Call,
    NotRunError,
    UnknownRunError,
)
from auburnjunction.traffic.entries import EntryHandler
from auburnjunction.traffic.routers import RoutedCall

REQUEST = HttpRequest(b"GET", b"/read", [(b"host", b"t")])


class FakeQuotas:
    """Grants a number of requests."""

    def __init__(self, left):
        self.left = left
        self.charged = []
        self.refunded = []

    async def charge(self, name):
        if not self.left:
            raise QuotaExceededError("spent", 1.5)
        self.left -= 1
        self.charged.append(name)
        return f"charge {len(self.charged)}"

    def refund(self, charge):
        self.refunded.append(charge)


class FakePath:
    """Routes each request as one call, and ends it as a test sets."""

    def __init__(self, error=None, **fields):
        self.error = error
        self.fields = fields
        self.sent = 0

    def route_request(self, request, request_id, now_s):
        call = Call(
            request_id,
            "read",
            "billing",
            Priority.NORMAL,
            True,
            ClaimMode.NONE,
            now_s + 1,
            1,
            request,
            **self.fields,
        )
        return RoutedCall(call, None, None)

    async def send_call(self, _routed, _trace):
        self.sent += 1
        if self.error is not None:
            raise self.error
        return Answer(HttpResponse(200, []))

    def report_call(self, *_args):
        pass


def handle(quotas, path):
    handler = EntryHandler(path, path, path, ManualClock(), quotas=quotas)
    return curio.run(handler.handle, REQUEST)


@pytest.mark.parametrize(
    ("error", "refunded"),
    [
        (None, False),
        (NotRunError("full", ErrorCode.OVERLOADED), True),
        (NotRunError("none", ErrorCode.UNAVAILABLE), True),
        (UnknownRunError("lost"), False),
        (ValueError("bug"), False),
    ],
)
def test_only_calls_that_did_not_run_are_refunded(error, refunded):
    quotas = FakeQuotas(1)
    handle(quotas, FakePath(error, organisation="acme"))
    assert quotas.charged == ["acme"]
    assert quotas.refunded == ["charge 1"] * refunded


@pytest.mark.parametrize(
    "fields", [{}, {"organisation": "acme", "nested": True}]
)
def test_nested_and_anonymous_calls_are_not_charged(fields):
    quotas = FakeQuotas(0)
    assert handle(quotas, FakePath(**fields)).status == 200
    assert quotas.charged == []


def test_call_over_the_quota_is_refused_as_not_run():
    quotas = FakeQuotas(0)
    path = FakePath(organisation="acme")
    response = handle(quotas, path)
    assert response.status == 429
    assert response.header(b"auburn-outcome") == b"not-run"
    assert response.header(b"retry-after") == b"1.500"
    assert path.sent == 0
    assert quotas.refunded == []
