"""Evidence as an entry gathers it, sends it, and acts on it alone."""

from __future__ import annotations

import attrs
import structlog

from rattanpier._internal.dispatch.attempts import (
    AttemptOutcome,
    AttemptResult,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.duties import control_for
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.configuration import (
    Configuration,
    Fleet,
    Rollout,
    RolloutState,
)
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.rollout.evidence import (
    EMPTY_HISTOGRAM,
    NO_COUNTS,
    Counts,
    VersionCounts,
    latency_bucket,
)
from rattanpier._internal.rollout.ledger import totals_by_workspace
from rattanpier._internal.rollout.paired_evaluator import PairedEvaluator
from rattanpier._internal.rollout.records import EvidenceRow, EvidenceRows
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import encode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="rollout")

STEP_INTERVAL_S = 1.0
MAX_ROWS_PER_NOTICE = 8  # Bounds what a notice weighs, however many workspaces.
MAX_DRIVER_NOTICES_PER_S = (
    40.0  # That one driver takes, from all entries together.
)


@attrs.define
class RowSendState:
    """What is known of sending one row.

    Attributes:
      sequence: Rises with each change.
      sent: Sequence sent last.
      turn: Number of the notice that carried it last.
    """

    sequence: int = 0
    sent_sequence: int = 0
    last_notice: int = 0


