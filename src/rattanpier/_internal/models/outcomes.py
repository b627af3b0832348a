"""Outcomes of writes to the table service and of claims."""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class Committed(Record):
    """The transaction took effect."""


@attrs.frozen(eq=False, repr=False)
class Conflict(Record):
    """A condition failed; nothing took effect.

    Attributes:
      key: Key of the first row whose condition failed.
    """

    key: str


@attrs.frozen(eq=False, repr=False)
class NotRun(Record):
    """The transaction certainly did not reach the table service.

    Attributes:
      reason: Description of the failure.
    """

    reason: str


@attrs.frozen(eq=False, repr=False)
class Uncertain(Record):
    """The transaction may have taken effect, or may still do so.

    Attributes:
      reason: Description of the failure.
    """

    reason: str


WriteOutcome = Committed | Conflict | NotRun | Uncertain


class ClaimOutcome(enum.StrEnum):
    """Result of a claim, which says what its requester may do."""

    GRANTED = "granted"  # May run the request and release its answer.
    RUNNING = "running"  # Another attempt is running it.
    ANSWERED = "answered"  # The recorded answer is returned.
    UNKNOWN = "unknown"  # It may have run and won't be run again.
    MISMATCH = "mismatch"  # The key belongs to another request.
    UNAVAILABLE = "unavailable"  # The claim can't be confirmed now.


class SettleOutcome(enum.StrEnum):
    """Result of a settlement: the last byte is released only if settled."""

    SETTLED = "settled"
    SUPERSEDED = "superseded"
    UNAVAILABLE = "unavailable"
