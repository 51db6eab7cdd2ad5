"""Immutable snapshots of the whole configuration."""

from functools import cached_property

import attrs

from auburnjunction.model.organisations import Organisation, digest_key
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service


@attrs.frozen(slots=True)
class RevisionMark:
    """Identifies a configuration by its revision and content digest."""

    revision: int
    digest: bytes


NO_REVISION = RevisionMark(0, b"")


@attrs.frozen(slots=True)
class CallerLimits:
    """Size limits and time-outs for a caller's request.

    Where a value is 0, the settings of each node apply.
    """

    head_bytes: int = 0
    body_bytes: int = 0
    head_timeout_ms: int = 0
    idle_timeout_ms: int = 0


@attrs.frozen(slots=False)
class Snapshot:
    """All items of one configuration, each kind sorted by name."""

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] = ()

    @cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services by their name."""
        return {service.name: service for service in self.services}

    @cached_property
    def organisations_by_name(self) -> dict[str, Organisation]:
        """Organisations by their name."""
        return {item.name: item for item in self.organisations}

    @cached_property
    def _organisations_by_digest(self) -> dict[str, Organisation]:
        return {
            digest: organisation
            for organisation in self.organisations
            for digest in organisation.key_digests
        }

    def find_organisation(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds an API key, if any."""
        return self.find_digest(digest_key(key))

    def find_digest(self, key_digest: str) -> Organisation | None:
        """Return the organisation that holds the key with a digest, if any."""
        return self._organisations_by_digest.get(key_digest)

    @cached_property
    def _routes_by_host(self) -> dict[str, "PrefixIndex"]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        return {host: PrefixIndex(group) for host, group in by_host.items()}

    def find_route(
        self, method: str, path: str, host: str = ""
    ) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        Routes for this host take precedence over routes for every host.
        """
        name = host.lower()
        for key in (name, name.partition(":")[0], ""):
            index = self._routes_by_host.get(key)
            route = index.find(method, path) if index else None
            if route is not None:
                return route
        return None


class PrefixIndex:
    """Index of one host's routes by path prefix.

    A lookup tries each prefix length that occurs, longest first, so its
    cost does not grow with the number of routes.
    """

    def __init__(self, routes: list[Route]):
        self._by_prefix: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: not route.methods):
            self._by_prefix.setdefault(route.path_prefix, []).append(route)
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for length in self._lengths:
            for route in self._by_prefix.get(path[:length], ()):
                if route.matches(method, path):
                    return route
        return None


@attrs.frozen(slots=False)
class RevisedSnapshot:
    """A snapshot with the revision mark that identifies it."""

    mark: RevisionMark
    snapshot: Snapshot


def sort_snapshot(snapshot: Snapshot) -> Snapshot:
    """Return the snapshot in canonical order: sorted by name."""
    return Snapshot(
        services=tuple(sorted(snapshot.services, key=lambda s: s.name)),
        routes=tuple(sorted(snapshot.routes, key=lambda r: r.name)),
        limits=snapshot.limits,
        organisations=tuple(
            sorted(snapshot.organisations, key=lambda o: o.name)
        ),
    )
