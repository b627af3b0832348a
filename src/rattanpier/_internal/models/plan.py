"""What was decided for a request."""

from __future__ import annotations

import attrs


@attrs.frozen
class Plan:
    """How a request is to be answered.

    Attributes:
      rule: Name of the rule that matched.
      steps: Versions in the order of use, from cheap to strong.
      service: Plain service to pass the request on to, or empty.
      pin_lost: Version the session was pinned to and can't have, or empty.
    """

    rule: str
    steps: list[str] = attrs.Factory(list)
    service: str = ""
    pin_lost: str = ""
