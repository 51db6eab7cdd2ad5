"""Tests of the commit log, with lost responses and outages."""

import curio
import pytest

from auburnjunction.base.clocks import ManualClock
from auburnjunction.distribution.commits import (
    MAX_CONTENT_BYTES,
    CommitLog,
)
from auburnjunction.distribution.errors import (
    CommitConflictError,
    CommitUnavailableError,
    CommitUnknownError,
    InvalidCommitError,
    RevisionNotFoundError,
)
from auburnjunction.distribution.tests.support import make_snapshot
from auburnjunction.model.routes import Route
from auburnjunction.model.services import Service
from auburnjunction.model.snapshots import Snapshot
from auburnjunction.storage.fakes import MemoryObjectStore, MemoryTable


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def log(table):
    return CommitLog(table, MemoryObjectStore(), ManualClock())


async def apply(log, operation_id, base, value):
    return await log.apply(
        operation_id, base, make_snapshot(value), "ada", "", 1.0
    )


def test_apply_get_history_and_rollback(log):
    async def main():
        for revision in range(1, 6):
            await apply(log, f"op{revision}", revision - 1, revision)
        earlier = await log.get(2)
        assert earlier.snapshot == make_snapshot(2)
        await log.rollback("back", 5, 2, "ada", "", 1.0)
        head = await log.get(0)
        assert head.commit.revision == 6
        assert head.snapshot == make_snapshot(2)
        history = await log.history(0, 3)
        assert [commit.revision for commit in history] == [6, 5, 4]
        history = await log.history(3, 10)
        assert [commit.revision for commit in history] == [3, 2, 1]
        assert (await log.find_operation("op4")).revision == 4
        with pytest.raises(RevisionNotFoundError):
            await log.get(9)

    curio.run(main)


def test_lost_response_is_resolved_by_operation_id(log, table):
    async def main():
        table.lost_answers = 1
        commit = await apply(log, "one", 0, 1)
        assert commit.revision == 1
        again = await apply(log, "one", 0, 1)
        assert again == commit
        assert (await log.read_head()) == commit

    curio.run(main)


def test_second_change_on_the_same_base_conflicts(log):
    async def main():
        await apply(log, "one", 0, 1)
        with pytest.raises(CommitConflictError) as caught:
            await apply(log, "two", 0, 2)
        assert caught.value.base_revision == 0
        assert caught.value.head_revision == 1

    curio.run(main)


@pytest.mark.parametrize(
    ("operation_id", "snapshot"),
    [
        ("a/b", make_snapshot(1)),
        ("", make_snapshot(1)),
        ("ok", Snapshot((), (Route("r", "/r", "missing"),))),
        ("ok", Snapshot((Service("s", ("x" * MAX_CONTENT_BYTES,)),))),
    ],
)
def test_invalid_changes_are_rejected(log, table, operation_id, snapshot):
    async def main():
        with pytest.raises(InvalidCommitError):
            await log.apply(operation_id, 0, snapshot, "ada", "", 1.0)
        assert table.writes == 0

    curio.run(main)


def test_operation_id_reused_for_other_content_is_rejected(log):
    async def main():
        await apply(log, "one", 0, 1)
        with pytest.raises(InvalidCommitError):
            await apply(log, "one", 1, 2)

    curio.run(main)


def test_outage_is_unavailable_and_lost_response_is_unknown(log, table):
    async def main():
        table.available = False
        with pytest.raises(CommitUnavailableError):
            await apply(log, "one", 0, 1)
        table.available = True
        put_if = table.put_if

        async def put_and_lose_response(*args):
            table.lost_answers = 1
            try:
                return await put_if(*args)
            finally:
                table.available = False

        table.put_if = put_and_lose_response
        with pytest.raises(CommitUnknownError) as caught:
            await apply(log, "one", 0, 1)
        assert caught.value.operation_id == "one"
        table.available = True
        assert (await log.find_operation("one")).revision == 1

    curio.run(main)
