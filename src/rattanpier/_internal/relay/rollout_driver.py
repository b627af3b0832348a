"""Advances roll-outs through their phases and publishes their status.

One entry drives all roll-outs: the first by name among the live entries that
reach the store. This only saves calls to the store: each step is a conditional
write, so two drivers can't advance an order in different ways.
"""

from __future__ import annotations

import asyncio
import collections
import json
from collections.abc import Callable, Iterable, Iterator

import attrs
import structlog

from rattanpier._internal.exceptions import (
    HistoryGoneError,
    StoreUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.feed import (
    FeedRow,
    Page,
    RowCheck,
    RowPut,
    WrittenAt,
)
from rattanpier._internal.models.outcomes import NotRun
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.relay.exposure import (
    MIN_TRIAL_ANSWERS,
    WIDENING_DURATION,
    Exposure,
    ExposureBound,
    extended_share,
    may_widen,
)
from rattanpier._internal.relay.known_orders import record_to_write
from rattanpier._internal.relay.own_table import (
    ROLLOUT_PREFIX,
    TABLE,
    OwnTable,
    rows_with_prefix,
)
from rattanpier._internal.relay.restoring import LostRow
from rattanpier._internal.relay.rollouts import TRIAL_PHASES, Rollouts
from rattanpier._internal.relay.store import RelayStore, StoreClock, StoreHealth
from rattanpier._internal.relay.verdict import (
    Judgement,
    Verdict,
    describe_durations,
)
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="rollout")

# After a common start, all entries look for the store at once.
STORE_RETRY_S = 1.0
# A delay of this length is negligible against the deadline of an order.
STEP_INTERVAL_S = 0.25
# Ages and durations are fractions of the time between an order and its
# deadline. In the first half of that time no session may be moved to the new
# version; when the version takes over follows from the requests that it may
# still get.
MIN_TRIAL_AGE = 0.5
# Answers gathered after this age would come too late for a decision.
MAX_EXTENSION_AGE = 0.8
# Time over which the recent rate of requests is measured: a few rounds.
RECENT_AGE = 0.06
# Bad answers after which operators expect a bad version to be rolled back, and
# the time after which it is if it is not known to be bad. Operators expect it
# within 5 s, of which entries need two to learn of it.
MAX_BAD_ANSWERS = 50
MAX_SUSPECTED_S = 3.0
MIN_FULL_DURATION = 0.04  # Two rounds of evidence with all traffic.
# At this age the old workers may be stopped, as their requests continue
# elsewhere. The remaining time covers a write whose answer is lost, and a
# failover to another entry if the driver lost the store, which takes 1.3 s of
# 24 s if the store rejected the driver just before. Operators see the status a
# little after the write.
FORCE_COMPLETION_AGE = 0.93
# For each such interval that the last step is overdue, one more entry may take
# it, which is safe since the writes are conditional. All entries learn of a
# completed step in less time.
BACKUP_DELAY_S = 0.3

StatusRow = Callable[[str, str, RolloutPhase], RowPut]


@attrs.frozen(eq=False, repr=False)
class RolloutProgress(Record):
    """Inputs of the decision on the next phase of an order.

    Attributes:
      phase: Its present phase.
      age: Time since the order, as a fraction of its deadline.
      phase_age: Time since it entered the phase, as a fraction of its deadline.
      exposure: Requests counted so far.
      verdict: What the evidence says of the new version.
      old_running: Requests in progress at old workers, sent by any entry.
      recent_rate: Requests in the time until the deadline, if they came at the
        recent rate.
      suspected_s: Seconds for which the new version may have given as many bad
        answers as operators accept, 0 if it has not.
    """

    phase: RolloutPhase
    age: float
    phase_age: float
    exposure: Exposure
    verdict: Verdict
    old_running: int
    recent_rate: float = 0.0
    suspected_s: float = 0.0


