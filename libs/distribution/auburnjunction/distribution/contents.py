"""Snapshots in the platform's object store, addressed by digest."""

from auburnjunction.distribution.errors import BadContentError
from auburnjunction.model.codecs import (
    CodecError,
    digest_content,
    load_snapshot,
)
from auburnjunction.model.snapshots import (
    RevisedSnapshot,
    RevisionMark,
)
from auburnjunction.storage.objects import ObjectStore


def decode_snapshot(mark: RevisionMark, content: bytes) -> RevisedSnapshot:
    """Decode an encoded snapshot.

    Raise BadContentError if it does not match the digest of the mark or
    cannot be decoded.
    """
    if digest_content(content) != mark.digest:
        raise BadContentError(
            f"content of revision {mark.revision} does not match its digest"
        )
    try:
        return RevisedSnapshot(mark, load_snapshot(content))
    except CodecError as exc:
        raise BadContentError(
            f"content of revision {mark.revision} is invalid: {exc.message}"
        ) from exc


async def fetch_content(
    objects: ObjectStore, mark: RevisionMark, timeout_s: float
) -> RevisedSnapshot:
    """Read a revision's content from the object store.

    Raise BadContentError if it is missing or corrupt, and UnavailableError
    if the store cannot be read.
    """
    content = await objects.get(mark.digest, timeout_s)
    if content is None:
        raise BadContentError(
            f"content of revision {mark.revision} is not in the object store"
        )
    return decode_snapshot(mark, content)
