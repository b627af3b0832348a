"""Tracks the newest known era of the store.

A store that is restored from a backup begins a new era: it has lost what it
acknowledged since the backup, and it assigns the same versions again. Each
answer carries the number of its era, which increases with each restore.
"""

from __future__ import annotations

import attrs
import structlog
from reactivex.subject import Subject

from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="store")


# For this long after a restore, starting entries receive from their peers what
# the backup may lack.
RECENT_ERA_S = 30.0


@attrs.define(eq=False, repr=False)
class StoreHistory:
    """The newest era that the store or a peer reported.

    Attributes:
      clock: Monotonic clock.
      metrics: Exports the era and the number of new eras.
      era: Number of the newest era, 0 before any is known.
      era_began_at: When an era after the first known one was first reported, in
        monotonic seconds; minus infinity before any.
      new_eras: Emits each era that follows another one known here.
      restored_era: Newest era in which all rows of the system's own table are
        known to be present.
    """

    clock: Clock
    metrics: Metrics
    era: int = 0
    era_began_at: float = float("-inf")
    new_eras: Subject[int] = attrs.Factory(Subject)
    restored_era: int = 0

    def record_era(self, era: int, source: str) -> int:
        """Records a reported era; returns the newest one known.

        Args:
          era: Its number, 0 if none was reported.
          source: Who reported it, for the log.
        """
        if era > self.era:
            self.begin_era(era, source)
        return self.era

    def begin_era(self, era: int, source: str) -> None:
        """Records an era that is later than the known one."""
        before, self.era = self.era, era
        self.metrics.gauge("relay.store_era", era)
        if not before:
            self.restored_era = max(self.restored_era, era)
            log.info("Store reported its era.", era=era, source=source)
            return
        self.era_began_at = self.clock.monotonic()
        self.metrics.count("relay.store_era_begun")
        log.warning(
            "Store came back from an older copy.",
            era=era,
            before=before,
            source=source,
        )
        self.new_eras.on_next(era)

    def is_recent(self) -> bool:
        """Returns whether an era began within the last `RECENT_ERA_S`."""
        return self.clock.monotonic() - self.era_began_at < RECENT_ERA_S

    def record_restored(self, era: int) -> None:
        """Records that the system's own rows are present again in an era."""
        self.restored_era = max(self.restored_era, era)