def next_phase(progress: RolloutProgress, bound: ExposureBound) -> RolloutPhase:
    """Returns the phase that an order should be in.

    A version that is not known to be no worse advances no further, even beyond
    the deadline: it can be completed later, but the last step, which stops the
    old version, can't be undone. It is rolled back soon after it may have given
    as many bad answers as operators accept.
    """
    phase = progress.phase
    if phase.final:
        return phase
    if progress.verdict is Verdict.WORSE:
        return RolloutPhase.ROLLED_BACK
    if progress.suspected_s >= MAX_SUSPECTED_S:
        return RolloutPhase.ROLLED_BACK
    if phase in TRIAL_PHASES:
        return phase_after_trial(progress, bound)
    if progress.verdict is not Verdict.NO_WORSE:
        return phase
    if phase is RolloutPhase.WIDENING:
        ready = progress.phase_age >= WIDENING_DURATION
        return RolloutPhase.FULL if ready else phase
    settled = (
        progress.phase_age >= MIN_FULL_DURATION and progress.old_running == 0
    )
    if settled or progress.age >= FORCE_COMPLETION_AGE:
        return RolloutPhase.COMPLETED
    return phase


def phase_after_trial(
    progress: RolloutProgress, bound: ExposureBound
) -> RolloutPhase:
    """Returns the phase that an order in a trial phase should be in."""
    phase, exposed = progress.phase, progress.exposure.exposed
    if progress.age < MIN_TRIAL_AGE:
        return phase
    known = progress.verdict is Verdict.NO_WORSE
    if known and may_widen(
        bound, progress.exposure, progress.age, progress.recent_rate
    ):
        return RolloutPhase.WIDENING
    few = exposed < MIN_TRIAL_ANSWERS and progress.age < MAX_EXTENSION_AGE
    if phase is RolloutPhase.TRYING and (few or not known):
        return RolloutPhase.EXTENDING
    return phase


def backup_drivers(phase: RolloutPhase, age: float, deadline_s: float) -> int:
    """Returns how many backup entries may take an order's next step.

    Before the last step, evidence is reported to the first entry alone, so that
    backups may only take that step.

    Args:
      phase: The order's present phase.
      age: Time since the order, as a fraction of its deadline.
      deadline_s: The order's deadline, in seconds.

    >>> backup_drivers(RolloutPhase.FULL, FORCE_COMPLETION_AGE + 0.03, 24.0)
    2
    >>> backup_drivers(RolloutPhase.TRYING, FORCE_COMPLETION_AGE + 0.03, 24.0)
    0
    """
    if phase is not RolloutPhase.FULL:
        return 0
    overdue_s = (age - FORCE_COMPLETION_AGE) * deadline_s
    return max(0, int(overdue_s / BACKUP_DELAY_S))


def decode_records(
    rows: Iterable[FeedRow],
) -> Iterator[tuple[str, RolloutRecord]]:
    """Yields the records that can be decoded, with their services."""
    for row in rows:
        try:
            yield row.key, decode(RolloutRecord, row.value)
        except UnreadableError as error:
            # The order's next step overwrites the row.
            log.error(
                "Roll-out record can't be decoded.",
                row=row.key,
                error=error.message,
            )


