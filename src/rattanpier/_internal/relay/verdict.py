"""Decides whether a candidate version is worse than the stable version.

Pure functions of counts, without a clock or a network. They detect versions
that fail part of their requests, on all routes or on one, at once, later or
under load, and versions of which a part of the answers or of the events comes
several times slower, see `slowdowns`.

Both versions are compared within periods of time. A period in which the stable
version itself is in trouble says little about the candidate, and is left out.
A candidate that is not shown to be worse is not therefore shown to be no worse:
that needs evidence of its own.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import attrs

from rattanpier._internal.models.trials import Trials
from rattanpier._internal.relay.durations import (
    BUCKETS_PER_DOUBLING,
    NO_DURATIONS,
    DurationCounts,
    low_quantile,
    sum_counts,
)
from rattanpier._internal.relay.slowdowns import (
    Comparison,
    Stratum,
    Tolerance,
    compare,
    make_reference,
)
from rattanpier._internal.utils.record import Record

# A version is called worse if a version that is no worse would give as many bad
# answers with less than this probability. It is small because the test is
# repeated several times a second, on each route.
SIGNIFICANCE_LEVEL = 0.002
# A version that is no worse would give as many bad answers with less than this
# probability: too likely to stop it, too unlikely to let it take over.
DOUBT_LEVEL = 0.02
# As many bad answers are usual if a version that is no worse gives them with
# at least this probability.
USUAL_LEVEL = 0.25
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
MIN_BAD_ANSWERS = 2  # One bad answer proves nothing.
# The evidence, as natural logarithm, that a version is slow, and that it isn't.
# The latter is against the best of several explanations, which raises it.
SLOW_EVIDENCE = -math.log(SIGNIFICANCE_LEVEL)
SOUND_EVIDENCE = -math.log(0.6 * CLEARANCE_LEVEL)
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
      stable: Requests of the stable version, by route and model.
      candidate: Requests of the candidate, by route and model.
    """

    stable: Mapping[Stratum, Tally]
    candidate: Mapping[Stratum, Tally]


NO_TRIALS = Trials()


class Measure(enum.StrEnum):
    """In which respect an answer can be bad."""

    FAILURES = "fails more often"
    WHOLE = "answers slower"
    FIRST = "sends first events later"
    PACE = "sends events slower"


TOLERANCES = {
    Measure.WHOLE: Tolerance(share=0.03, max_shift=1, min_excess=0.5),
    # New workers have to read what is in the prompt caches of old ones.
    Measure.FIRST: Tolerance(share=0.1, max_shift=2, min_excess=1.5),
    # An engine whose steps take longer slows all its answers alike.
    Measure.PACE: Tolerance(share=0.03, max_shift=0, min_excess=0.4),
}
# While most traffic moves, fewer workers than the stable version had take all
# of it, with empty caches.
LOADED_TOLERANCE = Tolerance(share=0.1, max_shift=3, min_excess=1.5)


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
      comparisons: Evidence on durations, by measure.
      suspected_share: Share of bad answers of the candidate, if it is slow in
        the way that is least excluded; 0 unless the verdict is unknown for its
        durations.
    """

    verdict: Verdict
    reason: str = ""
    route: str = ""
    stable: Trials = NO_TRIALS
    candidate: Trials = NO_TRIALS
    comparisons: Mapping[Measure, Comparison] = attrs.Factory(dict)
    suspected_share: float = 0.0


@attrs.frozen(eq=False, repr=False)
class Cell(Record):
    """Answers of both versions in one stratum and period, by one measure.

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


# Answers of a version in a stratum, as judged by a measure.
Judge = Callable[[Stratum, Tally], Trials]
# Returns the durations of a version in a stratum that a measure compares.
DurationsOf = Callable[[Stratum, Tally], DurationCounts]


@attrs.frozen(eq=False, repr=False)
class Baseline(Record):
    """State of the stable version in one stratum and period.

    Attributes:
      bad_rate: Its share of bad answers, or its usual one if that is larger.
      calm: Whether it is not in trouble.
    """

    bad_rate: float
    calm: bool


def judge(periods: Sequence[Period], loaded: bool = False) -> Judgement:
    """Returns the verdict on a candidate.

    Args:
      periods: Requests of both versions, by period.
      loaded: Whether the candidate takes a larger share of the traffic than on
        trial.
    """
    found = [judge_failures(periods)]
    found += filter(
        None,
        (
            judge_durations(
                periods, measure, LOADED_TOLERANCE if loaded else tolerance
            )
            for measure, tolerance in TOLERANCES.items()
        ),
    )
    comparisons = {
        measure: comparison
        for judgement in found
        for measure, comparison in judgement.comparisons.items()
    }
    verdicts = [judgement.verdict for judgement in found]
    decisive = next(
        found[verdicts.index(verdict)]
        for verdict in (Verdict.WORSE, Verdict.UNKNOWN, Verdict.NO_WORSE)
        if verdict in verdicts
    )
    return attrs.evolve(
        decisive,
        comparisons=comparisons,
        suspected_share=max(judgement.suspected_share for judgement in found),
    )


