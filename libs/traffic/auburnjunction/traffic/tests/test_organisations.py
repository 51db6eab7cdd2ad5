"""Organisations on the way of a call: routing, claims, queues and headers."""

import math

import attrs
import curio
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpRequest
from auburnjunction.model.organisations import Organisation, digest_key
from auburnjunction.model.priorities import Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.organisations.settings import OrganisationSettings
from auburnjunction.traffic.calls import NotRunError
from auburnjunction.traffic.claims import format_key
from auburnjunction.traffic.fingerprints import compute_fingerprint
from auburnjunction.traffic.headers import (
    CALL_HEADER,
    ORGANISATION_HEADER,
    HeaderNames,
    format_call,
    format_organisation,
    parse_call,
)
from auburnjunction.traffic.key_checks import KeyChecker
from auburnjunction.traffic.routers import Router
from auburnjunction.traffic.tests.owner_support import (
    make_call,
    make_owner,
    open_backend,
    try_call,
    wait_until,
)

NAMES = HeaderNames(organisation=b"x-organisation")
KEY = (b"authorization", b"Bearer k")
DIGEST = digest_key(b"k")
CFG = OrganisationSettings(revoke_s=5.0, strict=True)


@attrs.define
class Source:
    """Snapshot and proof age that a test sets."""

    current: RevisedSnapshot | None
    is_current: bool = True
    proof_age_s: float = 0.0

    def make_checker(self):
        return KeyChecker(CFG, self, lambda: self.proof_age_s)


def make_source(priority=None, revision=1, digests=(DIGEST,)):
    organisation = Organisation("acme", digests, priority)
    snapshot = Snapshot(
        (Service("orders"),),
        (Route("r", "/", "orders", priority=Priority.LOW),),
        organisations=(organisation,),
    )
    return Source(RevisedSnapshot(RevisionMark(revision, b"d"), snapshot))


def route(source, *headers, parent=None, abandoned=False):
    router = Router(
        source,
        source,
        NAMES,
        find_parent=lambda _id: parent,
        keys=source.make_checker(),
        has_abandoned_parent=lambda _id: abandoned,
    )
    request = HttpRequest(b"GET", b"/", [(b"host", b"t"), *headers])
    return router.route_request(request, "id", 0.0).call


@pytest.mark.parametrize(
    ("priority", "expected"),
    [(None, Priority.LOW), (Priority.CRITICAL, Priority.CRITICAL)],
)
def test_priority_of_the_organisation_precedes_that_of_the_route(
    priority, expected
):
    call = route(make_source(priority), KEY)
    assert call.priority is expected
    assert (call.organisation, call.key_digest) == ("acme", DIGEST)


def test_nested_call_counts_for_the_organisation_of_its_parent():
    parent = make_call("p", Priority.HIGH)
    parent.organisation = "acme"
    parent.started = True
    call = route(make_source(Priority.CRITICAL), parent=parent)
    assert call.nested
    assert call.priority is Priority.HIGH
    assert (call.organisation, call.key_digest) == ("acme", "")
    assert call.request.header(b"x-organisation") is None


@pytest.mark.parametrize(
    ("parent", "abandoned", "age_s", "code"),
    [
        (None, False, 0.0, ErrorCode.UNAUTHORISED),
        (None, False, 3.0, ErrorCode.STALE),
        # A parent that only waits makes no calls: the id is invented.
        (make_call("p"), False, 0.0, ErrorCode.UNAUTHORISED),
        # Its backend server may run it after the answer was given up.
        (None, True, 0.0, ErrorCode.UNAVAILABLE),
    ],
)
def test_refusal_without_a_key(parent, abandoned, age_s, code):
    source = make_source()
    source.proof_age_s = age_s
    with pytest.raises(NotRunError) as caught:
        route(source, parent=parent, abandoned=abandoned)
    assert caught.value.code is code


@pytest.mark.parametrize(
    ("age_s", "code"),
    [(0.0, ErrorCode.NOT_FOUND), (3.0, ErrorCode.STALE)],
)
def test_missing_route_is_final_only_while_the_node_is_current(age_s, code):
    source = make_source()
    source.proof_age_s = age_s
    routes = (Route("r", "/other", "orders"),)
    snapshot = attrs.evolve(source.current.snapshot, routes=routes)
    source.current = RevisedSnapshot(source.current.mark, snapshot)
    with pytest.raises(NotRunError) as caught:
        route(source, KEY)
    assert caught.value.code is code


@pytest.mark.parametrize("organisation", ["", "acme", "a;b c"])
def test_organisation_is_passed_to_the_owner_node(organisation):
    call = make_call()
    call.organisation = organisation
    call.key_digest = DIGEST if organisation else ""
    headers = [(CALL_HEADER, format_call(call, "orders-1", 0.0))]
    if organisation:
        headers.append((ORGANISATION_HEADER, format_organisation(call)))
    request = HttpRequest(b"GET", b"/", headers)
    parsed, _ = parse_call(request, 0.0)
    assert parsed.organisation == organisation
    assert parsed.key_digest == call.key_digest


def test_organisations_share_neither_claims_nor_fingerprints():
    """Else one could read the recorded answers of another."""
    calls = [make_call(key="key") for _ in range(3)]
    for call, name in zip(calls, ("", "acme", "umbra"), strict=True):
        call.organisation = name
        if name:
            call.request.headers.append((b"x-organisation", name.encode()))
    assert len({format_key(call) for call in calls}) == 3
    assert len({compute_fingerprint(c.request, NAMES) for c in calls}) == 3


def withdraw(source):
    source.current = make_source(revision=2, digests=()).current


def grow_stale(source):
    source.proof_age_s = math.inf


def fall_behind(source):
    source.current = make_source(revision=0, digests=()).current


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (withdraw, ErrorCode.REVOKED),
        (grow_stale, ErrorCode.STALE),
        (fall_behind, None),
        (lambda source: None, None),
    ],
)
def test_key_of_a_waiting_call_is_checked_again(change, code):
    """A call may wait until after the withdrawal of its key."""

    async def main():
        source = make_source()
        checker = source.make_checker()
        async with open_backend() as backend:
            backend.gate = curio.Event()
            owner = make_owner(
                backend.port, find_refusal=checker.find_start_refusal
            )
            first, second = make_call("first"), make_call("second")
            second.organisation, second.key_digest = "acme", DIGEST
            tasks = [await curio.spawn(try_call, owner, first)]
            await wait_until(lambda: backend.running == 1)
            tasks.append(await curio.spawn(try_call, owner, second))
            await wait_until(lambda: owner.waiting == 1)
            change(source)
            await owner.sweep()
            assert owner.waiting == (code is None)
            await backend.gate.set()
            results = [await task.join() for task in tasks]
            assert getattr(results[1], "code", None) is code
            assert ("second" in backend.executed) is (code is None)

    curio.run(main)


def test_refusals_are_counted_by_place_and_cause():
    source = make_source()
    checker = source.make_checker()
    call = make_call()
    call.organisation, call.key_digest = "acme", DIGEST
    assert checker.find_attempt_refusal(call) is None
    withdraw(source)
    error = checker.find_attempt_refusal(call)
    assert error.code is ErrorCode.UNAUTHORISED
    assert error.retry_after_s == 0.0
    assert checker.find_start_refusal(call).retry_after_s > 0.0
    assert checker.refusals == {
        ("attempt", "withdrawn key"): 1,
        ("start", "withdrawn key"): 1,
    }
