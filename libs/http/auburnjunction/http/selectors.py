"""Epoll selector that keeps open sockets registered between waits."""

import select
from selectors import (
    EVENT_READ,
    EVENT_WRITE,
    BaseSelector,
    SelectorKey,
)

import attrs

MIN_EVENTS = 64


@attrs.frozen(slots=True)
class Registration:
    """File object and events with which a descriptor is in epoll."""

    fileobj: object
    events: int


class RetainingSelector(BaseSelector):
    """Epoll selector whose registrations outlive unregister().

    curio unregisters a socket as soon as its task waits for another one, and
    registers it again for the next message, which costs several system calls
    for each call. Here unregister() only removes the key and leaves the
    descriptor in epoll. A descriptor that becomes ready while it has no key
    is removed from epoll then. The kernel removes a closed descriptor from
    epoll; a reused descriptor number is recognised by its file object, as
    curio creates one for each socket.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._keys: dict[int, SelectorKey] = {}
        self._retained: dict[int, Registration] = {}

    def register(self, fileobj, events, data=None) -> SelectorKey:
        """Start waiting for events of a file object."""
        fd = _find_descriptor(fileobj)
        if fd in self._keys:
            raise KeyError(f"{fileobj!r} is registered")
        self._ensure_registered(fd, fileobj, events)
        key = SelectorKey(fileobj, fd, events, data)
        self._keys[fd] = key
        return key

    def unregister(self, fileobj) -> SelectorKey:
        """Stop waiting for a file object."""
        return self._keys.pop(_find_descriptor(fileobj))

    def modify(self, fileobj, events, data=None) -> SelectorKey:
        """Change the events or the data of a file object."""
        fd = _find_descriptor(fileobj)
        if fd not in self._keys:
            raise KeyError(f"{fileobj!r} is not registered")
        self._ensure_registered(fd, fileobj, events)
        key = SelectorKey(fileobj, fd, events, data)
        self._keys[fd] = key
        return key

    def get_key(self, fileobj) -> SelectorKey:
        """Return the key of a file object; raise KeyError without one."""
        return self._keys[_find_descriptor(fileobj)]

    def get_map(self):
        """Return the keys by descriptor."""
        return self._keys

    def select(self, timeout=None) -> list[tuple[SelectorKey, int]]:
        """Return the keys that are ready within a time in seconds."""
        count = max(len(self._retained), MIN_EVENTS)
        if timeout is None or timeout < 0:
            timeout = -1
        try:
            polled = self._epoll.poll(timeout, count)
        except InterruptedError:
            return []
        ready = []
        for fd, mask in polled:
            key = self._keys.get(fd)
            if key is None:
                self._remove(fd)
                continue
            events = 0
            if mask & ~select.EPOLLIN:
                events |= EVENT_WRITE
            if mask & ~select.EPOLLOUT:
                events |= EVENT_READ
            if events & key.events:
                ready.append((key, events & key.events))
        return ready

    def close(self) -> None:
        """Close the epoll descriptor."""
        self._epoll.close()
        self._keys.clear()
        self._retained.clear()

    def _ensure_registered(
        self, fd: int, fileobj: object, events: int
    ) -> None:
        retained = self._retained.get(fd)
        is_registered = retained is not None and retained.fileobj is fileobj
        if is_registered and retained.events == events:
            return
        mask = 0
        if events & EVENT_READ:
            mask |= select.EPOLLIN
        if events & EVENT_WRITE:
            mask |= select.EPOLLOUT
        try:
            if is_registered:
                self._epoll.modify(fd, mask)
            else:
                self._epoll.register(fd, mask)
        except FileExistsError:
            self._epoll.modify(fd, mask)
        except FileNotFoundError:
            self._epoll.register(fd, mask)
        self._retained[fd] = Registration(fileobj, events)

    def _remove(self, fd: int) -> None:
        self._retained.pop(fd, None)
        try:
            self._epoll.unregister(fd)
        except OSError:
            return


def _find_descriptor(fileobj) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()
