"""Property test of concurrent commits with faults of the table."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from auburnjunction.distribution.commits import CommitLog
from auburnjunction.distribution.errors import (
    CommitConflictError,
    CommitError,
    CommitUnavailableError,
)
from auburnjunction.distribution.tests.stepped_tables import (
    STEP_S,
    Attempt,
    Fault,
    SteppedTable,
    SteppingClock,
    run_without_faults,
)
from auburnjunction.distribution.tests.support import make_snapshot
from auburnjunction.storage.fakes import MemoryObjectStore

OPERATIONS = 4
TIMEOUT_S = 2.0

indexes = st.integers(0, 100)
faults = st.sampled_from([Fault.NONE] * 6 + list(Fault))


class CommitRaces(RuleBasedStateMachine):
    """Operators commit, retry and crash concurrently on one faulty table."""

    def __init__(self):
        super().__init__()
        self.table = SteppedTable()
        self.clock = SteppingClock()
        self.log = CommitLog(self.table, MemoryObjectStore(), self.clock)
        self.attempts: list[Attempt] = []
        self.running: list[Attempt] = []
        self.operations = 0

    @rule(revisions_behind=st.sampled_from([0, 0, 0, 1]))
    def begin(self, revisions_behind):
        """Start an operation based on the head or the revision below."""
        self.operations += 1
        base = max(0, len(self.table.applied) - revisions_behind)
        self._start(f"op{self.operations}", base, self.operations)

    @precondition(lambda self: self.attempts)
    @rule(index=indexes, rebase=st.booleans())
    def repeat(self, index, rebase):
        """Retry an operation, with its own base or with the head."""
        chosen = self.attempts[index % len(self.attempts)]
        number = int(chosen.operation_id.removeprefix("op"))
        base = len(self.table.applied)
        if not rebase:
            base = chosen.base
        self._start(chosen.operation_id, base, number)

    @precondition(lambda self: self.running)
    @rule(index=indexes, fault=faults)
    def step(self, index, fault):
        """Run one table operation of one attempt."""
        attempt = self.running[index % len(self.running)]
        self.clock.advance(STEP_S)
        attempt.step(fault)
        self._check_ended(attempt)

    @precondition(lambda self: self.running)
    @rule(index=indexes)
    def finish(self, index):
        """Run one attempt to its end without further faults."""
        attempt = self.running[index % len(self.running)]
        attempt.finish()
        self._check_ended(attempt)

    @precondition(lambda self: self.running)
    @rule(index=indexes)
    def abandon(self, index):
        """Stop an attempt, as if its node had crashed."""
        attempt = self.running.pop(index % len(self.running))
        attempt.abandon()

    @precondition(lambda self: self.table.delayed_writes)
    @rule(index=indexes)
    def perform_delayed_write(self, index):
        """Apply a delayed write."""
        self.table.perform_delayed_write(
            index % len(self.table.delayed_writes)
        )

    def teardown(self):
        """Finish all attempts and writes, then check the commit log."""
        for attempt in list(self.running):
            attempt.finish()
            self._check_ended(attempt)
        while self.table.delayed_writes:
            self.table.perform_delayed_write(0)
        self._check_history()
        self._check_refusals()

    def _start(self, operation_id, base, number):
        call = self.log.apply(
            operation_id, base, make_snapshot(number), "ada", "", TIMEOUT_S
        )
        attempt = Attempt(operation_id, base, call)
        attempt.start()
        self.attempts.append(attempt)
        self.running.append(attempt)

    def _check_ended(self, attempt):
        """Check the outcome of an attempt if it has ended."""
        if attempt.outcome is None:
            return
        self.running.remove(attempt)
        if isinstance(attempt.outcome, Exception):
            assert isinstance(attempt.outcome, CommitError), attempt.outcome
            return
        commit = attempt.outcome[1]
        assert commit.operation_id == attempt.operation_id
        assert commit in self.table.applied

    def _check_history(self):
        applied = self.table.applied
        numbers = [commit.revision for commit in applied]
        assert numbers == list(range(1, len(applied) + 1))
        assert [c.base_revision for c in applied] == [n - 1 for n in numbers]
        ids = [commit.operation_id for commit in applied]
        assert len(set(ids)) == len(ids), "an operation was applied twice"
        assert run_without_faults(self.log.history(0, 500)) == applied[::-1]
        for commit in applied:
            found = run_without_faults(
                self.log.find_operation(commit.operation_id)
            )
            assert found == commit
            assert (
                run_without_faults(self.log.get(commit.revision)).commit
                == commit
            )

    def _check_refusals(self):
        """Check that an operation refused in every attempt was not applied."""
        applied = {commit.operation_id for commit in self.table.applied}
        outcomes = {}
        for attempt in self.attempts:
            outcomes.setdefault(attempt.operation_id, []).append(
                attempt.outcome
            )
        for operation_id, operation_outcomes in outcomes.items():
            refusals = (CommitConflictError, CommitUnavailableError)
            if all(
                isinstance(outcome, refusals) for outcome in operation_outcomes
            ):
                assert operation_id not in applied


TestCommitRaces = CommitRaces.TestCase
TestCommitRaces.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
