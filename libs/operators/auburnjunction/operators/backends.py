"""Operations of the administration API, independent of its protocol."""

from typing import Protocol

from auburnjunction.distribution.commits import CommitLog
from auburnjunction.distribution.records import Commit, CommittedSnapshot
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
    Snapshot,
)
from auburnjunction.model.validators import Problem, validate_snapshot
from auburnjunction.schema.control_pb2 import InstanceRecord, NodeRecord


class NodeDirectory(Protocol):
    """Lists the nodes of the mesh with their backend servers."""

    def list_records(self) -> list[NodeRecord]:
        """Return the record of every known node."""


class InstanceDrainer(Protocol):
    """Drains backend servers of this node or of another one."""

    async def drain(self, instance: str, drain: bool) -> InstanceRecord:
        """Start or end the draining of a backend server.

        Raise an AuburnError with NOT_FOUND or UNAVAILABLE.
        """


class CommitPublisher(Protocol):
    """Puts committed revisions into force; implemented by the distributor."""

    async def publish_commit(self, revised: RevisedSnapshot) -> None:
        """Put a revision into force here and send it to the other nodes."""


class AdministrationBackend(Protocol):
    """Implements the administration API; runs in curio."""

    async def validate(self, snapshot: Snapshot) -> list[Problem]:
        """Return every problem found in a snapshot."""

    async def apply(
        self,
        operation_id: str,
        base_revision: int,
        snapshot: Snapshot,
        operator: str,
        comment: str,
        timeout_s: float,
    ) -> Commit:
        """Commit a snapshot; see CommitLog.apply."""

    async def rollback(
        self,
        operation_id: str,
        base_revision: int,
        revision: int,
        operator: str,
        comment: str,
        timeout_s: float,
    ) -> Commit:
        """Commit an old revision's content; see CommitLog.rollback."""

    async def get(self, revision: int) -> CommittedSnapshot:
        """Return a revision; 0 means the head."""

    async def history(self, before: int, limit: int) -> list[Commit]:
        """Return the commits up to revision before, newest first."""

    async def find_operation(self, operation_id: str) -> Commit | None:
        """Return the commit of an operation id, or None."""

    async def list_nodes(self) -> list[NodeRecord]:
        """Return the nodes with their backend servers."""

    async def drain(self, instance: str, drain: bool) -> InstanceRecord:
        """Start or end the draining of a backend server."""


class NodeAdministration:
    """Administration backend on a node's commit log and mesh membership."""

    def __init__(
        self,
        log: CommitLog,
        publisher: CommitPublisher,
        directory: NodeDirectory,
        drainer: InstanceDrainer,
    ):
        self._log = log
        self._publisher = publisher
        self._directory = directory
        self._drainer = drainer

    async def validate(self, snapshot: Snapshot) -> list[Problem]:
        """Return every problem found in a snapshot."""
        return validate_snapshot(snapshot)

    async def apply(
        self,
        operation_id: str,
        base_revision: int,
        snapshot: Snapshot,
        operator: str,
        comment: str,
        timeout_s: float,
    ) -> Commit:
        """Commit a snapshot and put it into force."""
        commit = await self._log.apply(
            operation_id,
            base_revision,
            snapshot,
            operator,
            comment,
            timeout_s,
        )
        await self._publish(commit.mark, snapshot)
        return commit

    async def rollback(
        self,
        operation_id: str,
        base_revision: int,
        revision: int,
        operator: str,
        comment: str,
        timeout_s: float,
    ) -> Commit:
        """Commit an old revision's content and put it into force."""
        old = await self._log.get(revision)
        return await self.apply(
            operation_id,
            base_revision,
            old.snapshot,
            operator,
            comment or f"rollback to revision {old.commit.revision}",
            timeout_s,
        )

    async def get(self, revision: int) -> CommittedSnapshot:
        """Return a revision; 0 means the head."""
        return await self._log.get(revision)

    async def history(self, before: int, limit: int) -> list[Commit]:
        """Return the commits up to revision before, newest first."""
        return await self._log.history(before, limit)

    async def find_operation(self, operation_id: str) -> Commit | None:
        """Return the commit of an operation id, or None."""
        return await self._log.find_operation(operation_id)

    async def list_nodes(self) -> list[NodeRecord]:
        """Return the nodes with their backend servers."""
        return self._directory.list_records()

    async def drain(self, instance: str, drain: bool) -> InstanceRecord:
        """Start or end the draining of a backend server."""
        return await self._drainer.drain(instance, drain)

    async def _publish(self, mark: RevisionMark, snapshot: Snapshot) -> None:
        await self._publisher.publish_commit(RevisedSnapshot(mark, snapshot))
