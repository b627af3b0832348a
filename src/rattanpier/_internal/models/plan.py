"""Routing decision for a request."""

from __future__ import annotations

import attrs


@attrs.frozen
class Plan:
    """How a request is answered.

    Attributes:
      rule: Name of the rule that matched.
      steps: Versions in the order of use, from cheap to strong.
      service: Plain service that the request is forwarded to, or empty.
      pin_lost: Version that the session was pinned to and can't keep, or empty.
    """

    rule: str
    steps: list[str] = attrs.Factory(list)
    service: str = ""
    pin_lost: str = ""
