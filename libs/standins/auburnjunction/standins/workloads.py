"""Deployment sizes and configurations of the two user organisations."""

import attrs

from auburnjunction.model.priorities import ClaimMode, Priority
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot, sort_snapshot


@attrs.frozen
class ServiceSize:
    """Number of a service's instances over all data centres."""

    service: str
    instances: int


@attrs.frozen
class Workload:
    """One organisation's data centres, services, sizes, delays and routes."""

    name: str
    data_centres: tuple[str, ...]
    link_delay_ms: float
    caller_delay_ms: float
    slots: int
    connections: int
    sizes: tuple[ServiceSize, ...]
    snapshot: Snapshot


def make_route(
    name: str, service: str, priority: Priority, **options
) -> Route:
    """Return a route whose path prefix is its name."""
    return Route(
        name=name,
        path_prefix=f"/{name}",
        service=service,
        priority=priority,
        **options,
    )


def make_claimed_route(name: str, service: str, priority: Priority) -> Route:
    """Return a route that requires a claim, so that no request runs twice."""
    return make_route(
        name,
        service,
        priority,
        methods=("POST",),
        claims=ClaimMode.REQUIRED,
        timeout_ms=4000,
    )


def make_read_route(name: str, service: str, priority: Priority) -> Route:
    """Return a route for reads, which may be retried."""
    return make_route(
        name,
        service,
        priority,
        methods=("GET",),
        repeatable=True,
        timeout_ms=2000,
    )


TUTTIPULLO = Workload(
    name="tuttipullo",
    data_centres=("fi-south-1", "fi-south-2", "fi-south-3"),
    link_delay_ms=5.0,
    caller_delay_ms=3.0,
    slots=6,
    connections=130,
    sizes=(
        ServiceSize("delivery-calendar", 4),
        ServiceSize("subscription-box", 3),
        ServiceSize("member-billing", 3),
        ServiceSize("order-records", 3),
    ),
    snapshot=sort_snapshot(
        Snapshot(
            services=(
                Service("delivery-calendar", ("calendar",)),
                Service("subscription-box", ("box",)),
                Service("member-billing", ("payment",)),
                Service("order-records", ("order",)),
            ),
            routes=(
                make_claimed_route(
                    "payments", "member-billing", Priority.CRITICAL
                ),
                make_claimed_route(
                    "boxes", "subscription-box", Priority.CRITICAL
                ),
                make_read_route(
                    "calendar", "delivery-calendar", Priority.HIGH
                ),
                make_claimed_route("orders", "order-records", Priority.NORMAL),
                make_read_route("records", "order-records", Priority.LOW),
            ),
        )
    ),
)

KARAFKA = Workload(
    name="karafka",
    data_centres=("pl-centrum-1", "pl-centrum-2", "pl-centrum-3"),
    link_delay_ms=4.0,
    caller_delay_ms=1.0,
    slots=18,
    connections=120,
    sizes=(
        ServiceSize("pattern-preview", 3),
        ServiceSize("order-handling", 3),
        ServiceSize("blank-stock", 3),
        ServiceSize("design-catalogue", 3),
    ),
    snapshot=sort_snapshot(
        Snapshot(
            services=(
                Service("pattern-preview", ("preview",)),
                Service("order-handling", ("order",)),
                Service("blank-stock", ("stock",)),
                Service("design-catalogue", ("catalogue",)),
            ),
            routes=(
                make_claimed_route(
                    "orders", "order-handling", Priority.CRITICAL
                ),
                make_claimed_route(
                    "transfers", "blank-stock", Priority.CRITICAL
                ),
                make_read_route("previews", "pattern-preview", Priority.HIGH),
                make_read_route("stock", "blank-stock", Priority.NORMAL),
                make_read_route("catalogue", "design-catalogue", Priority.LOW),
            ),
        )
    ),
)

WORKLOADS = {workload.name: workload for workload in (TUTTIPULLO, KARAFKA)}
