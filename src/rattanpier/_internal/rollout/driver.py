"""Driver that widens, narrows or halts roll-outs according to evidence.

One control process at a time drives a roll-out: the first live one in the
rendezvous order of the roll-out. A halt applies a brake first, which works
without the store, and is written afterwards. A larger share requires the
store, the lease and exactly the revision that was evaluated.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.configuration.store import (
    Accepted,
    ChangeOutcome,
    Fenced,
    Revision,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.configuration import Rollout, RolloutState
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.rollout.changes import (
    Change,
    ChangeWriter,
    write_halt,
    write_share,
)
from rattanpier._internal.rollout.collect import find_driver, same_versions
from rattanpier._internal.rollout.evaluation import RolloutEvaluation
from rattanpier._internal.rollout.evidence import VersionCounts
from rattanpier._internal.rollout.lease import HeldLease, acquire_lease
from rattanpier._internal.rollout.ledger import Ledger
from rattanpier._internal.rollout.paired_evaluator import (
    Decision,
    Halt,
    Hold,
    Narrow,
    Widen,
)
from rattanpier._internal.rollout.records import EvidenceRows, reference_key
from rattanpier._internal.rollout.regression_monitor import Reference
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.store.table import Put, Table, Transaction
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="rollout")

STEP_INTERVAL_S = 1.0


@attrs.define
class DrivenRollout:
    """State of a roll-out that this process drives.

    Attributes:
      rollout: The roll-out as last configured.
      ledger: Counters received from entries.
      evaluation: The evaluation of the counters.
      held_lease: The lease, or None unless this process is known to hold it.
      decision: The last decision.
      braked: Whether a brake on the candidate was seen.
      reference_stored: Whether the reference rates are in the store.
    """

    rollout: Rollout
    ledger: Ledger
    evaluation: RolloutEvaluation = attrs.Factory(RolloutEvaluation)
    held_lease: HeldLease | None = None
    decision: Decision = attrs.Factory(lambda: Hold("no evidence yet"))
    braked: bool = False
    reference_stored: bool = False


@attrs.define
class Driver:
    """Drives the roll-outs assigned to this control process.

    Attributes:
      accepted: Called with each revision that the store accepted.
      make_evaluation: Returns a new evaluation.
      ledgers: Counters received from entries, by roll-out.
      driven_rollouts: State of the driven roll-outs, by name.
    """

    me: Member
    table: Table
    clock: Clock
    follower: Follower
    members: Members
    brakes: Brakes
    metrics: Metrics
    accepted: Callable[[Revision], None]
    make_evaluation: Callable[[], RolloutEvaluation] = RolloutEvaluation
    ledgers: dict[str, Ledger] = attrs.Factory(dict)
    driven_rollouts: dict[str, DrivenRollout] = attrs.Factory(dict)

    @property
    def writer(self) -> ChangeWriter:
        """Writer of this process for configuration changes."""
        return ChangeWriter(self.table, self.clock, self.accepted)

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Applies an evidence notice of an entry."""
        evidence = notice.evidence
        ledger = self.ledgers.setdefault(evidence.rollout, Ledger())
        for row in decode(EvidenceRows, evidence.counts).rows:
            ledger.apply_row(evidence.origin, row)

    async def run(self, kernel: Kernel) -> None:
        """Runs a step once a second until the process stops."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Evaluates each assigned roll-out once and acts on the result."""
        rollouts = self.follower.configuration.rollouts
        for name in self.ledgers.keys() - rollouts.keys():
            del self.ledgers[name]
        for name in self.driven_rollouts.keys() - self.assigned_rollouts(
            rollouts
        ):
            log.info("No longer driving.", rollout=name)
            del self.driven_rollouts[name]
        for name in sorted(self.assigned_rollouts(rollouts)):
            await self.drive_rollout(name, rollouts[name])

    def assigned_rollouts(self, rollouts: dict[str, Rollout]) -> set[str]:
        """Returns the names of the roll-outs that this process has to drive."""
        return {
            name
            for name, rollout in rollouts.items()
            if rollout.state is not RolloutState.HALTED and self.is_driver(name)
        }

    def is_driver(self, name: str) -> bool:
        """Returns whether this process is the driver of a roll-out."""
        driver = find_driver(name, self.members)
        return driver is not None and driver.name == self.me.name

    async def drive_rollout(self, name: str, rollout: Rollout) -> None:
        """Evaluates one roll-out and acts on the decision."""
        revision = self.follower.configuration.revision
        driven = self.find_or_start(name, rollout)
        if driven.held_lease is None:
            await self.take_over(name, driven)
        totals = self.totals(driven)
        driven.evaluation.observe(totals)
        driven.decision = self.decide(driven)
        change = Change(
            name, rollout, revision, self.change_author(driven.decision)
        )
        if isinstance(driven.decision, Halt):
            # The brake works without the store, so it comes before the write.
            self.brakes.apply(
                rollout.candidate, driven.decision.reason, self.me.name, name
            )
        if rollout.candidate in self.brakes:
            driven.braked = True
            await self.halt(driven, change)
            return
        await self.apply_decision(driven, change)
        await self.store_reference(name, driven)

    def find_or_start(self, name: str, rollout: Rollout) -> DrivenRollout:
        """Returns the state of a roll-out, reset if it was restarted."""
        driven = self.driven_rollouts.get(name)
        if driven is None or self.was_restarted(driven, rollout):
            ledger = self.ledgers.setdefault(name, Ledger())
            driven = DrivenRollout(rollout, ledger, self.make_evaluation())
            driven.evaluation.start_from(self.totals(driven))
            self.driven_rollouts[name] = driven
        elif driven.rollout.share != rollout.share:
            driven.evaluation.start_share_step()
        driven.rollout = rollout
        return driven

    def was_restarted(self, driven: DrivenRollout, rollout: Rollout) -> bool:
        """Returns whether an operator restarted the roll-out.

        Only a new revision lifts a brake, so a lifted brake means that an
        operator chose to resume. Earlier evidence is then ignored.
        """
        lifted = driven.braked and rollout.candidate not in self.brakes
        return lifted or not same_versions(rollout, driven.rollout)

    def totals(self, driven: DrivenRollout) -> dict[str, VersionCounts]:
        """Returns the counters of all entries, by workspace."""
        members = self.members.live.value.values()
        live = {incarnation_id(member) for member in members}
        driven.ledger.drop_stopped_origins(live)
        return driven.ledger.totals(
            driven.rollout.stable, driven.rollout.candidate
        )

    def decide(self, driven: DrivenRollout) -> Decision:
        """Returns the decision at the share in force."""
        rollout = driven.rollout
        return driven.evaluation.decide(rollout.share, rollout.max_share)

    def change_author(self, decision: Decision) -> str:
        """Returns the author of a change, including the reason."""
        match decision:
            case Halt() | Narrow():
                return f"driver {self.me.name}: {decision.reason}"
            case _:
                return f"driver {self.me.name}: by evidence"

    async def halt(self, driven: DrivenRollout, change: Change) -> None:
        """Writes a halt; repeated at each step until it is in force."""
        brake = self.brakes.active[change.rollout.candidate]
        author = f"driver {self.me.name}: {brake.reason}"
        authored_change = attrs.evolve(change, author=author)
        if driven.held_lease is None:
            return
        # A brake of an operator only halts the roll-out: withdrawing the
        # candidate is left to the operator.
        withdraw = brake.origin in self.members.live.value
        outcome = await write_halt(
            self.writer, driven.held_lease, authored_change, withdraw
        )
        if isinstance(outcome, Fenced):
            driven.held_lease = None
        self.record_outcome("halt", authored_change, outcome)

    async def take_over(self, name: str, driven: DrivenRollout) -> None:
        """Acquires the lease and restores the stored reference rates."""
        held_lease = await acquire_lease(
            self.table, name, self.me.name, self.me.incarnation
        )
        if held_lease is None:
            return
        try:
            row = await self.table.get(
                reference_key(name, driven.rollout.candidate)
            )
        except StoreUnavailableError:
            return
        if row is not None:
            # The earlier driver's rates cover more of the roll-out than the
            # counters of this process.
            driven.evaluation.restore_reference(decode(Reference, row.value))
            driven.reference_stored = True
        driven.held_lease = held_lease
        log.info("Driving.", rollout=name, epoch=held_lease.lease.epoch)

    async def apply_decision(
        self, driven: DrivenRollout, change: Change
    ) -> None:
        """Writes the share of a widening or narrowing."""
        match driven.decision:
            case Widen(share) | Narrow(share):
                pass
            case _:
                return
        outcome: ChangeOutcome | None = None
        if driven.held_lease is not None:
            outcome = await write_share(
                self.writer, driven.held_lease, change, share
            )
            self.record_outcome(f"share {share:.3g}", change, outcome)
        if isinstance(outcome, Fenced):
            driven.held_lease = (
                None  # Another driver took over, or the head moved.
            )
        narrowing = isinstance(driven.decision, Narrow)
        if narrowing and not self.follower.store_reachable:
            # The test cannot continue at a smaller share, so the candidate is
            # braked.
            reason = f"{driven.decision.reason}, store unreachable"
            self.brakes.apply(
                change.rollout.candidate, reason, self.me.name, change.name
            )

    def record_outcome(
        self, action: str, change: Change, outcome: ChangeOutcome
    ) -> None:
        """Logs and counts the outcome of a change."""
        kind = type(outcome).__name__.lower()
        self.metrics.count(f"rollout.change.{kind}")
        log.info(
            "Roll-out changed."
            if isinstance(outcome, Accepted)
            else "Roll-out not changed.",
            rollout=change.name,
            change=action,
            reason=change.author,
            outcome=kind,
        )

    async def store_reference(self, name: str, driven: DrivenRollout) -> None:
        """Stores the reference rates for the next driver."""
        reference = driven.evaluation.reference
        if (
            driven.reference_stored
            or reference is None
            or driven.held_lease is None
        ):
            return
        put = Put(
            reference_key(name, driven.rollout.candidate), encode(reference)
        )
        await self.table.transact(Transaction([driven.held_lease.check], [put]))
        # The outcome is not checked. Writing again would be harmless, and a
        # lost row only makes the next driver collect the rates again.
        driven.reference_stored = True
