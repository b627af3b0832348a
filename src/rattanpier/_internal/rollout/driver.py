"""Drives roll-outs from a control process, by evidence.

One control process drives a roll-out at a time: the first live one in the
roll-out's rendezvous order. A halt is a brake first, which needs no store;
then it is written. A larger share needs the store, the lease and the very
revision that was judged.
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
from rattanpier._internal.rollout.changes import Change, Writer, halt, set_share
from rattanpier._internal.rollout.collect import find_driver, same_versions
from rattanpier._internal.rollout.evaluation import RolloutEvaluation
from rattanpier._internal.rollout.evidence import VersionCounts
from rattanpier._internal.rollout.lease import HeldLease, take_lease
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

STEP_S = 1.0


@attrs.define
class Drive:
    """One roll-out while this process drives it.

    Attributes:
      rollout: As last seen.
      ledger: What entries sent.
      course: The judgement.
      held: The lease, or None while it is not certain.
      decision: The last one.
      braked: Whether the candidate was found braked.
      stored: Whether the reference is in the store.
    """

    rollout: Rollout
    ledger: Ledger
    course: RolloutEvaluation = attrs.Factory(RolloutEvaluation)
    held: HeldLease | None = None
    decision: Decision = attrs.Factory(lambda: Hold("no evidence yet"))
    braked: bool = False
    stored: bool = False


@attrs.define
class Driver:
    """The roll-outs that this control process drives.

    Attributes:
      accepted: Called with each revision that the store accepted.
      ledgers: What entries sent, by roll-out.
      drives: By roll-out.
      make_course: Returns a new judgement.
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
    drives: dict[str, Drive] = attrs.Factory(dict)

    @property
    def writer(self) -> Writer:
        """How this process writes changes."""
        return Writer(self.table, self.clock, self.accepted)

    def receive(self, notice: peer_pb2.Notice) -> None:
        """Takes in an entry's evidence."""
        evidence = notice.evidence
        ledger = self.ledgers.setdefault(evidence.rollout, Ledger())
        for row in decode(EvidenceRows, evidence.counts).rows:
            ledger.take(evidence.origin, row)

    async def run(self, kernel: Kernel) -> None:
        """Steps once a second until the end."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(STEP_S)

    async def step(self) -> None:
        """Looks at each roll-out once."""
        rollouts = self.follower.configuration.rollouts
        for name in self.ledgers.keys() - rollouts.keys():
            del self.ledgers[name]
        for name in self.drives.keys() - self.mine(rollouts):
            log.info("No longer driving.", rollout=name)
            del self.drives[name]
        for name in sorted(self.mine(rollouts)):
            await self.drive(name, rollouts[name])

    def mine(self, rollouts: dict[str, Rollout]) -> set[str]:
        """Returns the roll-outs that this process is to drive."""
        return {
            name
            for name, rollout in rollouts.items()
            if rollout.state is not RolloutState.HALTED and self.is_driver(name)
        }

    def is_driver(self, name: str) -> bool:
        """Says whether this process is first among the live ones."""
        driver = find_driver(name, self.members)
        return driver is not None and driver.name == self.me.name

    async def drive(self, name: str, rollout: Rollout) -> None:
        """Judges one roll-out and acts on the decision."""
        revision = self.follower.configuration.revision
        drive = self.follow(name, rollout)
        if drive.held is None:
            await self.take(name, drive)
        totals = self.totals(drive)
        drive.course.observe(totals)
        drive.decision = self.decide(drive)
        change = Change(name, rollout, revision, self.sign(drive.decision))
        if isinstance(drive.decision, Halt):
            # First what needs no store; then the store.
            self.brakes.apply(
                rollout.candidate, drive.decision.reason, self.me.name, name
            )
        if rollout.candidate in self.brakes:
            drive.braked = True
            await self.halt(drive, change)
            return
        await self.act(drive, change)
        await self.store_reference(name, drive)

    def follow(self, name: str, rollout: Rollout) -> Drive:
        """Returns the drive of a roll-out, started afresh if it is new."""
        drive = self.drives.get(name)
        if drive is None or self.is_stale(drive, rollout):
            ledger = self.ledgers.setdefault(name, Ledger())
            drive = Drive(rollout, ledger, self.make_evaluation())
            drive.course.start_from(self.totals(drive))
            self.drives[name] = drive
        elif drive.rollout.share != rollout.share:
            drive.course.start_share_step()
        drive.rollout = rollout
        return drive

    def is_stale(self, drive: Drive, rollout: Rollout) -> bool:
        """Says whether an operator started the roll-out anew.

        Only a revision lifts a brake, so one that is gone was an operator's
        decision to go on: what was found before does not count any more.
        """
        lifted = drive.braked and rollout.candidate not in self.brakes
        return lifted or not same_versions(rollout, drive.rollout)

    def totals(self, drive: Drive) -> dict[str, VersionCounts]:
        """Returns the sums of all entries, by workspace."""
        members = self.members.live.value.values()
        live = {incarnation_id(member) for member in members}
        drive.ledger.retire(live)
        return drive.ledger.totals(
            drive.rollout.stable, drive.rollout.candidate
        )

    def decide(self, drive: Drive) -> Decision:
        """Returns the decision at the share in force."""
        rollout = drive.rollout
        return drive.course.decide(rollout.share, rollout.max_share)

    def sign(self, decision: Decision) -> str:
        """Returns the author of a change, with its reason."""
        match decision:
            case Halt() | Narrow():
                return f"driver {self.me.name}: {decision.reason}"
            case _:
                return f"driver {self.me.name}: by evidence"

    async def halt(self, drive: Drive, change: Change) -> None:
        """Writes a halt; tried again at each step until it is in force."""
        record = self.brakes.active[change.rollout.candidate]
        author = f"driver {self.me.name}: {record.reason}"
        signed = attrs.evolve(change, author=author)
        if drive.held is None:
            return
        # An operator's halt is completed as it was meant.
        withdraw = record.origin in self.members.live.value
        outcome = await halt(self.writer, drive.held, signed, withdraw)
        if isinstance(outcome, Fenced):
            drive.held = None
        self.note("halt", signed, outcome)

    async def take(self, name: str, drive: Drive) -> None:
        """Takes the lease, and the past that an earlier driver stored."""
        held = await take_lease(
            self.table, name, self.me.name, self.me.incarnation
        )
        if held is None:
            return
        try:
            row = await self.table.get(
                reference_key(name, drive.rollout.candidate)
            )
        except StoreUnavailableError:
            return
        if row is not None:
            # An earlier driver's past is longer than what was seen here.
            drive.course.restore_reference(decode(Reference, row.value))
            drive.stored = True
        drive.held = held
        log.info("Driving.", rollout=name, epoch=held.lease.epoch)

    async def act(self, drive: Drive, change: Change) -> None:
        """Carries out a widening or narrowing."""
        match drive.decision:
            case Widen(share) | Narrow(share):
                pass
            case _:
                return
        outcome: ChangeOutcome | None = None
        if drive.held is not None:
            outcome = await set_share(self.writer, drive.held, change, share)
            self.note(f"share {share:.3g}", change, outcome)
        if isinstance(outcome, Fenced):
            drive.held = None  # Another took over, or the head moved.
        narrowing = isinstance(drive.decision, Narrow)
        if narrowing and not self.follower.store_reachable:
            # A doubt that can't be settled at a smaller share: stop.
            reason = f"{drive.decision.reason}, store unreachable"
            self.brakes.apply(
                change.rollout.candidate, reason, self.me.name, change.name
            )

    def note(self, what: str, change: Change, outcome: ChangeOutcome) -> None:
        """Logs and counts what became of a change."""
        kind = type(outcome).__name__.lower()
        self.metrics.count(f"rollout.change.{kind}")
        log.info(
            "Roll-out changed."
            if isinstance(outcome, Accepted)
            else "Roll-out not changed.",
            rollout=change.name,
            change=what,
            reason=change.author,
            outcome=kind,
        )

    async def store_reference(self, name: str, drive: Drive) -> None:
        """Stores the past, for the next driver."""
        reference = drive.course.reference
        if drive.stored or reference is None or drive.held is None:
            return
        put = Put(
            reference_key(name, drive.rollout.candidate), encode(reference)
        )
        await self.table.transact(Transaction([drive.held.check], [put]))
        # Writing it again would be harmless; losing it costs a relearning.
        drive.stored = True
