"""State of one service: versions, its roll-out and this node's share."""

import math
import random
from collections.abc import Sequence

import attrs

from auburnjunction.model.services import Instance
from auburnjunction.rollouts.baselines import Baseline
from auburnjunction.rollouts.counters import (
    FIRST_BUCKET,
    EvidenceBook,
    Kind,
    OwnCounters,
    find_bucket,
    find_slice,
    hash_name,
)
from auburnjunction.rollouts.exposures import (
    RARE_ROUTE_FACTOR,
    ExposureBudget,
    make_budget,
)
from auburnjunction.rollouts.orders import Phase, Rollout, merge_rollouts
from auburnjunction.rollouts.schedules import (
    Situation,
    may_accept,
    plan_share,
)
from auburnjunction.rollouts.settings import RolloutSettings
from auburnjunction.rollouts.splits import (
    COLD_PROGRESS,
    SLOW_START_S,
    NodeIdentity,
    Split,
    VersionSplitter,
)
from auburnjunction.rollouts.verdicts import Assessment, Judge

# Answers of the old version that are counted for each request to the
# target, so that both are compared over the same time.
OLD_ANSWERS_PER_REQUEST = 2
MAX_OLD_CREDIT = 40
# A route is rare below this share of the requests seen.
RARE_ROUTE_SHARE = 0.1
# Shortest time between judgements, each of which takes about 1 ms for 61
# nodes.
JUDGING_INTERVAL_S = 0.2
# Progress from which requests still running at old instances no longer keep
# this node from reporting that it sends to the target only.
WAIT_PROGRESS = 1.15


@attrs.frozen(slots=True)
class Selection:
    """Instances that a call may use, and whether others may be used next."""

    instances: Sequence[Instance]
    has_fallback: bool = False


