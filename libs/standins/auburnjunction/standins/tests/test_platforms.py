"""Tests of the platform clients against the platform stand-in."""

import hashlib

import curio
import pytest

from auburnjunction.base.clocks import SystemClock
from auburnjunction.standins.tests.support import TIMEOUT_S, open_platform
from auburnjunction.storage.resolvers import insert_once
from auburnjunction.storage.tables import (
    UnavailableError,
    UnknownOutcomeError,
    VersionConflictError,
)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("plain", b"v"),
        ("a/b c?&%", b"\x00\xff"),
        ("ä/ö", b""),
        ("k", b"x" * 9),
    ],
)
def test_row_is_stored_with_its_version(key, value):
    async def main():
        async with open_platform() as platform:
            table = platform.table
            assert await table.get(key, TIMEOUT_S) is None
            first = await table.insert_if_absent(key, value, TIMEOUT_S)
            assert first.version == 1
            assert await table.get(key, TIMEOUT_S) == first
            second = await table.put_if(key, b"new", 1, TIMEOUT_S)
            assert second.version == 2
            with pytest.raises(VersionConflictError) as caught:
                await table.put_if(key, b"old", 1, TIMEOUT_S)
            assert caught.value.current == second
            with pytest.raises(VersionConflictError) as caught:
                await table.put_if("none", b"", 4, TIMEOUT_S)
            assert caught.value.current is None

    curio.run(main)


@pytest.mark.parametrize(
    ("prefix", "after", "limit", "keys"),
    [
        ("n/", "", 10, ["n/1", "n/2", "n/3"]),
        ("n/", "n/1", 1, ["n/2"]),
        ("", "n/3", 10, ["z"]),
        ("q", "", 10, []),
    ],
)
def test_scan_returns_rows_in_key_order(prefix, after, limit, keys):
    async def main():
        async with open_platform() as platform:
            for key in ("n/2", "n/1", "z", "n/3", "a"):
                await platform.table.insert_if_absent(key, b"\xff", TIMEOUT_S)
            rows = await platform.table.scan(prefix, after, limit, TIMEOUT_S)
            assert [row.key for row in rows] == keys
            assert all(row.value == b"\xff" for row in rows)

    curio.run(main)


def test_object_is_stored_by_its_digest():
    async def main():
        content = b"content"
        digest = hashlib.sha256(content).digest()
        async with open_platform() as platform:
            objects = platform.objects
            assert await objects.get(digest, TIMEOUT_S) is None
            await objects.put(digest, content, TIMEOUT_S)
            assert await objects.get(digest, TIMEOUT_S) == content
            with pytest.raises(UnavailableError):
                await objects.put(bytes(32), content, TIMEOUT_S)

    curio.run(main)


@pytest.mark.parametrize(
    ("faults", "error", "applied"),
    [
        ({"down": True}, UnavailableError, False),
        ({"writes_per_s": 0}, UnavailableError, False),
        ({"silent": True}, UnknownOutcomeError, False),
        ({"lost_answers": 1}, UnknownOutcomeError, True),
        ({"lost_share": 1.0}, UnknownOutcomeError, True),
    ],
)
def test_write_error_shows_whether_outcome_is_known(faults, error, applied):
    async def main():
        async with open_platform(**faults) as platform:
            with pytest.raises(error):
                await platform.table.put_if("k", b"v", 0, 0.2)
            platform.set_faults()
            row = await platform.table.get("k", TIMEOUT_S)
            assert (row is not None) is applied

    curio.run(main)


@pytest.mark.parametrize(
    "faults",
    [{"down": True}, {"reads_per_s": 0}, {"silent": True}],
)
def test_failed_read_raises_unavailable(faults):
    async def main():
        async with open_platform(**faults) as platform:
            with pytest.raises(UnavailableError):
                await platform.table.get("k", 0.2)

    curio.run(main)


def test_read_succeeds_despite_silent_connection():
    async def main():
        async with open_platform() as platform:
            await platform.table.insert_if_absent("k", b"v", TIMEOUT_S)
            platform.set_faults(silent=True)
            task = await curio.spawn(platform.table.get, "k", 1.0)
            await curio.sleep(0.1)
            platform.set_faults()
            row = await task.join()
            assert row.value == b"v"

    curio.run(main)


def test_slow_platform_gets_one_attempt_with_full_timeout():
    async def main():
        async with open_platform(delay_ms=300) as platform:
            table = platform.table
            with pytest.raises(UnavailableError):
                await table.get("k", 0.5)
            for _ in range(2):
                assert await table.get("k", 0.5) is None
            platform.set_faults()
            for _ in range(2):
                assert await table.get("k", 0.5) is None

    curio.run(main)


def test_concurrent_inserts_with_lost_answers_have_one_winner():
    results = []

    async def insert(table, value):
        try:
            row = await insert_once(
                table, SystemClock(), "claim", value, TIMEOUT_S
            )
        except VersionConflictError as exc:
            results.append((value, exc.current.value))
        else:
            results.append((value, row.value))

    async def main():
        async with open_platform(lost_share=0.5, seed=7) as platform:
            async with curio.TaskGroup() as group:
                for index in range(8):
                    await group.spawn(insert, platform.table, b"%d" % index)
            assert platform.server.stats.lost_answers >= 1

    curio.run(main)
    assert len({winner for _, winner in results}) == 1
    assert sum(value == winner for value, winner in results) == 1
