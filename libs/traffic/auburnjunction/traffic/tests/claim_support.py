"""Claim stores, calls and faulty tables for testing claims."""

import random

import curio

from auburnjunction.model.priorities import ClaimMode
from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import (
    UnavailableError,
    UnknownOutcomeError,
)
from auburnjunction.traffic.admissions import ClaimSettings
from auburnjunction.traffic.calls import (
    TrafficError,
)
from auburnjunction.traffic.claims import ClaimStore
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.tests.owner_support import (
    CLOCK,
    make_call,
)

REQUIRED = ClaimMode.REQUIRED
BEST_EFFORT = ClaimMode.BEST_EFFORT
KEY_COUNT = 25


async def try_claim(store, call):
    """Return the claim of a call or the error that refused it."""
    try:
        return await store.acquire(call)
    except TrafficError as exc:
        return exc


class FaultyTable(MemoryTable):
    """Table with random faults from a seeded generator."""

    def __init__(self, seed):
        super().__init__()
        self._random = random.Random(seed)

    async def get(self, key, timeout_s):
        await self._inject_fault(UnavailableError("down"))
        return await super().get(key, timeout_s)

    async def put_if(self, key, value, expected_version, timeout_s):
        await self._inject_fault(UnavailableError("down"))
        row = await super().put_if(key, value, expected_version, timeout_s)
        await self._inject_fault(UnknownOutcomeError("lost"))
        return row

    async def _inject_fault(self, error):
        await curio.sleep(self._random.random() * 0.002)
        if self._random.random() < 0.1:
            raise error


def make_store(table, **options):
    options.setdefault("retry_delay_s", 0.0)
    cfg = ClaimSettings(**options)
    return ClaimStore(cfg, table, CLOCK, OwnerMetrics())


def make_claimed_call(name, claims=REQUIRED, key="key-1", body=b"tins"):
    return make_call(name, repeatable=False, claims=claims, key=key, body=body)


class SlowTable(MemoryTable):
    """Table whose next writes take effect but answer after the timeout."""

    def __init__(self, slow_writes):
        super().__init__()
        self._slow_writes = slow_writes

    async def put_if(self, key, value, expected_version, timeout_s):
        row = await super().put_if(key, value, expected_version, timeout_s)
        if self._slow_writes:
            self._slow_writes -= 1
            self.available = False
            await curio.sleep(10)
        return row
