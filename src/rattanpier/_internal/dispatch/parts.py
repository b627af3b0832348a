"""What the answering of a request yields, in order."""

from __future__ import annotations

import attrs

from rattanpier._internal.claims.records import Answer, Bill
from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.models.refusal import Refusal


@attrs.frozen
class Started:
    """The first part of an answer: its claim is certain.

    Attributes:
      version: Version that answers.
      pin_lost: Version the session had and can't keep, or empty.
    """

    version: str
    pin_lost: str = ""


@attrs.frozen
class ReleasedChunk:
    """A chunk that may be released."""

    chunk: Chunk


@attrs.frozen
class Flush:
    """The next part takes a while: what came so far has to go out."""


@attrs.frozen
class Recorded:
    """A recorded answer, whole, in place of all other parts."""

    answer: Answer


@attrs.frozen
class Completed:
    """The last part: the answer is whole, settled and billed."""

    bill: Bill


@attrs.frozen
class Refused:
    """The last part: there is no answer, or no more of it."""

    refusal: Refusal


Part = Started | ReleasedChunk | Flush | Recorded | Completed | Refused
