"""Tests of many revisions on a network that drops and reorders."""

from random import Random

import attrs
import curio
import pytest

from auburnjunction.distribution.errors import (
    CommitConflictError,
    CommitUnavailableError,
)
from auburnjunction.distribution.tests.support import (
    Fleet,
    change_snapshot,
    make_snapshot,
)
from auburnjunction.model.validators import validate_snapshot

CONVERGENCE_LIMIT_S = 5.0
ROUNDS = 8


@attrs.define
class History:
    """Committed snapshots by revision, and refused commits."""

    fleet: Fleet
    committed: dict = attrs.field(factory=dict)
    refused: list = attrs.field(factory=list)

    async def commit_concurrently(self, round_number, random):
        """Commit two changes on the same base through two nodes."""
        base = len(self.committed)
        snapshots = [
            change_snapshot(make_snapshot(0, 20), 10 * round_number + i + 1)
            for i in range(2)
        ]
        if random.random() < 0.3:
            snapshots[0] = make_snapshot(round_number, 20)
        names = random.sample(sorted(self.fleet.members), 2)
        async with curio.TaskGroup() as group:
            for i in range(2):
                operation_id = f"op{round_number}-{i}"
                await group.spawn(
                    self._commit, operation_id, base, snapshots[i], names[i]
                )

    async def _commit(self, operation_id, base, snapshot, name):
        try:
            commit = await self.fleet.commit(
                operation_id, base, snapshot, name
            )
        except (CommitConflictError, CommitUnavailableError) as exc:
            self.refused.append(exc)
            return
        assert commit.revision not in self.committed
        self.committed[commit.revision] = snapshot

    def check(self):
        """Check that nodes adopt whole commits and no lower revision."""
        for member in self.fleet.members.values():
            revisions = [r.mark.revision for r in member.history]
            assert revisions == sorted(set(revisions)), (
                f"{member.name} adopted a lower revision"
            )
            for revised in member.history:
                expected = self.committed[revised.mark.revision]
                assert revised.snapshot == expected, (
                    f"{member.name} adopted other content"
                )
                assert validate_snapshot(revised.snapshot) == []
            assert revisions[-1] == max(self.committed), (
                f"{member.name} lacks the last commit"
            )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_concurrent_commits_with_faults_and_an_outage(seed):
    async def main():
        random = Random(seed)
        fleet = Fleet(18, seed=seed)
        network = fleet.network
        network.drop_share, network.duplicate_share, network.delay_s = (
            0.2,
            0.5,
            0.02,
        )
        history = History(fleet)
        async with fleet.open():
            for round_number in range(ROUNDS):
                if round_number == ROUNDS // 2:
                    fleet.table.available = False
                    await history.commit_concurrently(round_number, random)
                    fleet.table.available = True
                    await history.commit_concurrently(
                        round_number + 100, random
                    )
                else:
                    await history.commit_concurrently(round_number, random)
                if round_number % 3 == 0:
                    await fleet.wait_for(
                        len(history.committed), CONVERGENCE_LIMIT_S
                    )
            await fleet.wait_for(len(history.committed), CONVERGENCE_LIMIT_S)
            assert len(history.committed) == ROUNDS
            assert len(history.refused) == ROUNDS + 2
            history.check()

    curio.run(main)
