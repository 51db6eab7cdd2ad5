"""Commits and their encoding in table rows."""

import re
from datetime import UTC, datetime

import attrs
from google.protobuf.message import DecodeError

from auburnjunction.distribution.errors import BadContentError
from auburnjunction.model.snapshots import RevisionMark, Snapshot
from auburnjunction.schema import operators_pb2 as pb

HEAD_KEY = "config/head"
REVISION_PREFIX = "config/revisions/"
OPERATION_PREFIX = "config/operations/"
REVISION_DIGITS = 12
OPERATION_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,120}")


@attrs.frozen
class Commit:
    """One committed change of the configuration."""

    revision: int
    digest: bytes
    base_revision: int
    operation_id: str
    operator: str
    comment: str
    committed_at: datetime

    @property
    def mark(self) -> RevisionMark:
        """Revision and digest of the commit."""
        return RevisionMark(self.revision, self.digest)


@attrs.frozen
class CommittedSnapshot:
    """A commit with its content."""

    commit: Commit
    snapshot: Snapshot


def revision_key(revision: int) -> str:
    """Return the key of a revision's row.

    Digits are zero-padded, so keys sort by revision.
    """
    return f"{REVISION_PREFIX}{revision:0{REVISION_DIGITS}d}"


def operation_key(operation_id: str) -> str:
    """Return the key of an operation's row."""
    return f"{OPERATION_PREFIX}{operation_id}"


def encode_commit(commit: Commit) -> pb.Commit:
    """Return a commit as a protobuf message."""
    return pb.Commit(
        revision=commit.revision,
        digest=commit.digest,
        base_revision=commit.base_revision,
        operation_id=commit.operation_id,
        operator=commit.operator,
        comment=commit.comment,
        committed_ms=round(commit.committed_at.timestamp() * 1000),
    )


def decode_commit(message: pb.Commit) -> Commit:
    """Return the commit in a protobuf message."""
    return Commit(
        revision=message.revision,
        digest=message.digest,
        base_revision=message.base_revision,
        operation_id=message.operation_id,
        operator=message.operator,
        comment=message.comment,
        committed_at=datetime.fromtimestamp(message.committed_ms / 1000, UTC),
    )


def dump_commit(commit: Commit) -> bytes:
    """Return a commit encoded as the value of a row."""
    return encode_commit(commit).SerializeToString()


def load_commit(value: bytes) -> Commit:
    """Decode a row's value; raise BadContentError if it is invalid."""
    try:
        return decode_commit(pb.Commit.FromString(value))
    except (DecodeError, OverflowError, ValueError) as exc:
        raise BadContentError(
            f"table row is not a valid commit: {exc}"
        ) from exc
