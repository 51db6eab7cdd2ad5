"""Differences between two revisions of a configuration."""

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.model.codecs import (
    CodecError,
    decode_limits,
    decode_organisation,
    decode_route,
    decode_service,
    digest_snapshot,
    encode_limits,
    encode_organisation,
    encode_route,
    encode_service,
)
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
    sort_snapshot,
)
from auburnjunction.schema import configuration_pb2 as pb


class DeltaError(AuburnError):
    """Raised when a delta does not fit its base or has a wrong digest."""

    code = ErrorCode.INVALID


class Named(Protocol):
    """An item of a snapshot that is identified by its name."""

    name: str


T = TypeVar("T", bound=Named)


def make_delta(base: RevisedSnapshot, result: RevisedSnapshot) -> pb.Delta:
    """Return the delta that turns the base into the result."""
    before, after = base.snapshot, result.snapshot
    set_services, removed_services = _diff(before.services, after.services)
    set_routes, removed_routes = _diff(before.routes, after.routes)
    set_organisations, removed_organisations = _diff(
        before.organisations, after.organisations
    )
    return pb.Delta(
        base_revision=base.mark.revision,
        base_digest=base.mark.digest,
        revision=result.mark.revision,
        digest=result.mark.digest,
        set_services=[encode_service(service) for service in set_services],
        removed_services=removed_services,
        set_routes=[encode_route(route) for route in set_routes],
        removed_routes=removed_routes,
        limits=encode_limits(after.limits),
        set_organisations=[encode_organisation(o) for o in set_organisations],
        removed_organisations=removed_organisations,
    )


def apply_delta(base: RevisedSnapshot, delta: pb.Delta) -> RevisedSnapshot:
    """Apply a delta to its base and return the result.

    Raise DeltaError when the delta was made for another base, or when
    the digest of the result is not the one that the delta carries.
    """
    expected = RevisionMark(delta.base_revision, delta.base_digest)
    if expected != base.mark:
        raise DeltaError(
            f"base revision {expected.revision} of the delta differs in "
            f"number or digest from revision {base.mark.revision}"
        )
    snapshot = _apply_to_snapshot(base.snapshot, delta)
    if digest_snapshot(snapshot) != delta.digest:
        raise DeltaError(
            f"delta to revision {delta.revision} gives a wrong digest"
        )
    return RevisedSnapshot(
        RevisionMark(delta.revision, delta.digest), snapshot
    )


def _apply_to_snapshot(base: Snapshot, delta: pb.Delta) -> Snapshot:
    try:
        services = _apply_changes(
            base.services,
            delta.set_services,
            delta.removed_services,
            decode_service,
        )
        routes = _apply_changes(
            base.routes, delta.set_routes, delta.removed_routes, decode_route
        )
        organisations = _apply_changes(
            base.organisations,
            delta.set_organisations,
            delta.removed_organisations,
            decode_organisation,
        )
    except CodecError as exc:
        raise DeltaError(exc.message) from exc
    limits = decode_limits(delta.limits)
    return sort_snapshot(Snapshot(services, routes, limits, organisations))


def _diff(
    before: Iterable[T], after: Iterable[T]
) -> tuple[list[T], list[str]]:
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    changed = [item for item in new.values() if old.get(item.name) != item]
    removed = [name for name in old if name not in new]
    return changed, removed


def _apply_changes(
    items: Iterable[T],
    changed: Iterable,
    removed: Iterable[str],
    decode: Callable[..., T],
) -> tuple[T, ...]:
    by_name = {item.name: item for item in items}
    for name in removed:
        by_name.pop(name, None)
    for message in changed:
        by_name[message.name] = decode(message)
    return tuple(by_name.values())
