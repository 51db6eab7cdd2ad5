"""Rate limits that backend servers name in their responses."""

import contextlib

import attrs
import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnjunction.base.errors import ErrorCode
from auburnjunction.http.clients import PoolRegistry
from auburnjunction.http.messages import HttpResponse
from auburnjunction.http.servers import open_server
from auburnjunction.membership.announcements import Announcement
from auburnjunction.traffic.admissions import AdmissionSettings
from auburnjunction.traffic.call_forwarders import PeerHandler, PeerRunner
from auburnjunction.traffic.calls import Answer, TrafficError
from auburnjunction.traffic.ejections import OutlierTracker
from auburnjunction.traffic.headers import HeaderNames
from auburnjunction.traffic.instance_trackers import InstanceTracker
from auburnjunction.traffic.meters import OwnerMetrics
from auburnjunction.traffic.notices import read_notice
from auburnjunction.traffic.owners import OwnerRegistry
from auburnjunction.traffic.rate_limits import MIN_RATE_PER_S, RateLimiter
from auburnjunction.traffic.routing_settings import RoutingSettings
from auburnjunction.traffic.tests.owner_support import (
    CLOCK,
    HOST,
    make_call,
    make_owner,
    open_backend,
    try_call,
)
from auburnjunction.traffic.tests.routing_support import make_instance

# The target: in any 4 s, at most 1.5 times the limit, and 5 calls more.
WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_CALLS = 5
BURST_S = AdmissionSettings().rate_burst_s


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (None, None),
        (b"49.8", 49.8),
        (b"0", 0.0),
        (b"3", 3.0),
        (b"-1", None),
        (b"nan", None),
        (b"1e3", None),
        (b"", None),
        (b"9" * 40, None),
    ],
)
def test_rate_in_a_response(value, rate):
    headers = [] if value is None else [(b"auburn-rate-limit", value)]
    notice = read_notice(HttpResponse(200, headers), HeaderNames())
    assert notice.rate_limit_per_s == rate


@pytest.mark.parametrize(
    ("sent_s", "limit_per_s"),
    [
        # Sent before the response that named the limit arrived.
        (9.9, 5.0),
        (10.0, None),
    ],
)
def test_only_a_later_response_lifts_a_limit(sent_s, limit_per_s):
    limiter = RateLimiter("i-1", BURST_S)
    limiter.update(5.0, 9.0, 10.0)
    limiter.update(None, sent_s, 11.0)
    assert limiter.limit_per_s == limit_per_s


@given(
    rate=st.floats(0.0, 300.0),
    gaps_s=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=400),
)
def test_starts_of_any_window_keep_the_limit(rate, gaps_s):
    limiter = RateLimiter("i-1", BURST_S)
    limiter.update(rate, 0.0, 0.0)
    now_s = 0.0
    starts_s = []
    for gap_s in gaps_s:
        now_s += gap_s
        while limiter.find_delay(now_s) <= 0:
            limiter.start_call(now_s)
            starts_s.append(now_s)
    for index, first_s in enumerate(starts_s):
        window = [s for s in starts_s[index:] if s < first_s + WINDOW_S]
        assert len(window) <= EXCESS_RATIO * rate * WINDOW_S + EXCESS_CALLS


def test_limit_of_zero_lets_a_call_find_out_whether_it_is_lifted():
    limiter = RateLimiter("i-1", BURST_S)
    limiter.update(0.0, 0.0, 0.0)
    while limiter.find_delay(1.0) <= 0:
        limiter.start_call(1.0)
    assert limiter.find_delay(1.0) <= 1 / MIN_RATE_PER_S


# Guards against more calls than the limit that a backend server names.
@pytest.mark.parametrize("fail_fast", [False, True])
def test_calls_keep_the_rate_limit_of_the_backend_server(fail_fast):
    rate, duration_s = 20, 1.0

    async def main():
        headers = [(b"auburn-rate-limit", str(rate).encode())]
        async with open_backend(headers=headers) as backend:
            owner = make_owner(backend.port, 6)
            await owner.run_call(make_call("first"))
            start_s = CLOCK.monotonic()
            results = []

            async def offer(name):
                call = make_call(name, remaining_s=0.5)
                call.fail_fast = fail_fast
                results.append(await try_call(owner, call))

            async with curio.TaskGroup() as group:
                number = 0
                while CLOCK.monotonic() < start_s + duration_s:
                    number += 1
                    await group.spawn(offer, f"call-{number}")
                    await curio.sleep(0.004)
            passed_s = CLOCK.monotonic() - start_s
            # Calls may wait, so the last starts come after the last offer.
            allowed = EXCESS_RATIO * rate * passed_s + EXCESS_CALLS
            assert 2 < len(backend.executed) <= allowed
            refused = [r for r in results if hasattr(r, "code")]
            code = ErrorCode.BUSY if fail_fast else ErrorCode.TIMEOUT
            assert {r.code for r in refused} == {code}
            # What can't start in time is refused at once, not after a wait.
            waited = [r for r in refused if not r.retry_after_s]
            assert len(waited) < 0.1 * len(refused)
            assert owner.running == owner.waiting == 0

    curio.run(main)


