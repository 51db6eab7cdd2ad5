"""Crashes and clearances that nodes tell each other."""

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.membership.clearances import (
    MAX_SENT_CLEARANCES,
    Clearance,
    encode_clearances,
)
from auburnjunction.membership.crashes import (
    MAX_SENT_RECORDS,
    Crash,
    CrashLog,
    encode_crashes,
)
from auburnjunction.schema import control_pb2 as pb


@attrs.define(slots=True)
class CrashNews:
    """Crashes and clearances of requests."""

    crashes: list[Crash] = attrs.field(factory=list)
    clearances: list[Clearance] = attrs.field(factory=list)

    def __bool__(self) -> bool:
        return bool(self.crashes or self.clearances)

    def take(self) -> "CrashNews":
        """Remove and return as much as a message carries."""
        taken = CrashNews(
            self.crashes[:MAX_SENT_RECORDS],
            self.clearances[:MAX_SENT_CLEARANCES],
        )
        del self.crashes[:MAX_SENT_RECORDS]
        del self.clearances[:MAX_SENT_CLEARANCES]
        return taken

    def write_to(
        self, message: pb.GossipRequest | pb.GossipResponse, clock: Clock
    ) -> None:
        """Add the news to a message."""
        message.crashes.extend(encode_crashes(self.crashes, clock))
        message.clearances.extend(encode_clearances(self.clearances, clock))


def select_news(log: CrashLog) -> CrashNews:
    """Return what a node tells another one that knows something else."""
    return CrashNews(log.select(), log.clearances.select())
