"""Parts that a runner yields for a request, in order."""

from __future__ import annotations

import attrs

from rattanpier._internal.claims.records import Answer, Bill
from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.models.refusal import Refusal


@attrs.frozen
class Started:
    """The first part of an answer, once its claim is certain.

    Attributes:
      version: Version that answers.
      pin_lost: Version that the session was pinned to and can't keep, or empty.
    """

    version: str
    pin_lost: str = ""


@attrs.frozen
class ReleasedChunk:
    """A chunk that may be sent to the caller."""

    chunk: Chunk


@attrs.frozen
class Flush:
    """Request to flush pending output, as the next part may take a while."""


@attrs.frozen
class Recorded:
    """A recorded complete answer, in place of all other parts."""

    answer: Answer


@attrs.frozen
class Completed:
    """The last part: the answer is complete, settled and billed."""

    bill: Bill


@attrs.frozen
class Refused:
    """The last part: the request was refused or its answer broke off."""

    refusal: Refusal


Part = Started | ReleasedChunk | Flush | Recorded | Completed | Refused