@attrs.define(eq=False, repr=False)
class RolloutDriver:
    """Advances roll-out orders and writes their records.

    Attributes:
      store: Store that the records are written to.
      own_table: Reads the table of the records.
      clock: The store's steady clock.
      rollouts: Orders, records and evidence as known to this entry.
      status_row: Returns the status row for operators, from a service, a
        version and a phase.
      old_running: Returns the requests in progress at old workers, sent by any
        entry, for an order's id.
      may_drive: Returns whether this entry is the driver, or among the given
        number of backups.
      health: Whether this entry reaches the store.
      revisions: Revisions of the record rows in the store, by service.
      loaded: Whether all records of the last full read are known, and no later
        write made them stale.
      has_read: Whether the table has been read before.
      judged: The last judgement that was logged, by order id.
      suspected_at: When versions may have given `MAX_BAD_ANSWERS`, in ms by the
        store's clock, by order id.
      sent_by_age: Requests that had been sent at recent ages, by order id.
    """

    store: RelayStore
    own_table: OwnTable
    clock: StoreClock
    rollouts: Rollouts
    status_row: StatusRow
    old_running: Callable[[int], int]
    may_drive: Callable[[int], bool]
    health: StoreHealth
    revisions: dict[str, Revision] = attrs.Factory(dict)
    loaded: bool = False
    has_read: bool = False
    judged: dict[int, tuple[Verdict, str]] = attrs.Factory(dict)
    suspected_at: dict[int, float] = attrs.Factory(dict)
    sent_by_age: dict[int, collections.deque[tuple[float, int]]] = (
        attrs.Factory(dict)
    )

    async def run(self) -> None:
        """Advances roll-outs at a fixed interval until cancelled."""
        while True:
            try:
                # The store's followers detect when it is available again.
                if self.health.available:
                    await self.step()
            except (StoreUnavailableError, HistoryGoneError) as error:
                log.info("Roll-outs can't be advanced.", error=str(error))
                self.health.record_failure(error)
                await asyncio.sleep(STORE_RETRY_S)
            await asyncio.sleep(STEP_INTERVAL_S)

    async def load(self) -> None:
        """Reads all records.

        Raises:
          StoreUnavailableError: The store does not answer.
        """
        # The shared first read may predate a write by another entry, so that
        # every later load needs a new read.
        read = (
            self.own_table.read if self.has_read else self.own_table.read_cached
        )
        page = await read()
        self.has_read = True
        rows = rows_with_prefix(page, ROLLOUT_PREFIX)
        self.revisions = {row.key: row.revision for row in rows}
        for _, record in decode_records(rows):
            self.rollouts.apply_record(record)
        self.rollouts.records_known = True
        self.loaded = True

    def find_lost_rows(self, page: Page) -> Iterator[LostRow]:
        """Yields known records that are newer than the rows of the store.

        Args:
          page: Full read of the table.
        """
        stored = dict(decode_records(rows_with_prefix(page, ROLLOUT_PREFIX)))
        for service, known in self.rollouts.records.items():
            record = record_to_write(stored.get(service), known)
            if record is None:
                continue
            status = self.status_row(service, record.version, record.phase)
            value = encode(record).encode()
            yield LostRow(ROLLOUT_PREFIX + service, value, (status,))

    async def step(self) -> None:
        """Advances each order by one phase if the evidence allows it.

        Raises:
          StoreUnavailableError: The store does not answer.
        """
        # An entry that starts late has to read the progress of orders first.
        if not self.loaded:
            await self.load()
        for order in list(self.rollouts.orders.values()):
            if self.rollouts.phase(order).final:
                continue
            await self.drive(order)
            if not self.loaded:
                # An entry that just took over doesn't know the revisions of the
                # rows. It retries at once, as the deadline may be close.
                await self.load()
                await self.drive(order)

    async def drive(self, order: RolloutOrder) -> None:
        """Writes the first or the next record of an order, if one is due."""
        record = self.rollouts.records.get(order.service)
        now_ms = self.clock.now_ms()
        if record is None or record.order != order.id:
            if self.may_drive(0):
                # The deadline counts from the order, not from its first record.
                begun_ms = now_ms - 1000 * self.rollouts.known_for_s(order)
                await self.write(order, RolloutPhase.TRYING, begun_ms, now_ms)
            return
        deadline_ms = order.deadline_s * 1000
        age = (now_ms - record.begun_ms) / deadline_ms
        if not self.may_drive(
            backup_drivers(record.phase, age, order.deadline_s)
        ):
            return
        judgement = self.rollouts.evaluate(order)
        self.log_judgement(order, judgement, age)
        progress = RolloutProgress(
            phase=record.phase,
            age=age,
            phase_age=(now_ms - record.since_ms) / deadline_ms,
            exposure=self.rollouts.answer_counts.exposure(order.id),
            verdict=self.verdict(order, judgement),
            old_running=self.old_running(order.id),
            recent_rate=self.recent_rate(order.id, age),
            suspected_s=self.suspected_s(order, judgement),
        )
        phase = next_phase(progress, self.rollouts.bound)
        if phase is not record.phase:
            log.info(
                "Roll-out enters its next phase.",
                service=order.service,
                version=order.version,
                order=order.id,
                phase=phase.value,
                age=round(progress.age, 2),
                verdict=progress.verdict.value,
                reason=judgement.reason,
                suspected_s=round(progress.suspected_s, 2),
                old_running=progress.old_running,
                durations=describe_durations(judgement),
                new=self.rollouts.summary(order.id, candidate=True),
                old=self.rollouts.summary(order.id, candidate=False),
            )
            await self.write(
                order,
                phase,
                record.begun_ms,
                now_ms,
                self.extending_share(record, phase, progress),
            )

    def extending_share(
        self,
        record: RolloutRecord,
        phase: RolloutPhase,
        progress: RolloutProgress,
    ) -> float:
        """Returns the share of sessions in an extended trial, for a record.

        Args:
          record: The record so far.
          phase: The phase that begins.
          progress: Progress of the order.
        """
        if phase is not RolloutPhase.EXTENDING:
            return record.extending_share
        return extended_share(
            self.rollouts.bound, progress.exposure, progress.age
        )

    def suspected_s(self, order: RolloutOrder, judgement: Judgement) -> float:
        """Returns for how long a version may have given too many bad answers.

        Args:
          order: The order.
          judgement: The latest judgement of its version.
        """
        exposed = self.rollouts.answer_counts.exposure(order.id).exposed
        if exposed * judgement.suspected_share < MAX_BAD_ANSWERS:
            self.suspected_at.pop(order.id, None)
            return 0.0
        now_ms = self.clock.now_ms()
        since_ms = self.suspected_at.setdefault(order.id, now_ms)
        return (now_ms - since_ms) / 1000

    def recent_rate(self, order: int, age: float) -> float:
        """Returns the recent rate of requests, and records their number.

        Args:
          order: The order's id.
          age: Time since the order, as a fraction of its deadline.

        Returns:
          Requests in the time until the deadline at that rate; 0 while unknown.
        """
        sent = self.rollouts.answer_counts.exposure(order).sent
        counts = self.sent_by_age.setdefault(order, collections.deque())
        counts.append((age, sent))
        while age - counts[0][0] > RECENT_AGE:
            counts.popleft()
        since, before = counts[0]
        if age - since < RECENT_AGE / 2:
            return 0.0
        return (sent - before) / (age - since)

    def log_judgement(
        self, order: RolloutOrder, judgement: Judgement, age: float
    ) -> None:
        """Logs a judgement if it says something new."""
        found = judgement.verdict, judgement.reason
        if self.judged.get(order.id) == found:
            return
        self.judged[order.id] = found
        log.info(
            "Roll-out judged.",
            service=order.service,
            version=order.version,
            order=order.id,
            age=round(age, 2),
            verdict=judgement.verdict.value,
            reason=judgement.reason,
            route=judgement.route,
            durations=describe_durations(judgement),
            new=self.rollouts.summary(order.id, candidate=True),
            old=self.rollouts.summary(order.id, candidate=False),
        )

    def verdict(self, order: RolloutOrder, judgement: Judgement) -> Verdict:
        """Returns the verdict that the next step of an order rests on."""
        if order.id in self.rollouts.stopped:
            return Verdict.WORSE
        return judgement.verdict

    async def write(
        self,
        order: RolloutOrder,
        phase: RolloutPhase,
        begun_ms: float,
        since_ms: float,
        extending_share: float = 0.0,
    ) -> None:
        """Writes a record and the operators' status in one transaction.

        Args:
          order: The order.
          phase: Its new phase.
          begun_ms: Time of the order, by the store's steady clock.
          since_ms: Start of the phase, by the same clock.
          extending_share: Share of sessions in an extended trial.
        """
        record = RolloutRecord(
            order.id,
            order.service,
            order.version,
            phase,
            begun_ms,
            since_ms,
            order.revision.number,
            sorted(self.rollouts.unproven(order.service)),
            extending_share,
        )
        key = ROLLOUT_PREFIX + order.service
        revision = self.revisions.get(order.service, Revision())
        outcome = await self.store.transact(
            [RowCheck(TABLE, key, revision)],
            [
                RowPut(TABLE, key, encode(record).encode()),
                self.status_row(order.service, order.version, phase),
            ],
        )
        if isinstance(outcome, WrittenAt):
            self.revisions[order.service] = outcome.revision
            self.rollouts.apply_record(record)
            return
        log.info(
            "Roll-out record not written.",
            service=order.service,
            order=order.id,
            outcome=json.dumps(repr(outcome)),
        )
        if isinstance(outcome, NotRun):
            # Peers have to learn at once that this entry can't drive.
            self.health.record_failure(StoreUnavailableError(outcome.reason))
        # Another entry wrote the row, or the outcome is unknown: read again
        # before the next step.
        self.loaded = False
