"""Detection of regressions of a version after its full roll-out.

At full share no other version runs to compare with. The version is therefore
compared with reference rates of both versions from the time of the roll-out.
An incident that affects all versions looks the same as a regression, so an
alarm does not halt: it narrows the share, and the paired test then decides.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from rattanpier._internal.models.trials import Trials
from rattanpier._internal.rollout.evidence import (
    BUCKET_COUNT,
    Counts,
    Measure,
    VersionCounts,
    first_slow_bucket,
    trials_of,
)
from rattanpier._internal.rollout.paired_evaluator import (
    ALL_WORKSPACES,
    MEASURES,
    EvaluationPolicy,
    Halt,
)
from rattanpier._internal.rollout.sequential import (
    ChangePointTest,
    baseline_factors,
)

# Weight, in trials, of the overall rate in the rate of one workspace.
PRIOR_TRIALS = 100.0
# Trials that a measure needs for a reference rate.
MIN_REFERENCE_TRIALS = 500
# Standard deviations by which an upper bound exceeds the observed rate.
RATE_DEVIATIONS = 2.0
MAX_BASE_RATE = 0.9


@attrs.frozen
class Reference:
    """Rates of bad answers during the roll-out.

    Attributes:
      slow_from: First bucket that counts as slow.
      overall: Rate over all workspaces, by measure.
      workspaces: Rate by workspace and measure.
    """

    slow_from: int = BUCKET_COUNT
    overall: dict[Measure, float] = attrs.Factory(dict)
    workspaces: dict[str, dict[Measure, float]] = attrs.Factory(dict)


def make_reference(
    totals: Mapping[str, VersionCounts], policy: EvaluationPolicy
) -> Reference:
    """Returns the reference rates observed during a roll-out.

    Args:
      totals: Cumulative counters by workspace.
      policy: Provides the quantile above which answers are slow.
    """
    both = {name: pair.stable + pair.candidate for name, pair in totals.items()}
    combined = sum(both.values(), Counts())
    slow_from = first_slow_bucket(combined.latency, policy.slow_quantile)
    overall = {}
    for measure in MEASURES:
        trials = trials_of(combined, measure, slow_from)
        if trials.total >= MIN_REFERENCE_TRIALS:
            overall[measure] = upper_rate_bound(trials.bad, trials.total)
    workspaces = {
        name: {
            measure: shrunk_rate_bound(
                trials_of(counts, measure, slow_from), rate
            )
            for measure, rate in overall.items()
        }
        for name, counts in both.items()
    }
    return Reference(slow_from, overall, workspaces)


def upper_rate_bound(bad: float, total: float) -> float:
    """Returns an upper bound of a rate: two standard deviations above it.

    >>> upper_rate_bound(99, 1200)
    0.1
    """
    return (bad + RATE_DEVIATIONS * math.sqrt(bad + 1) + 1) / total


def shrunk_rate_bound(trials: Trials, rate: float) -> float:
    """Returns a workspace's upper bound, shrunk towards the overall rate.

    Args:
      trials: Trials of the workspace.
      rate: The overall rate; counts as `PRIOR_TRIALS` trials.
    """
    return upper_rate_bound(
        trials.bad + PRIOR_TRIALS * rate, trials.total + PRIOR_TRIALS
    )


@attrs.define
class RegressionMonitor:
    """Tests whether one version became worse than its reference rates.

    Attributes:
      reference: Rates to compare with.
      totals: Counters already processed, by workspace.
      tests: Change-point tests by scope and measure.
      alarm: The first alarm found; only its reason is used.
    """

    reference: Reference
    policy: EvaluationPolicy = attrs.Factory(EvaluationPolicy)
    totals: dict[str, Counts] = attrs.Factory(dict)
    tests: dict[tuple[str, Measure], ChangePointTest] = attrs.Factory(dict)
    alarm: Halt | None = None

    def start_from(self, totals: Mapping[str, VersionCounts]) -> None:
        """Starts from counters that were evaluated before."""
        self.totals = {name: pair.candidate for name, pair in totals.items()}

    def observe(self, totals: Mapping[str, VersionCounts]) -> None:
        """Processes the increase of the counters of each workspace.

        Args:
          totals: Cumulative counters by workspace.
        """
        combined = Counts()
        for workspace, pair in totals.items():
            added = pair.candidate - self.totals.get(workspace, Counts())
            self.totals[workspace] = pair.candidate
            if added == Counts():
                continue
            combined += added
            rates = self.reference.workspaces.get(workspace, {})
            self.update_tests(workspace, added, rates)
        self.update_tests(ALL_WORKSPACES, combined, self.reference.overall)

    def update_tests(
        self, scope: str, added: Counts, rates: Mapping[Measure, float]
    ) -> None:
        """Updates the tests of one scope."""
        for measure, rate in rates.items():
            trials = trials_of(added, measure, self.reference.slow_from)
            if not trials.total:
                continue
            max_rate = min(rate * self.policy.tolerance, MAX_BASE_RATE)
            test = self.tests.setdefault((scope, measure), ChangePointTest())
            test.update(baseline_factors(trials, max_rate))
            if test.value >= self.alarm_threshold(scope) and self.alarm is None:
                self.alarm = Halt(measure, scope, test.value)

    def alarm_threshold(self, scope: str) -> float:
        """Returns the evidence at which a test raises an alarm.

        It is shared as in `PairedEvaluator.halt_threshold`.
        """
        scopes = 1 if scope == ALL_WORKSPACES else max(1, len(self.totals))
        return 2 * len(MEASURES) * scopes / self.policy.false_alarms
