"""What the relay asks of the platform's store, and whether it is there."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

import attrs
import structlog

from rattanpier._internal.models.feed import (
    Page,
    RowCheck,
    RowPut,
    WrittenAt,
)
from rattanpier._internal.models.outcomes import Conflict, NotRun, Uncertain
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="store")

# A feed call waits that long for a change: calls are paid for, and a feed
# whose connection went silent is noticed only at its end.
FEED_WAIT_S = 2.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5  # A store that is back is to be seen soon.
# After the store's return, registrations that ran out come back.
SETTLING_PERIOD_S = 2.0
# Registrations last for three heartbeats; in a silence shorter than nearly that
# none runs out. Feeds' answers come every `FEED_WAIT_S` or a little later.
MIN_OUTAGE_HEARTBEATS = 2.7
# Less is the way of an answer, and what clocks differ by.
MIN_STEP_MS = 500.0


class RelayStore(Protocol):
    """Rows in tables that tell their changes."""

    async def scan(self, table: str) -> Page:
        """Returns all rows of a table."""
        ...

    async def changes(self, table: str, since: Revision, wait_s: float) -> Page:
        """Waits for changes of a table behind a revision."""
        ...

    async def transact(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removed: Sequence[RowCheck] = (),
    ) -> WrittenAt | Conflict | NotRun | Uncertain:
        """Writes some rows if all checks hold, else nothing."""
        ...


@attrs.define(eq=False, repr=False)
class StoreHealth:
    """Whether this entry reaches the store, and whether anybody did.

    Attributes:
      clock: Monotonic.
      heartbeat_s: Workers renew their registrations this often.
      available: The last call was answered.
      lost_at: When it was lost last.
      answered_at: When it last answered, as far as known here: this entry, or
        one that told of it. Minus infinity before.
      back_at: When it came back from an outage for all; minus infinity before
        any.
    """

    clock: Clock
    heartbeat_s: float = 1.2
    available: bool = False
    lost_at: float = 0.0
    answered_at: float = float("-inf")
    recovered_at: float = float("-inf")

    def record_answer(self) -> None:
        """Takes in that the store answered this entry."""
        self.record_reachable()
        if self.available:
            return
        self.available = True
        if self.lost_at:
            away_s = round(self.clock.monotonic() - self.lost_at, 2)
            log.info("Store is back.", away_s=away_s, settling=self.settling())
        else:
            log.info("Store answers.")

    def record_reachable(self) -> None:
        """Takes in that the store answered somebody.

        One that turns some VMs away is there for the workers: only after a
        silence for all may registrations be missing that come back.
        """
        now = self.clock.monotonic()
        min_outage_s = MIN_OUTAGE_HEARTBEATS * self.heartbeat_s
        if min_outage_s < now - self.answered_at < math.inf:
            self.recovered_at = now
        self.answered_at = now

    def record_failure(self, error: Exception) -> None:
        """Takes in that the store did not answer, or refused."""
        if self.available:
            self.available = False
            self.lost_at = self.clock.monotonic()
            log.warning("Store is away.", error=str(error))

    def settling(self) -> bool:
        """Says whether what ran out in an outage may still come back."""
        return self.clock.monotonic() - self.recovered_at < SETTLING_PERIOD_S


@attrs.define(eq=False, repr=False)
class StoreClock:
    """The store's steady clock, as it was told last.

    One that comes back from an older copy may tell another time. Times that
    were noted before go on being compared, so that the clock goes on from where
    it was: an order's deadline comes neither sooner nor later by that.

    Attributes:
      clock: Monotonic.
      told_ms: What the store told, as it counts here.
      told_at: When, in monotonic seconds.
      era: Of the store that told it.
      ahead_ms: How much later it counts here than the store tells.
    """

    clock: Clock
    reported_ms: float = 0.0
    reported_at: float = 0.0
    era: int = 0
    offset_ms: float = 0.0

    def record_time(self, now_ms: float, era: int = 0) -> None:
        """Takes in what an answer of an era tells."""
        if self.era and era > self.era:
            self.update_offset(now_ms)
        self.era = max(era, self.era)
        self.reported_ms = now_ms + self.offset_ms
        self.reported_at = self.clock.monotonic()

    def update_offset(self, now_ms: float) -> None:
        """Takes in where the clock of a new era stands."""
        offset_ms = self.now_ms() - now_ms
        if abs(offset_ms - self.offset_ms) < MIN_STEP_MS:
            return
        log.warning(
            "Store's clock stepped.",
            step_ms=round(self.offset_ms - offset_ms),
            now_ms=round(now_ms),
        )
        self.offset_ms = offset_ms

    def now_ms(self) -> float:
        """Returns the store's present time in ms."""
        return self.reported_ms + 1000 * (
            self.clock.monotonic() - self.reported_at
        )
