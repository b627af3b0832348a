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
from rattanpier._internal.rollout.ledger import pair_up
from rattanpier._internal.rollout.paired_evaluator import PairedEvaluator
from rattanpier._internal.rollout.records import EvidenceRow, EvidenceRows
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import encode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="rollout")

STEP_S = 1.0
ROWS_PER_NOTICE = 8  # Bounds what a notice weighs, however many workspaces.
NOTICES_PER_S = 40.0  # That one driver takes, from all entries together.


@attrs.define
class SentRow:
    """What is known of sending one row.

    Attributes:
      sequence: Rises with each change.
      sent: Sequence sent last.
      turn: Number of the notice that carried it last.
    """

    sequence: int = 0
    sent: int = 0
    turn: int = 0


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
    sending: dict[tuple[str, str], SentRow] = attrs.Factory(dict)
    judges: dict[str, PairedEvaluator] = attrs.Factory(dict)
    braked: set[str] = attrs.Factory(set)
    watched: dict[str, Rollout] = attrs.Factory(dict)
    turn: int = 0
    due: float = float("-inf")

    @property
    def origin(self) -> str:
        """How this start of the entry is named in notices."""
        return incarnation_id(self.me)

    def take_attempt(self, result: AttemptResult) -> None:
        """Counts one attempt."""
        latency = EMPTY_HISTOGRAM
        if result.first_token_s is not None:
            bucket = latency_bucket(result.first_token_s)
            latency = (*latency[:bucket], 1, *latency[bucket + 1 :])
        self.add(
            result.workspace,
            result.version,
            Counts(
                attempts=1,
                failed=int(result.outcome is AttemptOutcome.FAILED),
                truncated=int(result.outcome is AttemptOutcome.TRUNCATED),
                latency=latency,
            ),
        )

    def take_rating(self, workspace: str, version: str, good: bool) -> None:
        """Counts one rating, whenever it comes."""
        self.add(workspace, version, Counts(rated=1, poor=int(not good)))

    def add(self, workspace: str, version: str, counts: Counts) -> None:
        """Adds to the sums of a version that is in a roll-out."""
        if not self.is_watched(version):
            return
        key = (workspace, version)
        self.sums[key] = self.sums.get(key, NO_COUNTS) + counts
        self.sending.setdefault(key, SentRow()).sequence += 1

    def is_watched(self, version: str) -> bool:
        """Says whether a version is in a roll-out that is not halted."""
        return any(
            version in (rollout.stable, rollout.candidate)
            for rollout in self.watched.values()
        )

    def follow(self, configuration: Configuration) -> None:
        """Takes in a configuration; starts afresh what was started anew."""
        self.configuration = configuration
        watched = {
            name: rollout
            for name, rollout in configuration.rollouts.items()
            if rollout.state is not RolloutState.HALTED
        }
        for name, rollout in watched.items():
            if not same_versions(rollout, self.watched.get(name)):
                self.start(name, rollout)
            elif rollout.share != self.watched[name].share:
                self.judges[name].start_share_step()
        for name in self.judges.keys() - watched.keys():
            del self.judges[name]
            self.braked.discard(name)
        self.watched = watched

    def start(self, name: str, rollout: Rollout) -> None:
        """Begins to judge a roll-out; what came before does not count."""
        self.judges[name] = PairedEvaluator()
        self.judges[name].start_from(self.pairs(rollout))

    def pairs(self, rollout: Rollout) -> dict[str, VersionCounts]:
        """Returns this entry's own sums for a roll-out, by workspace."""
        return pair_up(self.sums, rollout.stable, rollout.candidate)

    async def run(self, kernel: Kernel) -> None:
        """Judges once a second, and sends, until the end."""
        while not kernel.stopping.is_set():
            self.step()
            await self.clock.sleep(STEP_S)

    def step(self) -> None:
        """Judges what this entry saw, and sends it when it is time."""
        for name, rollout in self.watched.items():
            self.judge(name, rollout)
        now = self.clock.monotonic()
        if now < self.due:
            return
        self.due = now + send_interval_s(self.configuration.fleet)
        for name, rollout in self.watched.items():
            driver = find_driver(name, self.members)
            if driver is not None:
                self.send(name, rollout, driver)

    def judge(self, name: str, rollout: Rollout) -> None:
        """Brakes a candidate that this entry's own evidence halts."""
        if name in self.braked and rollout.candidate not in self.brakes:
            # Only a revision lifts a brake: somebody decided to go on.
            self.braked.discard(name)
            self.start(name, rollout)
        judge = self.judges[name]
        judge.observe(self.pairs(rollout))
        if judge.first_halt is None or rollout.candidate in self.brakes:
            return
        self.braked.add(name)
        self.metrics.count("rollout.local_brake")
        self.brakes.apply(
            rollout.candidate, judge.first_halt.reason, self.me.name, name
        )

    def send(self, name: str, rollout: Rollout, driver: Member) -> None:
        """Sends rows to the driver: changed ones first, then the oldest."""
        versions = (rollout.stable, rollout.candidate)
        keys = [key for key in self.sending if key[1] in versions]
        keys.sort(key=lambda key: self.order(self.sending[key]))
        if not keys:
            return
        self.turn += 1
        rows = [self.make_row(key) for key in keys[:ROWS_PER_NOTICE]]
        evidence = peer_pb2.Evidence(
            rollout=name,
            origin=self.origin,
            sequence=self.turn,
            counts=encode(EvidenceRows(rows)).encode(),
        )
        self.links.to(driver).notify(peer_pb2.Notice(evidence=evidence))
        self.metrics.count("rollout.evidence_sent")

    def order(self, row: SentRow) -> tuple[bool, int]:
        """Returns the place of a row in the order of sending."""
        return (row.sent == row.sequence, row.turn)

    def make_row(self, key: tuple[str, str]) -> EvidenceRow:
        """Returns a row and notes that it is sent."""
        row = self.sending[key]
        row.sent, row.turn = row.sequence, self.turn
        return EvidenceRow(*key, row.sequence, self.sums[key])


def send_interval_s(fleet: Fleet) -> float:
    """Returns the pause between notices of one entry.

    It grows with the fleet, so that the driver's work does not.

    >>> send_interval_s(Fleet(size=8)), send_interval_s(Fleet(size=420))
    (0.5, 10.5)
    """
    return max(STEP_S / 2, fleet.size / NOTICES_PER_S)


def same_versions(rollout: Rollout, before: Rollout | None) -> bool:
    """Says whether a roll-out is the one seen before."""
    return before is not None and (
        (rollout.stable, rollout.candidate) == (before.stable, before.candidate)
    )


def find_driver(rollout: str, members: Members) -> Member | None:
    """Returns the control process that is to drive a roll-out."""
    return control_for(rollout, members.live.value)