class ServiceState:
    """What this node knows and decides of one service's versions."""

    def __init__(
        self,
        identity: NodeIdentity,
        settings: RolloutSettings,
        rng: random.Random,
    ):
        self._identity = identity
        self._settings = settings
        self._random = rng
        self._judge = Judge()
        self._splitter = VersionSplitter(identity)
        self.rollout: Rollout | None = None
        self._reset()

    def _reset(self) -> None:
        self.book = EvidenceBook()
        self.own = OwnCounters(
            self.book, self._identity.source, self._identity.node
        )
        self.budget = ExposureBudget(0.0, 0.0)
        self.assessment = Assessment()
        self.share = 0.0
        self.accepted_progress: float | None = None
        self.running_old = 0
        self._judged_revision = -1
        self._judged_s = -math.inf
        self._old_credits: dict[str, int] = {}
        self._seen: dict[str, int] = {}
        self._splitter.invalidate()

    @property
    def data_centre(self) -> str:
        """Data centre of this node."""
        return self._identity.data_centre

    def observe_instances(
        self, instances: Sequence[Instance], now_s: float
    ) -> None:
        """Record since when instances are ready."""
        self._splitter.observe_instances(instances, now_s)

    @property
    def baseline(self) -> Baseline | None:
        """The version taken to be in force before a roll-out."""
        return self._splitter.baseline

    @property
    def is_active(self) -> bool:
        """Whether a roll-out is under way and not condemned."""
        return self.rollout is not None and self.rollout.phase.is_active

    @property
    def is_full(self) -> bool:
        """Whether this node sends to the target only, and none is left."""
        return self.share >= 1.0 and not self.running_old

    def adopt(self, received: Rollout, node_count: int) -> bool:
        """Merge a copy of the service's roll-out; return whether it is news.

        The budget of a new roll-out is this node's part among node_count.
        """
        held = self.rollout
        merged = merge_rollouts(held, received)
        if merged == held:
            return False
        is_new = held is None or held.order.target != merged.order.target
        if not is_new and held.phase.is_final and not merged.phase.is_final:
            is_new = True
        if is_new:
            self._reset()
            self._splitter.start_rollout(merged, held)
            self.budget = make_budget(self._settings, node_count, self._random)
        self.rollout = merged
        self._splitter.invalidate()
        if merged.phase is Phase.COMPLETED:
            self._splitter.baseline = Baseline(
                merged.order.target, merged.started_s
            )
            self.share = 1.0
        elif not merged.phase.is_active:
            self.share = 0.0
        return (
            held is None
            or merged.order != held.order
            or merged.phase is not held.phase
        )

    def advance(self, phase: Phase) -> bool:
        """Raise the phase of the roll-out; return whether it was lower."""
        if self.rollout is None or self.rollout.phase >= phase:
            return False
        return self.adopt(attrs.evolve(self.rollout, phase=phase), 1)

    def adopt_baseline(self, received: Baseline) -> None:
        """Merge another node's belief of the version in force."""
        self._splitter.adopt_baseline(received)

    def select(
        self,
        route: str,
        instances: Sequence[Instance],
        is_first: bool,
        now_s: float,
    ) -> Selection:
        """Return the instances for an attempt of a call.

        Only first attempts are drawn for the target, as calls that it has
        failed are retried at the old version.
        """
        split = self._split(instances, now_s)
        rollout = self.rollout
        if rollout is None or rollout.phase in (
            Phase.CONDEMNED,
            Phase.ROLLED_BACK,
        ):
            return Selection(split.old)
        if rollout.phase is Phase.COMPLETED:
            return Selection(split.target)
        return self._select_active(split, route, is_first, now_s)

    def _split(self, instances: Sequence[Instance], now_s: float) -> Split:
        return self._splitter.split(instances, self.rollout, self.share, now_s)

    def _select_active(
        self, split: Split, route: str, is_first: bool, now_s: float
    ) -> Selection:
        if is_first:
            index = find_slice(self.rollout.find_progress(now_s))
            self.own.count(index, (Kind.SEEN, hash_name(route)), 0)
            self._seen[route] = self._seen.get(route, 0) + 1
        if not split.old or (self.share >= 1.0 and split.target):
            if is_first:
                self._grant_old_answers(route)
            return Selection(split.target)
        if not is_first:
            return Selection(split.old)
        share = self.share if split.chosen else 0.0
        is_limited = self.accepted_progress is None
        factor = self._find_factor(route) if is_limited else 1.0
        if not self.budget.draw(
            route, share, factor, is_limited, self._random.random()
        ):
            return Selection(split.old)
        self._grant_old_answers(route)
        return Selection(split.chosen, True)

    def _find_factor(self, route: str) -> float:
        seen = self._seen[route]
        is_rare = seen < RARE_ROUTE_SHARE * self.budget.seen
        return RARE_ROUTE_FACTOR if is_rare else 1.0

    def _grant_old_answers(self, route: str) -> None:
        credit = self._old_credits.get(route, 0) + OLD_ANSWERS_PER_REQUEST
        self._old_credits[route] = min(credit, MAX_OLD_CREDIT)

    def count_answer(
        self,
        route: str,
        instance: Instance,
        is_bad: bool,
        is_timeout: bool,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Count an answer of either version, or its failure to come."""
        if not self.is_active:
            return
        is_target = instance.version == self.rollout.order.target
        if not is_target and not self._take_old_credit(route):
            return
        is_warm = self._splitter.is_warm(instance, now_s, SLOW_START_S)
        if is_timeout and not is_warm:
            return
        index = find_slice(self.rollout.find_progress(now_s))
        kind = Kind.TARGET if is_target else Kind.OLD
        keys = [(kind, hash_name(route))]
        if is_target:
            keys.append((Kind.INSTANCE, hash_name(instance.instance)))
        for key in keys:
            self.own.count(index, key, 0)
            if is_bad:
                self.own.count(index, key, 1)
        if is_warm:
            position = FIRST_BUCKET + find_bucket(duration_s)
            self.own.count(index, keys[0], position)

    def _take_old_credit(self, route: str) -> bool:
        credit = self._old_credits.get(route, 0)
        if credit < 1:
            return False
        self._old_credits[route] = credit - 1
        return True

    def refresh(
        self,
        instances: Sequence[Instance],
        now_s: float,
        has_contact: bool,
        has_majority: bool,
    ) -> bool:
        """Judge the target and plan its share; return on a new phase."""
        self.observe_instances(instances, now_s)
        if not self.is_active:
            return False
        is_due = now_s - self._judged_s >= JUDGING_INTERVAL_S
        if is_due and self._judged_revision != self.book.revision:
            self._judged_revision = self.book.revision
            self._judged_s = now_s
            progress = self.rollout.find_progress(now_s)
            self.assessment = self._judge.assess(self.book, progress)
        if self.assessment.is_condemned:
            return self.advance(Phase.CONDEMNED)
        self._splitter.invalidate()
        split = self._split(instances, now_s)
        situation = self._describe(split, now_s, has_contact)
        changed = False
        if self.rollout.phase is Phase.ACCEPTED:
            if self.accepted_progress is None:
                self.accepted_progress = situation.progress
                situation = self._describe(split, now_s, has_contact)
        elif has_majority and may_accept(situation):
            changed = self.advance(Phase.ACCEPTED)
        # Nodes may have been told that this one is full.
        if self.share < 1.0 or not split.target:
            self.share = plan_share(
                situation, self._settings.exposure_share, self.share
            )
        self._splitter.invalidate()
        return changed

    def _describe(
        self, split: Split, now_s: float, has_contact: bool
    ) -> Situation:
        progress = self.rollout.find_progress(now_s)
        warm = [i for i in split.target if self._splitter.is_warm(i, now_s)]
        if not warm and progress >= COLD_PROGRESS:
            warm = list(split.target)
        return Situation(
            progress,
            self.assessment,
            self.accepted_progress,
            sum(i.slots for i in warm),
            sum(i.slots for i in split.old),
            sum(i.data_centre == self.data_centre for i in split.target),
            has_contact,
            self._splitter.is_target_in_force,
        )

    def publish(self, now_s: float) -> None:
        """Publish this node's counters and whether it is full."""
        if self.rollout is None:
            return
        is_full = self.is_full
        if self.share >= 1.0 and not is_full:
            is_full = self.rollout.find_progress(now_s) >= WAIT_PROGRESS
        self.own.publish(now_s, is_full)
