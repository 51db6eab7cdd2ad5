"""Crashes and clearances in the gossip between nodes."""

import attrs

from auburnjunction.base.clocks import Clock
from auburnjunction.membership.clearances import (
    MAX_SENT_CLEARANCES,
    Clearance,
    decode_clearances,
    encode_clearances,
)
from auburnjunction.membership.crashes import (
    MAX_SENT_RECORDS,
    Crash,
    CrashLog,
    decode_crashes,
    encode_crashes,
)
from auburnjunction.schema import control_pb2 as pb


@attrs.define(slots=True)
class CrashUpdate:
    """Crashes under requests, and clearances of requests."""

    crashes: list[Crash] = attrs.field(factory=list)
    clearances: list[Clearance] = attrs.field(factory=list)

    def __bool__(self) -> bool:
        return bool(self.crashes or self.clearances)

    def take(self) -> "CrashUpdate":
        """Remove and return as much as a message carries."""
        taken = CrashUpdate(
            self.crashes[:MAX_SENT_RECORDS],
            self.clearances[:MAX_SENT_CLEARANCES],
        )
        del self.crashes[:MAX_SENT_RECORDS]
        del self.clearances[:MAX_SENT_CLEARANCES]
        return taken

    def write_to(
        self, message: pb.GossipRequest | pb.GossipResponse, clock: Clock
    ) -> None:
        """Add the records to a message."""
        message.crashes.extend(encode_crashes(self.crashes, clock))
        message.clearances.extend(encode_clearances(self.clearances, clock))


def read_update(
    message: pb.GossipRequest | pb.GossipResponse, clock: Clock
) -> CrashUpdate:
    """Return the records of a message, without incomplete ones."""
    return CrashUpdate(
        decode_crashes(message.crashes, clock),
        decode_clearances(message.clearances, clock),
    )


def select_update(log: CrashLog) -> CrashUpdate:
    """Return the update for a peer whose digest differs."""
    return CrashUpdate(log.select(), log.clearances.select())
