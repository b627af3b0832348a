"""What a trace holds: one event a line, in the order of their coming."""

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
    """The process started; whatever it knew before is gone.

    Attributes:
      node: Who it is; secrets are never recorded.
    """

    node: NodeSettings


@attrs.frozen
class RevisionOffered:
    """The store or a peer gave a configuration revision."""

    revision: int
    text: str


@attrs.frozen
class Braked:
    """The versions that get no new work changed to these."""

    versions: list[str] = attrs.Factory(list)


@attrs.frozen
class Requested:
    """A request came; its body is left out.

    Attributes:
      request: The request as the rules see it.
      decided: What was decided, as `describe_plan` writes it.
    """

    request: RouteRequest
    decided: str = ""


@attrs.frozen
class Asked:
    """An entry asked for a claim.

    Attributes:
      ask: The claim.
      holder_alive: Whether the present holder was taken to be running.
    """

    ask: Ask
    holder_alive: bool = True


@attrs.frozen
class Settled:
    """An attempt was to end a claim."""

    op: SettleOp


Event = Started | RevisionOffered | Braked | Requested | Asked | Settled

converter = make_converter()
configure_tagged_union(Event, converter, tag_name="kind")


def encode_event(event: Event) -> str:
    """Returns the line of an event."""
    return converter.dumps(event, Event, separators=(",", ":"))


def decode_event(line: str) -> Event:
    """Returns the event of a line.

    Raises:
      cattrs.BaseValidationError: The line is not an event.
    """
    return converter.loads(line, Event)
