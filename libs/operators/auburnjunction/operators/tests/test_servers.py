"""Tests of the administration API over loopback."""

import asyncio

import curio
import pytest

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import Address
from auburnjunction.http.errors import AddressInUseError
from auburnjunction.model.routes import Route
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.operators.clients import OperatorsClient
from auburnjunction.operators.errors import OperatorsError
from auburnjunction.operators.servers import (
    GrpcThread,
    bind_listener,
    open_operators_server,
)
from auburnjunction.operators.tests.support import (
    Administration,
    make_snapshot,
    run_with_server,
)
from auburnjunction.schema import control_pb2 as pb


def test_every_call_returns_its_response():
    async def check(administration):
        client = OperatorsClient([administration.address], 5.0)
        assert await client.validate(make_snapshot()) == []
        commit = await client.apply("one", 0, make_snapshot(1), "ada", "c")
        assert commit.revision == 1
        await client.apply("two", 1, make_snapshot(2))
        rolled_back = await client.rollback("three", 2, 1)
        assert rolled_back.revision == 3
        assert (await client.get()).snapshot == make_snapshot(1)
        assert [c.revision for c in await client.history()] == [3, 2, 1]
        assert await client.find_operation("one") == commit
        assert await client.find_operation("none") is None
        nodes = await client.list_nodes()
        assert nodes[0].revision == 3
        drained = await client.drain("billing-1", True)
        assert drained.state == pb.INSTANCE_STATE_LEAVING

    run_with_server(check)


async def fail_conflict(client, administration):
    await client.apply("one", 0, make_snapshot(1))
    await client.apply("two", 0, make_snapshot(2))


async def fail_invalid(client, administration):
    await client.apply("one", 0, Snapshot((), (Route("r", "/", "gone"),)))


async def fail_unavailable(client, administration):
    administration.table.available = False
    await client.apply("one", 0, make_snapshot(1))


async def fail_missing(client, administration):
    await client.drain("billing-9", True)


@pytest.mark.parametrize(
    ("fail", "code"),
    [
        (fail_conflict, ErrorCode.CONFLICT),
        (fail_invalid, ErrorCode.INVALID),
        (fail_unavailable, ErrorCode.UNAVAILABLE),
        (fail_missing, ErrorCode.NOT_FOUND),
    ],
)
def test_errors_keep_their_code_and_detail(fail, code):
    async def check(administration):
        client = OperatorsClient([administration.address], 5.0)
        with pytest.raises(OperatorsError) as caught:
            await fail(client, administration)
        assert caught.value.code is code
        detail = caught.value.detail
        if code is ErrorCode.CONFLICT:
            assert (detail.base_revision, detail.head_revision) == (0, 1)
            assert detail.operation_id == "two"
        if code is ErrorCode.INVALID:
            assert detail.problems[0].field == "routes.r.service"

    run_with_server(check)


def test_next_node_is_called_when_one_is_unreachable():
    async def check(administration):
        sock = bind_listener("127.0.0.1", 0)
        closed = Address("127.0.0.1", sock.getsockname()[1])
        sock.close()
        client = OperatorsClient([closed, administration.address], 5.0)
        assert (await client.apply("one", 0, make_snapshot())).revision == 1

    run_with_server(check)


@pytest.mark.parametrize(
    ("next_is_up", "code"),
    [(True, None), (False, ErrorCode.UNKNOWN)],
)
def test_unresponsive_node_leaves_write_outcome_unknown(next_is_up, code):
    """A node that accepts a call and never responds may have applied it."""

    async def check(administration):
        unresponsive = bind_listener("127.0.0.1", 0)
        closed = bind_listener("127.0.0.1", 0)
        closed_port = closed.getsockname()[1]
        closed.close()
        addresses = [
            Address("127.0.0.1", unresponsive.getsockname()[1]),
            administration.address
            if next_is_up
            else Address("127.0.0.1", closed_port),
        ]
        client = OperatorsClient(addresses, 0.5)
        try:
            commit = await client.apply("one", 0, make_snapshot())
            assert code is None
            assert commit.revision == 1
        except OperatorsError as exc:
            assert exc.code is code
            assert exc.detail.operation_id == "one"
        unresponsive.close()

    run_with_server(check)


def test_stop_completes_the_call_in_flight():
    async def main():
        administration = Administration()
        started, release = curio.Event(), curio.Event()
        get = administration.table.get

        async def get_slowly(key, timeout_s):
            await started.set()
            await release.wait()
            return await get(key, timeout_s)

        administration.table.get = get_slowly
        async with administration.open():
            client = OperatorsClient([administration.address], 5.0)
            call = client.apply("one", 0, make_snapshot())
            task = await curio.spawn(curio.run_in_thread, asyncio.run, call)
            await started.wait()
            await curio.spawn(release_later, release, daemon=True)
        commit = await task.join()
        assert commit.revision == 1

    curio.run(main)


async def release_later(release):
    await curio.sleep(0.2)
    await release.set()


def test_address_in_use_is_reported():
    async def main():
        sock = bind_listener("127.0.0.1", 0)
        port = sock.getsockname()[1]
        with pytest.raises(AddressInUseError, match="in use"):
            async with open_operators_server("127.0.0.1", port, None):
                pass
        sock.close()

    curio.run(main)


def test_error_after_the_start_is_logged(caplog):
    class FailingThread(GrpcThread):
        async def _serve(self):
            self._started.set_result(None)
            raise RuntimeError("loop broke")

    thread = FailingThread(None, None)
    thread.start()
    thread._thread.join()
    assert "the operators' server has ended" in caplog.text
    assert "loop broke" in caplog.text
