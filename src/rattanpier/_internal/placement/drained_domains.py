"""Failure domains whose workers get nothing new, as operators ordered.

An order narrows where requests may go: whatever tells of it counts, the store,
a peer or a peer's snapshot. It ends only when its removal was seen in the
store, by this entry or by one that tells of it with the removal's revision: a
store that is away, or an entry that knows less, lifts nothing.

A store that came back from an older copy may lack an order that stands, which
operators then write again, or show one that ended: neither changes anything.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock, SystemClock
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="domains")

# For so long what was known counts where an older copy of the store says
# otherwise: until operators have written it again. A domain that stays drained
# for some seconds costs less than one that fills for a moment.
REISSUE_GRACE_S = 6.0


def repeats_ended_order(known: DomainOrder, received: DomainOrder) -> bool:
    """Says whether an older copy shows an order that ended."""
    was_ended = received.drained and not known.drained
    return was_ended and received.revision.is_kept_from(known.ended)


@attrs.define(eq=False, repr=False)
class DrainedDomains:
    """The newest order of each failure domain.

    Attributes:
      on_undrained: Called with each domain whose order ended.
      clock: Monotonic.
      orders: By domain, those that ended too.
      drained: Domains that get nothing new.
      as_of: Revision of the whole table that was taken last.
      unconfirmed_until: Until when each order counts that the newest era of the
        store has not shown, by domain, in monotonic seconds.
      disputed: Orders that ended and that an older copy shows, with the time
        from which they count if they still stand.
    """

    on_undrained: Callable[[str], None] = lambda _domain: None
    clock: Clock = attrs.Factory(SystemClock)
    orders: dict[str, DomainOrder] = attrs.Factory(dict)
    drained: frozenset[str] = frozenset()
    as_of: Revision = Revision()
    unconfirmed_until: dict[str, float] = attrs.Factory(dict)
    disputed: dict[str, tuple[DomainOrder, float]] = attrs.Factory(dict)

    def apply_order(self, order: DomainOrder, source: str) -> None:
        """Takes an order, or its end, in; one that is older is left out.

        Args:
          order: What was heard of.
          source: Where it was heard of, for the log.
        """
        known = self.orders.get(order.domain)
        if known is not None:
            if order.revision <= known.revision:
                return
            if repeats_ended_order(known, order):
                self.dispute(known, order)
                return
            if not order.drained:
                ended = known.revision if known.drained else known.ended
                order = attrs.evolve(order, ended=ended)
        self.set_order(order, source)

    def set_order(self, order: DomainOrder, source: str) -> None:
        """Lets an order, or its end, count."""
        self.orders[order.domain] = order
        self.disputed.pop(order.domain, None)
        self.update_unconfirmed(order)
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
            self.on_undrained(order.domain)

    def replace(
        self, orders: Iterable[DomainOrder], revision: Revision
    ) -> None:
        """Takes in all orders that stand in the store.

        Args:
          orders: Those that stand.
          revision: The store's as of which they do.
        """
        if revision.era > self.as_of.era:
            # What its copy lacks too has as long again to be written.
            self.unconfirmed_until.clear()
        self.as_of = max(self.as_of, revision)
        standing = {order.domain: order for order in orders}
        for order in standing.values():
            self.apply_order(order, "store")
        for domain in self.disputed.keys() - standing.keys():
            del self.disputed[domain]
        for domain in self.drained - standing.keys():
            if self.orders[domain].revision.era < revision.era:
                self.update_unconfirmed(self.orders[domain])
            else:
                self.apply_order(DomainOrder(domain, False, revision), "store")

    def update_unconfirmed(self, order: DomainOrder) -> None:
        """Keeps until when an order counts that the store has not shown."""
        if not order.drained or order.revision.era >= self.as_of.era:
            self.unconfirmed_until.pop(order.domain, None)
        elif order.domain not in self.unconfirmed_until:
            until = self.clock.monotonic() + REISSUE_GRACE_S
            self.unconfirmed_until[order.domain] = until
            log.info(
                "Order stands that the store lacks.",
                domain=order.domain,
                revision=order.revision.number,
                as_of=self.as_of.number,
            )

    def dispute(self, end: DomainOrder, shown: DomainOrder) -> None:
        """Goes on with the end of an order that an older copy shows."""
        self.orders[end.domain] = attrs.evolve(end, revision=shown.revision)
        until = self.clock.monotonic() + REISSUE_GRACE_S
        self.disputed[end.domain] = shown, until
        log.info(
            "Order shown that ended.",
            domain=end.domain,
            revision=shown.revision.number,
        )

    def expire_grace_periods(self) -> None:
        """Believes the store where nothing was written again in time."""
        now = self.clock.monotonic()
        for order, until in list(self.disputed.values()):
            if until <= now:
                self.set_order(order, "store")
        late = [
            domain
            for domain, until in self.unconfirmed_until.items()
            if until <= now
        ]
        for domain in late:
            self.apply_order(DomainOrder(domain, False, self.as_of), "store")

    def active_orders(self) -> list[DomainOrder]:
        """Returns the orders that have not ended."""
        return [self.orders[domain] for domain in sorted(self.drained)]

    def apply_peer_orders(self, orders: Iterable[DomainOrder]) -> None:
        """Takes in the orders that a peer knows to stand."""
        for order in orders:
            self.apply_order(order, "peer")

    def digest(self) -> int:
        """Returns a number that tells these orders from others."""
        total = 0
        for order in self.active_orders():
            total ^= stable_hash(f"{order.domain}/{order.revision.number}")
        return total

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that are in no drained domain."""
        if not self.drained:
            return workers
        return [each for each in workers if each.domain not in self.drained]
