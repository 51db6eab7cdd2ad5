"""Protobuf messages of reports, grants and ledgers."""

import math
from collections.abc import Iterable

from auburnjunction.organisations.holdings import Grant, Report
from auburnjunction.organisations.ledgers import LedgerState
from auburnjunction.schema import quotas_pb2 as pb

MILLISECONDS_PER_SECOND = 1000


def encode_reports(
    node: str, incarnation: int, node_count: int, reports: Iterable[Report]
) -> pb.QuotaRequest:
    """Return the message with a node's reports."""
    return pb.QuotaRequest(
        node=node,
        incarnation=incarnation,
        node_count=node_count,
        reports=[
            pb.QuotaReport(
                organisation=report.organisation,
                account=report.account,
                used=report.used,
                returned=report.returned,
                refunded=report.refunded,
                wish=report.wish,
            )
            for report in reports
        ],
    )


def decode_reports(message: pb.QuotaRequest) -> list[Report]:
    """Return the reports in a message."""
    return [
        Report(
            item.organisation,
            item.account,
            item.used,
            item.returned,
            item.refunded,
            item.wish,
        )
        for item in message.reports
    ]


def encode_grants(
    node_count: int, grants: Iterable[Grant]
) -> pb.QuotaResponse:
    """Return the message with a home node's grants."""
    return pb.QuotaResponse(
        node_count=node_count,
        grants=[
            pb.QuotaGrant(
                organisation=grant.organisation,
                account=grant.account,
                granted=grant.granted,
                lease_ms=_round_down(grant.lease_s),
                room_ms=_round_up(grant.room_s),
                full_room_ms=_round_up(grant.full_room_s),
            )
            for grant in grants
        ],
    )


def decode_grants(message: pb.QuotaResponse) -> list[Grant]:
    """Return the grants in a message."""
    return [
        Grant(
            item.organisation,
            item.account,
            item.granted,
            item.lease_ms / MILLISECONDS_PER_SECOND,
            item.room_ms / MILLISECONDS_PER_SECOND,
            item.full_room_ms / MILLISECONDS_PER_SECOND,
        )
        for item in message.grants
    ]


def encode_ledgers(
    states: Iterable[LedgerState], kept: Iterable[str]
) -> pb.LedgerResponse:
    """Return the message that hands over ledgers.

    Ages are rounded down and other times up, so that nothing counts for a
    shorter time at the new home node.
    """
    return pb.LedgerResponse(
        ledgers=[
            pb.QuotaLedger(
                organisation=state.organisation,
                counts=[
                    pb.LedgerCount(age_ms=_round_down(age_s), count=count)
                    for age_s, count in state.counts
                ],
                outstanding=state.outstanding,
                expires_ms=_round_up(state.expires_in_s),
                ready_ms=_round_up(state.ready_in_s),
            )
            for state in states
        ],
        kept=kept,
    )


def decode_ledgers(message: pb.LedgerResponse) -> list[LedgerState]:
    """Return the ledgers in a message."""
    return [
        LedgerState(
            item.organisation,
            tuple(
                (entry.age_ms / MILLISECONDS_PER_SECOND, entry.count)
                for entry in item.counts
            ),
            item.outstanding,
            item.expires_ms / MILLISECONDS_PER_SECOND,
            item.ready_ms / MILLISECONDS_PER_SECOND,
        )
        for item in message.ledgers
    ]


def _round_down(duration_s: float) -> int:
    return int(duration_s * MILLISECONDS_PER_SECOND)


def _round_up(duration_s: float) -> int:
    return math.ceil(duration_s * MILLISECONDS_PER_SECOND)
