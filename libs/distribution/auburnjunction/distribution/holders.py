"""The snapshot that is in force on a node."""

import enum
from collections.abc import Callable

from auburnjunction.base.logs import log_event
from auburnjunction.distribution.errors import BadContentError
from auburnjunction.model.codecs import digest_snapshot
from auburnjunction.model.snapshots import (
    NO_REVISION,
    RevisedSnapshot,
    RevisionMark,
)
from auburnjunction.model.validators import (
    InvalidSnapshotError,
    require_valid,
)

Listener = Callable[[RevisedSnapshot], None]


class RevisionOrigin(enum.StrEnum):
    """How a revision reached a node."""

    PLATFORM = "platform"
    COMMIT = "commit"
    PUSH = "push"
    PULL = "pull"


class SnapshotHolder:
    """Holds the snapshot in force; only a higher revision replaces it.

    Snapshots are replaced as a whole and never modified, so a request
    that reads current once uses the same snapshot throughout.
    """

    def __init__(self):
        self.current: RevisedSnapshot | None = None
        self._listeners: list[Listener] = []

    @property
    def mark(self) -> RevisionMark:
        """Revision and digest in force; NO_REVISION before the first one."""
        return self.current.mark if self.current else NO_REVISION

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each snapshot that comes into force."""
        self._listeners.append(listener)

    def adopt(self, revised: RevisedSnapshot, origin: RevisionOrigin) -> bool:
        """Bring a snapshot into force if its revision is higher.

        Return whether it was adopted. Raise BadContentError, and keep the
        snapshot in force, if it is not valid or its digest differs.
        """
        if revised.mark.revision <= self.mark.revision:
            return False
        require_valid_content(revised)
        self.current = revised
        log_event(
            "configuration in force",
            revision=revised.mark.revision,
            origin=origin.value,
        )
        for listener in self._listeners:
            listener(revised)
        return True


def has_organisations(holder: SnapshotHolder) -> bool:
    """Return whether the snapshot in force holds organisations."""
    current = holder.current
    return current is not None and bool(current.snapshot.organisations)


def require_valid_content(revised: RevisedSnapshot) -> None:
    """Raise BadContentError if the content is invalid or corrupt."""
    revision = revised.mark.revision
    if digest_snapshot(revised.snapshot) != revised.mark.digest:
        raise BadContentError(
            f"content of revision {revision} does not match its digest"
        )
    try:
        require_valid(revised.snapshot)
    except InvalidSnapshotError as exc:
        raise BadContentError(
            f"revision {revision} is not valid: {exc.message}"
        ) from exc
