"""Conversion of snapshots to protobuf messages, bytes and JSON."""

import hashlib
from typing import Any

import attrs
import orjson
from google.protobuf.message import DecodeError

from auburnjunction.base.errors import AuburnError, ErrorCode
from auburnjunction.base.settings import SettingsError, configure_settings
from auburnjunction.model.organisations import Organisation
from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.routes import Route, SplitPart
from auburnjunction.model.services import DEFAULT_HEALTH_PATH, Service
from auburnjunction.model.snapshots import (
    CallerLimits,
    Snapshot,
    sort_snapshot,
)
from auburnjunction.schema import configuration_pb2 as pb


class CodecError(AuburnError):
    """Raised when content cannot be decoded as a snapshot."""

    code = ErrorCode.INVALID


def encode_service(service: Service) -> pb.Service:
    """Return the protobuf message for a service."""
    return pb.Service(
        name=service.name,
        resources=service.resources,
        queue_limit=service.queue_limit,
        attempt_timeout_ms=service.attempt_timeout_ms,
        health_path=service.health_path,
    )


def decode_service(message: pb.Service) -> Service:
    """Return the service that a protobuf message describes."""
    return Service(
        name=message.name,
        resources=tuple(message.resources),
        queue_limit=message.queue_limit,
        attempt_timeout_ms=message.attempt_timeout_ms,
        health_path=message.health_path or DEFAULT_HEALTH_PATH,
    )


def encode_route(route: Route) -> pb.Route:
    """Return the protobuf message for a route."""
    return pb.Route(
        name=route.name,
        path_prefix=route.path_prefix,
        methods=route.methods,
        service=route.service,
        resource=route.resource,
        priority=route.priority,
        repeatable=route.repeatable,
        claims=route.claims,
        timeout_ms=route.timeout_ms,
        spill=route.spill,
        host=route.host,
        split=[
            pb.SplitPart(service=part.service, weight=part.weight)
            for part in route.split
        ],
        max_attempts=route.max_attempts,
        target_latency_ms=route.target_latency_ms,
        allow_anonymous=route.allow_anonymous,
    )


def decode_route(message: pb.Route) -> Route:
    """Return the route that a protobuf message describes.

    Raise CodecError when an enum field has an unknown value.
    """
    try:
        priority = Priority(message.priority)
        claims = ClaimMode(message.claims)
    except ValueError as exc:
        raise CodecError(f"route {message.name}: {exc}") from exc
    return Route(
        name=message.name,
        path_prefix=message.path_prefix,
        service=message.service,
        methods=tuple(message.methods),
        resource=message.resource,
        priority=priority,
        repeatable=message.repeatable,
        claims=claims,
        timeout_ms=message.timeout_ms,
        spill=message.spill,
        host=message.host,
        split=tuple(
            SplitPart(part.service, part.weight) for part in message.split
        ),
        max_attempts=message.max_attempts,
        target_latency_ms=message.target_latency_ms,
        allow_anonymous=message.allow_anonymous,
    )


def encode_organisation(organisation: Organisation) -> pb.Organisation:
    """Return the protobuf message for an organisation."""
    return pb.Organisation(
        name=organisation.name,
        key_digests=organisation.key_digests,
        priority=organisation.priority or pb.PRIORITY_UNSPECIFIED,
        rate_per_s=organisation.rate_per_s,
        burst=organisation.burst,
    )


def decode_organisation(message: pb.Organisation) -> Organisation:
    """Return the organisation that a protobuf message describes.

    Raise CodecError when its priority has an unknown value.
    """
    priority = None
    if message.priority != pb.PRIORITY_UNSPECIFIED:
        try:
            priority = Priority(message.priority)
        except ValueError as exc:
            raise CodecError(f"organisation {message.name}: {exc}") from exc
    return Organisation(
        name=message.name,
        key_digests=tuple(message.key_digests),
        priority=priority,
        rate_per_s=message.rate_per_s,
        burst=message.burst,
    )


def encode_limits(limits: CallerLimits) -> pb.CallerLimits | None:
    """Return the protobuf message for the limits; None when none is set."""
    if limits == CallerLimits():
        return None
    return pb.CallerLimits(**attrs.asdict(limits))


def decode_limits(message: pb.CallerLimits) -> CallerLimits:
    """Return the callers' limits that a protobuf message describes."""
    return CallerLimits(
        head_bytes=message.head_bytes,
        body_bytes=message.body_bytes,
        head_timeout_ms=message.head_timeout_ms,
        idle_timeout_ms=message.idle_timeout_ms,
    )


