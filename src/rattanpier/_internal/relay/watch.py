"""Who reads the store's feeds, and how the others hear of it.

Calls to the store are paid for, so that not every entry watches every table.
A few watch; each answer of a feed goes on to all others at once, empty ones
too: they show that nothing was missed. The first watcher tells, the second one
tells what it did not hear from the first. An entry that hears nothing for a
while watches for itself, so that the watchers save calls and no promise rests
on them alone.
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
from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.store import (
    FEED_WAIT_S,
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    RelayStore,
    StoreClock,
    StoreHealth,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack

log = structlog.get_logger(part="store")

WATCHER_COUNT = 2  # One may fail at any moment without a change coming late.
# A feed answers at least every `FEED_WAIT_S`; half a second for the way.
WATCHER_TIMEOUT_S = FEED_WAIT_S + 0.5
POLL_INTERVAL_S = (
    0.2  # Between looks at whether to watch; a tenth of what is allowed.
)
# Longer news, compressed, are fetched by each entry itself. An entry passes
# news on to eight others: so many bytes take a fifth of a second on a link of
# 5 Mbit/s. A table of a few hundred workers, which all entries need when the
# store loses its history, is shorter.
MAX_UPDATE_BYTES = 16384
# An entry that has just started knows of no other that reaches the store, and
# would watch. Within this time, two rounds of heartbeats, it hears of those
# that do.
STARTUP_GRACE_S = 1.0
# Entries that fetch a change do so within this time of each other, so that
# changes in quick succession cost one call.
FETCH_JITTER_S = 0.3
# When a new era begins the watchers read all at once and tell it. The others
# wait so long for that: a reading and the way, with room for a long table.
ERA_UPDATE_WAIT_S = 0.4
# An entry that does not watch asks this often whether the store is back: in an
# outage of the whole store it hears of its return from those that watch, and
# one that the store turns away hears all changes from them.
RETRY_INTERVAL_S = 2.0
UP_TO_DATE_RETRY_INTERVAL_S = 5.0
# After a change a watcher lets more gather before it asks again: calls and what
# is told cost the same for one change or for many. A sixth of the shortest time
# within which operators want a change in force.
BATCH_DELAY_S = 0.3
# The second watcher waits so long for the first one's news, which may just let
# changes gather, and the way between two entries.
BACKUP_DELAY_S = BATCH_DELAY_S + 0.1


@attrs.frozen
class TableUpdate:
    """One answer of a feed.

    Attributes:
      table: Its table.
      since: The revision behind which it tells the changes.
      revision: The revision up to which it tells them.
      now_ms: The store's steady clock, in ms.
      rows: The changes, None if they are too long to be told.
      settling: The store was away until just now.
      whole: The rows are all of the table, not only what changed.
    """

    table: str
    since: Revision
    revision: Revision
    now_ms: float
    rows: list[FeedRow] | None
    settling: bool
    whole: bool = False


def watch_rank(fleet: Fleet) -> int | None:
    """Returns an entry's place among those that watch the store, or None."""
    watchers = fleet.preferred("watch", WATCHER_COUNT)
    name = fleet.me.member.name
    return watchers.index(name) if name in watchers else None


def make_update(
    table: str, before: Revision | None, page: Page, settling: bool
) -> TableUpdate:
    """Returns what is told of an answer.

    Args:
      table: Its name.
      before: The revision up to which all was known before, or None.
      page: The answer.
      settling: The store was away until just now.
    """
    return TableUpdate(
        table=table,
        since=page.revision if before is None else before,
        revision=page.revision,
        now_ms=page.now_ms,
        rows=page.rows,
        settling=settling,
        whole=page.whole,
    )


