"""An operator's order to drain a failure domain, or its end."""

from __future__ import annotations

import attrs


@attrs.frozen
class DomainOrder:
    """What operators want of the workers of one failure domain.

    Attributes:
      domain: Its name.
      drained: Nothing more is to be sent there; False: the order was taken
        back.
      revision: The store's version of the change; the larger is the newer.
    """

    domain: str
    drained: bool
    revision: int