@attrs.define
class Collector:
    """Counts attempts and ratings of versions in a roll-out.

    Attributes:
      sums: Since the start, by workspace and version.
      sending: State of sending, likewise.
      judges: This entry's own judgement, by roll-out.
      braked: Roll-outs that this entry braked.
      watched: Roll-outs as last seen.
      turn: Number of notices sent.
      due: Monotonic time of the next notices.
    """

    me: Member
    configuration: Configuration
    members: Members
    links: Links
    brakes: Brakes
    clock: Clock
    metrics: Metrics
    sums: dict[tuple[str, str], Counts] = attrs.Factory(dict)
    send_states: dict[tuple[str, str], RowSendState] = attrs.Factory(dict)
    evaluators: dict[str, PairedEvaluator] = attrs.Factory(dict)
    braked: set[str] = attrs.Factory(set)
    active_rollouts: dict[str, Rollout] = attrs.Factory(dict)
    notices_sent: int = 0
    next_send_s: float = float("-inf")

    @property
    def origin(self) -> str:
        """How this start of the entry is named in notices."""
        return incarnation_id(self.me)

    def record_attempt(self, result: AttemptResult) -> None:
        """Counts one attempt."""
        latency = EMPTY_HISTOGRAM
        if result.first_token_s is not None:
            bucket = latency_bucket(result.first_token_s)
            latency = (*latency[:bucket], 1, *latency[bucket + 1 :])
        self.add_counts(
            result.workspace,
            result.version,
            Counts(
                attempts=1,
                failed=int(result.outcome is AttemptOutcome.FAILED),
                truncated=int(result.outcome is AttemptOutcome.TRUNCATED),
                latency=latency,
            ),
        )

    def record_rating(self, workspace: str, version: str, good: bool) -> None:
        """Counts one rating, whenever it comes."""
        self.add_counts(workspace, version, Counts(rated=1, poor=int(not good)))

    def add_counts(self, workspace: str, version: str, counts: Counts) -> None:
        """Adds to the sums of a version that is in a roll-out."""
        if not self.is_in_rollout(version):
            return
        key = (workspace, version)
        self.sums[key] = self.sums.get(key, NO_COUNTS) + counts
        self.send_states.setdefault(key, RowSendState()).sequence += 1

    def is_in_rollout(self, version: str) -> bool:
        """Says whether a version is in a roll-out that is not halted."""
        return any(
            version in (rollout.stable, rollout.candidate)
            for rollout in self.active_rollouts.values()
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Takes in a configuration; starts afresh what was started anew."""
        self.configuration = configuration
        active_rollouts = {
            name: rollout
            for name, rollout in configuration.rollouts.items()
            if rollout.state is not RolloutState.HALTED
        }
        for name, rollout in active_rollouts.items():
            if not same_versions(rollout, self.active_rollouts.get(name)):
                self.start_evaluation(name, rollout)
            elif rollout.share != self.active_rollouts[name].share:
                self.evaluators[name].start_share_step()
        for name in self.evaluators.keys() - active_rollouts.keys():
            del self.evaluators[name]
            self.braked.discard(name)
        self.active_rollouts = active_rollouts

    def start_evaluation(self, name: str, rollout: Rollout) -> None:
        """Begins to judge a roll-out; what came before does not count."""
        self.evaluators[name] = PairedEvaluator()
        self.evaluators[name].start_from(self.own_totals(rollout))

    def own_totals(self, rollout: Rollout) -> dict[str, VersionCounts]:
        """Returns this entry's own sums for a roll-out, by workspace."""
        return totals_by_workspace(self.sums, rollout.stable, rollout.candidate)

    async def run(self, kernel: Kernel) -> None:
        """Judges once a second, and sends, until the end."""
        while not kernel.stopping.is_set():
            self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Judges what this entry saw, and sends it when it is time."""
        for name, rollout in self.active_rollouts.items():
            self.evaluate(name, rollout)
        now = self.clock.monotonic()
        if now < self.next_send_s:
            return
        self.next_send_s = now + send_interval_s(self.configuration.fleet)
        for name, rollout in self.active_rollouts.items():
            driver = find_driver(name, self.members)
            if driver is not None:
                self.send(name, rollout, driver)

    def evaluate(self, name: str, rollout: Rollout) -> None:
        """Brakes a candidate that this entry's own evidence halts."""
        if name in self.braked and rollout.candidate not in self.brakes:
            # Only a revision lifts a brake: somebody decided to go on.
            self.braked.discard(name)
            self.start_evaluation(name, rollout)
        evaluator = self.evaluators[name]
        evaluator.observe(self.own_totals(rollout))
        if evaluator.first_halt is None or rollout.candidate in self.brakes:
            return
        self.braked.add(name)
        self.metrics.count("rollout.local_brake")
        self.brakes.apply(
            rollout.candidate, evaluator.first_halt.reason, self.me.name, name
        )

    def send(self, name: str, rollout: Rollout, driver: Member) -> None:
        """Sends rows to the driver: changed ones first, then the oldest."""
        versions = (rollout.stable, rollout.candidate)
        keys = [key for key in self.send_states if key[1] in versions]
        keys.sort(key=lambda key: self.send_order(self.send_states[key]))
        if not keys:
            return
        self.notices_sent += 1
        rows = [self.make_row(key) for key in keys[:MAX_ROWS_PER_NOTICE]]
        evidence = peer_pb2.Evidence(
            rollout=name,
            origin=self.origin,
            sequence=self.notices_sent,
            counts=encode(EvidenceRows(rows)).encode(),
        )
        self.links.to(driver).notify(peer_pb2.Notice(evidence=evidence))
        self.metrics.count("rollout.evidence_sent")

    def send_order(self, row: RowSendState) -> tuple[bool, int]:
        """Returns the place of a row in the order of sending."""
        return (row.sent_sequence == row.sequence, row.last_notice)

    def make_row(self, key: tuple[str, str]) -> EvidenceRow:
        """Returns a row and notes that it is sent."""
        row = self.send_states[key]
        row.sent_sequence, row.last_notice = row.sequence, self.notices_sent
        return EvidenceRow(*key, row.sequence, self.sums[key])


def send_interval_s(fleet: Fleet) -> float:
    """Returns the pause between notices of one entry.

    It grows with the fleet, so that the driver's work does not.

    >>> send_interval_s(Fleet(size=8)), send_interval_s(Fleet(size=420))
    (0.5, 10.5)
    """
    return max(STEP_INTERVAL_S / 2, fleet.size / MAX_DRIVER_NOTICES_PER_S)


def same_versions(rollout: Rollout, before: Rollout | None) -> bool:
    """Says whether a roll-out is the one seen before."""
    return before is not None and (
        (rollout.stable, rollout.candidate) == (before.stable, before.candidate)
    )


def find_driver(rollout: str, members: Members) -> Member | None:
    """Returns the control process that is to drive a roll-out."""
    return control_for(rollout, members.live.value)