@attrs.define(eq=False, repr=False)
class TableFollower:
    """Keeps up with one table, by its feed or by what watchers tell.

    Attributes:
      table: Its name.
      take: Called with each page, and whether the store was away before it.
      rank: This entry's place among those that watch, or None.
      tell: Tells the others of an answer of the feed.
      history: Which era is the newest one. What is known of an earlier one
        counts for nothing but itself: the table is read whole again.
      since: Revision up to which all is known, None before the first scan.
      told_at: When a watcher's news came last, in monotonic seconds.
      told_of: Up to which revision they told.
      behind: A change was told of that has to be fetched.
      asked_at: When the store was asked last, in monotonic seconds.
      first_read_at: When the whole table was read first.
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
    since: Revision | None = None
    backoff_s: float = 0.0
    received_at: float = float("-inf")
    received_revision: Revision = Revision()
    fetch_pending: bool = False
    requested_at: float = float("-inf")
    first_read_at: float = float("-inf")

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if self.should_wait():
                await self.clock.sleep(POLL_INTERVAL_S)
            else:
                await self.step()

    def is_watcher(self) -> bool:
        """Says whether this entry is one that watches."""
        return self.rank() is not None

    def is_up_to_date(self) -> bool:
        """Says whether this entry knows all, by what watchers tell."""
        fresh = self.clock.monotonic() - self.received_at < WATCHER_TIMEOUT_S
        if self.is_outdated():
            return False
        return fresh and self.has_applied(self.received_revision)

    def has_applied(self, revision: Revision) -> bool:
        """Says whether all is known up to a revision."""
        return self.since is not None and self.since >= revision

    def is_outdated(self) -> bool:
        """Says whether what is known is of an earlier era."""
        return self.since is not None and self.since.era < self.history.era

    def should_wait(self) -> bool:
        """Says whether there is no reason to ask the store now."""
        if self.fetch_pending:
            # A watcher told of more: it reaches the store.
            return False
        now = self.clock.monotonic()
        if self.is_outdated():
            if (
                not self.is_watcher()
                and now - self.history.began_at < ERA_UPDATE_WAIT_S
            ):
                return True
        elif now - self.first_read_at < STARTUP_GRACE_S:
            return True
        if self.is_watcher():
            return False
        if not self.health.available:
            retry_s = (
                UP_TO_DATE_RETRY_INTERVAL_S
                if self.is_up_to_date()
                else RETRY_INTERVAL_S
            )
            return now - self.requested_at < retry_s
        return self.is_up_to_date()

    async def step(self) -> None:
        """Asks the store once."""
        was_watcher = self.is_watcher()
        if (self.fetch_pending or self.is_outdated()) and not was_watcher:
            await self.clock.sleep(random.uniform(0.0, FETCH_JITTER_S))
        self.fetch_pending = False
        self.requested_at = self.clock.monotonic()
        try:
            # The first answer after an outage is wanted at once: it tells the
            # era, and a feed may have nothing to tell behind an old version.
            wait = self.health.available and (
                was_watcher or not self.is_up_to_date()
            )
            page = await self.read(wait)
        except HistoryGoneError:
            # What was missed can't be told from what came back meanwhile.
            log.info("History is gone, reading all.", table=self.table)
            self.since = None
            return
        except StoreUnavailableError as error:
            self.health.note_silence(error)
            self.backoff_s = min(
                MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2 * self.backoff_s)
            )
            await self.clock.sleep(self.backoff_s * random.uniform(0.5, 1.0))
            return
        if page is None:
            return
        self.backoff_s = 0.0
        self.health.note_answer()
        before = self.since
        if math.isinf(self.first_read_at):
            # All is known as of now, as if a watcher had told it.
            self.first_read_at = self.received_at = self.clock.monotonic()
        settling = self.health.settling()
        if not self.accept(page, settling):
            if page.whole:
                # A store that still tells an earlier era is not asked in a row.
                await self.clock.sleep(FIRST_BACKOFF_S)
            return
        # While entries come back from an outage the places of those that watch
        # change. One that got its place during the call tells as well: the one
        # before may have rested, and nobody else heard of a change for 2.5 s.
        if not (was_watcher or self.is_watcher()):
            return
        await self.publish_update(
            make_update(self.table, before, page, settling)
        )
        if page.rows and not page.whole:
            await self.clock.sleep(BATCH_DELAY_S)

    async def publish_update(self, update: TableUpdate) -> None:
        """Tells the others of an answer, unless the first watcher did."""
        if self.rank() != 0:
            await self.clock.sleep(BACKUP_DELAY_S)
            received = self.received_at >= self.requested_at
            if received and self.received_revision >= update.revision:
                return
        self.publish(update)

    async def read(self, wait: bool) -> Page | None:
        """Returns the next page, None if a new era began meanwhile."""
        if self.since is None or self.is_outdated():
            return await self.store.scan(self.table)
        wait_s = FEED_WAIT_S if wait else 0.0
        changes = self.store.changes(self.table, self.since, wait_s)
        return await self.wait_in_era(asyncio.ensure_future(changes))

    async def wait_in_era(self, call: asyncio.Future[Page]) -> Page | None:
        """Waits for an answer, None if a new era begins before it comes."""
        subscription = self.history.begun.subscribe(lambda _era: call.cancel())
        try:
            return await call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            return None
        finally:
            subscription.dispose()

    def accept(self, page: Page, settling: bool) -> bool:
        """Takes a page in; says whether it did.

        Something newer may have come meanwhile. Changes that are of another era
        than what they should follow leave out what was lost between the two.
        """
        older = self.since is not None and page.revision < self.since
        of_other_era = not page.whole and (
            self.since is None or page.revision.era != self.since.era
        )
        if older or of_other_era or page.revision.era < self.history.era:
            self.log_ignored("page", len(page.rows), page.revision)
            return False
        self.store_clock.note(page.now_ms, page.revision.era)
        self.since = page.revision
        self.on_page(page, settling)
        return True

    def apply_update(self, update: TableUpdate) -> None:
        """Takes in what a watcher tells."""
        self.health.note_alive()
        if update.revision.era < self.history.note(update.revision.era, "peer"):
            self.log_ignored("news", len(update.rows or ()), update.revision)
            return
        if not update.whole and (self.since is None or self.is_outdated()):
            self.fetch_pending = True
            return
        self.received_at = self.clock.monotonic()
        self.received_revision = max(self.received_revision, update.revision)
        if self.has_applied(update.revision):
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
        page = Page(rows, update.revision, update.now_ms, update.whole)
        self.accept(page, update.settling and self.health.settling())

    def log_ignored(self, what: str, rows: int, revision: Revision) -> None:
        """Logs that something told nothing new, by its revision."""
        log.info(
            "Left out as known.",
            table=self.table,
            what=what,
            rows=rows,
            revision=revision.number,
            known=None if self.since is None else self.since.number,
        )


def pack_update(update: TableUpdate) -> bytes:
    """Returns news as they are sent; rows that are too long are left out."""
    packed = pack(update)
    if len(packed) > MAX_UPDATE_BYTES:
        return pack_update(attrs.evolve(update, rows=None))
    return packed
