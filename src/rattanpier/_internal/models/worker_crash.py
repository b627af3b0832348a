"""Updates between entries about workers that crashed under requests."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class WorkerCrash(Record):
    """A worker crashed while it ran a request.

    Attributes:
      content: Digest of what the caller asked, the same for each attempt.
      worker: Incarnation of the worker.
      age_s: Seconds since the crash.
    """

    content: str
    worker: str
    age_s: float = 0.0


@attrs.frozen(eq=False, repr=False)
class ContentCleared(Record):
    """A content got a complete answer: it did not cause earlier crashes.

    Attributes:
      content: Digest of what the caller asked.
      age_s: Seconds since the answer.
    """

    content: str
    age_s: float = 0.0


@attrs.frozen(eq=False, repr=False)
class SeenAlive(Record):
    """A worker answered under its own id: it had not crashed until then.

    Attributes:
      worker: Incarnation of the worker.
      age_s: Seconds since the answer.
    """

    worker: str
    age_s: float = 0.0


@attrs.frozen(eq=False, repr=False)
class QuarantineUpdate(Record):
    """Update about requests that may crash their workers.

    Attributes:
      ends: Workers that crashed.
      cleared: Contents that got a complete answer after crashes under them.
      alive: Workers that were reported as crashed but found to be alive.
    """

    ends: list[WorkerCrash] = attrs.Factory(list)
    cleared: list[ContentCleared] = attrs.Factory(list)
    alive: list[SeenAlive] = attrs.Factory(list)
