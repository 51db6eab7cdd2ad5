"""A node whose backend server makes nested calls, over loopback."""

import random

import attrs
import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.base.metrics import MetricRegistry
from auburnjunction.http.messages import HttpRequest, HttpResponse
from auburnjunction.membership.announcements import Announcement
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.balancers import NodeLocation
from auburnjunction.traffic.call_forwarders import make_pools
from auburnjunction.traffic.entries import make_entry_handler
from auburnjunction.traffic.headers import HeaderNames
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.nested_calls import NestedCallTracker
from auburnjunction.traffic.owners import OwnerRegistry
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.owner_support import HOST, open_backend
from auburnjunction.traffic.tests.routing_support import (
    FixedSource,
    make_instance,
)

NAMES = HeaderNames(
    request_id=b"x-request-id",
    parent_id_separator=".",
    preserves_request_id=True,
)
SNAPSHOT = Snapshot(
    (Service("back"), Service("front")),
    (Route("calls", "/calls", "front"), Route("called", "/called", "back")),
)


def request(path, request_id):
    headers = [(b"host", b"t"), (b"x-request-id", request_id.encode())]
    return HttpRequest(b"GET", path.encode(), headers, b"")


def make_node(port, settings):
    """Return the entry handler of a node with one instance of front."""
    clock = SystemClock()
    tracker = NestedCallTracker() if settings.room_checks else None
    owners = OwnerRegistry(
        AdmissionSettings(),
        clock,
        OwnerMetrics(),
        names=NAMES,
        nested_calls=tracker,
    )
    owners.update(
        Announcement("f1", "front", f"{HOST}:{port}", "ready", slots=6)
    )
    front = attrs.evolve(make_instance("f1", node="n"), service="front")
    source = FixedSource(
        RevisedSnapshot(RevisionMark(1, b"d"), SNAPSHOT), [front]
    )
    return make_entry_handler(
        NodeLocation("n", "dc-1"),
        settings,
        clock,
        source,
        source,
        source,
        owners,
        make_pools(settings, clock),
        MetricRegistry(),
        random.Random(1),
        NAMES,
        find_parent=owners.find_parent,
        nested_calls=tracker,
    )


@pytest.mark.parametrize("room_checks", [False, True])
def test_requests_stop_once_their_nested_calls_are_refused(room_checks):
    """Guards against slots spent on requests that are bound to fail."""

    async def main():
        async with open_backend() as backend:
            settings = RoutingSettings(
                access_log_share=0, error_log_share=0, room_checks=room_checks
            )
            entry = make_node(backend.port, settings)
            # There is no instance of back, so that it refuses every call.

            async def respond(received):
                request_id = received.header(b"x-request-id").decode()
                for number in (1, 2):
                    nested = request("/called", f"{request_id}.{number}")
                    answer = await entry.handle(nested)
                    if answer.status != 200:
                        return HttpResponse(500)
                return HttpResponse(200)

            backend.respond = respond
            codes = []
            for number in range(60):
                answer = await entry.handle(request("/calls", f"r{number}"))
                codes.append(answer.header(b"auburn-error"))
                assert answer.status in (500, 503)
                await curio.sleep(0.01)
            assert (b"no-room" in codes) is room_checks
            # Some are still tried, to find that there is room again.
            assert None in codes[20:]

    curio.run(main)
