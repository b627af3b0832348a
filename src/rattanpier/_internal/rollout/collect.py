"""Collection of roll-out evidence on an entry.

An entry counts the outcomes of both versions and sends the counters to the
driver. It also evaluates its own counters and brakes a bad candidate without
waiting for a driver or the store.
"""

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
# Bounds the size of a notice for any number of workspaces.
MAX_ROWS_PER_NOTICE = 8
# Notices that one driver receives from all entries together.
MAX_DRIVER_NOTICES_PER_S = 40.0


@attrs.define
class RowSendState:
    """State of sending one row of counters.

    Attributes:
      sequence: Increases with each change of the row.
      sent_sequence: Sequence that was sent last.
      last_notice: Number of the notice that contained the row last.
    """

    sequence: int = 0
    sent_sequence: int = 0
    last_notice: int = 0


@attrs.define
class Collector:
    """Counts attempts and ratings of the versions in roll-outs.

    Attributes:
      sums: Counters since the process started, by workspace and version.
      send_states: State of sending, by workspace and version.
      evaluators: Evaluation of this entry's own counters, by roll-out.
      braked: Roll-outs whose candidate this entry braked.
      active_rollouts: Roll-outs that are not halted, as last configured.
      notices_sent: Number of notices sent; the sequence of the last one.
      next_send_s: Monotonic time in seconds at which notices are sent next.
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
        """Identifier of this incarnation of the entry in notices."""
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
        """Counts one rating, which may arrive long after the answer."""
        self.add_counts(workspace, version, Counts(rated=1, poor=int(not good)))

    def add_counts(self, workspace: str, version: str, counts: Counts) -> None:
        """Adds to the counters of a version if it is in a roll-out."""
        if not self.is_in_rollout(version):
            return
        key = (workspace, version)
        self.sums[key] = self.sums.get(key, NO_COUNTS) + counts
        self.send_states.setdefault(key, RowSendState()).sequence += 1

    def is_in_rollout(self, version: str) -> bool:
        """Returns whether a version is in a roll-out that is not halted."""
        return any(
            version in (rollout.stable, rollout.candidate)
            for rollout in self.active_rollouts.values()
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Applies a configuration; starts evaluations of new roll-outs."""
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
        """Starts an evaluation that ignores the evidence so far."""
        self.evaluators[name] = PairedEvaluator()
        self.evaluators[name].start_from(self.own_totals(rollout))

    def own_totals(self, rollout: Rollout) -> dict[str, VersionCounts]:
        """Returns this entry's own counters for a roll-out, by workspace."""
        return totals_by_workspace(self.sums, rollout.stable, rollout.candidate)

    async def run(self, kernel: Kernel) -> None:
        """Evaluates and sends once a second until the process stops."""
        while not kernel.stopping.is_set():
            self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Evaluates this entry's evidence and sends it when it is due."""
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
        """Brakes a candidate if this entry's own evidence halts it."""
        if name in self.braked and rollout.candidate not in self.brakes:
            # Only a new revision lifts a brake, so an operator chose to resume.
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
        """Sends rows to the driver.

        Changed rows come first, then those that were sent least recently.
        """
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
        """Returns the sort key of a row in the order of sending."""
        return (row.sent_sequence == row.sequence, row.last_notice)

    def make_row(self, key: tuple[str, str]) -> EvidenceRow:
        """Returns a row and records that it is sent."""
        row = self.send_states[key]
        row.sent_sequence, row.last_notice = row.sequence, self.notices_sent
        return EvidenceRow(*key, row.sequence, self.sums[key])


def send_interval_s(fleet: Fleet) -> float:
    """Returns the interval in seconds between notices of one entry.

    It grows with the fleet, so that the load of the driver stays bounded.

    >>> send_interval_s(Fleet(size=8)), send_interval_s(Fleet(size=420))
    (0.5, 10.5)
    """
    return max(STEP_INTERVAL_S / 2, fleet.size / MAX_DRIVER_NOTICES_PER_S)


def same_versions(rollout: Rollout, before: Rollout | None) -> bool:
    """Returns whether a roll-out has the same versions as before."""
    return before is not None and (
        (rollout.stable, rollout.candidate) == (before.stable, before.candidate)
    )


def find_driver(rollout: str, members: Members) -> Member | None:
    """Returns the control process responsible for a roll-out, if any."""
    return control_for(rollout, members.live.value)
