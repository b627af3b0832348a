"""Follows tables of the store, directly or by updates from watchers.

Calls to the store are billed, so only a few entries, the watchers, read the
feed of a table. They publish each answer to all peers at once, also an empty
one, which shows that nothing was missed. The first watcher publishes; the
second one publishes only what it has not received from the first. If neither
publishes, standby watchers read and publish the table; an entry that receives
no update even then reads for itself. The times are such that a change applies
within the operators' bound whichever of them fail, see `follow_timing`.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.exceptions import (
    HistoryGoneError,
    StoreUnavailableError,
)
from rattanpier._internal.models.feed import DataSource, FeedRow, Page
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.follow_timing import (
    STANDBY_COUNT,
    WATCHER_COUNT,
    FollowTiming,
)
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.store import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    RelayStore,
    StoreClock,
    StoreHealth,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="store")

# Size limit of an update after compression; each entry fetches a longer change
# from the store itself. An entry forwards an update to eight peers, which takes
# 0.2 s at this size on a link of 5 Mbit/s. A table of a few hundred workers,
# which all entries need when the store loses its history, is shorter.
MAX_UPDATE_BYTES = 16384
# When a new era begins, the watchers read the whole table at once and publish
# it. Other entries wait this long for it: the time of a full read and of the
# delivery, with a margin for a long table.
ERA_UPDATE_WAIT_S = 0.4
# Intervals at which a non-watcher checks whether the store is available again.
# They may be long: after an outage of the whole store it learns of the recovery
# from the watchers, and an entry that alone is rejected by the store receives
# all changes from them.
RETRY_INTERVAL_S = 2.0
UP_TO_DATE_RETRY_INTERVAL_S = 5.0
MIN_SLEEP_S = 0.001  # Rounding may leave a time too short to pass.


@attrs.frozen(eq=False, repr=False)
class TableUpdate(Record):
    """An answer of a feed, as watchers publish it.

    Attributes:
      table: Name of the table.
      since: Revision after which the changes begin.
      revision: Revision up to which the changes are complete.
      now_ms: The store's monotonic clock, in ms.
      rows: The changed rows, or None if they exceed `MAX_UPDATE_BYTES`.
      settling: Whether the store may just have recovered from an outage.
      whole: Whether the rows are the whole table rather than changes.
      watcher: Name of the entry that read the answer.
    """

    table: str
    since: Revision
    revision: Revision
    now_ms: float
    rows: list[FeedRow] | None
    settling: bool
    whole: bool = False
    watcher: str = ""


def watch_rank(fleet: Fleet) -> int | None:
    """Returns this entry's position among watchers and standby watchers.

    It is None if the entry is neither.
    """
    watchers = fleet.preferred("watch", WATCHER_COUNT + STANDBY_COUNT)
    name = fleet.me.member.name
    return watchers.index(name) if name in watchers else None


def make_update(
    watcher: str,
    table: str,
    before: Revision | None,
    page: Page,
    settling: bool,
) -> TableUpdate:
    """Returns the update that publishes an answer of a feed.

    Args:
      watcher: Name of this entry.
      table: Name of the table.
      before: Revision that was applied before the answer, or None.
      page: The answer.
      settling: Whether the store has just recovered from an outage.
    """
    return TableUpdate(
        table=table,
        since=page.revision if before is None else before,
        revision=page.revision,
        now_ms=page.now_ms,
        rows=page.rows,
        settling=settling,
        whole=page.whole,
        watcher=watcher,
    )


@attrs.define(eq=False, repr=False)
class TableFollower:
    """Follows one table, by its feed or by the watchers' updates.

    Attributes:
      store: Where the table is read.
      clock: Monotonic clock.
      health: Whether this entry reaches the store.
      store_clock: Updated with the time that each page reports.
      table: Name of the table.
      on_page: Called with each applied page and with whether the store has just
        recovered from an outage.
      rank: Returns this entry's position among the watchers and, after them,
        the standby watchers, or None.
      publish: Sends an update to all peers.
      name: Name of this entry.
      history: Tracks the newest era. State of an earlier era can't be continued
        in a later one, so the whole table is read again.
      since: Revision up to which all changes are applied, None before the first
        full read.
      timing: When the follower acts.
      backoff_s: Current delay after a failed call, in seconds.
      received_at: When the store gave the newest answer that a watcher
        published, in monotonic seconds.
      received_revision: Newest revision that the updates reported.
      fetch_pending: Whether an update reported a change that has to be fetched.
      requested_at: When the store was last called, in monotonic seconds.
      first_read_at: When the first full read ended, in monotonic seconds.
      jitter_s: Random addition to the time after which this entry reads for
        itself, since many entries may miss the same update.
      confirmed_at: When an answer of the store last confirmed the applied
        state, in monotonic seconds.
    """

    store: RelayStore
    clock: Clock
    health: StoreHealth
    store_clock: StoreClock
    table: str
    on_page: Callable[[Page, bool], None]
    rank: Callable[[], int | None]
    publish: Callable[[TableUpdate], None]
    history: StoreHistory
    name: str = ""
    timing: FollowTiming = FollowTiming()
    since: Revision | None = None
    backoff_s: float = 0.0
    received_at: float = float("-inf")
    received_revision: Revision = Revision()
    fetch_pending: bool = False
    requested_at: float = float("-inf")
    first_read_at: float = float("-inf")
    jitter_s: float = 0.0
    confirmed_at: float = float("-inf")

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if self.should_wait():
                await self.clock.sleep(self.timing.poll_interval_s)
            else:
                await self.step()

    def is_watcher(self) -> bool:
        """Returns whether this entry is one of the watchers."""
        rank = self.rank()
        return rank is not None and rank < WATCHER_COUNT

    def is_up_to_date(self) -> bool:
        """Returns whether recent updates of watchers are all applied."""
        fresh = self.clock.monotonic() - self.received_at < self.timeout_s()
        if self.is_outdated():
            return False
        return fresh and self.has_applied(self.received_revision)

    def timeout_s(self) -> float:
        """Returns for how long this entry relies on an update."""
        if self.received_at <= self.first_read_at:
            return self.timing.startup_timeout_s
        rank = self.rank()
        jitter_s = self.jitter_s if rank is None else 0.0
        return self.timing.timeout_s(rank) + jitter_s

    def has_applied(self, revision: Revision) -> bool:
        """Returns whether all changes up to a revision are applied."""
        return self.since is not None and self.since >= revision

    def is_outdated(self) -> bool:
        """Returns whether the applied state belongs to an earlier era."""
        return self.since is not None and self.since.era < self.history.era

    def should_wait(self) -> bool:
        """Returns whether there is no reason to call the store now."""
        if self.fetch_pending:
            # A watcher reported a newer change, so it reaches the store.
            return False
        now = self.clock.monotonic()
        if self.is_outdated():
            if (
                not self.is_watcher()
                and now - self.history.era_began_at < ERA_UPDATE_WAIT_S
            ):
                return True
        elif now - self.first_read_at < self.timing.startup_grace_s:
            return True
        if self.is_watcher():
            return False
        if not self.health.available:
            return now - self.requested_at < self.retry_interval_s()
        return self.is_up_to_date()

    def retry_interval_s(self) -> float:
        """Returns how long a non-watcher waits after a failed call."""
        if self.is_up_to_date():
            return UP_TO_DATE_RETRY_INTERVAL_S
        # A single failure must not delay a change beyond the bound.
        return min(RETRY_INTERVAL_S, 2 * max(FIRST_BACKOFF_S, self.backoff_s))

    async def step(self) -> None:
        """Reads from the store once and publishes the answer if due."""
        was_watcher = self.is_watcher()
        if (self.fetch_pending or self.is_outdated()) and not was_watcher:
            await self.clock.sleep(
                random.uniform(0.0, self.timing.max_fetch_jitter_s)
            )
        self.fetch_pending = False
        self.jitter_s = random.uniform(0.0, self.timing.max_jitter_s)
        self.requested_at = self.clock.monotonic()
        try:
            page = await self.read(self.feed_wait_s())
        except HistoryGoneError:
            # What was missed can't be distinguished from what reappeared since.
            log.info("Change history expired, reading all.", table=self.table)
            self.since = None
            return
        except StoreUnavailableError as error:
            self.health.record_failure(error, self.requested_at)
            self.backoff_s = min(
                RETRY_INTERVAL_S, max(FIRST_BACKOFF_S, 2 * self.backoff_s)
            )
            delay_s = min(MAX_BACKOFF_S, self.backoff_s)
            await self.clock.sleep(delay_s * random.uniform(0.5, 1.0))
            return
        if page is None:
            return
        self.backoff_s = 0.0
        self.health.record_answer()
        before = self.since
        if math.isinf(self.first_read_at):
            # A full read is as current as an update of a watcher.
            self.first_read_at = self.received_at = self.clock.monotonic()
        if not self.accept(page, self.health.settling(), self.requested_at):
            if page.whole:
                # Avoids a busy loop while the store still answers with an
                # earlier era.
                await self.clock.sleep(FIRST_BACKOFF_S)
            return
        # The set of watchers changes while entries recover from an outage. An
        # entry that became a watcher during the call publishes too: the former
        # watcher may be idle already. A standby watcher reads only if it
        # received no update of a watcher.
        if not was_watcher and self.rank() is None:
            return
        await self.publish_update(
            make_update(
                self.name,
                self.table,
                before,
                page,
                self.health.may_be_settling(),
            )
        )
        if page.rows and not page.whole:
            await self.clock.sleep(self.timing.batch_delay_s)

    def feed_wait_s(self) -> float:
        """Returns how long the next feed call may wait for a change.

        After an outage the first call must not wait: its answer carries the
        era, and the feed of a restored store may have no change after the
        requested version. A wait ends when a confirmation is due.
        """
        if not self.health.available:
            return 0.0
        if self.is_up_to_date() and not self.is_watcher():
            return 0.0
        return max(0.0, self.timing.feed_wait_s - self.confirmed_age_s())

    async def publish_update(self, update: TableUpdate) -> None:
        """Publishes an update, unless the first watcher has done so."""
        if self.rank() == 1:
            await self.clock.sleep(self.timing.backup_delay_s(update.rows))
            recent = update.rows or self.received_at >= self.requested_at
            if recent and self.received_revision >= update.revision:
                return
        self.publish(update)

    async def read(self, wait_s: float) -> Page | None:
        """Returns the next page.

        The result is None if a new era began meanwhile, or if the answer to a
        call that waits for a change is overdue.
        """
        if self.since is None or self.is_outdated():
            return await self.store.scan(self.table)
        changes = self.store.changes(self.table, self.since, wait_s)
        call = asyncio.ensure_future(changes)
        if not wait_s:
            return await self.wait_in_era(call)
        guard = asyncio.ensure_future(self.cancel_when_overdue(call))
        try:
            return await self.wait_in_era(call)
        finally:
            guard.cancel()

    async def cancel_when_overdue(self, call: asyncio.Future[Page]) -> None:
        """Cancels a call once nothing has confirmed the state for too long.

        The connection may have broken silently; the next call uses another.
        """
        timeout_s = self.timing.timeout_s(0)
        while (left_s := timeout_s - self.confirmed_age_s()) > 0:
            await asyncio.sleep(max(MIN_SLEEP_S, left_s))
        log.info(
            "Feed is overdue; asking again.",
            table=self.table,
            confirmed_age_s=round(self.confirmed_age_s(), 3),
        )
        call.cancel()

    async def wait_in_era(self, call: asyncio.Future[Page]) -> Page | None:
        """Returns a call's result, None if a new era cancels the call."""
        subscription = self.history.new_eras.subscribe(
            lambda _era: call.cancel()
        )
        try:
            return await call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            return None
        finally:
            subscription.dispose()

    def accept(
        self, page: Page, settling: bool, requested_at: float = float("-inf")
    ) -> bool:
        """Applies a page unless it is outdated; returns whether it did.

        A newer page may have been applied meanwhile. Changes of another era
        than the applied state don't include what was lost between the two.

        Args:
          page: The page.
          settling: Whether the store has just recovered from an outage.
          requested_at: When this entry asked for it, in monotonic seconds;
            minus infinity if a watcher did.
        """
        older = self.since is not None and page.revision < self.since
        of_other_era = not page.whole and (
            self.since is None or page.revision.era != self.since.era
        )
        if older or of_other_era or page.revision.era < self.history.era:
            self.log_ignored("page", len(page.rows), page.revision)
            return False
        age_s = self.store_clock.record_answer(
            page.now_ms, page.revision.era, requested_at
        )
        try:
            self.on_page(page, settling)
        except Exception:
            # Its rows must not count as applied; the next read repeats them.
            self.since = None
            raise
        self.since = page.revision
        self.record_confirmation(age_s)
        return True

    def record_confirmation(self, age_s: float) -> None:
        """Records that an answer of some age confirmed the applied state."""
        at = self.clock.monotonic() - age_s
        self.confirmed_at = max(self.confirmed_at, at)

    def apply_update(self, update: TableUpdate) -> None:
        """Applies an update of a watcher, or marks its change as pending."""
        self.health.record_reachable()
        if update.revision.era < self.history.record_era(
            update.revision.era, "peer"
        ):
            self.log_ignored("news", len(update.rows or ()), update.revision)
            return
        if not update.whole and (self.since is None or self.is_outdated()):
            self.fetch_pending = True
            return
        # An update may have waited on its way, or while this process did not
        # run: it is only as new as the store's answer.
        age_s = self.store_clock.record_answer(
            update.now_ms, update.revision.era
        )
        answered_at = self.clock.monotonic() - age_s
        self.received_at = max(self.received_at, answered_at)
        self.received_revision = max(self.received_revision, update.revision)
        if self.has_applied(update.revision):
            self.record_confirmation(age_s)
            if update.rows:
                self.log_ignored("news", len(update.rows), update.revision)
            return
        if update.rows is None or not (
            update.whole or self.has_applied(update.since)
        ):
            self.fetch_pending = True
            return
        rows = update.rows
        if not update.whole:
            rows = [row for row in rows if not self.has_applied(row.revision)]
            if len(rows) < len(update.rows):
                ignored = len(update.rows) - len(rows)
                self.log_ignored("rows", ignored, update.revision)
        page = Page(
            rows,
            update.revision,
            update.now_ms,
            update.whole,
            DataSource.UPDATE,
            update.watcher,
        )
        # Both have to take it for an outage: the store may have rejected only
        # the watcher, or this entry may have been cut off or paused.
        self.accept(page, update.settling and self.health.may_be_settling())

    def confirmed_age_s(self) -> float:
        """Returns the seconds since the store confirmed the applied state."""
        return self.clock.monotonic() - self.confirmed_at

    def log_ignored(self, what: str, rows: int, revision: Revision) -> None:
        """Logs that received data was ignored because of its revision."""
        log.info(
            "Ignored outdated data.",
            table=self.table,
            what=what,
            rows=rows,
            revision=revision.number,
            known=None if self.since is None else self.since.number,
        )


def pack_update(update: TableUpdate) -> bytes:
    """Returns an encoded update; rows over the size limit become None."""
    packed = pack(update)
    if len(packed) > MAX_UPDATE_BYTES:
        return pack_update(attrs.evolve(update, rows=None))
    return packed
