"""Claims while the table is unavailable, slow or loses answers."""

import curio
import pytest

from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import (
    UnknownOutcomeError,
)
from auburnjunction.traffic.breakers import CircuitBreakerTable
from auburnjunction.traffic.calls import (
    Answer,
    NotRunError,
    UnknownRunError,
)
from auburnjunction.traffic.tests.claim_support import (
    BEST_EFFORT,
    REQUIRED,
    SlowTable,
    make_claimed_call,
    make_store,
    try_claim,
)
from auburnjunction.traffic.tests.owner_support import (
    CLOCK,
    make_owner,
    open_backend,
    try_call,
    wait_until,
)


def test_hung_table_blocks_one_call_at_a_time():
    async def main():
        table = MemoryTable()
        active, counts = set(), []

        async def hang(*_):
            task = await curio.current_task()
            active.add(task)
            counts.append(len(active))
            try:
                await curio.sleep(60)
            finally:
                active.remove(task)

        table.put_if = table.get = hang
        store = make_store(table, timeout_s=0.03)
        refused = await curio.spawn(
            try_claim, store, make_claimed_call("a", key="a")
        )
        assert isinstance(await refused.join(), NotRunError)
        await wait_until(lambda: not store.pending_writes)
        counts.clear()
        async with curio.TaskGroup() as group:
            for key in "bcdefg":
                call = make_claimed_call(key, key=key)
                await group.spawn(try_claim, store, call)
        assert max(counts) == 1
        assert all(isinstance(r, NotRunError) for r in group.results)

    curio.run(main)


@pytest.mark.parametrize("retry_delay_s", [0.0, 10.0])
def test_own_claim_is_recognized_after_lost_answers(retry_delay_s):
    async def main():
        table = MemoryTable()
        table.lost_answers = 2
        async with open_backend() as backend:
            store = make_store(table, retry_delay_s=retry_delay_s)
            owner = make_owner(backend.port, claims=store)
            await owner.run_call(make_claimed_call("a"))
            other = make_owner(backend.port, claims=make_store(table))
            await other.run_call(make_claimed_call("b"))
        assert backend.executed == ["a"]

    curio.run(main)


@pytest.mark.parametrize(
    ("claims", "runs"), [(REQUIRED, []), (BEST_EFFORT, ["a"])]
)
def test_calls_while_the_table_is_unavailable(claims, runs):
    async def main():
        table = MemoryTable()
        table.available = False
        async with open_backend() as backend:
            owner = make_owner(backend.port, 2, claims=make_store(table))
            backend.gate.clear()
            call = make_claimed_call("a", claims)
            first = await curio.spawn(try_call, owner, call)
            await wait_until(lambda: backend.executed == runs)
            concurrent = await try_call(owner, make_claimed_call("b", claims))
            await backend.gate.set()
            result = await first.join()
            after = await try_call(owner, make_claimed_call("c", claims))
        assert backend.executed == runs
        if claims is REQUIRED:
            for refused in (concurrent, result, after):
                assert isinstance(refused, NotRunError)
        else:
            assert isinstance(concurrent, UnknownRunError)
            assert after.response == result.response

    curio.run(main)


def test_release_whose_writes_are_lost_is_retried():
    async def main():
        table = MemoryTable()
        put_if = table.put_if

        async def lose(*_):
            raise UnknownOutcomeError("lost before it took effect")

        store, other = make_store(table), make_store(table)
        claim = await store.acquire(make_claimed_call("a"))
        table.put_if = lose
        await store.release(claim)
        table.put_if = put_if
        assert isinstance(
            await try_claim(other, make_claimed_call("b")), UnknownRunError
        )
        await store.retry_unrecorded()
        claim = await other.acquire(make_claimed_call("c"))
        assert claim.response is None

    curio.run(main)


@pytest.mark.parametrize("same_node", [True, False])
def test_refused_call_may_run_once_the_table_is_back(same_node):
    """A claim that was written before an outage is released after it."""

    async def main():
        table = SlowTable(slow_writes=1)
        async with open_backend() as backend:
            stores = [make_store(table, timeout_s=0.05) for _ in range(2)]
            owners = [make_owner(backend.port, claims=s) for s in stores]
            refused = await try_call(owners[0], make_claimed_call("a"))
            assert isinstance(refused, NotRunError)
            await stores[0].retry_unrecorded()
            table.available = True
            await stores[0].retry_unrecorded()
            other = owners[0 if same_node else 1]
            answer = await try_call(other, make_claimed_call("b"))
            assert isinstance(answer, Answer)
        assert backend.executed == ["b"]

    curio.run(main)


def test_timed_out_write_has_unknown_outcome():
    async def main():
        table = SlowTable(slow_writes=1)
        breaker_table = CircuitBreakerTable(table, CLOCK, 0.05, 0.0)
        with pytest.raises(UnknownOutcomeError):
            await breaker_table.put_if("key", b"value", 0)

    curio.run(main)
