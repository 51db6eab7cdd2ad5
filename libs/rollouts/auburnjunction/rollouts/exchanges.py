"""Messages by which nodes exchange roll-outs and their evidence."""

from collections.abc import Mapping

import attrs

from auburnjunction.rollouts.baselines import Baseline
from auburnjunction.rollouts.counters import (
    Counts,
    Kind,
    SliceRecord,
    SourceUpdate,
)
from auburnjunction.rollouts.orders import Order, Phase, Rollout
from auburnjunction.rollouts.states import ServiceState
from auburnjunction.schema import control_pb2 as pb

MILLISECONDS_PER_SECOND = 1000
MAX_AGE_MS = 2**31 - 1


@attrs.frozen
class EvidenceMessage:
    """Evidence received of one service, and the sequences of the sender."""

    service: str
    target: str
    updates: list[SourceUpdate]
    held: dict[int, int]


def encode_age(since_s: float, now_s: float) -> int:
    """Return the milliseconds since then."""
    age_ms = (now_s - since_s) * MILLISECONDS_PER_SECOND
    return int(min(max(0.0, age_ms), MAX_AGE_MS))


def decode_age(age_ms: int, now_s: float) -> float:
    """Return the local time of something that many milliseconds ago."""
    return now_s - age_ms / MILLISECONDS_PER_SECOND


def encode_rollout(rollout: Rollout, now_s: float) -> pb.RolloutRecord:
    """Encode a roll-out as a message."""
    order = rollout.order
    return pb.RolloutRecord(
        service=order.service,
        target=order.target,
        ramp_ms=round(order.ramp_s * MILLISECONDS_PER_SECOND),
        era=order.era,
        version=order.version,
        phase=rollout.phase,
        age_ms=encode_age(rollout.started_s, now_s),
    )


def decode_rollout(message: pb.RolloutRecord, now_s: float) -> Rollout:
    """Decode a roll-out; raise ValueError if its phase is unknown."""
    order = Order(
        message.service,
        message.target,
        message.ramp_ms / MILLISECONDS_PER_SECOND,
        message.era,
        message.version,
    )
    started_s = decode_age(message.age_ms, now_s)
    return Rollout(order, started_s, Phase(message.phase))


def encode_evidence(
    service: str,
    state: ServiceState,
    updates: list[SourceUpdate],
    now_s: float,
) -> pb.RolloutEvidence:
    """Encode updates of a service's evidence and the sequences held."""
    held = state.book.list_sequences()
    return pb.RolloutEvidence(
        service=service,
        target=state.rollout.order.target,
        sources=[_encode_source(update, now_s) for update in updates],
        held_sources=list(held),
        held_sequences=list(held.values()),
    )


def decode_evidence(
    message: pb.RolloutEvidence, now_s: float
) -> EvidenceMessage:
    """Decode evidence; raise ValueError if it is malformed."""
    held = zip(message.held_sources, message.held_sequences, strict=True)
    return EvidenceMessage(
        message.service,
        message.target,
        [_decode_source(source, now_s) for source in message.sources],
        dict(held),
    )


def encode_baseline(
    service: str, baseline: Baseline, now_s: float
) -> pb.BaselineRecord:
    """Encode a belief of the version in force."""
    return pb.BaselineRecord(
        service=service,
        version=baseline.version,
        age_ms=encode_age(baseline.since_s, now_s),
    )


def decode_baseline(message: pb.BaselineRecord, now_s: float) -> Baseline:
    """Decode a belief of the version in force."""
    return Baseline(message.version, decode_age(message.age_ms, now_s))


def _encode_source(update: SourceUpdate, now_s: float) -> pb.RolloutSource:
    return pb.RolloutSource(
        source=update.source,
        node=update.node,
        sequence=update.sequence,
        age_ms=encode_age(update.published_s, now_s),
        full=update.is_full,
        slices=[
            pb.RolloutSlice(
                index=index,
                sequence=record.sequence,
                counters=_encode_counts(record.counts),
            )
            for index, record in update.slices.items()
        ],
    )


def _encode_counts(counts: Mapping) -> list[pb.RolloutCounter]:
    return [
        pb.RolloutCounter(kind=kind, id=name, values=values)
        for (kind, name), values in counts.items()
    ]


def _decode_source(message: pb.RolloutSource, now_s: float) -> SourceUpdate:
    return SourceUpdate(
        message.source,
        message.node,
        message.sequence,
        decode_age(message.age_ms, now_s),
        message.full,
        {
            part.index: SliceRecord(part.sequence, _decode_counts(part))
            for part in message.slices
        },
    )


def _decode_counts(message: pb.RolloutSlice) -> Counts:
    return {
        (Kind(counter.kind), counter.id): list(counter.values)
        for counter in message.counters
    }
