"""Statistical judgement of a version by the evidence of the fleet.

The target is compared with the old version on the same route. A likelihood
ratio, averaged over alternatives, measures the evidence against it; under
the null hypothesis its expectation is at most 1 at any time, so that the
test may be repeated after each answer.
"""

import math
from bisect import bisect_left
from collections.abc import Sequence
from itertools import accumulate

import attrs

from auburnjunction.rollouts.counters import (
    FIRST_BUCKET,
    Counts,
    EvidenceBook,
    Kind,
    add_counts,
)

# Logarithm of the ratio at which the target is condemned: 1 in 60,000, as
# some 10 routes and 8 first slices are looked at in each roll-out.
CONDEMNING_LOG_RATIO = 11.0
# The same at the end of the ramp, by when a verdict is due, and the progress
# between which it falls. A good version is rarely under suspicion then.
LATE_LOG_RATIO = 4.5
FALLING_PROGRESS = (0.8, 1.0)
# Logarithm of the ratio from which the share is not raised.
SUSPICIOUS_LOG_RATIO = 2.5
# Fewest bad answers for a verdict. One crashed instance fails its running
# requests, up to 3, at once.
MIN_BAD_ANSWERS = 6
# Fewest bad answers beside those of the worst instance, whose host may be
# at fault and not the version.
MIN_OTHER_BAD_ANSWERS = 3
# Answers from which an instance counts as tried.
MIN_INSTANCE_ANSWERS = 3
# Share of bad answers that a good version may have beyond the old one's.
BAD_MARGIN = 0.02
# Shares of answers that a bad version fails beyond the null hypothesis.
BAD_ALTERNATIVES = (0.08, 0.2, 0.4, 0.8)
# An answer is slow if it takes longer than this quantile of the old ones.
SLOW_QUANTILE = 0.75
# Share of slow answers that a good version may have: a third of its
# instances may be on a host that is slowed down five times.
SLOW_NULL = 0.5
SLOW_MARGIN = 0.2
SLOW_ALTERNATIVES = (0.7, 0.85, 0.97)
# Answers of the old version from which durations are compared.
MIN_OLD_DURATIONS = 20
# Bad share, beyond the null hypothesis, that acceptance has ruled out with
# a likelihood ratio of 10.
ACCEPTED_ALTERNATIVE = 0.08
ACCEPTING_LOG_RATIO = -2.3
# A route must be accepted by itself from this many requests and this share
# of all.
MIN_ROUTE_REQUESTS = 100
MIN_ROUTE_SHARE = 0.005


@attrs.frozen(slots=True)
class Sample:
    """Answers of one version on one route: all, and those of a kind."""

    answers: int
    hits: int


@attrs.frozen(slots=True)
class Assessment:
    """What the evidence says of a target."""

    # Greatest log likelihood ratio against it, and its route and cause.
    log_ratio: float = 0.0
    route: int = 0
    cause: str = ""
    is_condemned: bool = False
    # Whether each route that has requests is accepted by itself.
    is_accepted: bool = False
    answers: int = 0
    bad: int = 0
    requests: int = 0

    @property
    def is_suspicious(self) -> bool:
        """Whether the share should not be raised."""
        return self.log_ratio > SUSPICIOUS_LOG_RATIO


def find_upper_share(sample: Sample) -> float:
    """Return a share of hits that the true one rarely exceeds."""
    answers = sample.answers + 2
    share = (sample.hits + 1) / answers
    return share + math.sqrt(share * (1 - share) / answers)


def find_log_ratio(
    sample: Sample, null: float, alternatives: Sequence[float]
) -> float:
    """Return the log of the mean likelihood ratio of the alternatives."""
    misses = sample.answers - sample.hits
    logs = [
        sample.hits * math.log(share / null)
        + misses * math.log((1 - share) / (1 - null))
        for share in alternatives
    ]
    greatest = max(logs)
    total = sum(math.exp(value - greatest) for value in logs)
    return greatest + math.log(total / len(logs))


def find_bad_null(old: Sample) -> float:
    """Return the share of bad answers that the target may have."""
    return min(0.5, find_upper_share(old) + BAD_MARGIN)


def find_bad_log_ratio(target: Sample, old: Sample) -> float:
    """Return the evidence of failures beyond those of the old version."""
    null = find_bad_null(old)
    shares = [null + (1 - null) * share for share in BAD_ALTERNATIVES]
    return find_log_ratio(target, null, shares)


def find_slow_null(old: Sample) -> float:
    """Return the share of slow answers that the target may have."""
    return max(SLOW_NULL, min(0.6, find_upper_share(old) + SLOW_MARGIN))


