"""An operator's order to drain a failure domain, or its end."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision


@attrs.frozen
class DomainOrder:
    """What operators want of the workers of one failure domain.

    Attributes:
      domain: Its name.
      drained: Nothing more is to be sent there; False: the order was taken
        back.
      revision: Of the change; the larger is the newer.
      ended: Of the order that was taken back, where it is known.
    """

    domain: str
    drained: bool
    revision: Revision
    ended: Revision = Revision()
