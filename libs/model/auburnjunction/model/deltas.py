"""Differences between two revisions of a configuration."""

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.model.codecs import (
    CodecError,
    decode_limits,
    decode_route,
    decode_service,
    digest_snapshot,
    encode_limits,
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
    """A delta that does not lead from this base to its result."""

    code = ErrorCode.INVALID


class Named(Protocol):
    """A part of a snapshot, known by its name."""

    name: str


T = TypeVar("T", bound=Named)


def make_delta(base: RevisedSnapshot, result: RevisedSnapshot) -> pb.Delta:
    """Return the changes that turn the base into the result."""
    before, after = base.snapshot, result.snapshot
    set_services, removed_services = _compare(before.services, after.services)
    set_routes, removed_routes = _compare(before.routes, after.routes)
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
    )


def apply_delta(base: RevisedSnapshot, delta: pb.Delta) -> RevisedSnapshot:
    """Return the result of a delta.

    Raise DeltaError when the delta has another base, or when its result
    does not have the digest that it announces.
    """
    wanted = RevisionMark(delta.base_revision, delta.base_digest)
    if wanted != base.mark:
        raise DeltaError(
            f"delta is based on revision {wanted.revision}, "
            f"not on {base.mark.revision}"
        )
    snapshot = _replace_parts(base.snapshot, delta)
    if digest_snapshot(snapshot) != delta.digest:
        raise DeltaError(
            f"delta to revision {delta.revision} gives another digest"
        )
    return RevisedSnapshot(
        RevisionMark(delta.revision, delta.digest), snapshot
    )


def _replace_parts(base: Snapshot, delta: pb.Delta) -> Snapshot:
    try:
        services = _replace(
            base.services,
            delta.set_services,
            delta.removed_services,
            decode_service,
        )
        routes = _replace(
            base.routes, delta.set_routes, delta.removed_routes, decode_route
        )
    except CodecError as exc:
        raise DeltaError(exc.message) from exc
    limits = decode_limits(delta.limits)
    return sort_snapshot(Snapshot(services, routes, limits))


def _compare(
    before: Iterable[T], after: Iterable[T]
) -> tuple[list[T], list[str]]:
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    changed = [item for item in new.values() if old.get(item.name) != item]
    removed = [name for name in old if name not in new]
    return changed, removed


def _replace(
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
