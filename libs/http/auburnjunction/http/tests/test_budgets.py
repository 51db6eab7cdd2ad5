"""Tests of the byte budget, without sockets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from auburnjunction.base.clocks import ManualClock
from auburnjunction.http.budgets import (
    BYTES_PER_MB,
    ByteBudget,
    ResourceSettings,
    Share,
)
from auburnjunction.http.resources import (
    Holder,
    choose_idle,
    make_resources,
)

# 800 kB for messages: 3 MB less 2 MB, of which 0.2 are for connections.
CFG = ResourceSettings(
    memory_mb=3.0,
    own_memory_mb=2.0,
    connection_share=0.2,
    large_share=0.5,
    small_share=0.75,
    small_bytes=10_000,
)
TOTAL = 800_000
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["charge", "receive", "release", "drop", "stall", "read"]
        ),
        st.integers(0, 5),
        st.integers(0, 200_000),
    ),
    max_size=60,
)


def open_budget(clock=None):
    clock = clock or ManualClock()
    return ByteBudget(CFG, clock), clock


# Guards against bytes that are released twice or never.
@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_budget_is_the_sum_of_the_open_accounts(steps):
    budget, clock = open_budget()
    accounts = [budget.open_account(s) for s in (*Share, *list(Share)[:2])]

    def drop(index, _size):
        accounts[index] = budget.open_account(Share.SMALL)

    def stall(_index, size):
        clock.advance(size / 10_000)
        budget.check_progress()

    actions = {
        "charge": lambda i, n: accounts[i].try_charge(n, n // 2),
        "receive": lambda i, n: accounts[i].try_receive(n),
        "release": lambda i, n: accounts[i].release(),
        "read": lambda i, n: accounts[i].start_transfer(clock.monotonic()),
        "drop": drop,
        "stall": stall,
    }
    for action, index, size in steps:
        actions[action](index, size)
        assert budget.used_bytes == sum(a.charged_bytes for a in accounts)
        assert 0 <= budget.used_bytes <= TOTAL
    for account in (*accounts, *accounts):
        account.release()
    assert budget.used_bytes == 0


# Guards against a count that is given back while its bytes stay, in whatever
# order a message and the responses to it end, also while they are being sent.
@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["open", "read", "send", "sent", "end", "check"]),
            st.integers(1, 4),
        ),
        max_size=60,
    )
)
def test_bytes_count_as_long_as_they_are_held(steps):
    budget, _ = open_budget()
    accounts = [budget.open_account(Share.SMALL)]
    buffers, views = [bytearray()], [memoryview(b"")]

    def read(account):
        if account.try_receive(1000):
            buffers.append(bytearray(1000))
            account.hold(buffers[-1])

    actions = {
        "open": lambda a, _i: accounts.append(a.open_child(Share.RESPONSE)),
        "read": lambda a, _i: read(a),
        "send": lambda _a, i: views.append(memoryview(buffers[-i])),
        "sent": lambda _a, i: views[-i].release(),
        "end": lambda a, _i: a.release(),
        "check": lambda _a, _i: budget.check_progress(),
    }
    for action, index in steps:
        account = accounts[index % len(accounts)]
        actions[action](account, min(index, len(buffers), len(views)))
        assert budget.used_bytes >= sum(map(len, buffers))
    for view in views:
        view.release()
    accounts[0].release()
    budget.check_progress()
    assert budget.used_bytes == 0
    assert not any(buffers)


# Guards against large bodies that take what small requests and exchanges
# between nodes need.
@pytest.mark.parametrize(
    ("share", "body_bytes", "limit"),
    [
        (Share.SMALL, 10_001, 400_000),
        (Share.CONTROL, 10_001, 400_000),
        (Share.SMALL, 10_000, 600_000),
        (Share.CONTROL, 10_000, TOTAL),
        (Share.RESPONSE, 10_001, TOTAL),
    ],
)
def test_share_is_filled_up_to_its_limit(share, body_bytes, limit):
    budget, _ = open_budget()
    held = []
    while (account := budget.open_account(share)).try_charge(
        body_bytes, body_bytes
    ):
        held.append(account)
    assert limit - body_bytes < budget.used_bytes <= limit


# Guards against chunked bodies that grow past the share of small requests.
def test_growing_body_becomes_large():
    budget, _ = open_budget()
    account = budget.open_account(Share.SMALL)
    received = 0
    while account.try_receive(5_000):
        received += 5_000
    assert account.share is Share.LARGE
    assert received <= budget.used_bytes <= 400_000


def read_stalled(budget, clock, sizes):
    accounts = []
    for size in sizes:
        account = budget.open_account(Share.SMALL)
        assert account.try_charge(100_000, 100_000)
        account.start_transfer(clock.monotonic())
        assert account.try_receive(size)
        clock.advance(0.1)
        accounts.append(account)
    return accounts


def run_for(budget, clock, seconds, step=lambda: None):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        step()
        budget.check_progress()


# Guards against bodies that stop short of their end and keep their room, and
# against ending one without need.
@pytest.mark.parametrize(
    ("seconds", "pressed", "ended"),
    [
        (1.0, True, [False, False, False]),
        (2.0, True, [True, False, False]),
        (15.0, False, [False, False, False]),
        (17.0, False, [True, True, True]),
    ],
)
def test_stalled_bodies_end(seconds, pressed, ended):
    budget, clock = open_budget()
    accounts = read_stalled(budget, clock, [5, 0, 9])
    # All have made their progress by now.
    budget.check_progress()
    run_for(budget, clock, seconds)
    if pressed:
        budget.record_denial()
    budget.check_progress()
    assert [a.must_end for a in accounts] == ended


# Guards against a client that sends a byte now and then to keep its room, and
# against ending one at the minimum rate.
@pytest.mark.parametrize(("step_bytes", "ended"), [(1, True), (40, False)])
def test_trickling_body_ends(step_bytes, ended):
    budget, clock = open_budget()
    (account,) = read_stalled(budget, clock, [0])
    run_for(budget, clock, 20, lambda: account.try_receive(step_bytes))
    assert account.must_end is ended


# Guards against a mark on a slow body that ends its response.
def test_mark_ends_with_the_transfer():
    budget, clock = open_budget()
    (account,) = read_stalled(budget, clock, [0])
    run_for(budget, clock, 20)
    assert account.must_end
    account.stop_transfer()
    account.start_transfer(clock.monotonic())
    assert not account.must_end


# Guards against ending bodies because the process itself was frozen.
def test_frozen_process_ends_no_body():
    budget, clock = open_budget()
    (account,) = read_stalled(budget, clock, [0])
    budget.check_progress()
    clock.advance(60)
    budget.check_progress()
    assert not account.must_end


# Guards against limits in a deployment that asks for none.
def test_no_memory_limit_gives_no_resources():
    assert make_resources(ResourceSettings(max_fds=100), ManualClock()) is None


# Guards against a small limit that leaves no room for any request.
def test_small_limit_leaves_room_for_small_requests():
    cfg = ResourceSettings(memory_mb=40)
    budget = ByteBudget(cfg, ManualClock())
    assert budget.limits[Share.SMALL] > 100 * cfg.small_bytes


# Guards against bounds that add up to more than the process has.
@pytest.mark.parametrize(
    ("memory_mb", "max_fds"), [(200, 4100), (552, 4100), (200, 400), (300, 0)]
)
def test_bounds_leave_room(memory_mb, max_fds):
    cfg = ResourceSettings(memory_mb=memory_mb, max_fds=max_fds)
    resources = make_resources(cfg, ManualClock())
    # One body at the limit is served.
    assert resources.budget.may_fit(64 * 1024 * 1024 + 50_000, Share.LARGE)
    unread = resources.callers.max_connections * 2 * cfg.receive_buffer_bytes
    assert unread <= resources.budget.connection_bytes
    held = resources.budget.limits[Share.CONTROL] + unread
    assert held <= (memory_mb - cfg.own_memory_mb) * BYTES_PER_MB
    if max_fds:
        open_fds = (
            resources.callers.max_connections
            + resources.peers.max_connections
            + 2 * resources.local.max_connections
            + resources.max_outgoing
        )
        assert open_fds < max_fds - cfg.file_fds


# Guards against closing busy connections, or those of a client with few.
def test_idle_connections_of_the_largest_holder_close_first():
    holders = [
        Holder("busy", "a", None),
        Holder("new", "a", 9.0),
        Holder("old", "a", 1.0),
        Holder("other", "b", 0.0),
    ]
    assert choose_idle(holders) == ["old", "new", "other"]
