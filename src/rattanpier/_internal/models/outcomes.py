"""Outcomes of writes to the table service and of claims."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Committed:
    """The transaction took effect."""


@attrs.frozen
class Conflict:
    """A condition failed; nothing took effect.

    Attributes:
      key: The first row whose condition failed.
    """

    key: str


@attrs.frozen
class NotRun:
    """The transaction certainly did not reach the table service."""

    reason: str


@attrs.frozen
class Uncertain:
    """The transaction may or may not have taken effect, now or later."""

    reason: str


WriteOutcome = Committed | Conflict | NotRun | Uncertain


class ClaimOutcome(enum.StrEnum):
    """What a claim's asker may do next."""

    GRANTED = "granted"  # Run the request, release its answer.
    RUNNING = "running"  # Another attempt runs it.
    ANSWERED = "answered"  # The recorded answer is to be given.
    UNKNOWN = "unknown"  # It may have run; it won't run again.
    MISMATCH = "mismatch"  # The key was used for another request.
    UNAVAILABLE = "unavailable"  # The claim can't be made certain now.


class SettleOutcome(enum.StrEnum):
    """Whether the last byte of an answer may be released."""

    SETTLED = "settled"
    SUPERSEDED = "superseded"
    UNAVAILABLE = "unavailable"
