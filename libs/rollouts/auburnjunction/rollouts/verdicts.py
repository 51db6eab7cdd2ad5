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
# The same at the end of the ramp, by when a verdict is due, for failures and
# for durations, and the progress between which it falls. Durations of good
# versions differ more.
LATE_LOG_RATIO = 4.5
LATE_SLOW_LOG_RATIO = 6.5
FALLING_PROGRESS = (0.8, 1.0)
# Logarithm of the ratio from which the share is not raised.
SUSPICIOUS_LOG_RATIO = 2.5
# Fewest bad answers for a verdict. One crashed instance fails its running
# requests, up to 3, at once.
MIN_BAD_ANSWERS = 6
# Fewest bad answers, and their share, beside those of the worst instance,
# whose host may be at fault and not the version. Before acceptance, at least
# one instance in each data centre is in use.
MIN_OTHER_BAD_ANSWERS = 3
MIN_OTHER_BAD_SHARE = 0.25
# Answers from which an instance counts as tried.
MIN_INSTANCE_ANSWERS = 3
# Share of bad answers that a good version may have beyond the old one's.
BAD_MARGIN = 0.015
# Shares of answers that a bad version fails beyond the null hypothesis.
BAD_ALTERNATIVES = (0.03, 0.08, 0.2, 0.4, 0.8)
# An answer is slow if it takes longer than this quantile of the old ones.
SLOW_QUANTILE = 0.75
# Share of slow answers that a good version may have: a third of its
# instances may be on a host that is slowed down five times.
SLOW_NULL = 0.6
SLOW_MARGIN = 0.2
SLOW_ALTERNATIVES = (0.75, 0.85, 0.97)
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


# Causes of verdicts.
FAILURES = "failures"
DURATIONS = "durations"
# Route under which the answers of all routes are judged together.
ALL_ROUTES = 0


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
    return max(SLOW_NULL, min(0.65, find_upper_share(old) + SLOW_MARGIN))


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


def find_condemning_ratio(cause: str, progress: float) -> float:
    """Return the log likelihood ratio at which the target is condemned."""
    late = LATE_LOG_RATIO if cause == FAILURES else LATE_SLOW_LOG_RATIO
    first, last = FALLING_PROGRESS
    part = min(max((progress - first) / (last - first), 0.0), 1.0)
    ratio = CONDEMNING_LOG_RATIO
    return max(late, ratio + part * (LATE_LOG_RATIO - ratio))


class Judge:
    """Assesses a target by the evidence held of it."""

    def assess(self, book: EvidenceBook, progress: float) -> Assessment:
        """Return the assessment over all spans that end now."""
        firsts = sorted(book.sums)
        if not firsts:
            return Assessment()
        totals = book.sum_from(firsts[0])
        worst = (0.0, ALL_ROUTES, "")
        sums: Counts = {}
        for first in reversed(firsts):
            add_counts(sums, book.sums[first])
            worst = max(worst, self._judge_span(sums, totals))
        log_ratio, route, cause = worst
        return Assessment(
            log_ratio,
            route,
            cause,
            log_ratio >= find_condemning_ratio(cause, progress)
            and self._has_causes(cause, totals),
            self._is_accepted(totals),
            _sum_values(totals, Kind.TARGET, 0),
            _sum_values(totals, Kind.TARGET, 1),
            _sum_values(totals, Kind.SEEN, 0),
        )

    def _judge_span(
        self, sums: Counts, totals: Counts
    ) -> tuple[float, int, str]:
        """Return the strongest evidence in the counts of a span."""
        target = _read_all(sums, Kind.TARGET)
        found = [(0.0, ALL_ROUTES, "")]
        ratio = self._judge_failures(target, _read_all(sums, Kind.OLD))
        found.append((ratio, ALL_ROUTES, FAILURES))
        for route in _list_routes(sums):
            values = sums[Kind.TARGET, route]
            old = sums.get((Kind.OLD, route), [0, 0])
            ratio = self._judge_failures(
                _read_sample(values), _read_sample(old)
            )
            found.append((ratio, route, FAILURES))
            slow = split_slow(values, old) or split_slow(
                values, totals.get((Kind.OLD, route), [])
            )
            if slow is not None:
                ratio = find_log_ratio(
                    slow[0], find_slow_null(slow[1]), SLOW_ALTERNATIVES
                )
                found.append((ratio, route, DURATIONS))
        return max(found)

    def _judge_failures(self, target: Sample, old: Sample) -> float:
        ratio = find_bad_log_ratio(target, old)
        if target.hits < MIN_BAD_ANSWERS:
            return min(ratio, LATE_LOG_RATIO - 1)
        return ratio

    def _has_causes(self, cause: str, totals: Counts) -> bool:
        """Return whether bad answers are not those of one instance only."""
        if cause != FAILURES:
            return True
        tried = [
            values
            for (kind, _), values in totals.items()
            if kind is Kind.INSTANCE and values[0] >= MIN_INSTANCE_ANSWERS
        ]
        bad = [values[1] if len(values) > 1 else 0 for values in tried]
        if len(bad) < 2:
            return True
        required = max(MIN_OTHER_BAD_ANSWERS, MIN_OTHER_BAD_SHARE * sum(bad))
        return sum(bad) - max(bad) >= required

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


def _read_all(sums: Counts, kind: Kind) -> Sample:
    return Sample(_sum_values(sums, kind, 0), _sum_values(sums, kind, 1))


def _sum_values(sums: Counts, kind: Kind, position: int) -> int:
    return sum(
        values[position]
        for (found, _), values in sums.items()
        if found is kind and len(values) > position
    )
