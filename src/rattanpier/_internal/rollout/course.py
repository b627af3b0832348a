"""The judgement over the whole course of a roll-out, and after it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.rollout.evidence import Pair
from rattanpier._internal.rollout.judge import (
    FULL_SHARE,
    Decision,
    Hold,
    Judge,
    Narrow,
    Policy,
)
from rattanpier._internal.rollout.watch import (
    Reference,
    Watch,
    make_reference,
)


@attrs.define
class Course:
    """One roll-out as it is judged.

    Attributes:
      judge: The paired test.
      reference: The past, from the first time at full share on.
      watch: The test against the past, while at full share.
    """

    policy: Policy = attrs.Factory(Policy)
    judge: Judge = attrs.field(
        default=attrs.Factory(lambda self: Judge(self.policy), takes_self=True)
    )
    reference: Reference | None = None
    watch: Watch | None = None

    def adopt(self, totals: Mapping[str, Pair]) -> None:
        """Starts from sums that an earlier driver gathered."""
        self.judge.adopt(totals)

    def observe(self, totals: Mapping[str, Pair]) -> None:
        """Takes in what was added to the sums of each workspace."""
        self.judge.observe(totals)
        if self.watch is not None:
            self.watch.observe(totals)

    def decide(self, share: float, max_share: float) -> Decision:
        """Returns what to do at a share."""
        if share >= FULL_SHARE and self.watch is None:
            self.start_watch()
        decision = self.judge.decide(share, max_share)
        alarm = self.watch.alarm if self.watch else None
        if isinstance(decision, Hold) and alarm is not None:
            return Narrow(self.policy.narrow_share, alarm.reason)
        return decision

    def start_watch(self) -> None:
        """Begins to compare with the past, once enough of it is known."""
        totals = self.judge.totals
        reference = self.reference or make_reference(totals, self.policy)
        if not reference.overall:
            return
        self.reference = reference
        self.watch = Watch(reference, self.policy)
        self.watch.adopt(totals)

    def use(self, reference: Reference) -> None:
        """Takes over the past as an earlier driver stored it."""
        self.reference = reference
        self.watch = None

    def share_changed(self) -> None:
        """Begins a step at another share."""
        self.judge.share_changed()
        self.watch = None
