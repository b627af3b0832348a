"""Decides whether a candidate version is worse than the stable version.

Pure functions of counts, without a clock or a network. They detect versions
that fail part of their requests, on all routes or on one, at once, later or
under load, and versions whose answers or whose events come several times
slower.

Both versions are compared within periods of time. A period in which the stable
version itself is in trouble says little about the candidate, and is left out.
A candidate that is not shown to be worse is not therefore shown to be no worse:
that needs evidence of its own.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs

from rattanpier._internal.models.trials import Trials
from rattanpier._internal.relay.durations import (
    BUCKETS_PER_DOUBLING,
    NO_DURATIONS,
    DurationCounts,
    low_quantile,
)
from rattanpier._internal.utils.record import Record

# A version is called worse if a version that is no worse would give as many bad
# answers with less than this probability. It is small because the test is
# repeated several times a second, on each route.
SIGNIFICANCE_LEVEL = 0.002
# A version that is no worse would give as many bad answers with less than this
# probability: too likely to stop it, too unlikely to let it take over.
DOUBT_LEVEL = 0.02
# A version is called no worse if a bad one would give as few bad answers with
# less than this probability.
CLEARANCE_LEVEL = 0.05
# Share of bad answers beyond the stable version's from which on a version is
# bad for certain. Bad versions fail a portion of their requests.
CLEARANCE_MARGIN = 0.3
# The same on a single route, which has fewer answers.
ROUTE_CLEARANCE_MARGIN = 0.4
# Share of bad answers that operators tolerate in any version.
TOLERATED_FAILURE_RATE = 0.02
# New workers have empty caches and another load than old ones, so that more of
# their answers may be slow.
TOLERATED_SLOW_RATE = 0.1
MIN_BAD_ANSWERS = 2  # One bad answer proves nothing.
MIN_TIMED_ANSWERS = 6  # Of the stable version, before times are compared.
# An answer is slow if it takes twice as long as the stable version's fastest
# tenth, which shows the time without a queue.
FAST_SHARE = 0.1
SLOW_BUCKETS = BUCKETS_PER_DOUBLING
# The stable version is in trouble if this share of its answers is bad, or so
# many more than usual. Faults that last are part of the usual.
TROUBLED_RATE = 0.5
TROUBLED_MARGIN = 0.2
# Answers by which the rate of a period is drawn to that of all periods.
PRIOR_ANSWERS = 5.0


@attrs.frozen(eq=False, repr=False)
class Tally(Record):
    """Upstream requests of one version on one route, and their answers.

    Attributes:
      total: Answers to requests that a worker of the version began to process.
      bad: Of these, failures and corrupt or incomplete answers.
      sent: Upstream requests, whatever became of them.
      abandoned: Of these, those that ended without an answer: the caller left,
        another worker was faster, or the request moved on.
      first: Times to the head of the answer, each in relation to the work of
        its request, so that long and short requests can be compared.
      pace: Seconds from one event of a stream to the next.
    """

    total: int = 0
    bad: int = 0
    sent: int = 0
    abandoned: int = 0
    first: DurationCounts = NO_DURATIONS
    pace: DurationCounts = NO_DURATIONS

    def __add__(self, other: Tally) -> Tally:
        """Returns the sum of both tallies, field by field."""
        return Tally(
            self.total + other.total,
            self.bad + other.bad,
            self.sent + other.sent,
            self.abandoned + other.abandoned,
            self.first + other.first,
            self.pace + other.pace,
        )

    def __sub__(self, other: Tally) -> Tally:
        """Returns the increase since `other`, field by field."""
        return Tally(
            self.total - other.total,
            self.bad - other.bad,
            self.sent - other.sent,
            self.abandoned - other.abandoned,
            self.first - other.first,
            self.pace - other.pace,
        )


EMPTY_TALLY = Tally()


@attrs.frozen(eq=False, repr=False)
class Period(Record):
    """Requests of both versions in a period of time.

    Attributes:
      stable: Requests of the stable version, by route.
      candidate: Requests of the candidate, by route.
    """

    stable: Mapping[str, Tally]
    candidate: Mapping[str, Tally]


NO_TRIALS = Trials()


class Measure(enum.StrEnum):
    """In which respect an answer can be bad."""

    FAILURES = "fails more often"
    FIRST = "answers slower"
    PACE = "sends events slower"


class Verdict(enum.StrEnum):
    """What the evidence says of a candidate."""

    WORSE = "worse"
    NO_WORSE = "no worse"
    UNKNOWN = "unknown"


@attrs.frozen(eq=False, repr=False)
class Judgement(Record):
    """Verdict on a candidate, and the evidence that it rests on.

    Attributes:
      verdict: The verdict.
      reason: In which respect the version is worse or not known to be no worse;
        empty otherwise.
      route: Route that decided, or empty for all routes together.
      stable: Answers of the stable version in the periods that count.
      candidate: Answers of the candidate in these periods.
    """

    verdict: Verdict
    reason: str = ""
    route: str = ""
    stable: Trials = NO_TRIALS
    candidate: Trials = NO_TRIALS


@attrs.frozen(eq=False, repr=False)
class Cell(Record):
    """Answers of both versions on one route in one period, by one measure.

    Attributes:
      route: Name of the route.
      stable: Answers of the stable version.
      candidate: Answers of the candidate.
      expected_rate: Share of bad answers that the candidate may have.
      informative: Whether the stable version is not in trouble.
    """

    route: str
    stable: Trials
    candidate: Trials
    expected_rate: float
    informative: bool


# Answers of a version on a route, as judged by a measure.
Judge = Callable[[str, Tally], Trials]


def judge(periods: Sequence[Period]) -> Judgement:
    """Returns the verdict on a candidate.

    Args:
      periods: Requests of both versions, by period.
    """
    unknown = None
    for measure in Measure:
        cells = list(make_cells(periods, measure))
        found = find_regression(cells, measure)
        if found is not None and found.verdict is Verdict.WORSE:
            return found
        unknown = unknown or found or find_gap(cells, measure)
    return unknown or Judgement(Verdict.NO_WORSE)


def find_regression(
    cells: Sequence[Cell], measure: Measure
) -> Judgement | None:
    """Returns the judgement that the candidate is worse, or may be, or None."""
    doubt = None
    informative = [cell for cell in cells if cell.informative]
    routes = sorted({cell.route for cell in informative})
    for route in [*routes, ""]:
        chosen = [cell for cell in informative if route in ("", cell.route)]
        stable, candidate, rate = sum_cells(chosen)
        if candidate.bad < MIN_BAD_ANSWERS:
            continue
        chance = upper_tail(candidate.total, candidate.bad, rate)
        fields = measure.value, route, stable, candidate
        if chance < SIGNIFICANCE_LEVEL:
            return Judgement(Verdict.WORSE, *fields)
        if chance < DOUBT_LEVEL and doubt is None:
            doubt = Judgement(Verdict.UNKNOWN, *fields)
    return doubt


def find_gap(cells: Sequence[Cell], measure: Measure) -> Judgement | None:
    """Returns the judgement that evidence is missing, or None.

    While the stable version is in trouble, only a candidate that is well by
    itself is known to be no worse. Routes need evidence of their own only
    where the candidate failed more than once.
    """
    if measure is not Measure.FAILURES and not sum_cells(cells)[0].total:
        return None
    routes = [""]
    if measure is Measure.FAILURES:
        routes += sorted({cell.route for cell in cells})
    for route in routes:
        chosen = [cell for cell in cells if route in ("", cell.route)]
        if route and sum_cells(chosen)[1].bad < MIN_BAD_ANSWERS:
            continue
        margin = ROUTE_CLEARANCE_MARGIN if route else CLEARANCE_MARGIN
        if not is_cleared(chosen, margin):
            informative = [cell for cell in chosen if cell.informative]
            stable, candidate, _ = sum_cells(informative)
            fields = measure.value, route, stable, candidate
            return Judgement(Verdict.UNKNOWN, *fields)
    return None


def is_cleared(cells: Sequence[Cell], margin: float) -> bool:
    """Returns whether a bad version would have given more bad answers.

    Args:
      cells: Answers of both versions.
      margin: Share of bad answers of a bad version, beyond the stable one's.
    """
    informative = [cell for cell in cells if cell.informative]
    _, candidate, rate = sum_cells(informative)
    if has_few_bad(candidate, rate + margin):
        return True
    return has_few_bad(sum_cells(cells)[1], margin)


def has_few_bad(trials: Trials, bad_rate: float) -> bool:
    """Returns whether a version with a share of bad answers had more of them.

    >>> has_few_bad(Trials(9, 0), 0.3), has_few_bad(Trials(8, 0), 0.3)
    (True, False)
    """
    good = trials.total - trials.bad
    return upper_tail(trials.total, good, 1.0 - bad_rate) < CLEARANCE_LEVEL


def sum_cells(cells: Sequence[Cell]) -> tuple[Trials, Trials, float]:
    """Returns the answers of both versions, and the candidate's expected rate.

    Periods with different rates may be taken together, since the mean rate
    makes many bad answers no less likely.
    """
    stable = sum((cell.stable for cell in cells), NO_TRIALS)
    candidate = sum((cell.candidate for cell in cells), NO_TRIALS)
    expected = sum(cell.expected_rate * cell.candidate.total for cell in cells)
    rate = expected / candidate.total if candidate.total else 0.0
    return stable, candidate, rate


def make_cells(periods: Sequence[Period], measure: Measure) -> Iterator[Cell]:
    """Yields the answers of both versions by period and route."""
    judged = judge_of(periods, measure)
    counted = [
        {route: judged(route, tally) for route, tally in period.stable.items()}
        for period in periods
    ]
    sums = [sum(each.values(), NO_TRIALS) for each in counted]
    usual_rate = calm_rate(sums)
    limit = min(TROUBLED_RATE, usual_rate + TROUBLED_MARGIN)
    for period, stable, all_stable in zip(periods, counted, sums, strict=True):
        calm = smoothed_rate(all_stable, usual_rate) <= limit
        for route, tally in period.candidate.items():
            old = stable.get(route, NO_TRIALS)
            rate = smoothed_rate(old, usual_rate)
            yield Cell(
                route=route,
                stable=old,
                candidate=judged(route, tally),
                expected_rate=tolerated_rate(rate, measure),
                informative=calm and rate <= limit,
            )


def calm_rate(periods: Sequence[Trials]) -> float:
    """Returns the share of bad answers in the calmer half of some periods.

    >>> calm_rate([Trials(10, 6), Trials(10, 1), Trials(10, 3), Trials(10, 9)])
    0.2
    """
    ordered = sorted((each for each in periods if each.total), key=bad_rate)
    half = (len(ordered) + 1) // 2
    return bad_rate(sum(ordered[:half], NO_TRIALS))


def bad_rate(trials: Trials) -> float:
    """Returns the share of bad answers, 0 without any."""
    return trials.bad / trials.total if trials.total else 0.0


def smoothed_rate(trials: Trials, usual_rate: float) -> float:
    """Returns the share of bad answers in a period, drawn to the usual one.

    >>> smoothed_rate(Trials(5, 5), 0.0)
    0.5
    """
    bad = trials.bad + PRIOR_ANSWERS * usual_rate
    return bad / (trials.total + PRIOR_ANSWERS)


def tolerated_rate(rate: float, measure: Measure) -> float:
    """Returns the share of bad answers that a candidate may have."""
    if measure is Measure.FAILURES:
        return max(rate, TOLERATED_FAILURE_RATE)
    return min(1.0, rate + TOLERATED_SLOW_RATE)


def judge_of(periods: Sequence[Period], measure: Measure) -> Judge:
    """Returns how answers are judged by a measure."""
    if measure is Measure.FAILURES:
        return lambda _route, tally: Trials(tally.total, tally.bad)
    limits = slow_limits(periods, measure)

    def judged(route: str, tally: Tally) -> Trials:
        limit = limits.get(route, limits.get(""))
        if limit is None:
            return NO_TRIALS
        return slow_trials(durations_of(tally, measure), limit)

    return judged


def durations_of(tally: Tally, measure: Measure) -> DurationCounts:
    """Returns the durations that a measure compares."""
    return tally.first if measure is Measure.FIRST else tally.pace


def slow_limits(periods: Sequence[Period], measure: Measure) -> dict[str, int]:
    """Returns the last bucket that is not slow, by route.

    The limit of all routes together, under the empty name, is for routes on
    which the stable version gave too few answers.
    """
    durations: dict[str, DurationCounts] = {}
    for period in periods:
        for route, tally in period.stable.items():
            added = durations_of(tally, measure)
            for name in (route, ""):
                before = durations.get(name, NO_DURATIONS)
                durations[name] = before + added
    limits = {}
    for route, counts in durations.items():
        fast = low_quantile(counts, FAST_SHARE)
        if fast is not None and sum(counts.ended.values()) >= MIN_TIMED_ANSWERS:
            limits[route] = fast + SLOW_BUCKETS
    return limits


def slow_trials(durations: DurationCounts, limit: int) -> Trials:
    """Returns the answers whose time is known to be slow or not.

    Args:
      durations: Their times.
      limit: The last bucket that is not slow.

    >>> slow_trials(DurationCounts({1: 5, 9: 2}, {2: 3, 8: 1}), 4)
    Trials(total=8, bad=3)
    """
    ended = sum(durations.ended.values())
    slow = count_above(durations.ended, limit)
    still_open = count_above(durations.open, limit)
    return Trials(ended + still_open, slow + still_open)


def count_above(counts: Mapping[int, int], limit: int) -> int:
    """Returns the number in all buckets above a limit."""
    return sum(count for bucket, count in counts.items() if bucket > limit)


def upper_tail(trials: int, min_events: int, rate: float) -> float:
    """Returns the binomial probability of at least `min_events` events.

    >>> round(upper_tail(2, 1, 0.5), 2), round(upper_tail(9, 9, 0.7), 3)
    (0.75, 0.04)
    """
    if min_events <= 0 or rate >= 1.0:
        return 1.0
    if rate <= 0.0:
        return 0.0
    chance = math.exp(log_probability(trials, min_events, rate))
    odds = rate / (1.0 - rate)
    total = 0.0
    for events in range(min_events, trials + 1):
        total += chance
        chance *= odds * (trials - events) / (events + 1)
        if events > trials * rate and chance < total * 1e-9:
            break
    return min(1.0, total)


def log_probability(trials: int, events: int, rate: float) -> float:
    """Returns the logarithm of the binomial probability of some events."""
    ways = (
        math.lgamma(trials + 1)
        - math.lgamma(events + 1)
        - math.lgamma(trials - events + 1)
    )
    return (
        ways + events * math.log(rate) + (trials - events) * math.log1p(-rate)
    )
