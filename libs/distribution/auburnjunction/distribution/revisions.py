"""Recent revisions of a node, and the encoding of revisions."""

from collections import OrderedDict

from auburnjunction.distribution.contents import decode_snapshot
from auburnjunction.distribution.errors import BadContentError
from auburnjunction.model.codecs import digest_content, dump_snapshot
from auburnjunction.model.deltas import DeltaError, apply_delta, make_delta
from auburnjunction.model.snapshots import RevisedSnapshot, RevisionMark
from auburnjunction.schema import configuration_pb2 as configuration
from auburnjunction.schema import control_pb2 as pb

EMPTY_DIGEST = digest_content(b"")


class MissingBaseError(BadContentError):
    """The delta is missing or does not apply; the snapshot is needed."""


class RecentRevisions:
    """The latest revisions that came into force, as bases of deltas."""

    def __init__(self, max_revisions: int, delta_share: float):
        self._max_revisions = max_revisions
        self._delta_share = delta_share
        self._revisions: OrderedDict[int, RevisedSnapshot] = OrderedDict()
        self._deltas: dict[int, configuration.Delta | None] = {}
        self._encoded_snapshot: bytes | None = None

    def add(self, revised: RevisedSnapshot) -> None:
        """Add a revision that came into force and evict the oldest."""
        self._revisions[revised.mark.revision] = revised
        self._deltas.clear()
        self._encoded_snapshot = None
        while len(self._revisions) > self._max_revisions:
            self._revisions.popitem(last=False)

    def make_delta(self, base: RevisionMark) -> configuration.Delta | None:
        """Return the delta from the base to the newest revision.

        Return None if the base is unknown, or if the delta is larger than
        delta_share of the encoded snapshot.
        """
        kept_base = self._revisions.get(base.revision)
        if kept_base is None or kept_base.mark != base:
            return None
        if base.revision not in self._deltas:
            self._deltas[base.revision] = self._compute_delta(kept_base)
        return self._deltas[base.revision]

    def make_latest_delta(self) -> configuration.Delta | None:
        """Return the delta from the previous revision; see make_delta."""
        marks = [revised.mark for revised in self._revisions.values()]
        return self.make_delta(marks[-2]) if len(marks) > 1 else None

    @property
    def encoded_snapshot(self) -> bytes:
        """Encoded snapshot of the newest revision."""
        if self._encoded_snapshot is None:
            self._encoded_snapshot = dump_snapshot(self._newest.snapshot)
        return self._encoded_snapshot

    @property
    def _newest(self) -> RevisedSnapshot:
        return next(reversed(self._revisions.values()))

    def _compute_delta(
        self, base: RevisedSnapshot
    ) -> configuration.Delta | None:
        delta = make_delta(base, self._newest)
        limit = len(self.encoded_snapshot) * self._delta_share
        return delta if delta.ByteSize() <= limit else None


def decode_content(
    message: pb.PushRequest | pb.PullResponse, base: RevisedSnapshot | None
) -> RevisedSnapshot:
    """Return the revision in a message, applying its delta to the base.

    Raise MissingBaseError if the full snapshot has to be requested, and
    BadContentError if the content does not match the digest.
    """
    mark = decode_mark(message.mark)
    if message.snapshot or mark.digest == EMPTY_DIGEST:
        return decode_snapshot(mark, message.snapshot)
    if not message.HasField("delta") or base is None:
        raise MissingBaseError(
            f"message has no usable content of revision {mark.revision}"
        )
    try:
        revised = apply_delta(base, message.delta)
    except DeltaError as exc:
        raise MissingBaseError(exc.message) from exc
    if revised.mark != mark:
        raise MissingBaseError(
            f"delta does not produce revision {mark.revision} with its digest"
        )
    return revised


def encode_mark(mark: RevisionMark) -> pb.RevisionMark:
    """Return a mark as a protobuf message."""
    return pb.RevisionMark(revision=mark.revision, digest=mark.digest)


def decode_mark(message: pb.RevisionMark) -> RevisionMark:
    """Return the mark in a protobuf message."""
    return RevisionMark(message.revision, message.digest)
