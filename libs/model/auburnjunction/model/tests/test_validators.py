"""Validation of snapshots, and route lookup by longest prefix."""

import attrs
import pytest

from auburnjunction.model.priorities import ClaimMode
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.model.validators import (
    InvalidSnapshotError,
    require_valid,
    validate_snapshot,
)

SERVICE = Service("box", ("parcel",))
ROUTE = Route("boxes", "/boxes", "box", resource="parcel")


def snapshot_with_route(**values):
    return Snapshot((SERVICE,), (attrs.evolve(ROUTE, **values),))


def test_valid_snapshot_has_no_problems():
    require_valid(Snapshot((SERVICE,), (ROUTE,)))


@pytest.mark.parametrize(
    ("snapshot", "field"),
    [
        (snapshot_with_route(service="bix"), "routes.boxes.service"),
        (snapshot_with_route(resource="letter"), "routes.boxes.resource"),
        (snapshot_with_route(path_prefix="boxes"), "routes.boxes.path_prefix"),
        (snapshot_with_route(timeout_ms=0), "routes.boxes.timeout_ms"),
        (
            snapshot_with_route(repeatable=True, claims=ClaimMode.REQUIRED),
            "routes.boxes.claims",
        ),
        (Snapshot((SERVICE, SERVICE), (ROUTE,)), "services.box"),
        (Snapshot((Service(""),), ()), "services.name"),
        (
            Snapshot((Service("a", attempt_timeout_ms=0),), ()),
            "services.a.attempt_timeout_ms",
        ),
        (
            Snapshot((Service("a", queue_limit=0),), ()),
            "services.a.queue_limit",
        ),
        (
            Snapshot((SERVICE,), (ROUTE, attrs.evolve(ROUTE, name="b"))),
            "routes.b.path_prefix",
        ),
    ],
)
def test_problem_has_field_and_remedy(snapshot, field):
    problems = validate_snapshot(snapshot)
    assert field in [problem.field for problem in problems]
    assert all(problem.mend for problem in problems)
    with pytest.raises(InvalidSnapshotError, match=field.split(".")[0]):
        require_valid(snapshot)


@pytest.mark.parametrize(
    ("method", "path", "name"),
    [
        ("GET", "/a", "read"),
        ("POST", "/a", "all"),
        ("GET", "/a/b", "deep"),
        ("GET", "/a/bc", "read"),
        ("GET", "/ab", None),
        ("GET", "/", None),
    ],
)
def test_longest_prefix_wins(method, path, name):
    snapshot = Snapshot(
        (SERVICE,),
        (
            Route("all", "/a", "box"),
            Route("read", "/a", "box", methods=("GET",)),
            Route("deep", "/a/b", "box"),
        ),
    )
    route = snapshot.find_route(method, path)
    assert (route and route.name) == name
