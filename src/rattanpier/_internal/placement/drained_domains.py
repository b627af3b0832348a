"""Failure domains whose workers get nothing new, as operators ordered.

An order narrows where requests may go: whatever tells of it counts, the store,
a peer or a peer's snapshot. It ends only when its removal was seen in the
store, by this entry or by one that tells of it with the removal's revision: a
store that is away, or an entry that knows less, lifts nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="domains")


@attrs.define(eq=False, repr=False)
class DrainedDomains:
    """The newest order of each failure domain.

    Attributes:
      returned: Called with each domain whose order ended.
      orders: By domain, those that ended too.
      drained: Domains that get nothing new.
    """

    returned: Callable[[str], None] = lambda _domain: None
    orders: dict[str, DomainOrder] = attrs.Factory(dict)
    drained: frozenset[str] = frozenset()

    def take(self, order: DomainOrder, source: str) -> None:
        """Takes an order, or its end, in; one that is older is left out.

        Args:
          order: What was heard of.
          source: Where it was heard of, for the log.
        """
        before = self.orders.get(order.domain)
        if before is not None and order.revision <= before.revision:
            return
        self.orders[order.domain] = order
        was_drained = order.domain in self.drained
        if order.drained == was_drained:
            return
        self.drained = self.drained ^ {order.domain}
        log.info(
            "Drained domains changed.",
            domain=order.domain,
            revision=order.revision.number,
            source=source,
            drained=sorted(self.drained),
        )
        if was_drained:
            self.returned(order.domain)

    def replace(
        self, orders: Iterable[DomainOrder], revision: Revision
    ) -> None:
        """Takes in all orders that stand in the store.

        Args:
          orders: Those that stand.
          revision: The store's as of which they do.
        """
        standing = {order.domain: order for order in orders}
        for order in standing.values():
            self.take(order, "store")
        for domain in self.drained - standing.keys():
            self.take(DomainOrder(domain, False, revision), "store")

    def standing(self) -> list[DomainOrder]:
        """Returns the orders that have not ended."""
        return [self.orders[domain] for domain in sorted(self.drained)]

    def take_standing(self, orders: Iterable[DomainOrder]) -> None:
        """Takes in the orders that a peer knows to stand."""
        for order in orders:
            self.take(order, "peer")

    def digest(self) -> int:
        """Returns a number that tells these orders from others."""
        total = 0
        for order in self.standing():
            total ^= stable_hash(f"{order.domain}/{order.revision.number}")
        return total

    def open(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that are in no drained domain."""
        if not self.drained:
            return workers
        return [each for each in workers if each.domain not in self.drained]
