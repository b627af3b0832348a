"""Which history of the store is the newest one known.

A store that comes back from an older copy begins a new history: what it had
acknowledged since the copy is gone, and versions are given out again. Its
answers say which history they are of, by a number that rises each time.
"""

from __future__ import annotations

import attrs
import structlog
from reactivex.subject import Subject

from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="store")


# For so long entries that start are told of what an older copy may lack.
RECENT_ERA_S = 30.0


@attrs.define(eq=False, repr=False)
class StoreHistory:
    """The newest history that the store or a peer told of.

    Attributes:
      clock: Monotonic.
      metrics: Tells the era, and counts those that began.
      era: Number of the history, 0 before any was told.
      began_at: When a later era than the first known one was told of first, in
        monotonic seconds; minus infinity before any.
      begun: Emits each era that follows another one known here.
      restored: The newest era in which the system's own rows surely stand.
    """

    clock: Clock
    metrics: Metrics
    era: int = 0
    era_began_at: float = float("-inf")
    new_eras: Subject[int] = attrs.Factory(Subject)
    restored_era: int = 0

    def record_era(self, era: int, source: str) -> int:
        """Takes in an era that was told; returns the newest one known.

        Args:
          era: Its number, 0 if none was told.
          source: Who told of it, for the log.
        """
        if era > self.era:
            self.begin_era(era, source)
        return self.era

    def begin_era(self, era: int, source: str) -> None:
        """Takes in a later era than was known."""
        before, self.era = self.era, era
        self.metrics.gauge("relay.store_era", era)
        if not before:
            self.restored_era = max(self.restored_era, era)
            log.info("Store tells its era.", era=era, source=source)
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
        """Says whether an era began a short time ago."""
        return self.clock.monotonic() - self.era_began_at < RECENT_ERA_S

    def record_restored(self, era: int) -> None:
        """Takes in that the system's own rows stand again in an era."""
        self.restored_era = max(self.restored_era, era)
