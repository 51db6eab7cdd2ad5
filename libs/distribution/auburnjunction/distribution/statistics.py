"""Counters of the distribution of revisions."""

import attrs


@attrs.define
class DistributionStats:
    """Counts since the start; bytes are the sum of sent and received.

    Each exchange is counted only by the node that sends the request.
    """

    pushes: int = 0
    pulls: int = 0
    failed_exchanges: int = 0
    bytes_local: int = 0
    bytes_remote: int = 0
    platform_reads: int = 0
    failed_platform_reads: int = 0
    fall_back_reads: int = 0
    deltas: int = 0
    wholes: int = 0
    rejected: int = 0
