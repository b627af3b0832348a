"""Workers that turned a request of this entry away, and asked for rest."""

from __future__ import annotations

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="workers")


@attrs.define(eq=False, repr=False)
class Rests:
    """Until when workers want nothing from this entry.

    Attributes:
      until: In monotonic seconds, by incarnation.
    """

    clock: Clock
    until: dict[str, float] = attrs.Factory(dict)

    def hear(self, worker: RegisteredWorker, rest_s: float) -> None:
        """Takes in that a worker asks for rest."""
        self.until[worker.incarnation] = self.clock.monotonic() + rest_s
        log.info(
            "Worker asks for rest.",
            worker=worker.id,
            rest_s=rest_s,
        )
