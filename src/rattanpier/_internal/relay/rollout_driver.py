"""Takes roll-outs further, and tells the operators.

One entry drives: the first by name among those that are live and reach the
store. That is only to save calls: each step is a conditional write, so two
drivers can't take an order two ways.
"""

from __future__ import annotations

import asyncio
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
    may_widen,
)
from rattanpier._internal.relay.known_orders import more_than
from rattanpier._internal.relay.own_table import (
    ROLLOUT_PREFIX,
    TABLE,
    OwnTable,
    rows_with_prefix,
)
from rattanpier._internal.relay.restoring import LostRow
from rattanpier._internal.relay.rollouts import TRIAL_PHASES, Rollouts
from rattanpier._internal.relay.store import RelayStore, StoreClock, StoreHealth
from rattanpier._internal.relay.verdict import MIN_EXPOSED_ANSWERS
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="rollout")

STORE_RETRY_S = 1.0  # All entries look for the store after a common start.
STEP_INTERVAL_S = 0.25  # A step late by that is nothing to an order's time.
# Shares of an order's time. In the first half of it no session may be moved to
# the new version; when it takes over follows from what it may still get.
MIN_TRIAL_AGE = 0.5
MAX_EXTENSION_AGE = 0.8  # Later more answers would come too late to tell.
MIN_FULL_DURATION = 0.04  # Two rounds of evidence with all traffic.
# Then the old workers may be stopped: what they still do goes on elsewhere. The
# rest of the time is for a write whose answer is lost, and for another entry to
# notice that the driving one lost the store: 1.3 s of 24 where the store turned
# it away just before, and operators see it a little after the write.
FORCE_COMPLETION_AGE = 0.93
# For each such time that the last step is overdue, one more entry may take it:
# the writes are conditional. A step that was taken is known everywhere sooner.
BACKUP_DELAY_S = 0.3

StatusRow = Callable[[str, str, RolloutPhase], RowPut]


@attrs.frozen
class RolloutProgress:
    """What decides on the next step of an order.

    Attributes:
      phase: Where it stands.
      age: Share of its time that has passed.
      phase_age: Share of its time since it entered the phase.
      exposure: What the new version got.
      worse: The new version was found to be worse.
      old_running: Requests that run at old workers, in all entries.
    """

    phase: RolloutPhase
    age: float
    phase_age: float
    exposure: Exposure
    worse: bool
    old_running: int


def next_phase(progress: RolloutProgress, bound: ExposureBound) -> RolloutPhase:
    """Returns the phase that an order should be in."""
    phase = progress.phase
    if phase.final:
        return phase
    if progress.worse:
        return RolloutPhase.ROLLED_BACK
    if phase in TRIAL_PHASES:
        return phase_after_trial(progress, bound)
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
    """Returns the phase that an order should be in that is being tried."""
    phase, exposed = progress.phase, progress.exposure.exposed
    if progress.age < MIN_TRIAL_AGE:
        return phase
    if exposed >= MIN_EXPOSED_ANSWERS and may_widen(
        bound, progress.exposure, progress.age
    ):
        return RolloutPhase.WIDENING
    too_few = exposed < MIN_TRIAL_ANSWERS and progress.age < MAX_EXTENSION_AGE
    if phase is RolloutPhase.TRYING and too_few:
        return RolloutPhase.EXTENDING
    return phase


def backup_drivers(phase: RolloutPhase, age: float, deadline_s: float) -> int:
    """Returns how many entries behind the first may take an order's next step.

    Only the last step needs no evidence, which goes to the first one alone.

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
    """Yields the records that can be read, with their services."""
    for row in rows:
        try:
            yield row.key, decode(RolloutRecord, row.value)
        except UnreadableError as error:
            # The order's next step writes over it.
            log.error(
                "Roll-out's record can't be read.",
                row=row.key,
                error=error.message,
            )


@attrs.define(eq=False, repr=False)
class RolloutDriver:
    """Writes the records of orders.

    Attributes:
      own_table: Holds the records.
      revisions: Revisions of the rows in the store, by service.
      old_running: Requests at old workers in all entries, by order.
      may_drive: Whether this entry is the one to drive, or among so many more
        that may.
      health: Whether this entry reaches the store.
      loaded: All records that stood at the last reading are known.
      has_read: There was one.
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

    async def run(self) -> None:
        """Takes roll-outs further, again and again, until cancelled."""
        while True:
            try:
                # Those who follow the store look whether it is back.
                if self.health.available:
                    await self.step()
            except (StoreUnavailableError, HistoryGoneError) as error:
                log.info("Roll-outs can't be driven.", error=str(error))
                self.health.record_failure(error)
                await asyncio.sleep(STORE_RETRY_S)
            await asyncio.sleep(STEP_INTERVAL_S)

    async def load(self) -> None:
        """Reads all records.

        Raises:
          StoreUnavailableError: The store does not answer.
        """
        # After a write of another only a new reading tells where orders stand.
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
        """Yields the records that are further than the table shows."""
        stored = dict(decode_records(rows_with_prefix(page, ROLLOUT_PREFIX)))
        for service, known in self.rollouts.records.items():
            record = more_than(stored.get(service), known)
            if record is None:
                continue
            status = self.status_row(service, record.version, record.phase)
            value = encode(record).encode()
            yield LostRow(ROLLOUT_PREFIX + service, value, (status,))

    async def step(self) -> None:
        """Takes each order as far as the evidence allows.

        Raises:
          StoreUnavailableError: The store does not answer.
        """
        # An entry that starts late has to know where orders stand.
        if not self.loaded:
            await self.load()
        for order in list(self.rollouts.orders.values()):
            if self.rollouts.phase(order).final:
                continue
            await self.drive(order)
            if not self.loaded:
                # An entry that just took over knows no row's version yet: it
                # tries once more at once, since an order may be all but late.
                await self.load()
                await self.drive(order)

    async def drive(self, order: RolloutOrder) -> None:
        """Writes the first record of an order, or the next."""
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
        self.rollouts.evaluate(order)
        progress = RolloutProgress(
            phase=record.phase,
            age=age,
            phase_age=(now_ms - record.since_ms) / deadline_ms,
            exposure=self.rollouts.answer_counts.exposure(order.id),
            worse=order.id in self.rollouts.stopped,
            old_running=self.old_running(order.id),
        )
        phase = next_phase(progress, self.rollouts.bound)
        if phase is not record.phase:
            log.info(
                "Roll-out step.",
                service=order.service,
                version=order.version,
                order=order.id,
                phase=phase.value,
                age=round(progress.age, 2),
                answers=progress.exposure.exposed,
                of=progress.exposure.served,
                worse=progress.worse,
                old_running=progress.old_running,
            )
            await self.write(order, phase, record.begun_ms, now_ms)

    async def write(
        self,
        order: RolloutOrder,
        phase: RolloutPhase,
        begun_ms: float,
        since_ms: float,
    ) -> None:
        """Writes a record and the operators' status in one transaction."""
        record = RolloutRecord(
            order.id,
            order.service,
            order.version,
            phase,
            begun_ms,
            since_ms,
            order.revision.number,
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
            "Roll-out step not written.",
            service=order.service,
            order=order.id,
            outcome=json.dumps(repr(outcome)),
        )
        if isinstance(outcome, NotRun):
            # Others are to know at once that this entry can't drive.
            self.health.record_failure(StoreUnavailableError(outcome.reason))
        # Someone else wrote, or it is not known: read before anything else.
        self.loaded = False
