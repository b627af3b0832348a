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
      parts: Ids of the prompt parts that the crash may be due to; empty if
        the worker had been answering the request for long.
      answering_s: Seconds for which the worker had been answering it, None if
        it had not begun.
    """

    content: str
    worker: str
    age_s: float = 0.0
    parts: tuple[str, ...] = ()
    answering_s: float | None = None


@attrs.frozen(eq=False, repr=False)
class PartProven(Record):
    """A worker stood answering a request with a part of a prompt.

    Attributes:
      part: Id of the part.
      age_s: Seconds since the worker began to answer.
    """

    part: str
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
      proven: Parts of prompts that workers stood, of those under which some
        crashed.
    """

    ends: list[WorkerCrash] = attrs.Factory(list)
    cleared: list[ContentCleared] = attrs.Factory(list)
    alive: list[SeenAlive] = attrs.Factory(list)
    proven: list[PartProven] = attrs.Factory(list)
