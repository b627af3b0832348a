"""What entries tell each other of workers that ended under requests."""

from __future__ import annotations

import attrs


@attrs.frozen
class WorkerCrash:
    """A worker ended while a request was under way there.

    Attributes:
      content: Digest of what the caller asked, the same for each attempt.
      worker: Incarnation of the worker.
      age_s: Seconds since.
    """

    content: str
    worker: str
    age_s: float = 0.0


@attrs.frozen
class ContentCleared:
    """A content was answered whole: ends up to then are not its doing.

    Attributes:
      content: Digest of what the caller asked.
      age_s: Seconds since.
    """

    content: str
    age_s: float = 0.0


@attrs.frozen
class SeenAlive:
    """A worker answered under its own name: up to then it had not ended.

    Attributes:
      worker: Its incarnation.
      age_s: Seconds since.
    """

    worker: str
    age_s: float = 0.0


@attrs.frozen
class QuarantineUpdate:
    """What is told of requests that may end their workers.

    Attributes:
      ends: Workers that ended.
      cleared: Contents with ends that were answered whole since.
      alive: Workers said to have ended that were found to live.
    """

    ends: list[WorkerCrash] = attrs.Factory(list)
    cleared: list[ContentCleared] = attrs.Factory(list)
    alive: list[SeenAlive] = attrs.Factory(list)
