"""A table whose operations a test schedules one by one with faults."""

from enum import Enum, auto

import attrs

from auburnjunction.base.clocks import ManualClock
from auburnjunction.distribution.records import HEAD_KEY, Commit, load_commit
from auburnjunction.storage.fakes import MemoryTable
from auburnjunction.storage.tables import (
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)

STEP_S = 0.1


class Fault(Enum):
    """Outcome of one operation of the table."""

    NONE = auto()
    # The operation has no effect and raises UnavailableError.
    UNAVAILABLE = auto()
    # The write takes effect, but its response is lost.
    RESPONSE_LOST = auto()
    # The response is lost, and the write may take effect later.
    DELAYED = auto()
    # The write takes effect and is delivered once more later.
    DUPLICATED = auto()


class Pause:
    """Suspends an operation until the test resumes it with a fault."""

    def __await__(self):
        fault = yield
        return fault


class SteppedTable(MemoryTable):
    """Table whose operations wait until the test resumes them."""

    def __init__(self):
        super().__init__()
        self.applied: list[Commit] = []
        self.delayed_writes: list = []

    async def get(self, key, timeout_s):
        """Return the row, or raise the error of the injected fault."""
        if await Pause() is not Fault.NONE:
            raise UnavailableError("no response")
        return await super().get(key, timeout_s)

    async def put_if(self, key, value, expected_version, timeout_s):
        """Write the row, with the effect and error of the injected fault."""
        fault = await Pause()
        write = (key, value, expected_version)
        if fault is Fault.UNAVAILABLE:
            raise UnavailableError("the table is unavailable")
        if fault in (Fault.DELAYED, Fault.DUPLICATED):
            self.delayed_writes.append(write)
        if fault is Fault.DELAYED:
            raise UnknownOutcomeError("the response was lost")
        row = await self.write(*write)
        if fault is Fault.RESPONSE_LOST:
            raise UnknownOutcomeError("the response was lost")
        return row

    async def write(self, key, value, expected_version):
        """Write the row and record each commit that became the head."""
        row = await super().put_if(key, value, expected_version, 1.0)
        if key == HEAD_KEY:
            self.applied.append(load_commit(value))
        return row

    def perform_delayed_write(self, index: int) -> None:
        """Apply a delayed write; it fails if its version is outdated."""
        coroutine = self.write(*self.delayed_writes.pop(index))
        try:
            coroutine.send(None)
        except (StopIteration, PlatformError):
            return


class SteppingClock(ManualClock):
    """Manual clock whose sleep advances the time and returns."""

    async def sleep(self, delay_s):
        """Advance the clock by the delay."""
        self.advance(delay_s)


@attrs.define(eq=False)
class Attempt:
    """One call of the commit log, run one table operation at a time."""

    operation_id: str
    base: int
    coroutine: object
    outcome: object = None

    def start(self) -> None:
        """Run until the first operation is suspended."""
        self._send(None)

    def step(self, fault: Fault) -> None:
        """Resume the suspended operation and run until the next one."""
        self._send(fault)

    def finish(self) -> None:
        """Run to the end without further faults."""
        while self.outcome is None:
            self.step(Fault.NONE)

    def abandon(self) -> None:
        """Stop at the suspended operation, as if the node had crashed."""
        self.coroutine.close()
        self.outcome = "abandoned"

    def _send(self, fault) -> None:
        try:
            self.coroutine.send(fault)
        except StopIteration as exc:
            self.outcome = ("returned", exc.value)
        except Exception as exc:
            self.outcome = exc


def run_without_faults(coroutine):
    """Run a call to its end without faults and return its result."""
    attempt = Attempt("", 0, coroutine)
    attempt.start()
    attempt.finish()
    if isinstance(attempt.outcome, Exception):
        raise attempt.outcome
    return attempt.outcome[1]
