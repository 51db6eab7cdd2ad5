"""Plan of the target's share over the time of a roll-out."""

import math

import attrs

from auburnjunction.rollouts.exposures import SHARE_PART
from auburnjunction.rollouts.verdicts import Assessment

# Progress (share of the ramp) from which a version may be accepted. A later
# acceptance finds more versions that turn bad late, and leaves less time to
# raise the share; see docs/design/rollouts.md.
ACCEPTANCE_PROGRESS = 0.66
# Progress from which a version without suspicion is accepted though some
# route has too few answers: its service has few requests.
FORCED_PROGRESS = 0.78
# Progress from which suspicion that has not led to a verdict no longer
# keeps the roll-out from its end.
DECISION_PROGRESS = 1.0
# Answers required then, unless the service has fewer requests than these.
MIN_FORCED_ANSWERS = 10
MIN_FORCED_REQUESTS = 100
# Progress that the raise from the first shares to 1 takes, and the progress
# by which it ends.
RAISE_PROGRESS = 0.25
FULL_PROGRESS = 0.94
MIN_RAISE_PROGRESS = 0.1
# Shares before acceptance as parts of exposure_share: until enough answers
# were good, after that, and if answers are too few.
FIRST_PART = 0.25
HOLDING_PART = 0.5
FIRST_STEP_ANSWERS = 20
FEW_ANSWERS = 200
FEW_ANSWERS_PROGRESS = 0.2
# Room of the target, as a share of the old version's slots, that counts as
# all of it.
ENOUGH_ROOM = 0.9
# Progress from which the share no longer waits for more room.
ROOM_LIMIT_PROGRESS = 0.95


@attrs.frozen(slots=True)
class Situation:
    """What the plan depends on beside the time."""

    progress: float
    assessment: Assessment
    # Progress at acceptance; None before.
    accepted_progress: float | None
    # Slots of the ready, warmed instances of both versions.
    target_slots: int
    old_slots: int
    # Ready instances of the target in this data centre.
    local_targets: int = 0
    # Whether other nodes are heard from.
    has_contact: bool = True
    # Whether the target is the version in force already.
    is_in_force: bool = False


def find_room(situation: Situation) -> float:
    """Return the share that the target has room for."""
    if not situation.target_slots:
        return 0.0
    if situation.progress >= ROOM_LIMIT_PROGRESS or not situation.old_slots:
        return 1.0
    room = situation.target_slots / situation.old_slots
    return 1.0 if room >= ENOUGH_ROOM else room


def plan_share(
    situation: Situation, exposure_share: float, present: float
) -> float:
    """Return the target's share from now on; present is the one so far."""
    room = find_room(situation)
    if situation.accepted_progress is None:
        if not situation.has_contact:
            return 0.0
        return min(_plan_first(situation, exposure_share), room)
    share = _plan_raise(situation, exposure_share * HOLDING_PART)
    is_early = situation.progress < DECISION_PROGRESS
    if situation.assessment.is_suspicious and is_early:
        share = min(share, present)
    return min(share, room)


def _plan_first(situation: Situation, exposure_share: float) -> float:
    """Return the share before acceptance.

    With that of one instance, one of the data centre at a time gets the load
    of ordinary operation. Suspicion does not lower the share, as the verdict
    would only come later.
    """
    assessment = situation.assessment
    limit = exposure_share * SHARE_PART
    is_late = situation.progress >= FEW_ANSWERS_PROGRESS
    if is_late and assessment.answers < FEW_ANSWERS:
        return limit
    if assessment.answers < FIRST_STEP_ANSWERS:
        return exposure_share * FIRST_PART
    one_instance = 1.0 / max(1, situation.local_targets)
    return min(limit, max(exposure_share * HOLDING_PART, one_instance))


def _plan_raise(situation: Situation, first: float) -> float:
    """Return a share that grows by equal factors in equal times."""
    start = situation.accepted_progress
    span = min(RAISE_PROGRESS, FULL_PROGRESS - start)
    span = max(MIN_RAISE_PROGRESS, span)
    part = (situation.progress - start) / span
    if part >= 1.0:
        return 1.0
    return first * math.exp(part * -math.log(first))


def may_accept(situation: Situation) -> bool:
    """Return whether the version may be accepted now."""
    assessment = situation.assessment
    if not situation.target_slots:
        return False
    is_early = situation.progress < DECISION_PROGRESS
    if assessment.is_suspicious and is_early:
        return False
    if situation.is_in_force:
        return True
    if situation.progress < ACCEPTANCE_PROGRESS:
        return False
    if assessment.is_accepted:
        return True
    if situation.progress < FORCED_PROGRESS:
        return False
    return (
        assessment.answers >= MIN_FORCED_ANSWERS
        or assessment.requests < MIN_FORCED_REQUESTS
    )
