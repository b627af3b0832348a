"""What a roll-out keeps in the table service, and what entries send."""

from __future__ import annotations

import attrs

from rattanpier._internal.rollout.evidence import Counts

PREFIX = "rollout/"


@attrs.frozen
class DriverLease:
    """Who drives a roll-out.

    Attributes:
      owner: Member name.
      incarnation: Start of that process.
      epoch: Rises with each new driver: the fencing number.
    """

    owner: str
    incarnation: str
    epoch: int


@attrs.frozen
class EvidenceRow:
    """Sums of one entry since its start.

    Attributes:
      sequence: Rises with each change of the row; the highest counts.
    """

    workspace: str
    version: str
    sequence: int
    counts: Counts


@attrs.frozen
class EvidenceRows:
    """The rows of one evidence notice."""

    rows: list[EvidenceRow]


def lease_key(rollout: str) -> str:
    """Returns the key of a driver's lease."""
    return f"{PREFIX}{rollout}/lease"


def reference_key(rollout: str, candidate: str) -> str:
    """Returns the key of the past to compare with after full roll-out."""
    return f"{PREFIX}{rollout}/reference/{candidate}"
