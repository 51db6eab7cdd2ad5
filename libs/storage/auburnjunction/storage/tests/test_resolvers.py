"""Resolution of writes whose responses were lost."""

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.clocks import ManualClock
from auburnjunction.storage.resolvers import insert_once, put_once
from auburnjunction.storage.tables import (
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)
from auburnjunction.storage.tests.support import ScriptedTable

FAULTS = st.lists(st.sampled_from(["ok", "down", "lost", "late"]), max_size=8)


@pytest.mark.parametrize(
    ("faults", "error"),
    [
        ([], None),
        (["lost"], None),
        (["late"], None),
        (["lost", "down"], None),
        (["late", "down", "ok", "lost"], None),
        (["down"], UnavailableError),
        (["lost"] + ["down"] * 20, UnknownOutcomeError),
    ],
)
def test_insert_resolves_lost_responses(faults, error):
    async def main():
        table = ScriptedTable(faults)
        if error is None:
            row = await insert_once(table, ManualClock(), "k", b"mine", 5)
            assert (row.value, row.version) == (b"mine", 1)
            return
        with pytest.raises(error):
            await insert_once(table, ManualClock(), "k", b"mine", 5)

    curio.run(main)


@pytest.mark.parametrize("faults", [[], ["lost"], ["late"]])
def test_row_of_another_writer_is_a_conflict(faults):
    async def main():
        table = ScriptedTable()
        await table.put_if("k", b"theirs", 0, 1)
        table.faults = list(faults)
        with pytest.raises(VersionConflictError) as caught:
            await insert_once(table, ManualClock(), "k", b"mine", 5)
        assert caught.value.current.value == b"theirs"

    curio.run(main)


def test_replaced_row_leaves_outcome_unknown():
    async def main():
        table = ScriptedTable(["lost", "down"])
        task = await curio.spawn(
            put_once, table, ManualClock(), "k", b"mine", 0, 5
        )
        while table.writes == 0:
            await curio.sleep(0)
        await table.put_if("k", b"theirs", 1, 1)
        with pytest.raises(curio.TaskError) as caught:
            await task.join()
        assert isinstance(caught.value.__cause__, UnknownOutcomeError)

    curio.run(main)


async def insert_and_record(table, index, results):
    try:
        await insert_once(table, ManualClock(), "k", b"%d" % index, 5)
    except PlatformError as exc:
        results[index] = exc
    else:
        results[index] = None


def check_results(row, results):
    """Check that each insert's result agrees with the row."""
    assert sum(exc is None for exc in results.values()) <= 1
    for index, exc in results.items():
        written = row is not None and row.value == b"%d" % index
        if exc is None:
            assert written
        elif not isinstance(exc, UnknownOutcomeError):
            assert not written


@given(st.lists(FAULTS, min_size=2, max_size=4))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_at_most_one_insert_succeeds(scripts):
    async def main():
        table = ScriptedTable(sum(scripts, []))
        results = {}
        async with curio.TaskGroup() as group:
            for index in range(len(scripts)):
                await group.spawn(insert_and_record, table, index, results)
        table.faults.clear()
        check_results(await table.get("k", 1), results)

    curio.run(main)


async def increment_counter(table, writer, results):
    """Increment a counter three times by compare-and-set."""
    for step in range(3):
        row = table.peek("counter")
        count = int(row.value.split()[0]) if row else 0
        version = row.version if row else 0
        value = b"%d by %d-%d" % (count + 1, writer, step)
        try:
            await put_once(table, ManualClock(), "counter", value, version, 5)
        except PlatformError as exc:
            results.append(exc)
        else:
            results.append(None)


@given(st.lists(FAULTS, min_size=2, max_size=3))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_acknowledged_write_is_applied_once(scripts):
    async def main():
        table = ScriptedTable(sum(scripts, []))
        results = []
        async with curio.TaskGroup() as group:
            for writer in range(len(scripts)):
                await group.spawn(increment_counter, table, writer, results)
        table.faults.clear()
        row = await table.get("counter", 1)
        count = int(row.value.split()[0]) if row else 0
        done = sum(result is None for result in results)
        unknown = sum(isinstance(r, UnknownOutcomeError) for r in results)
        assert done <= count <= done + unknown
        assert count == (row.version if row else 0)

    curio.run(main)
