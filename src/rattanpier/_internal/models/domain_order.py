"""An operator's order to drain a failure domain, or its withdrawal."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class DomainOrder(Record):
    """Whether the workers of a failure domain are to be drained.

    Attributes:
      domain: Name of the failure domain.
      drained: True if no more requests are to be sent there; False if the order
        was withdrawn.
      revision: Store revision of the change; the larger is newer.
      ended: Revision of the order that was withdrawn, where it is known.
    """

    domain: str
    drained: bool
    revision: Revision
    ended: Revision = Revision()