def describe_durations(
    judgement: Judgement,
) -> dict[str, dict[str, float | None]]:
    """Returns the evidence on durations for a log line, by measure.

    Evidence is a natural logarithm. `excluded_half` and `excluded_all` are the
    smallest multiples of the time that the evidence excludes for half and for
    all of the answers; `least_excluded` and `its_share` are the slowdown that
    it excludes least.
    """
    found = {}
    for measure, comparison in judgement.comparisons.items():
        slowdown, evidence = comparison.weakest(TOLERANCES[measure].min_excess)
        found[measure.value] = {
            "answers": comparison.answers,
            "slow": round(comparison.slow, 2),
            "sound": round(evidence, 2),
            "least_excluded": slowdown and round(slowdown.factor, 1),
            "its_share": slowdown and slowdown.share,
            "excluded_half": comparison.excluded_factor(0.5, SOUND_EVIDENCE),
            "excluded_all": comparison.excluded_factor(1.0, SOUND_EVIDENCE),
        }
    return found


# Failures.


def judge_failures(periods: Sequence[Period]) -> Judgement:
    """Returns the verdict on a candidate by its failures."""
    cells = list(make_cells(periods, failures_of))
    return (
        find_regression(cells) or find_gap(cells) or Judgement(Verdict.NO_WORSE)
    )


def failures_of(_stratum: Stratum, tally: Tally) -> Trials:
    """Returns the answers of a version, and its failures as bad ones."""
    return Trials(tally.total, tally.bad)


def find_regression(cells: Sequence[Cell]) -> Judgement | None:
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
        fields = Measure.FAILURES.value, route, stable, candidate
        if chance < SIGNIFICANCE_LEVEL:
            return Judgement(Verdict.WORSE, *fields)
        if chance < DOUBT_LEVEL and doubt is None:
            doubt = Judgement(Verdict.UNKNOWN, *fields)
    return doubt


def find_gap(cells: Sequence[Cell]) -> Judgement | None:
    """Returns the judgement that evidence is missing, or None.

    While the stable version is in trouble, only a candidate that is well by
    itself is known to be no worse. Routes need evidence of their own only
    where the candidate failed more often than is usual there.
    """
    for route in ["", *sorted({cell.route for cell in cells})]:
        chosen = [cell for cell in cells if route in ("", cell.route)]
        if route and fails_as_usual(chosen):
            continue
        margin = ROUTE_CLEARANCE_MARGIN if route else CLEARANCE_MARGIN
        if not is_cleared(chosen, margin):
            informative = [cell for cell in chosen if cell.informative]
            stable, candidate, _ = sum_cells(informative)
            return Judgement(
                Verdict.UNKNOWN,
                Measure.FAILURES.value,
                route,
                stable,
                candidate,
            )
    return None


def fails_as_usual(cells: Sequence[Cell]) -> bool:
    """Returns whether a candidate's failures are likely at the usual rate."""
    _, candidate, rate = sum_cells(cells)
    if candidate.bad < MIN_BAD_ANSWERS:
        return True
    chance = upper_tail(candidate.total, candidate.bad, rate)
    return chance >= USUAL_LEVEL


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


def make_cells(periods: Sequence[Period], judged: Judge) -> Iterator[Cell]:
    """Yields the answers of both versions by period and stratum."""
    baselines = make_baselines(periods, judged)
    for period, baseline in zip(periods, baselines, strict=True):
        for stratum, tally in period.candidate.items():
            state = baseline(stratum)
            yield Cell(
                route=stratum[0],
                stable=judged(stratum, period.stable.get(stratum, EMPTY_TALLY)),
                candidate=judged(stratum, tally),
                expected_rate=max(state.bad_rate, TOLERATED_FAILURE_RATE),
                informative=state.calm,
            )


def make_baselines(
    periods: Sequence[Period], judged: Judge
) -> Iterator[Callable[[Stratum], Baseline]]:
    """Yields, by period, the state of the stable version by stratum."""
    counted = [
        {
            stratum: judged(stratum, tally)
            for stratum, tally in period.stable.items()
        }
        for period in periods
    ]
    sums = [sum(each.values(), NO_TRIALS) for each in counted]
    usual_rate = calm_rate(sums)
    limit = min(TROUBLED_RATE, usual_rate + TROUBLED_MARGIN)
    calm = [smoothed_rate(total, usual_rate) <= limit for total in sums]
    # Some routes fail more often than others, whatever the version.
    by_stratum: dict[Stratum, Trials] = {}
    for stable in itertools.compress(counted, calm):
        for stratum, trials in stable.items():
            before = by_stratum.get(stratum, NO_TRIALS)
            by_stratum[stratum] = before + trials

    def make_baseline(
        stable: Mapping[Stratum, Trials], is_calm: bool
    ) -> Callable[[Stratum], Baseline]:
        def baseline(stratum: Stratum) -> Baseline:
            trials = stable.get(stratum, NO_TRIALS)
            rate = smoothed_rate(trials, usual_rate)
            usual = by_stratum.get(stratum, NO_TRIALS)
            return Baseline(
                max(rate, smoothed_rate(usual, usual_rate)),
                is_calm and rate <= limit,
            )

        return baseline

    return map(make_baseline, counted, calm)


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