def encode_snapshot(snapshot: Snapshot) -> pb.Snapshot:
    """Return the protobuf message for a snapshot, in canonical order."""
    ordered = sort_snapshot(snapshot)
    return pb.Snapshot(
        services=[encode_service(s) for s in ordered.services],
        routes=[encode_route(r) for r in ordered.routes],
        limits=encode_limits(ordered.limits),
        organisations=[encode_organisation(o) for o in ordered.organisations],
    )


def decode_snapshot(message: pb.Snapshot) -> Snapshot:
    """Return the snapshot that a message describes, in canonical order."""
    return sort_snapshot(
        Snapshot(
            services=tuple(decode_service(s) for s in message.services),
            routes=tuple(decode_route(r) for r in message.routes),
            limits=decode_limits(message.limits),
            organisations=tuple(
                decode_organisation(o) for o in message.organisations
            ),
        )
    )


def dump_snapshot(snapshot: Snapshot) -> bytes:
    """Serialize a snapshot to its canonical bytes."""
    return encode_snapshot(snapshot).SerializeToString(deterministic=True)


def load_snapshot(content: bytes) -> Snapshot:
    """Parse a serialized snapshot; raise CodecError if it is malformed."""
    try:
        message = pb.Snapshot.FromString(content)
    except DecodeError as exc:
        raise CodecError(f"snapshot cannot be decoded: {exc}") from exc
    return decode_snapshot(message)


def digest_content(content: bytes) -> bytes:
    """Return the SHA-256 digest that identifies the content."""
    return hashlib.sha256(content).digest()


def digest_snapshot(snapshot: Snapshot) -> bytes:
    """Return the digest of a snapshot's canonical bytes."""
    return digest_content(dump_snapshot(snapshot))


def dump_snapshot_json(snapshot: Snapshot) -> bytes:
    """Serialize a snapshot to indented JSON, with enum values by name."""
    ordered = sort_snapshot(snapshot)
    values = {
        "services": [attrs.asdict(s) for s in ordered.services],
        "routes": [_unstructure_route(r) for r in ordered.routes],
        "limits": attrs.asdict(ordered.limits),
    }
    if ordered.organisations:
        values["organisations"] = [
            _unstructure_organisation(o) for o in ordered.organisations
        ]
    return orjson.dumps(values, option=orjson.OPT_INDENT_2)


def load_snapshot_json(content: bytes) -> Snapshot:
    """Parse a snapshot from JSON.

    Raise CodecError, which names the field, if the content is invalid.
    """
    try:
        values = orjson.loads(content)
        _replace_enum_names(values)
        return sort_snapshot(configure_settings(values, Snapshot))
    except orjson.JSONDecodeError as exc:
        raise CodecError(
            f"not valid JSON at line {exc.lineno} column {exc.colno}"
        ) from exc
    except SettingsError as exc:
        raise CodecError(
            f"configuration field {exc.field}: {exc.problem}; {exc.mend}"
        ) from exc


def _unstructure_route(route: Route) -> dict[str, Any]:
    values = attrs.asdict(route)
    values["priority"] = route.priority.name.lower()
    values["claims"] = route.claims.name.lower().replace("_", "-")
    if not route.allow_anonymous:
        del values["allow_anonymous"]
    return values


def _unstructure_organisation(organisation: Organisation) -> dict[str, Any]:
    values = attrs.asdict(organisation)
    if organisation.priority is not None:
        values["priority"] = organisation.priority.name.lower()
    return values


def _replace_enum_names(values: Any) -> None:
    if not isinstance(values, dict):
        return
    for kind in ("routes", "organisations"):
        for index, item in enumerate(values.get(kind) or []):
            if isinstance(item, dict):
                path = f"{kind}.{index}"
                _replace_enum_name(item, "priority", Priority, path)
                _replace_enum_name(item, "claims", ClaimMode, path)


def _replace_enum_name(item: dict, field: str, enum: type, path: str) -> None:
    name = item.get(field)
    if name is None:
        return
    try:
        item[field] = enum[str(name).upper().replace("-", "_")]
    except KeyError as exc:
        names = ", ".join(e.name.lower().replace("_", "-") for e in enum)
        raise SettingsError(
            f"{path}.{field}",
            f"{name!r} is not known",
            f"write one of {names}",
        ) from exc
