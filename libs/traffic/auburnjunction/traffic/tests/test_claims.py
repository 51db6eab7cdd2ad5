"""At most one run of a request with an idempotency key."""

import random
from collections import Counter

import curio
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.messages import HttpResponse
from auburnjunction.model.priorities import ClaimMode
from auburnjunction.model.services import Service
from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import (
    UnknownOutcomeError,
)
from auburnjunction.traffic import claims
from auburnjunction.traffic.calls import (
    Answer,
    NotRunError,
    TrafficError,
    UnknownRunError,
)
from auburnjunction.traffic.claim_caches import ClaimCache
from auburnjunction.traffic.claims import format_key
from auburnjunction.traffic.tests.claim_support import (
    BEST_EFFORT,
    KEY_COUNT,
    REQUIRED,
    FaultyTable,
    make_claimed_call,
    make_store,
)
from auburnjunction.traffic.tests.owner_support import (
    make_call,
    make_owner,
    open_backend,
    try_call,
    wait_until,
)


async def send_until_answered(owners, key, claims, results):
    """Retry on alternating nodes until an answer arrives."""
    for attempt in range(4):
        owner = owners[attempt % len(owners)]
        name = f"{key}/{id(owners)}/{attempt}"
        call = make_claimed_call(name, claims, key, key.encode())
        result = await try_call(owner, call)
        results.append((call, result))
        if isinstance(result, Answer):
            return


def make_faulty_respond(backend, seed):
    """Return a handler that sheds some requests and loses some answers."""
    source = random.Random(seed)

    async def respond(request):
        if source.random() < 0.2:
            return HttpResponse(503, [(b"auburn-shed", b"1")])
        response = await backend.handle(request)
        if source.random() < 0.1:
            await curio.sleep(1)
        return response

    return respond


async def record_history(seed, claims):
    """Return the backend server and the results of concurrent retries."""
    table = FaultyTable(seed)
    results = []
    service = Service("orders", attempt_timeout_ms=60)
    async with open_backend() as backend:
        backend.respond = make_faulty_respond(backend, seed)
        owners = [
            make_owner(
                backend.port, 6, service=service, claims=make_store(table)
            )
            for _ in range(2)
        ]
        async with curio.TaskGroup() as group:
            for number in range(KEY_COUNT):
                key = f"key-{number}"
                for order in (owners, owners[::-1]):
                    await group.spawn(
                        send_until_answered, list(order), key, claims, results
                    )
    return backend, results


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("claims", [REQUIRED, ClaimMode.NONE])
def test_concurrent_retries(seed, claims):
    """Claims prevent duplicate runs; without them, some requests run twice."""
    backend, results = curio.run(record_history, seed, claims)
    executed = set(backend.executed)
    for call, result in results:
        if isinstance(result, Answer):
            assert result.response.body == call.request.body
        if isinstance(result, NotRunError):
            assert call.request_id not in executed
    runs = Counter(request.body for request in backend.requests)
    assert (max(runs.values()) == 1) is (claims is REQUIRED)
    assert len(runs) > KEY_COUNT / 2


@pytest.mark.parametrize(
    ("same_node", "memory_bytes"), [(True, 10_000), (True, 0), (False, 10_000)]
)
def test_second_call_gets_the_recorded_answer(same_node, memory_bytes):
    async def main():
        table = MemoryTable()
        async with open_backend(status=201) as backend:
            stores = [
                make_store(table, memory_bytes=memory_bytes) for _ in range(2)
            ]
            owners = [make_owner(backend.port, claims=s) for s in stores]
            first = await owners[0].run_call(make_claimed_call("a"))
            other = owners[0 if same_node else 1]
            second = await other.run_call(make_claimed_call("b"))
            assert second.response == first.response
            changed = await try_call(
                other, make_claimed_call("c", body=b"more tins")
            )
            assert isinstance(changed, NotRunError)
            assert changed.code is ErrorCode.CONFLICT
        assert backend.executed == ["a"]

    curio.run(main)


def test_answer_too_large_to_keep_is_not_replayed():
    async def main():
        table = MemoryTable()
        async with open_backend() as backend:
            for name, outcome in (("a", Answer), ("b", UnknownRunError)):
                store = make_store(table, body_bytes=3)
                owner = make_owner(backend.port, claims=store)
                result = await try_call(owner, make_claimed_call(name))
                assert isinstance(result, outcome)
        assert backend.executed == ["a"]

    curio.run(main)


def test_call_that_did_not_run_may_be_claimed_again():
    async def main():
        table = MemoryTable()
        headers = [(b"auburn-shed", b"1")]
        async with open_backend() as backend:
            async with open_backend(status=503, headers=headers) as shedding:
                owner = make_owner(shedding.port, claims=make_store(table))
                refused = await try_call(owner, make_claimed_call("a"))
            assert isinstance(refused, NotRunError)
            other = make_owner(backend.port, claims=make_store(table))
            await other.run_call(make_claimed_call("b"))
        assert backend.executed == ["b"]

    curio.run(main)


