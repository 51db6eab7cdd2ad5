"""Snapshots in the platform's object store, named by digest."""

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


def parse_content(mark: RevisionMark, content: bytes) -> RevisedSnapshot:
    """Return the snapshot of its whole bytes.

    Raise BadContentError when they are not what the digest names.
    """
    if digest_content(content) != mark.digest:
        raise BadContentError(
            f"content of revision {mark.revision} does not match its digest"
        )
    try:
        return RevisedSnapshot(mark, load_snapshot(content))
    except CodecError as exc:
        raise BadContentError(
            f"content of revision {mark.revision}: {exc.message}"
        ) from exc


async def fetch_content(
    objects: ObjectStore, mark: RevisionMark, timeout_s: float
) -> RevisedSnapshot:
    """Read a revision's content from the object store.

    Raise BadContentError when it is missing or corrupt, and the store's
    UnavailableError.
    """
    content = await objects.get(mark.digest, timeout_s)
    if content is None:
        raise BadContentError(
            f"content of revision {mark.revision} is missing"
        )
    return parse_content(mark, content)
