"""Permits to use one of a bounded number of connections."""

import math
from collections import deque
from collections.abc import Callable

import attrs
import curio

from auburnjunction.http.errors import NotSentError

# Called with the monotonic time until which a permit is waited for.
WaitPredicate = Callable[[float], bool]


class WaitRefusedError(NotSentError):
    """The wait for a connection was ended before its time limit."""


@attrs.define(eq=False, slots=True)
class _Wait:
    limit_s: float
    event: curio.Event = attrs.field(factory=curio.Event)
    is_granted: bool = False
    is_refused: bool = False


class Permits:
    """A number of permits, granted in the order in which they are asked for.

    Unlike those of a semaphore, waits can be refused while they last.
    """

    def __init__(self, count: int):
        self._count = count
        self._free = count
        self._waits: deque[_Wait] = deque()

    @property
    def are_unused(self) -> bool:
        """Whether no permit is held."""
        return self._free == self._count

    async def acquire(
        self, timeout_s: float | None = None, limit_s: float = math.inf
    ) -> None:
        """Take a permit, which release() gives back.

        limit_s is the monotonic time at which the timeout passes. Raise
        curio.TaskTimeout at that time, WaitRefusedError if the wait is
        refused.
        """
        if self._free:
            self._free -= 1
            return
        wait = _Wait(limit_s)
        self._waits.append(wait)
        try:
            if timeout_s is None:
                await wait.event.wait()
            else:
                async with curio.timeout_after(timeout_s):
                    await wait.event.wait()
        except curio.CancelledError:
            if wait.is_granted:
                await self.release()
            elif not wait.is_refused:
                self._waits.remove(wait)
            raise
        if wait.is_refused:
            raise WaitRefusedError("the wait for a connection was refused")

    async def release(self) -> None:
        """Give a permit back; the first wait gets it."""
        if not self._waits:
            self._free += 1
            return
        wait = self._waits.popleft()
        wait.is_granted = True
        await wait.event.set()

    async def refuse_waits(self, may_wait: WaitPredicate) -> None:
        """Refuse the waits whose limits the predicate does not accept."""
        refused = [w for w in self._waits if not may_wait(w.limit_s)]
        for wait in refused:
            self._waits.remove(wait)
            wait.is_refused = True
        for wait in refused:
            await wait.event.set()
