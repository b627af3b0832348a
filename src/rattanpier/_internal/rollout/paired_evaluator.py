"""The judgement of a candidate against the version in service.

Pure: counts go in, a decision comes out; no clock and no network.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from rattanpier._internal.rollout.evidence import (
    BUCKET_COUNT,
    EMPTY_HISTOGRAM,
    Measure,
    Trials,
    VersionCounts,
    first_slow_bucket,
    trials_of,
)
from rattanpier._internal.rollout.sequential import (
    ChangePointTest,
    paired_factors,
)

ALL_WORKSPACES = ""  # The scope of all workspaces together.
MEASURES = tuple(Measure)
FULL_SHARE = 1.0


@attrs.frozen
class EvaluationPolicy:
    """How careful the judgement is.

    Attributes:
      false_halts: Share of no worse candidates that may be halted.
      tolerance: Ratio of bad answers that still counts as no worse.
      first_share: Share that a new roll-out begins with.
      growth: Factor by which a share is widened.
      widen_error: Chance of widening a candidate worse by a margin.
      margins: Rise of the share of bad answers that has to be excluded
        before the next widening.
      slow_quantile: Quantile of the stable's first tokens that is slow.
      min_latencies: First tokens of the stable before any counts as slow.
      doubt: Part of the way to a halt, in orders of magnitude, at which the
        share is narrowed: cheap, reversible, and needs no proof.
      narrow_share: Share at which a doubt is settled.
      false_alarms: Share of false alarms allowed to the watch after full
        roll-out; an alarm only narrows.
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
    """The evidence supports a larger share."""

    share: float


@attrs.frozen
class Narrow:
    """There is cause for doubt; fewer callers are to settle it."""

    share: float
    reason: str


@attrs.frozen
class Hold:
    """The share stays.

    Attributes:
      reason: What is missing, or what gives cause for doubt.
    """

    reason: str


@attrs.frozen
class Halt:
    """The candidate is worse.

    Attributes:
      measure: In what.
      workspace: Where, or `EVERYONE`.
      evidence: Likelihood ratio against "no worse".
    """

    measure: Measure
    workspace: str
    evidence: float

    @property
    def reason(self) -> str:
        """The reason in words."""
        place = f"workspace {self.workspace}" if self.workspace else "overall"
        return f"{self.measure} {place}, evidence {self.evidence:.3g}"


Decision = Widen | Narrow | Hold | Halt


@attrs.define
class Batch:
    """Trials not yet judged: both versions have to occur in it."""

    stable: Trials = attrs.Factory(Trials)
    candidate: Trials = attrs.Factory(Trials)


@attrs.define
class PairedEvaluator:
    """Judges one roll-out.

    Attributes:
      totals: Counts already taken in, by workspace.
      tests: Evidence against the candidate, by workspace and measure.
      batches: Trials that wait for the other version, likewise.
      since: The candidate's trials since the share last changed.
      stable: The stable's trials since the start.
      latency: The stable's first tokens by bucket, of all workspaces.
      slow_from: First bucket that counts as slow.
      worst: The first halt found; a halt stands.
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
        """Starts from sums of which it is not known how they came about.

        They were gathered under shares that changed, so they are no evidence
        for either side; only the stable's first tokens are used.
        """
        self.totals = dict(totals)
        for pair in totals.values():
            self.update_slow_threshold(pair)

    def observe(self, totals: Mapping[str, VersionCounts]) -> None:
        """Takes in what was added to the sums of each workspace."""
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
            # Only earlier answers decide what is slow.
            self.update_slow_threshold(added)

    def update_slow_threshold(self, added: VersionCounts) -> None:
        """Moves the limit of what is slow with the stable's first tokens."""
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
        """Takes in one measure of one workspace."""
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
        """Updates the tests with a batch; good answers alone say nothing."""
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
        """Returns the evidence that halts; all tests share the chance.

        Half of it is for all workspaces together, half for each alone.
        """
        scopes = 1 if scope == ALL_WORKSPACES else max(1, len(self.totals))
        return 2 * len(MEASURES) * scopes / self.policy.false_halts

    def start_share_step(self) -> None:
        """Begins a step: evidence for widening is gathered anew."""
        self.step_trials.clear()
        self.batches.clear()

    def decide(self, share: float, max_share: float) -> Decision:
        """Returns what to do at a share.

        Args:
          share: The share in force.
          max_share: Share that is not to be exceeded.
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
        """Returns which test is on its way to a halt, or nothing."""
        for (scope, measure), test in self.tests.items():
            if test.value >= self.halt_threshold(scope) ** self.policy.doubt:
                place = scope or "all workspaces"
                return f"{measure} in {place} is in doubt"
        return ""

    def find_missing_evidence(self) -> str:
        """Returns which measure lacks evidence for widening, or nothing."""
        for measure in MEASURES:
            stable = self.stable_trials.get(measure, Trials())
            if measure is Measure.POOR and not stable.total:
                continue  # Nobody pays for ratings here.
            if measure is Measure.SLOW and self.has_no_slow_bucket():
                continue
            candidate = self.step_trials.get(measure, Trials())
            if not self.excludes_rise(measure, stable, candidate):
                return f"{measure} needs more than {candidate.total} trials"
        return ""

    def has_no_slow_bucket(self) -> bool:
        """Says whether the stable is so slow that no limit can be set."""
        known = sum(self.latency) >= self.policy.min_latencies
        return known and self.slow_from >= BUCKET_COUNT

    def excludes_rise(
        self, measure: Measure, stable: Trials, candidate: Trials
    ) -> bool:
        """Says whether a rise by the margin is excluded."""
        margin = self.policy.margins[measure]
        stable_rate = (stable.bad + 0.5) / (stable.total + 1)
        worse_rate = min(stable_rate + margin, 0.99)
        stable_rate = min(stable_rate, worse_rate - margin / 2)
        good = candidate.total - candidate.bad
        log_ratio = candidate.bad * math.log(
            stable_rate / worse_rate
        ) + good * math.log((1 - stable_rate) / (1 - worse_rate))
        return log_ratio >= math.log(1 / self.policy.widen_error)