def split_slow(
    target: Sequence[int], old: Sequence[int]
) -> tuple[Sample, Sample] | None:
    """Return the slow answers of both, None if the old ones are too few."""
    old_buckets = old[FIRST_BUCKET:]
    old_total = sum(old_buckets)
    if old_total < MIN_OLD_DURATIONS:
        return None
    cumulated = list(accumulate(old_buckets))
    limit = bisect_left(cumulated, SLOW_QUANTILE * old_total)
    target_buckets = target[FIRST_BUCKET:]
    return (
        Sample(sum(target_buckets), sum(target_buckets[limit + 1 :])),
        Sample(old_total, old_total - cumulated[limit]),
    )


def find_condemning_ratio(progress: float) -> float:
    """Return the log likelihood ratio at which the target is condemned."""
    first, last = FALLING_PROGRESS
    part = min(max((progress - first) / (last - first), 0.0), 1.0)
    return CONDEMNING_LOG_RATIO + part * (
        LATE_LOG_RATIO - CONDEMNING_LOG_RATIO
    )


class Judge:
    """Assesses a target by the evidence held of it."""

    def assess(self, book: EvidenceBook, progress: float) -> Assessment:
        """Return the assessment over all spans that end now."""
        firsts = sorted(book.sums)
        if not firsts:
            return Assessment()
        totals = book.sum_from(firsts[0])
        worst = (0.0, 0, "")
        sums: Counts = {}
        for first in reversed(firsts):
            add_counts(sums, book.sums[first])
            for route in _list_routes(sums):
                worst = max(worst, self._judge_route(sums, totals, route))
        log_ratio, route, cause = worst
        return Assessment(
            log_ratio,
            route,
            cause,
            log_ratio >= find_condemning_ratio(progress)
            and self._has_causes(cause, totals),
            self._is_accepted(totals),
            _sum_values(totals, Kind.TARGET, 0),
            _sum_values(totals, Kind.TARGET, 1),
            _sum_values(totals, Kind.SEEN, 0),
        )

    def _judge_route(
        self, sums: Counts, totals: Counts, route: int
    ) -> tuple[float, int, str]:
        target = sums[Kind.TARGET, route]
        old = sums.get((Kind.OLD, route), [0, 0])
        bad = find_bad_log_ratio(_read_sample(target), _read_sample(old))
        if target[1] < MIN_BAD_ANSWERS:
            bad = min(bad, LATE_LOG_RATIO - 1)
        found = max((0.0, route, ""), (bad, route, "failures"))
        slow = split_slow(target, old) or split_slow(
            target, totals.get((Kind.OLD, route), [])
        )
        if slow is not None:
            ratio = find_log_ratio(
                slow[0], find_slow_null(slow[1]), SLOW_ALTERNATIVES
            )
            found = max(found, (ratio, route, "durations"))
        return found

    def _has_causes(self, cause: str, totals: Counts) -> bool:
        """Return whether bad answers are not those of one instance only."""
        if cause != "failures":
            return True
        tried = [
            values
            for (kind, _), values in totals.items()
            if kind is Kind.INSTANCE and values[0] >= MIN_INSTANCE_ANSWERS
        ]
        bad = [values[1] if len(values) > 1 else 0 for values in tried]
        if len(bad) < 2:
            return True
        return sum(bad) - max(bad) >= MIN_OTHER_BAD_ANSWERS

    def _is_accepted(self, totals: Counts) -> bool:
        requests = _sum_values(totals, Kind.SEEN, 0)
        required = max(MIN_ROUTE_REQUESTS, requests * MIN_ROUTE_SHARE)
        routes = [
            route
            for (kind, route), values in totals.items()
            if kind is Kind.SEEN and values[0] >= required
        ]
        return bool(routes) and all(
            self._is_route_accepted(totals, route) for route in routes
        )

    def _is_route_accepted(self, totals: Counts, route: int) -> bool:
        target = totals.get((Kind.TARGET, route), [0, 0])
        old = totals.get((Kind.OLD, route), [0, 0])
        null = find_bad_null(_read_sample(old))
        shares = (null + (1 - null) * ACCEPTED_ALTERNATIVE,)
        ratio = find_log_ratio(_read_sample(target), null, shares)
        if ratio > ACCEPTING_LOG_RATIO:
            return False
        slow = split_slow(target, old)
        if slow is None:
            return True
        return find_upper_share(slow[0]) < find_slow_null(slow[1])


def _list_routes(sums: Counts) -> list[int]:
    return [route for kind, route in sums if kind is Kind.TARGET]


def _read_sample(values: Sequence[int]) -> Sample:
    bad = values[1] if len(values) > 1 else 0
    return Sample(values[0] if values else 0, bad)


def _sum_values(sums: Counts, kind: Kind, position: int) -> int:
    return sum(
        values[position]
        for (found, _), values in sums.items()
        if found is kind and len(values) > position
    )
