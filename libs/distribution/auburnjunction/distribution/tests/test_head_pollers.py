"""Tests of the polls of a head reader, with a source that fails at will."""

import random

import attrs
import curio

from auburnjunction.base.clocks import SystemClock
from auburnjunction.distribution.distributors import open_distribution
from auburnjunction.distribution.head_pollers import JITTER_SHARE
from auburnjunction.distribution.holders import SnapshotHolder
from auburnjunction.distribution.tests.support import (
    FAST_SETTINGS,
    Directory,
    FakeNode,
    wait_until,
)
from auburnjunction.http.clients import Address
from auburnjunction.model.snapshots import NO_REVISION
from auburnjunction.storage.tables import UnavailableError

READ_WAIT_S = 0.1


@attrs.define
class RecordingSource:
    """Source without a configuration that records the waits of its reads."""

    waits_s: list[float] = attrs.field(factory=list)
    checks: int = 0
    fails: bool = False

    async def check(self, timeout_s):
        self.checks += 1
        if self.fails:
            raise UnavailableError("the source fails")

    async def read_mark(self, held, wait_s):
        self.waits_s.append(wait_s)
        await curio.sleep(wait_s)
        if self.fails:
            raise UnavailableError("the source fails")
        return NO_REVISION


def run_reader(test):
    """Run a test with the source that a single node polls."""

    async def main():
        source = RecordingSource()
        directory = Directory()
        directory.nodes = [FakeNode("n", "dc0", Address("n", 1))]
        cfg = attrs.evolve(FAST_SETTINGS, read_wait_s=READ_WAIT_S)
        async with (
            curio.timeout_after(10),
            open_distribution(
                cfg,
                "n",
                "dc0",
                SnapshotHolder(),
                directory,
                source,
                SystemClock(),
                None,
                random.Random(1),
            ) as distributor,
        ):
            await distributor.start_up()
            await wait_until(lambda: any(source.waits_s))
            await test(source)

    curio.run(main)


# Guards against a reader that detects late that the platform responds again:
# a read sent shortly before that would wait as long as a long poll.
def test_reads_after_a_failure_do_not_wait_for_a_change():
    async def test(source):
        source.fails = True
        count = len(source.waits_s)
        await wait_until(
            lambda: len(source.waits_s) - count + source.checks >= 5
        )
        assert not any(source.waits_s[count + 1 :])
        source.fails = False
        count = len(source.waits_s)
        await wait_until(lambda: any(source.waits_s[count:]))
        assert source.waits_s[count] == 0.0

    run_reader(test)


# Guards against readers whose polls end at the same time, so that the silent
# loss of all their connections is detected equally late by each.
def test_waits_of_polls_are_jittered():
    async def test(source):
        await wait_until(lambda: len(source.waits_s) >= 12)
        waits_s = [wait_s for wait_s in source.waits_s if wait_s]
        assert len(set(waits_s)) == len(waits_s)
        for wait_s in waits_s:
            assert abs(wait_s / READ_WAIT_S - 1) <= JITTER_SHARE

    run_reader(test)