def test_lifted_limit_lets_waiting_calls_start_at_once():
    async def main():
        headers = [(b"auburn-rate-limit", b"2")]
        async with open_backend(headers=headers) as backend:
            owner = make_owner(backend.port, 6)
            await owner.run_call(make_call("first"))
            backend.headers.clear()
            start_s = CLOCK.monotonic()
            async with curio.TaskGroup() as group:
                for number in range(8):
                    await group.spawn(owner.run_call, make_call(f"c-{number}"))
            assert owner.rate_limit_per_s is None
            # At 2 a second they would have taken 4 s.
            assert CLOCK.monotonic() - start_s < 2.0

    curio.run(main)


def test_new_incarnation_starts_without_a_limit():
    async def main():
        headers = [(b"auburn-rate-limit", b"10")]
        async with open_backend(headers=headers) as backend:
            owner = make_owner(backend.port, 6)
            owner.set_incarnation(7)
            await owner.run_call(make_call("first"))
            assert owner.rate_limit_per_s == 10
            owner.set_incarnation(7)
            assert owner.rate_limit_per_s == 10
            owner.set_incarnation(8)
            assert owner.rate_limit_per_s is None

    curio.run(main)


# Guards against a burst of calls after a restart that forgets the limit.
def test_restarted_owner_keeps_the_limit_that_entry_nodes_know():
    async def main():
        headers = [(b"auburn-rate-limit", b"4")]
        async with open_backend(headers=headers) as backend:
            node = RestartableNode(make_registry(backend.port))
            peer = PeerHandler(node, CLOCK)
            async with open_server(HOST, 0, peer.handle, CLOCK) as server:
                pools = PoolRegistry(CLOCK)
                runner = PeerRunner([], pools, CLOCK, RoutingSettings())
                instance = make_instance("orders-1", port=server.port)
                answer = await runner.forward_call(make_call("1"), instance)
                assert answer.rate_limit_per_s == 4.0
                node.registry = make_registry(backend.port)
                backend.gate.clear()

                async def offer(number):
                    call = make_call(f"later-{number}", remaining_s=0.2)
                    call.rate_limit_per_s = answer.rate_limit_per_s
                    with contextlib.suppress(TrafficError):
                        await runner.forward_call(call, instance)

                async with curio.TaskGroup() as group:
                    for number in range(12):
                        await group.spawn(offer, number)
                # One at once, and one for the burst of a quarter of a second.
                assert backend.max_running <= 2
                await pools.close()

    curio.run(main)


@attrs.define
class RestartableNode:
    """The owner side of a node, which a test replaces by a new one."""

    registry: OwnerRegistry

    async def run_call(self, call, instance):
        return await self.registry.run_call(call, instance)


def make_registry(port):
    registry = OwnerRegistry(AdmissionSettings(), CLOCK, OwnerMetrics())
    address = f"{HOST}:{port}"
    registry.update(Announcement("orders-1", "orders", address, slots=6))
    return registry


@pytest.mark.parametrize(
    ("limits", "found"),
    [([None], None), ([9.5], 9.5), ([9.5, None], None)],
)
def test_entry_node_keeps_the_limit_of_the_latest_answer(limits, found):
    settings = RoutingSettings()
    tracker = InstanceTracker(OutlierTracker(settings), CLOCK, settings)
    instance = make_instance("orders-1")
    assert tracker.find_rate_limit(instance) is None
    for limit in limits:
        answer = Answer(HttpResponse(200), rate_limit_per_s=limit)
        tracker.record_answer(instance, answer, 0.01)
    assert tracker.find_rate_limit(instance) == found


def test_first_response_replaces_an_adopted_limit():
    limiter = RateLimiter("i-1", BURST_S)
    limiter.adopt(5.0)
    assert limiter.limit_per_s == 5.0
    limiter.update(None, 1.0, 2.0)
    assert limiter.limit_per_s is None
    limiter.adopt(5.0)
    assert limiter.limit_per_s is None


def test_load_counts_against_the_rate_limit():
    async def main():
        headers = [(b"auburn-rate-limit", b"10")]
        async with open_backend(headers=headers) as backend:
            backend.service_time_s = 0.1
            owner = make_owner(backend.port, 6)
            await owner.run_call(make_call("first"))
            task = await curio.spawn(owner.run_call, make_call("second"))
            await curio.sleep(0.02)
            # One call of 0.1 s is all that 10 calls a second keep running.
            assert owner.load >= 0.9
            await task.join()

    curio.run(main)
