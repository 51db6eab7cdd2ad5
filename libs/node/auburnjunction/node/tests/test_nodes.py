"""Tests of a complete node that runs in the test process."""

import curio
import orjson
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import bind_socket
from auburnjunction.node.checks import (
    ListenerError,
    PlatformSettingsError,
    check_platform,
)
from auburnjunction.node.settings import PORT_FIELDS, configure_node_settings
from auburnjunction.node.tests.support import (
    HOST,
    SETTINGS,
    announce,
    choose_ports,
    commit,
    forward,
    open_backend,
    open_test_node,
    send,
)

FIRST_PORT = 18_400
WAIT_S = 10.0
LEAVING_LIMIT_S = 3.0


async def wait_for(condition):
    """Wait until an async condition holds."""
    async with curio.timeout_after(WAIT_S):
        while not await condition():
            await curio.sleep(0.02)


async def read_ready(cfg):
    return await send(cfg.admin_port, "GET", "/ready")


async def is_ready(cfg):
    return (await read_ready(cfg)).status == 200


# Settings of deployments with uneven load.
UNEVEN_LOAD = {
    "routing": {
        "room_checks": True,
        "return_places": True,
        "uniform_timeouts": True,
    },
    "admission": {"separate_waits": True, "fair_shares": True},
}


@pytest.mark.parametrize("options", [{}, UNEVEN_LOAD])
def test_node_serves_once_a_configuration_is_in_force(options):
    async def main():
        async with (
            open_backend() as backend,
            open_test_node(FIRST_PORT, **options) as (cfg, _, platform),
        ):
            refused = await send(cfg.caller_port, "GET", "/boxes/1")
            assert refused.status == 503
            assert refused.header(b"auburn-outcome") == b"not-run"
            await commit(platform)
            await wait_for(lambda: is_ready(cfg))
            assert (await announce(cfg, backend.port)).status == 200

            async def is_served():
                response = await send(cfg.caller_port, "GET", "/boxes/1")
                return response.body == b"formula"

            await wait_for(is_served)
            answer = await send(cfg.caller_port, "GET", "/boxes/1")
            assert answer.header(b"auburn-outcome") == b"ok"
            head = await send(cfg.caller_port, "HEAD", "/boxes/1")
            assert (head.body, head.head_length) == (b"", len(b"formula"))
            head = await forward(cfg, b"HEAD")
            assert (head.body, head.head_length) == (b"", len(b"formula"))
            status = orjson.loads((await read_ready(cfg)).body)
            assert (status["revision"], status["instances"]) == (1, 1)
            metrics = (await send(cfg.admin_port, "GET", "/metrics")).body
            assert (b"auburn_return_places_total" in metrics) is bool(options)

    curio.run(main)


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/live", 200),
        ("GET", "/ready", 503),
        ("GET", "/metrics", 200),
        ("POST", "/live", 405),
        ("GET", "/nothing", 404),
        ("POST", "/announce", 400),
    ],
)
def test_administration_endpoints(method, target, status):
    async def main():
        async with open_test_node(FIRST_PORT) as (cfg, _, _):
            response = await send(cfg.admin_port, method, target)
            assert response.status == status
            assert response.body

    curio.run(main)


@pytest.mark.parametrize("state", ["leaving", "gone"])
def test_leaving_backend_server_gets_no_calls(state):
    async def main():
        async with (
            open_backend() as backend,
            open_test_node(FIRST_PORT) as (cfg, _, platform),
        ):
            await commit(platform)
            await wait_for(lambda: is_ready(cfg))
            await announce(cfg, backend.port)
            await announce(cfg, backend.port, state)
            response = await send(cfg.caller_port, "GET", "/boxes/1")
            assert response.status == 503
            assert response.header(b"auburn-outcome") == b"not-run"

    curio.run(main)


def test_drained_node_has_no_calls_in_flight_and_refuses_new_ones():
    async def main():
        async with open_test_node(FIRST_PORT) as (cfg, node, _):
            assert await node.drain() == 0
            refused = await send(cfg.caller_port, "GET", "/boxes/1")
            assert refused.header(b"auburn-outcome") == b"not-run"

    curio.run(main)


def test_draining_node_finishes_calls_and_refuses_new_ones():
    """A local caller's call in flight must not hold off the refusals.

    Its backend server must not stay open to calls of other nodes meanwhile.
    """

    async def main():
        started, finish = curio.Event(), curio.Event()

        async def answer_after_event(request):
            if request.target == b"/boxes/1":
                await started.set()
                await finish.wait()
            return HttpResponse(200, [], b"whole")

        async with (
            open_backend(answer_after_event) as backend,
            open_test_node(FIRST_PORT) as (cfg, node, platform),
        ):
            await commit(platform)
            await wait_for(lambda: is_ready(cfg))
            await announce(cfg, backend.port)
            call = await curio.spawn(send, cfg.caller_port, "GET", "/boxes/1")
            await started.wait()
            drain = await curio.spawn(node.drain)

            async def is_refused():
                response = await forward(cfg)
                return response.header(b"auburn-error") == b"draining"

            async with curio.timeout_after(LEAVING_LIMIT_S):
                await wait_for(is_refused)
            assert (await read_ready(cfg)).status == 503
            await finish.set()
            assert (await call.join()).body == b"whole"
            assert await drain.join() == 0

    curio.run(main)


def test_pipelined_calls_overlap_and_a_caller_that_leaves_cancels_them():
    """The second call reaches its backend server beside the first."""

    async def main():
        started, cancelled = [], []

        async def hold(request):
            started.append(request.target)
            try:
                await curio.sleep(WAIT_S)
            except curio.CancelledError:
                cancelled.append(request.target)
                raise

        async with (
            open_backend(hold) as backend,
            open_test_node(FIRST_PORT) as (cfg, _, platform),
        ):
            await commit(platform)
            await wait_for(lambda: is_ready(cfg))
            await announce(cfg, backend.port)
            sock = await curio.open_connection(HOST, cfg.caller_port)
            request = b"POST /boxes/%d HTTP/1.1\r\nhost: t\r\n\r\n"
            await sock.sendall(request % 1)
            await wait_for(lambda: has_length(started, 1))
            await sock.sendall(request % 2)
            await wait_for(lambda: has_length(started, 2))
            metrics = await send(cfg.admin_port, "GET", "/metrics")
            assert b"auburn_pipelined_requests_total" in metrics.body
            await sock.close()
            await wait_for(lambda: has_length(cancelled, 2))

    curio.run(main)


async def has_length(items, length):
    return len(items) == length


@pytest.mark.parametrize("name", list(choose_ports(0)))
def test_port_in_use_is_reported(name):
    async def main():
        port = choose_ports(FIRST_PORT)[name]
        sock = bind_socket(HOST, port)
        try:
            with pytest.raises(AddressInUseError, match=str(port)):
                async with open_test_node(FIRST_PORT):
                    pass
        finally:
            await sock.close()

    curio.run(main)


@pytest.mark.parametrize("name", PORT_FIELDS)
def test_listener_error_names_the_field(name):
    ports = choose_ports(FIRST_PORT)
    cfg = configure_node_settings({**SETTINGS, **ports})
    error = AddressInUseError(HOST, ports[name], "is in use")
    message = ListenerError(cfg, error).message
    assert f"settings field {name}: " in message
    assert "set another port" in message


def test_unreachable_platform_names_the_field():
    cfg = configure_node_settings(SETTINGS)
    with pytest.raises(PlatformSettingsError, match="table_address"):
        curio.run(check_platform, cfg, SystemClock())