# Durations.


def judge_durations(
    periods: Sequence[Period], measure: Measure, tolerance: Tolerance
) -> Judgement | None:
    """Returns the verdict on a candidate by one measure of its durations.

    None if the stable version has no durations to compare with.
    """
    durations_of = make_durations_of(periods, measure)
    candidate = [period.candidate for period in periods]
    stable = [period.stable for period in periods]
    all_stable = sum_durations(stable, durations_of)
    if not any(counts.total for counts in all_stable.values()):
        return None
    slow_trials_of = make_slow_trials(all_stable)
    baselines = list(
        make_baselines(
            periods,
            lambda stratum, tally: slow_trials_of(
                stratum, durations_of(stratum, tally)
            ),
        )
    )
    calm_stable = sum_durations(
        map(select_calm, stable, baselines), durations_of
    )
    calm_candidate = sum_durations(
        map(select_calm, candidate, baselines), durations_of
    )
    comparison = compare(calm_stable, calm_candidate, tolerance)
    verdict = verdict_of(comparison, tolerance)
    if verdict is Verdict.UNKNOWN:
        # The candidate may be well while the stable version is in trouble.
        by_itself = compare(
            calm_stable,
            sum_durations(candidate, durations_of),
            tolerance,
        )
        if verdict_of(by_itself, tolerance) is Verdict.NO_WORSE:
            verdict, comparison = Verdict.NO_WORSE, by_itself
    return Judgement(
        verdict,
        "" if verdict is Verdict.NO_WORSE else measure.value,
        "",
        sum(itertools.starmap(slow_trials_of, calm_stable.items()), NO_TRIALS),
        sum(
            itertools.starmap(slow_trials_of, calm_candidate.items()), NO_TRIALS
        ),
        {measure: comparison},
        least_excluded_share(comparison, tolerance)
        if verdict is Verdict.UNKNOWN
        else 0.0,
    )


def least_excluded_share(comparison: Comparison, tolerance: Tolerance) -> float:
    """Returns the share of slow answers in the least excluded slowdown."""
    slowdown, _ = comparison.weakest(tolerance.min_excess)
    return 0.0 if slowdown is None else slowdown.share


def verdict_of(comparison: Comparison, tolerance: Tolerance) -> Verdict:
    """Returns what a comparison of durations says of a candidate."""
    if comparison.slow >= SLOW_EVIDENCE:
        return Verdict.WORSE
    _, evidence = comparison.weakest(tolerance.min_excess)
    if evidence >= SOUND_EVIDENCE:
        return Verdict.NO_WORSE
    return Verdict.UNKNOWN


def make_durations_of(
    periods: Sequence[Period], measure: Measure
) -> DurationsOf:
    """Returns the function that returns the durations that a measure compares.

    Routes whose answers are streamed are told by the pace of the stable
    version.
    """
    streamed = {
        stratum[0]
        for period in periods
        for stratum, tally in period.stable.items()
        if tally.pace.total
    }

    def durations_of(stratum: Stratum, tally: Tally) -> DurationCounts:
        if measure is Measure.PACE:
            return tally.pace
        is_measured = (stratum[0] in streamed) == (measure is Measure.FIRST)
        return tally.first if is_measured else NO_DURATIONS

    return durations_of


def sum_durations(
    tallies: Iterable[Mapping[Stratum, Tally]], durations_of: DurationsOf
) -> dict[Stratum, DurationCounts]:
    """Returns the sums over periods of the durations of a version."""
    found: dict[Stratum, list[DurationCounts]] = {}
    for period in tallies:
        for stratum, tally in period.items():
            added = durations_of(stratum, tally)
            if added.ended or added.open:
                found.setdefault(stratum, []).append(added)
    return {stratum: sum_counts(parts) for stratum, parts in found.items()}


def select_calm(
    tallies: Mapping[Stratum, Tally],
    baseline: Callable[[Stratum], Baseline],
) -> dict[Stratum, Tally]:
    """Returns the tallies of strata in which the stable version is calm."""
    return {
        stratum: tally
        for stratum, tally in tallies.items()
        if baseline(stratum).calm
    }


def make_slow_trials(
    stable: Mapping[Stratum, DurationCounts],
) -> Callable[[Stratum, DurationCounts], Trials]:
    """Returns a function that counts slow answers as bad ones.

    The function counts none where it is not known which answers are slow.

    Args:
      stable: Durations of the stable version.
    """
    reference = make_reference(stable)

    def count_slow(stratum: Stratum, durations: DurationCounts) -> Trials:
        found = reference(stratum)
        fast = None if found is None else low_quantile(found, FAST_SHARE)
        if fast is None:
            return NO_TRIALS
        return slow_trials(durations, fast + SLOW_BUCKETS)

    return count_slow


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
