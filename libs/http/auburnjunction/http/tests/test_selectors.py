"""Tests of the selector that keeps open sockets registered."""

import select
import socket
from selectors import EVENT_READ, EVENT_WRITE

import curio
import pytest

from auburnjunction.http.selectors import RetainingSelector


class File:
    """File object of a socket, like the one that curio creates."""

    def __init__(self, sock):
        self._sock = sock

    def fileno(self):
        return self._sock.fileno()


class CountingEpoll:
    """Counts the calls that change epoll registrations."""

    def __init__(self):
        self._epoll = select.epoll()
        self.changes = 0

    def __getattr__(self, name):
        if name in ("register", "modify", "unregister"):
            self.changes += 1
        return getattr(self._epoll, name)


@pytest.fixture
def selector():
    with RetainingSelector() as selector:
        selector._epoll = CountingEpoll()
        yield selector


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ours, theirs


def test_registration_is_retained_after_unregister(selector, pair):
    file = File(pair[0])
    for _ in range(5):
        selector.register(file, EVENT_READ, "task")
        pair[1].send(b"x")
        [(key, events)] = selector.select(1)
        assert (key.data, events) == ("task", EVENT_READ)
        pair[0].recv(1)
        selector.unregister(file)
        with pytest.raises(KeyError):
            selector.get_key(file)
    assert selector._epoll.changes == 1


def test_event_without_key_removes_descriptor_once(selector, pair):
    file = File(pair[0])
    selector.register(file, EVENT_READ)
    selector.unregister(file)
    pair[1].send(b"x")
    assert selector.select(1) == []
    assert selector.select(0) == []
    assert selector._epoll.changes == 2
    selector.register(file, EVENT_READ, "again")
    assert [key.data for key, _ in selector.select(1)] == ["again"]


def test_reused_descriptor_number_is_registered_again(selector):
    for index in range(3):
        ours, theirs = socket.socketpair()
        with ours, theirs:
            file = File(ours)
            selector.register(file, EVENT_READ, index)
            theirs.send(b"x")
            assert [key.data for key, _ in selector.select(1)] == [index]
            selector.unregister(file)


def test_select_returns_only_registered_events(selector, pair):
    file = File(pair[0])
    selector.register(file, EVENT_WRITE, "w")
    [(_, events)] = selector.select(1)
    assert events == EVENT_WRITE
    selector.modify(file, EVENT_READ, "r")
    assert selector.select(0) == []
    selector.modify(file, EVENT_READ | EVENT_WRITE, "rw")
    pair[1].send(b"x")
    assert selector.select(1)[0][1] == EVENT_READ | EVENT_WRITE


def test_curio_runs_on_retaining_selector():
    async def echo(sock, other):
        async with sock, other:
            for _ in range(20):
                await other.sendall(await sock.recv(9))

    async def main():
        pairs = [curio.socket.socketpair() for _ in range(2)]
        (near, first), (second, far) = pairs
        task = await curio.spawn(echo, first, second)
        for index in range(20):
            await near.sendall(b"%d" % index)
            async with curio.timeout_after(5):
                assert await far.recv(9) == b"%d" % index
        await task.join()
        await near.close()
        await far.close()

    curio.run(main, selector=RetainingSelector())
