"""Interface to the platform's store, and its availability and clock."""

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
from rattanpier._internal.relay.running_time import RunningTime
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="store")

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5  # Low, so that a recovered store is noticed soon.
# Time after an outage within which expired registrations are renewed.
SETTLING_PERIOD_S = 2.0
# Registrations expire after three heartbeats, so none expires in an outage
# shorter than about that. Must exceed the interval between answers of a feed.
MIN_OUTAGE_HEARTBEATS = 2.7
# Smaller differences come from network latency and clock drift.
MIN_STEP_MS = 500.0


class RelayStore(Protocol):
    """Tables of rows, with a feed of changes for each table."""

    async def scan(self, table: str) -> Page:
        """Returns all rows of a table."""
        ...

    async def changes(self, table: str, since: Revision, wait_s: float) -> Page:
        """Waits up to `wait_s` for changes of a table after a revision."""
        ...

    async def transact(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removed: Sequence[RowCheck] = (),
    ) -> WrittenAt | Conflict | NotRun | Uncertain:
        """Writes and removes rows atomically, if all checks hold."""
        ...


@attrs.define(eq=False, repr=False)
class StoreHealth:
    """Whether this entry, or any entry, reaches the store.

    Attributes:
      clock: Monotonic clock.
      heartbeat_s: Interval at which workers renew their registrations.
      available: Whether this entry's last call was answered.
      lost_at: When the store last became unavailable to this entry, in
        monotonic seconds; 0 before the first time.
      answered_at: When the store last answered this entry or a peer that
        reported it, in monotonic seconds; minus infinity before.
      answered_after_s: The running time of this process then, in seconds.
      silence_ended_at: When the first answer arrived after a time that was long
        enough for an outage, whether or not this process ran, in monotonic
        seconds; minus infinity before the first time.
      recovered_at: When the store recovered from an outage for all entries, in
        monotonic seconds; minus infinity before the first time.
      running: Running time of this process. Its own pauses are no outage.
    """

    clock: Clock
    heartbeat_s: float = 1.2
    available: bool = False
    lost_at: float = 0.0
    answered_at: float = float("-inf")
    answered_after_s: float = float("-inf")
    silence_ended_at: float = float("-inf")
    recovered_at: float = float("-inf")
    running: RunningTime = attrs.field(
        default=attrs.Factory(
            lambda self: RunningTime(self.clock, math.inf), takes_self=True
        )
    )

    def record_answer(self) -> None:
        """Records that the store answered this entry."""
        self.record_reachable()
        if self.available:
            return
        self.available = True
        if self.lost_at:
            away_s = round(self.clock.monotonic() - self.lost_at, 2)
            log.info(
                "Store is available again.",
                away_s=away_s,
                settling=self.settling(),
            )
        else:
            log.info("Store is available.")

    def record_reachable(self) -> None:
        """Records that the store answered this entry or a peer.

        A store that rejects only some VMs still accepts the workers' renewals.
        Registrations can have expired only after an outage for all entries.
        """
        now, ran_s = self.clock.monotonic(), self.running.seconds()
        min_outage_s = MIN_OUTAGE_HEARTBEATS * self.heartbeat_s
        away_s, silent_s = now - self.answered_at, ran_s - self.answered_after_s
        self.answered_at, self.answered_after_s = now, ran_s
        if not min_outage_s < away_s < math.inf:
            return
        self.silence_ended_at = now
        outage = silent_s > min_outage_s
        if outage:
            self.recovered_at = now
        log.info(
            "Store answers after a silence.",
            outage=outage,
            silent_s=round(silent_s, 3),
            paused_s=round(away_s - silent_s, 3),
        )

    def record_failure(
        self, error: Exception, called_at: float = math.inf
    ) -> None:
        """Records that the store did not answer this entry, or refused.

        Args:
          error: What the call failed with.
          called_at: When the store was called, in monotonic seconds. A call
            that this process did not wait for shows nothing.
        """
        if self.running.paused_since(called_at):
            log.info("Call interrupted by a pause.", error=str(error))
            return
        if self.available:
            self.available = False
            self.lost_at = self.clock.monotonic()
            log.warning("Store is unavailable.", error=str(error))

    def settling(self) -> bool:
        """Returns whether registrations expired in an outage may reappear."""
        return self.clock.monotonic() - self.recovered_at < SETTLING_PERIOD_S

    def may_be_settling(self) -> bool:
        """Returns whether there may have been an outage just now.

        Unlike `settling`, this also holds after a pause of this process, which
        may have hidden one. It needs the word of another entry.
        """
        return self.clock.monotonic() < self.settled_at

    @property
    def settled_at(self) -> float:
        """When registrations that are still missing are gone, in monotonic s.

        This counts from the first answer, not from when a removal is read: a
        removal that has nothing to do with an outage has to apply in time.
        """
        return self.silence_ended_at + SETTLING_PERIOD_S


@attrs.define(eq=False, repr=False)
class StoreClock:
    """Estimate of the store's monotonic clock, from its last report.

    A store restored from a backup may report another time. Times recorded
    before are still compared with later ones, so an offset keeps the clock
    continuous: the deadline of an order comes neither earlier nor later.

    Attributes:
      clock: Monotonic clock of this entry.
      reported_ms: The last reported time, plus the offset.
      reported_at: When it was reported, in monotonic seconds.
      is_known: Whether any answer reported a time.
      era: Newest era of the store that reported a time.
      offset_ms: Added to the times that the store reports.
    """

    clock: Clock
    reported_ms: float = 0.0
    reported_at: float = 0.0
    is_known: bool = False
    era: int = 0
    offset_ms: float = 0.0

    def record_answer(
        self, now_ms: float, era: int = 0, requested_at: float = -math.inf
    ) -> float:
        """Records the time that an answer reports; returns its age in s.

        An answer may have waited on its way or in this process. It is as old
        as the estimate has gone on since the reported time, but not older than
        the request for it; if it seems to be, the estimate is wrong.

        Args:
          now_ms: The store's clock when it answered, in ms.
          era: Era of the answer.
          requested_at: When this entry sent the call, in monotonic seconds;
            minus infinity if a peer did.
        """
        now = self.clock.monotonic()
        if self.era and era > self.era:
            self.update_offset(now_ms)
        self.era = max(era, self.era)
        age_s = (self.now_ms() - now_ms - self.offset_ms) / 1000
        if self.is_known and 0.0 <= age_s <= now - requested_at:
            return age_s
        self.reported_ms, self.reported_at = now_ms + self.offset_ms, now
        self.is_known = True
        return 0.0

    def update_offset(self, now_ms: float) -> None:
        """Sets the offset that continues the clock into a new era."""
        offset_ms = self.now_ms() - now_ms
        if abs(offset_ms - self.offset_ms) < MIN_STEP_MS:
            return
        log.warning(
            "Store's clock jumped.",
            step_ms=round(self.offset_ms - offset_ms),
            now_ms=round(now_ms),
        )
        self.offset_ms = offset_ms

    def now_ms(self) -> float:
        """Returns the estimated current time of the store, in ms."""
        return self.reported_ms + 1000 * (
            self.clock.monotonic() - self.reported_at
        )
