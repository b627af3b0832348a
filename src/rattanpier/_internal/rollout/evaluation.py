"""Evaluation of a version during its roll-out and at full share.

The paired comparison runs all the time. At full share a regression monitor is
added, since then the stable version no longer runs beside the candidate.
"""

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
    """State of the evaluation of one roll-out.

    Attributes:
      policy: Error rates and steps.
      paired_evaluator: The comparison of both versions.
      reference: Reference rates; set when full share is first reached.
      monitor: The test against the reference rates, while at full share.
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
        """Starts from counters collected under an earlier driver."""
        self.paired_evaluator.start_from(totals)

    def observe(self, totals: Mapping[str, VersionCounts]) -> None:
        """Processes the increase of the counters of each workspace.

        Args:
          totals: Cumulative counters by workspace.
        """
        self.paired_evaluator.observe(totals)
        if self.monitor is not None:
            self.monitor.observe(totals)

    def decide(self, share: float, max_share: float) -> Decision:
        """Returns the decision at a share.

        Args:
          share: The share in force, from 0 to 1.
          max_share: Maximum share that the operator allows.
        """
        if share >= FULL_SHARE and self.monitor is None:
            self.start_monitor()
        decision = self.paired_evaluator.decide(share, max_share)
        alarm = self.monitor.alarm if self.monitor else None
        if isinstance(decision, Hold) and alarm is not None:
            return Narrow(self.policy.narrow_share, alarm.reason)
        return decision

    def start_monitor(self) -> None:
        """Starts the regression monitor if there are reference rates."""
        totals = self.paired_evaluator.totals
        reference = self.reference or make_reference(totals, self.policy)
        if not reference.overall:
            return
        self.reference = reference
        self.monitor = RegressionMonitor(reference, self.policy)
        self.monitor.start_from(totals)

    def restore_reference(self, reference: Reference) -> None:
        """Restores the reference rates that an earlier driver stored."""
        self.reference = reference
        self.monitor = None

    def start_share_step(self) -> None:
        """Begins a step at a new share."""
        self.paired_evaluator.start_share_step()
        self.monitor = None
