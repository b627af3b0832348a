"""The judgement over the whole course of a roll-out, and after it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.rollout.evidence import VersionCounts
from rattanpier._internal.rollout.paired_evaluator import (
    FULL_SHARE,
    Decision,
    EvaluationPolicy,
    Hold,
    Narrow,
    PairedEvaluator,
)
from rattanpier._internal.rollout.regression_monitor import (
    Reference,
    RegressionMonitor,
    make_reference,
)


@attrs.define
class RolloutEvaluation:
    """One roll-out as it is judged.

    Attributes:
      judge: The paired test.
      reference: The past, from the first time at full share on.
      watch: The test against the past, while at full share.
    """

    policy: EvaluationPolicy = attrs.Factory(EvaluationPolicy)
    paired_evaluator: PairedEvaluator = attrs.field(
        default=attrs.Factory(
            lambda self: PairedEvaluator(self.policy), takes_self=True
        )
    )
    reference: Reference | None = None
    monitor: RegressionMonitor | None = None

    def start_from(self, totals: Mapping[str, VersionCounts]) -> None:
        """Starts from sums that an earlier driver gathered."""
        self.paired_evaluator.start_from(totals)

    def observe(self, totals: Mapping[str, VersionCounts]) -> None:
        """Takes in what was added to the sums of each workspace."""
        self.paired_evaluator.observe(totals)
        if self.monitor is not None:
            self.monitor.observe(totals)

    def decide(self, share: float, max_share: float) -> Decision:
        """Returns what to do at a share."""
        if share >= FULL_SHARE and self.monitor is None:
            self.start_monitor()
        decision = self.paired_evaluator.decide(share, max_share)
        alarm = self.monitor.alarm if self.monitor else None
        if isinstance(decision, Hold) and alarm is not None:
            return Narrow(self.policy.narrow_share, alarm.reason)
        return decision

    def start_monitor(self) -> None:
        """Begins to compare with the past, once enough of it is known."""
        totals = self.paired_evaluator.totals
        reference = self.reference or make_reference(totals, self.policy)
        if not reference.overall:
            return
        self.reference = reference
        self.monitor = RegressionMonitor(reference, self.policy)
        self.monitor.start_from(totals)

    def restore_reference(self, reference: Reference) -> None:
        """Takes over the past as an earlier driver stored it."""
        self.reference = reference
        self.monitor = None

    def start_share_step(self) -> None:
        """Begins a step at another share."""
        self.paired_evaluator.start_share_step()
        self.monitor = None
