"""Evaluation of a candidate version by comparison with the stable version.

It is a pure function of the counters, without clock or network, so that
entries, drivers and simulations evaluate the same evidence alike.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from rattanpier._internal.models.trials import Trials
from rattanpier._internal.rollout.evidence import (
    BUCKET_COUNT,
    EMPTY_HISTOGRAM,
    Measure,
    VersionCounts,
    first_slow_bucket,
    trials_of,
)
from rattanpier._internal.rollout.sequential import (
    ChangePointTest,
    paired_factors,
)

ALL_WORKSPACES = ""  # Scope of the tests over all workspaces together.
MEASURES = tuple(Measure)
FULL_SHARE = 1.0


@attrs.frozen
class EvaluationPolicy:
    """Error rates and steps of an evaluation.

    Attributes:
      false_halts: Maximum probability of halting a candidate that is no
        worse.
      tolerance: Ratio of bad answers that still counts as no worse.
      first_share: Share of the candidate in the first step of a roll-out.
      growth: Factor by which each widening raises the share.
      widen_error: Maximum probability, at each step, of widening a candidate
        that is worse by the margin.
      margins: Increase of the rate of bad answers, by measure, that the
        evidence has to exclude before the next widening.
      slow_quantile: Quantile of the stable version's time to the first token
        above which an answer is slow.
      min_latencies: Number of answers of the stable version that are needed
        to set the threshold for slow answers.
      doubt: Fraction of the logarithm of the halt threshold at which the
        share is narrowed. Narrowing is cheap and reversible, so it needs
        less evidence than a halt.
      narrow_share: Share to which a suspected candidate is narrowed, and at
        which the test continues.
      false_alarms: Maximum probability of a false alarm after full roll-out;
        higher than `false_halts`, because an alarm only narrows.
    """

    false_halts: float = 0.01
    tolerance: float = 1.1
    first_share: float = 0.01
    growth: float = 2.5
    widen_error: float = 0.05
    margins: Mapping[Measure, float] = attrs.Factory(
        lambda: {
            Measure.FAILED: 0.03,
            Measure.TRUNCATED: 0.03,
            Measure.POOR: 0.12,
            Measure.SLOW: 0.1,
        }
    )
    slow_quantile: float = 0.9
    min_latencies: int = 200
    doubt: float = 0.35
    narrow_share: float = 0.05
    false_alarms: float = 0.1


@attrs.frozen
class Widen:
    """The evidence supports a larger share.

    Attributes:
      share: The next share, from 0 to 1.
    """

    share: float


@attrs.frozen
class Narrow:
    """The candidate is suspected of being worse.

    A smaller share continues the test with fewer affected callers.

    Attributes:
      share: The smaller share, from 0 to 1.
      reason: The test that raised the suspicion.
    """

    share: float
    reason: str


@attrs.frozen
class Hold:
    """The share is kept.

    Attributes:
      reason: The missing evidence, or the test that raised a suspicion.
    """

    reason: str


@attrs.frozen
class Halt:
    """The candidate is worse and has to be halted.

    Attributes:
      measure: Kind of bad answer that increased.
      workspace: Affected workspace, or `ALL_WORKSPACES`.
      evidence: Likelihood ratio against the hypothesis "no worse".
    """

    measure: Measure
    workspace: str
    evidence: float

    @property
    def reason(self) -> str:
        """The reason as text for operators."""
        place = f"workspace {self.workspace}" if self.workspace else "overall"
        return f"{self.measure} {place}, evidence {self.evidence:.3g}"


Decision = Widen | Narrow | Hold | Halt


@attrs.define
class Batch:
    """Trials that wait until the batch has trials of both versions."""

    stable: Trials = attrs.Factory(Trials)
    candidate: Trials = attrs.Factory(Trials)


@attrs.define
class PairedEvaluator:
    """Evaluates one roll-out by a paired comparison of both versions.

    Attributes:
      totals: Counters already processed, by workspace.
      tests: Tests against the candidate, by scope and measure.
      batches: Trials that wait for the other version, by workspace and
        measure.
      step_trials: The candidate's trials since the share last changed.
      stable_trials: The stable version's trials since the start.
      latency: Histogram of the stable version's time to the first token over
        all workspaces.
      slow_from: First bucket that counts as slow.
      first_halt: The first halt found; it is final.
    """

    policy: EvaluationPolicy = attrs.Factory(EvaluationPolicy)
    totals: dict[str, VersionCounts] = attrs.Factory(dict)
    tests: dict[tuple[str, Measure], ChangePointTest] = attrs.Factory(dict)
    batches: dict[tuple[str, Measure], Batch] = attrs.Factory(dict)
    step_trials: dict[Measure, Trials] = attrs.Factory(dict)
    stable_trials: dict[Measure, Trials] = attrs.Factory(dict)
    latency: tuple[int, ...] = EMPTY_HISTOGRAM
    slow_from: int = BUCKET_COUNT
    first_halt: Halt | None = None

    def start_from(self, totals: Mapping[str, VersionCounts]) -> None:
        """Starts from counters whose history is unknown.

        They were collected while the share changed, so a comparison of the
        versions would be biased. Only the stable version's latencies are used.
        """
        self.totals = dict(totals)
        for pair in totals.values():
            self.update_slow_threshold(pair)

    def observe(self, totals: Mapping[str, VersionCounts]) -> None:
        """Processes the increase of the counters of each workspace.

        Args:
          totals: Cumulative counters by workspace.
        """
        for workspace, pair in totals.items():
            before = self.totals.get(workspace, VersionCounts())
            if pair == before:
                continue
            self.totals[workspace] = pair
            added = VersionCounts(
                pair.stable - before.stable, pair.candidate - before.candidate
            )
            for measure in MEASURES:
                self.add_trials(workspace, measure, added)
            # Last, so that only earlier answers decide what counts as slow.
            self.update_slow_threshold(added)

    def update_slow_threshold(self, added: VersionCounts) -> None:
        """Updates the slow threshold from the stable version's latencies."""
        self.latency = tuple(
            map(sum, zip(self.latency, added.stable.latency, strict=True))
        )
        if sum(self.latency) >= self.policy.min_latencies:
            self.slow_from = first_slow_bucket(
                self.latency, self.policy.slow_quantile
            )

    def add_trials(
        self, workspace: str, measure: Measure, added: VersionCounts
    ) -> None:
        """Adds the new trials of one measure in one workspace."""
        if measure is Measure.SLOW and self.slow_from >= BUCKET_COUNT:
            return
        stable = trials_of(added.stable, measure, self.slow_from)
        candidate = trials_of(added.candidate, measure, self.slow_from)
        self.stable_trials[measure] = (
            self.stable_trials.get(measure, Trials()) + stable
        )
        self.step_trials[measure] = (
            self.step_trials.get(measure, Trials()) + candidate
        )
        batch = self.batches.setdefault((workspace, measure), Batch())
        batch.stable += stable
        batch.candidate += candidate
        if batch.stable.total and batch.candidate.total:
            del self.batches[workspace, measure]
            self.update_tests(workspace, measure, batch)

    def update_tests(
        self, workspace: str, measure: Measure, batch: Batch
    ) -> None:
        """Updates the tests with a batch.

        A batch without bad answers is no evidence and is skipped.
        """
        if not batch.stable.bad and not batch.candidate.bad:
            return
        factors = paired_factors(
            batch.stable, batch.candidate, self.policy.tolerance
        )
        for scope in (ALL_WORKSPACES, workspace):
            test = self.tests.setdefault((scope, measure), ChangePointTest())
            test.update(factors)
            if (
                test.value >= self.halt_threshold(scope)
                and self.first_halt is None
            ):
                self.first_halt = Halt(measure, scope, test.value)

    def halt_threshold(self, scope: str) -> float:
        """Returns the evidence at which a test halts the roll-out.

        All tests share the probability of a false halt: half of it goes to the
        tests over all workspaces, half to those of single workspaces.
        """
        scopes = 1 if scope == ALL_WORKSPACES else max(1, len(self.totals))
        return 2 * len(MEASURES) * scopes / self.policy.false_halts

    def start_share_step(self) -> None:
        """Begins a step at a new share; evidence for widening is reset."""
        self.step_trials.clear()
        self.batches.clear()

    def decide(self, share: float, max_share: float) -> Decision:
        """Returns the decision at a share.

        Args:
          share: The share in force, from 0 to 1.
          max_share: Maximum share that the operator allows.
        """
        if self.first_halt is not None:
            return self.first_halt
        suspect = self.find_suspect_test()
        if suspect and share > self.policy.narrow_share:
            return Narrow(self.policy.narrow_share, suspect)
        if suspect:
            return Hold(suspect)
        if share >= max_share:
            return Hold("at the largest share allowed")
        if share <= 0.0:
            return Widen(min(self.policy.first_share, max_share))
        missing_evidence = self.find_missing_evidence()
        if missing_evidence:
            return Hold(missing_evidence)
        return Widen(min(share * self.policy.growth, max_share))

    def find_suspect_test(self) -> str:
        """Returns which test raised a suspicion, or an empty string."""
        for (scope, measure), test in self.tests.items():
            if test.value >= self.halt_threshold(scope) ** self.policy.doubt:
                place = scope or "all workspaces"
                return f"{measure} in {place} is in doubt"
        return ""

    def find_missing_evidence(self) -> str:
        """Returns which measure lacks evidence to widen, or an empty string."""
        for measure in MEASURES:
            stable = self.stable_trials.get(measure, Trials())
            if measure is Measure.POOR and not stable.total:
                continue  # Ratings are not in use.
            if measure is Measure.SLOW and self.has_no_slow_bucket():
                continue
            candidate = self.step_trials.get(measure, Trials())
            if not self.excludes_rise(measure, stable, candidate):
                return f"{measure} needs more than {candidate.total} trials"
        return ""

    def has_no_slow_bucket(self) -> bool:
        """Returns whether the stable version is too slow to set a threshold."""
        known = sum(self.latency) >= self.policy.min_latencies
        return known and self.slow_from >= BUCKET_COUNT

    def excludes_rise(
        self, measure: Measure, stable: Trials, candidate: Trials
    ) -> bool:
        """Returns whether the evidence excludes a rise by the margin."""
        margin = self.policy.margins[measure]
        stable_rate = (stable.bad + 0.5) / (stable.total + 1)
        worse_rate = min(stable_rate + margin, 0.99)
        stable_rate = min(stable_rate, worse_rate - margin / 2)
        good = candidate.total - candidate.bad
        log_ratio = candidate.bad * math.log(
            stable_rate / worse_rate
        ) + good * math.log((1 - stable_rate) / (1 - worse_rate))
        return log_ratio >= math.log(1 / self.policy.widen_error)
