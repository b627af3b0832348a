"""Records of roll-outs in the table service and in evidence notices."""

from __future__ import annotations

import attrs

from rattanpier._internal.rollout.evidence import Counts

PREFIX = "rollout/"


@attrs.frozen
class DriverLease:
    """The process that drives a roll-out.

    Attributes:
      owner: Member name.
      incarnation: Incarnation of that process.
      epoch: Fencing token; increases with each new driver.
    """

    owner: str
    incarnation: str
    epoch: int


@attrs.frozen
class EvidenceRow:
    """Counters of one entry since its start.

    Attributes:
      workspace: Workspace of the requests.
      version: Version that ran.
      sequence: Increases with each change of the row; the highest is valid.
      counts: Cumulative counters.
    """

    workspace: str
    version: str
    sequence: int
    counts: Counts


@attrs.frozen
class EvidenceRows:
    """Rows of one evidence notice."""

    rows: list[EvidenceRow]


def lease_key(rollout: str) -> str:
    """Returns the table key of a driver's lease."""
    return f"{PREFIX}{rollout}/lease"


def reference_key(rollout: str, candidate: str) -> str:
    """Returns the table key of the reference rates of a candidate."""
    return f"{PREFIX}{rollout}/reference/{candidate}"
