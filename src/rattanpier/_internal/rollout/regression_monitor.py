"""The watch over a version after its full roll-out.

There is no version beside it to compare with any more, so it is compared with
the past: its own and the previous version's, as found during the roll-out. An
incident that hits all versions looks the same, so an alarm does not halt; it
narrows the share, and the paired test settles the matter.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from rattanpier._internal.rollout.evidence import (
    BUCKET_COUNT,
    Counts,
    Measure,
    Trials,
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

PRIOR_TRIALS = 100.0  # Weight of all workspaces in the rate of one.
MIN_REFERENCE_TRIALS = (
    500  # Trials of the past without which nothing is judged.
)
RATE_DEVIATIONS = 2.0
MAX_BASE_RATE = 0.9


@attrs.frozen
class Reference:
    """Shares of bad answers in the past.

    Attributes:
      slow_from: First bucket that counts as slow.
      overall: By measure, for all workspaces.
      workspaces: By workspace and measure.
    """

    slow_from: int = BUCKET_COUNT
    overall: dict[Measure, float] = attrs.Factory(dict)
    workspaces: dict[str, dict[Measure, float]] = attrs.Factory(dict)


def make_reference(
    totals: Mapping[str, VersionCounts], policy: EvaluationPolicy
) -> Reference:
    """Returns the past as found during a roll-out."""
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
    """Returns the highest rate that fits the past: two deviations up.

    >>> upper_rate_bound(99, 1200)
    0.1
    """
    return (bad + RATE_DEVIATIONS * math.sqrt(bad + 1) + 1) / total


def shrunk_rate_bound(trials: Trials, rate: float) -> float:
    """Returns a workspace's highest rate, drawn towards that of all."""
    return upper_rate_bound(
        trials.bad + PRIOR_TRIALS * rate, trials.total + PRIOR_TRIALS
    )


@attrs.define
class RegressionMonitor:
    """Looks for a change for the worse in one version.

    Attributes:
      reference: The past to compare with.
      totals: Counts already taken in, by workspace.
      tests: Evidence of a change, by workspace and measure.
      alarm: The first alarm found.
    """

    reference: Reference
    policy: EvaluationPolicy = attrs.Factory(EvaluationPolicy)
    totals: dict[str, Counts] = attrs.Factory(dict)
    tests: dict[tuple[str, Measure], ChangePointTest] = attrs.Factory(dict)
    alarm: Halt | None = None

    def start_from(self, totals: Mapping[str, VersionCounts]) -> None:
        """Starts from sums that were judged before."""
        self.totals = {name: pair.candidate for name, pair in totals.items()}

    def observe(self, totals: Mapping[str, VersionCounts]) -> None:
        """Takes in what was added to the sums of each workspace."""
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
        """Returns the evidence that alarms; shared as in `Judge.limit`."""
        scopes = 1 if scope == ALL_WORKSPACES else max(1, len(self.totals))
        return 2 * len(MEASURES) * scopes / self.policy.false_alarms
