"""Events of a trace file, one JSON object per line in order of occurrence.

Class and attribute names are part of the file format.
"""

from __future__ import annotations

import attrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import SettleOp
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.models.settings import NodeSettings


@attrs.frozen
class Started:
    """The process started; earlier in-memory state is lost.

    Attributes:
      node: Settings of the node; secrets are never recorded.
    """

    node: NodeSettings


@attrs.frozen
class RevisionOffered:
    """The store or a peer supplied a configuration revision."""

    revision: int
    text: str


@attrs.frozen
class Braked:
    """The set of versions that get no new requests changed."""

    versions: list[str] = attrs.Factory(list)


@attrs.frozen
class Requested:
    """A request arrived; its body is not recorded.

    Attributes:
      request: The request as the routing rules see it.
      decided: The decision, as `describe_plan` formats it.
    """

    request: RouteRequest
    decided: str = ""


@attrs.frozen
class Asked:
    """An entry requested a claim.

    Attributes:
      ask: The requested claim.
      holder_alive: Whether the current holder was believed to be running.
    """

    ask: Ask
    holder_alive: bool = True


@attrs.frozen
class Settled:
    """An attempt asked to settle a claim."""

    op: SettleOp


Event = Started | RevisionOffered | Braked | Requested | Asked | Settled

converter = make_converter()
configure_tagged_union(Event, converter, tag_name="kind")


def encode_event(event: Event) -> str:
    """Returns an event as a line of JSON, without the line break."""
    return converter.dumps(event, Event, separators=(",", ":"))


def decode_event(line: str) -> Event:
    """Returns the event that a line holds.

    Raises:
      cattrs.BaseValidationError: The line is not a valid event.
    """
    return converter.loads(line, Event)
