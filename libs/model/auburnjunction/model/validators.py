"""Validation of the names, ranges and references in a snapshot."""

import math
from collections import Counter
from collections.abc import Iterator

import attrs

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.model.organisations import (
    FINGERPRINT_DIGITS,
    Organisation,
)
from auburnjunction.model.priorities import ClaimMode
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot

MAX_NAME_LENGTH = 120
MAX_TIMEOUT_MS = 300_000
MAX_QUEUE_LIMIT = 100_000


@attrs.frozen
class Problem:
    """One validation error: the field, what is wrong, and the remedy."""

    field: str
    message: str
    mend: str

    def __str__(self) -> str:
        return f"{self.field}: {self.message}; {self.mend}"


class InvalidSnapshotError(AuburnError):
    """Raised for a snapshot that must not come into force."""

    code = ErrorCode.INVALID

    def __init__(self, problems: list[Problem]):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def validate_snapshot(snapshot: Snapshot) -> list[Problem]:
    """Return all problems; an empty list means the snapshot is valid."""
    problems = list(_check_names(snapshot))
    for service in snapshot.services:
        problems += _check_service(service)
    services = {service.name: service for service in snapshot.services}
    for route in snapshot.routes:
        problems += _check_route(route, services)
    problems += _check_overlaps(snapshot.routes)
    problems += _check_organisations(snapshot.organisations)
    return problems


def require_valid(snapshot: Snapshot) -> None:
    """Raise InvalidSnapshotError unless the snapshot is valid."""
    problems = validate_snapshot(snapshot)
    if problems:
        raise InvalidSnapshotError(problems)


def _check_names(snapshot: Snapshot) -> Iterator[Problem]:
    for kind, items in (
        ("services", snapshot.services),
        ("routes", snapshot.routes),
        ("organisations", snapshot.organisations),
    ):
        for name, count in Counter(item.name for item in items).items():
            if not name or len(name) > MAX_NAME_LENGTH:
                yield Problem(
                    f"{kind}.name",
                    f"{name!r} has {len(name)} characters",
                    f"use 1 to {MAX_NAME_LENGTH} characters",
                )
            if count > 1:
                yield Problem(
                    f"{kind}.{name}",
                    f"the name is used {count} times",
                    "use a unique name for each",
                )


def _check_service(service: Service) -> Iterator[Problem]:
    item_path = f"services.{service.name}"
    if not 1 <= service.attempt_timeout_ms <= MAX_TIMEOUT_MS:
        yield Problem(
            f"{item_path}.attempt_timeout_ms",
            f"is {service.attempt_timeout_ms}",
            f"use 1 to {MAX_TIMEOUT_MS}",
        )
    if not 1 <= service.queue_limit <= MAX_QUEUE_LIMIT:
        yield Problem(
            f"{item_path}.queue_limit",
            f"is {service.queue_limit}",
            f"use 1 to {MAX_QUEUE_LIMIT}",
        )


def _check_route(
    route: Route, services: dict[str, Service]
) -> Iterator[Problem]:
    item_path = f"routes.{route.name}"
    yield from _check_targets(item_path, route, services)
    service = services.get(route.service)
    if (
        service is not None
        and route.resource
        and route.resource not in (service.resources)
    ):
        yield Problem(
            f"{item_path}.resource",
            f"{route.resource!r} is not a resource of {service.name}",
            "add the resource to the service or name another",
        )
    if not route.path_prefix.startswith("/"):
        yield Problem(
            f"{item_path}.path_prefix",
            f"{route.path_prefix!r} does not start with /",
            "write a path such as /payments",
        )
    if not 1 <= route.timeout_ms <= MAX_TIMEOUT_MS:
        yield Problem(
            f"{item_path}.timeout_ms",
            f"is {route.timeout_ms}",
            f"use 1 to {MAX_TIMEOUT_MS}",
        )
    if route.repeatable and route.claims is not ClaimMode.NONE:
        yield Problem(
            f"{item_path}.claims",
            "a repeatable route needs no claims",
            "set repeatable to false or claims to none",
        )


def _check_targets(
    item_path: str, route: Route, services: dict[str, Service]
) -> Iterator[Problem]:
    if route.split and route.service:
        yield Problem(
            f"{item_path}.split",
            f"is set together with the service {route.service!r}",
            "name a service or a split, not both",
        )
    field = "split" if route.split else "service"
    for name in route.services:
        if name not in services:
            yield Problem(
                f"{item_path}.{field}",
                f"{name!r} is not a service of this configuration",
                "add the service or name another",
            )
    weights = [part.weight for part in route.split]
    if route.split and (min(weights) < 0 or not sum(weights)):
        yield Problem(
            f"{item_path}.split",
            f"has the weights {weights}",
            "use weights of 0 or more, with one above 0",
        )


def _check_organisations(
    organisations: tuple[Organisation, ...],
) -> Iterator[Problem]:
    holders: dict[str, str] = {}
    for organisation in organisations:
        item_path = f"organisations.{organisation.name}"
        for field in ("rate_per_s", "burst"):
            value = getattr(organisation, field)
            if not 0 <= value < math.inf:
                yield Problem(
                    f"{item_path}.{field}", f"is {value}", "use 0 or more"
                )
        for digest in organisation.key_digests:
            other = holders.setdefault(digest, organisation.name)
            if other != organisation.name:
                yield Problem(
                    f"{item_path}.key_digests",
                    f"the key {digest[:FINGERPRINT_DIGITS]} is also held by "
                    f"{other}",
                    "give each organisation keys of its own",
                )


def _check_overlaps(routes: tuple[Route, ...]) -> Iterator[Problem]:
    seen: dict[tuple[str, str, str], str] = {}
    for route in routes:
        for method in route.methods or ("*",):
            key = (route.host.lower(), route.path_prefix, method)
            if key in seen:
                yield Problem(
                    f"routes.{route.name}.path_prefix",
                    f"{method} {route.path_prefix} is also used by route "
                    f"{seen[key]}",
                    "change the prefix or the methods of one of them",
                )
            seen[key] = route.name
