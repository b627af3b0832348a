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

WATCHERS = 2  # One may fail at any moment without a change coming late.
# A feed answers at least every `FEED_WAIT_S`; half a second for the way.
COVERED_S = FEED_WAIT_S + 0.5
POLL_S = 0.2  # Between looks at whether to watch; a tenth of what is allowed.
# Longer news, compressed, are fetched by each entry itself. An entry passes
# news on to eight others: so many bytes take a fifth of a second on a link of
# 5 Mbit/s. A table of a few hundred workers, which all entries need when the
# store loses its history, is shorter.
MAX_TOLD_BYTES = 16384
# An entry that has just started knows of no other that reaches the store, and
# would watch. Within this time, two rounds of heartbeats, it hears of those
# that do.
SETTLED_S = 1.0
# Entries that fetch a change do so within this time of each other, so that
# changes in quick succession cost one call.
FETCH_SPREAD_S = 0.3
# When a new era begins the watchers read all at once and tell it. The others
# wait so long for that: a reading and the way, with room for a long table.
TOLD_WITHIN_S = 0.4
# An entry that does not watch asks this often whether the store is back: in an
# outage of the whole store it hears of its return from those that watch, and
# one that the store turns away hears all changes from them.
RETRY_S = 2.0
COVERED_RETRY_S = 5.0
# After a change a watcher lets more gather before it asks again: calls and what
# is told cost the same for one change or for many. A sixth of the shortest time
# within which operators want a change in force.
GATHER_S = 0.3
# The second watcher waits so long for the first one's news, which may just let
# changes gather, and the way between two entries.
BACKUP_S = GATHER_S + 0.1


@attrs.frozen
class TableNews:
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
    watchers = fleet.preferred("watch", WATCHERS)
    name = fleet.me.member.name
    return watchers.index(name) if name in watchers else None


def make_news(
    table: str, before: Revision | None, page: Page, settling: bool
) -> TableNews:
    """Returns what is told of an answer.

    Args:
      table: Its name.
      before: The revision up to which all was known before, or None.
      page: The answer.
      settling: The store was away until just now.
    """
    return TableNews(
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
    take: Callable[[Page, bool], None]
    rank: Callable[[], int | None]
    tell: Callable[[TableNews], None]
    history: StoreHistory
    since: Revision | None = None
    backoff_s: float = 0.0
    told_at: float = float("-inf")
    told_of: Revision = Revision()
    behind: bool = False
    asked_at: float = float("-inf")
    first_read_at: float = float("-inf")

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if self.rests():
                await self.clock.sleep(POLL_S)
            else:
                await self.step()

    def watches(self) -> bool:
        """Says whether this entry is one that watches."""
        return self.rank() is not None

    def covered(self) -> bool:
        """Says whether this entry knows all, by what watchers tell."""
        fresh = self.clock.monotonic() - self.told_at < COVERED_S
        if self.outdated():
            return False
        return fresh and self.knows(self.told_of)

    def knows(self, revision: Revision) -> bool:
        """Says whether all is known up to a revision."""
        return self.since is not None and self.since >= revision

    def outdated(self) -> bool:
        """Says whether what is known is of an earlier era."""
        return self.since is not None and self.since.era < self.history.era

    def rests(self) -> bool:
        """Says whether there is no reason to ask the store now."""
        if self.behind:
            # A watcher told of more: it reaches the store.
            return False
        now = self.clock.monotonic()
        if self.outdated():
            if (
                not self.watches()
                and now - self.history.began_at < TOLD_WITHIN_S
            ):
                return True
        elif now - self.first_read_at < SETTLED_S:
            return True
        if self.watches():
            return False
        if not self.health.available:
            retry_s = COVERED_RETRY_S if self.covered() else RETRY_S
            return now - self.asked_at < retry_s
        return self.covered()

    async def step(self) -> None:
        """Asks the store once."""
        watching = self.watches()
        if (self.behind or self.outdated()) and not watching:
            await self.clock.sleep(random.uniform(0.0, FETCH_SPREAD_S))
        self.behind = False
        self.asked_at = self.clock.monotonic()
        try:
            # The first answer after an outage is wanted at once: it tells the
            # era, and a feed may have nothing to tell behind an old version.
            wait = self.health.available and (watching or not self.covered())
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
            self.first_read_at = self.told_at = self.clock.monotonic()
        settling = self.health.settling()
        if not self.accept(page, settling):
            if page.whole:
                # A store that still tells an earlier era is not asked in a row.
                await self.clock.sleep(FIRST_BACKOFF_S)
            return
        # While entries come back from an outage the places of those that watch
        # change. One that got its place during the call tells as well: the one
        # before may have rested, and nobody else heard of a change for 2.5 s.
        if not (watching or self.watches()):
            return
        await self.pass_on(make_news(self.table, before, page, settling))
        if page.rows and not page.whole:
            await self.clock.sleep(GATHER_S)

    async def pass_on(self, news: TableNews) -> None:
        """Tells the others of an answer, unless the first watcher did."""
        if self.rank() != 0:
            await self.clock.sleep(BACKUP_S)
            told = self.told_at >= self.asked_at
            if told and self.told_of >= news.revision:
                return
        self.tell(news)

    async def read(self, wait: bool) -> Page | None:
        """Returns the next page, None if a new era began meanwhile."""
        if self.since is None or self.outdated():
            return await self.store.scan(self.table)
        wait_s = FEED_WAIT_S if wait else 0.0
        changes = self.store.changes(self.table, self.since, wait_s)
        return await self.until_begun(asyncio.ensure_future(changes))

    async def until_begun(self, call: asyncio.Future[Page]) -> Page | None:
        """Waits for an answer, None if a new era begins before it comes."""
        watch = self.history.begun.subscribe(lambda _era: call.cancel())
        try:
            return await call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            return None
        finally:
            watch.dispose()

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
            self.note_left_out("page", len(page.rows), page.revision)
            return False
        self.store_clock.note(page.now_ms, page.revision.era)
        self.since = page.revision
        self.take(page, settling)
        return True

    def hear(self, news: TableNews) -> None:
        """Takes in what a watcher tells."""
        self.health.note_alive()
        if news.revision.era < self.history.note(news.revision.era, "peer"):
            self.note_left_out("news", len(news.rows or ()), news.revision)
            return
        if not news.whole and (self.since is None or self.outdated()):
            self.behind = True
            return
        self.told_at = self.clock.monotonic()
        self.told_of = max(self.told_of, news.revision)
        if self.knows(news.revision):
            if news.rows:
                self.note_left_out("news", len(news.rows), news.revision)
            return
        if news.rows is None or not (news.whole or self.knows(news.since)):
            self.behind = True
            return
        rows = news.rows
        if not news.whole:
            rows = [row for row in rows if not self.knows(row.revision)]
            if len(rows) < len(news.rows):
                left_out = len(news.rows) - len(rows)
                self.note_left_out("rows", left_out, news.revision)
        page = Page(rows, news.revision, news.now_ms, news.whole)
        self.accept(page, news.settling and self.health.settling())

    def note_left_out(self, what: str, rows: int, revision: Revision) -> None:
        """Logs that something told nothing new, by its revision."""
        log.info(
            "Left out as known.",
            table=self.table,
            what=what,
            rows=rows,
            revision=revision.number,
            known=None if self.since is None else self.since.number,
        )


def pack_news(news: TableNews) -> bytes:
    """Returns news as they are sent; rows that are too long are left out."""
    packed = pack(news)
    if len(packed) > MAX_TOLD_BYTES:
        return pack_news(attrs.evolve(news, rows=None))
    return packed
