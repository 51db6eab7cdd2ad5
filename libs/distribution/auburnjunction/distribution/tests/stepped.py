"""A platform whose every operation a test runs when and how it likes."""

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
    """How one operation of the table goes."""

    NONE = auto()
    # The operation has no effect, and the caller is told so.
    DOWN = auto()
    # The write takes effect, but its answer is lost.
    LOST = auto()
    # The answer is lost, and the write may take effect later.
    LATE = auto()
    # The write takes effect now and arrives once more later.
    DOUBLED = auto()


class Pause:
    """Waits until the test goes on with the operation."""

    def __await__(self):
        fault = yield
        return fault


class SteppedTable(MemoryTable):
    """Table whose operations wait for the test to say how they go."""

    def __init__(self):
        super().__init__()
        self.applied: list[Commit] = []
        self.late: list = []

    async def get(self, key, timeout_s):
        """Return the row, or fail as the test says."""
        if await Pause() is not Fault.NONE:
            raise UnavailableError("no answer")
        return await super().get(key, timeout_s)

    async def put_if(self, key, value, expected_version, timeout_s):
        """Write the row, or fail as the test says."""
        fault = await Pause()
        write = (key, value, expected_version)
        if fault is Fault.DOWN:
            raise UnavailableError("the table is unavailable")
        if fault in (Fault.LATE, Fault.DOUBLED):
            self.late.append(write)
        if fault is Fault.LATE:
            raise UnknownOutcomeError("the answer was lost")
        row = await self.write(*write)
        if fault is Fault.LOST:
            raise UnknownOutcomeError("the answer was lost")
        return row

    async def write(self, key, value, expected_version):
        """Write the row and record each commit that became the head."""
        row = await super().put_if(key, value, expected_version, 1.0)
        if key == HEAD_KEY:
            self.applied.append(load_commit(value))
        return row

    def land(self, index: int) -> None:
        """Let a late write arrive."""
        coroutine = self.write(*self.late.pop(index))
        try:
            coroutine.send(None)
        except (StopIteration, PlatformError):
            return


class SteppingClock(ManualClock):
    """Manual clock whose sleep returns at once."""

    async def sleep(self, delay_s):
        """Move the clock forward."""
        self.advance(delay_s)


@attrs.define(eq=False)
class Attempt:
    """One call of the commit log, run operation by operation."""

    operation_id: str
    base: int
    coroutine: object
    outcome: object = None

    def start(self) -> None:
        """Run to the first operation."""
        self._send(None)

    def step(self, fault: Fault) -> None:
        """Run the operation that waits, up to the next."""
        self._send(fault)

    def finish(self) -> None:
        """Run to the end without a fault."""
        while self.outcome is None:
            self.step(Fault.NONE)

    def abandon(self) -> None:
        """Stop where it is, as when its node dies."""
        self.coroutine.close()
        self.outcome = "abandoned"

    def _send(self, fault) -> None:
        try:
            self.coroutine.send(fault)
        except StopIteration as exc:
            self.outcome = ("returned", exc.value)
        except Exception as exc:
            self.outcome = exc


def run_whole(coroutine):
    """Run a call without faults and return its result."""
    attempt = Attempt("", 0, coroutine)
    attempt.start()
    attempt.finish()
    if isinstance(attempt.outcome, Exception):
        raise attempt.outcome
    return attempt.outcome[1]
