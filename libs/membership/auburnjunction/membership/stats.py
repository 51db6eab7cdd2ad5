"""Counters of membership."""

import attrs


@attrs.define(slots=True)
class MembershipStats:
    """Counters since the start of the process.

    Bytes are those of the bodies of requests and responses that were
    sent; cross means between data centres.
    """

    exchanges: int = 0
    failed_exchanges: int = 0
    cross_exchanges: int = 0
    failed_cross_exchanges: int = 0
    bytes_sent: int = 0
    cross_bytes_sent: int = 0
    urgent_pushes: int = 0
    repairs: int = 0
    full_syncs: int = 0
    probes: int = 0
    indirect_probes: int = 0
    suspicions: int = 0
    burials: int = 0
    refutations: int = 0
    pauses: int = 0
    # Records of crashes that were new to this node, its own included.
    crash_records: int = 0
    table_reads: int = 0
    table_writes: int = 0

    def count_request(self, size: int, cross: bool) -> None:
        """Count an exchange and the bytes of its request."""
        if cross:
            self.cross_exchanges += 1
            self.cross_bytes_sent += size
        else:
            self.exchanges += 1
            self.bytes_sent += size

    def count_response(self, size: int, cross: bool) -> None:
        """Count the bytes of a response."""
        if cross:
            self.cross_bytes_sent += size
        else:
            self.bytes_sent += size