def test_call_cancelled_while_its_claim_is_written_releases_the_key():
    async def main():
        table = FaultyTable(0)
        entered = curio.Event()
        resume = curio.Event()

        async def pause(error):
            if isinstance(error, UnknownOutcomeError):
                await entered.set()
                await resume.wait()

        table._inject_fault = pause
        store = make_store(table)
        async with open_backend() as backend:
            owner = make_owner(backend.port, claims=store)
            task = await curio.spawn(owner.run_call, make_claimed_call("a"))
            await entered.wait()
            await task.cancel()
            await resume.set()
            await wait_until(lambda: not store.pending_writes)
            assert owner.running == 0
            await owner.run_call(make_claimed_call("b"))
        assert backend.executed == ["b"]

    curio.run(main)


def test_queued_calls_with_the_same_key_run_once():
    async def main():
        table = MemoryTable()
        table.available = False
        async with open_backend() as backend:
            backend.gate.clear()
            owner = make_owner(backend.port, 2, claims=make_store(table))
            calls = [make_call("x"), make_call("y")]
            calls += [make_claimed_call(n, BEST_EFFORT) for n in "ab"]
            async with curio.TaskGroup() as group:
                for call in calls:
                    await group.spawn(try_call, owner, call)
                await wait_until(lambda: owner.waiting == 2)
                await backend.gate.set()
        assert len(set(backend.executed) & {"a", "b"}) == 1

    curio.run(main)


def test_same_key_of_two_services_does_not_collide():
    first, second = make_claimed_call("a"), make_claimed_call("b")
    second.service = "billing"
    assert format_key(first) != format_key(second)


class ClaimMachine(RuleBasedStateMachine):
    """Two nodes claim a few keys while the table fails."""

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        self.stores = [make_store(self.table) for _ in range(2)]
        self.held = []
        self.runs = Counter()

    @rule(lost=st.integers(0, 2), available=st.booleans())
    def set_faults(self, lost, available):
        self.table.lost_answers = lost
        self.table.available = available

    @rule(node=st.sampled_from([0, 1]), key=st.sampled_from("xyz"))
    def acquire(self, node, key):
        store = self.stores[node]
        try:
            claim = curio.run(store.acquire, make_claimed_call("a", key=key))
        except TrafficError:
            return
        if claim.response is None:
            self.held.append((store, claim))
        else:
            assert self.runs[claim.key] == 1
            assert claim.response.body == claim.key.encode()

    @precondition(lambda self: self.held)
    @rule(
        data=st.data(),
        end=st.sampled_from(["record", "keep_unknown", "release"]),
    )
    def finish(self, data, end):
        index = data.draw(st.integers(0, len(self.held) - 1))
        store, claim = self.held.pop(index)
        if end == "release":
            curio.run(store.release, claim)
            return
        self.runs[claim.key] += 1
        assert self.runs[claim.key] == 1
        if end == "keep_unknown":
            store.keep_unknown(claim)
        else:
            response = HttpResponse(200, [], claim.key.encode())
            curio.run(store.record, claim, response)


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)


def test_replaced_entry_no_longer_counts_in_the_cache():
    """A key that is released and claimed again must not push out others."""
    body = HttpResponse(200, [], b"x" * 1000)
    cache = ClaimCache(4000)
    cache.start("kept", b"f")
    cache.finish("kept", body)
    for _ in range(10):
        cache.start("again", b"f")
        cache.finish("again", body)
    assert cache.get("kept") is not None


def test_dropped_outcome_is_logged(monkeypatch, caplog):
    """Outcomes wait in memory while the table is down, up to a limit."""
    monkeypatch.setattr(claims, "MAX_UNRECORDED", 2)

    async def main():
        table = MemoryTable()
        store = make_store(table)
        for index in range(4):
            call = make_claimed_call(f"c{index}", key=f"k{index}")
            claim = await store.acquire(call)
            table.available = False
            await store.record(claim, HttpResponse(200))
            table.available = True
        assert len(store._unrecorded) == 2

    curio.run(main)
    dropped = [r for r in caplog.records if "dropped" in r.getMessage()]
    assert len(dropped) == 2


def test_outcomes_are_retried_by_two_tasks_at_one_time():
    """A node that drains sweeps beside its periodic task."""
    written = []

    async def write_slowly(claim):
        await curio.sleep(0.002)
        written.append(claim)
        return True

    async def main():
        store = make_store(MemoryTable())
        store._unrecorded.extend(["a", "b", "c"])
        store._write_outcome = write_slowly
        tasks = [await curio.spawn(store.retry_unrecorded) for _ in range(2)]
        for task in tasks:
            await task.join()

    curio.run(main)
    assert written == ["a", "b", "c"]
