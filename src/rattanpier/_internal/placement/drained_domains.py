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
REWRITTEN_S = 6.0


def shows_ended(before: DomainOrder, told: DomainOrder) -> bool:
    """Says whether an older copy shows an order that ended."""
    was_ended = told.drained and not before.drained
    return was_ended and told.revision.is_kept_from(before.ended)


@attrs.define(eq=False, repr=False)
class DrainedDomains:
    """The newest order of each failure domain.

    Attributes:
      returned: Called with each domain whose order ended.
      clock: Monotonic.
      orders: By domain, those that ended too.
      drained: Domains that get nothing new.
      as_of: Revision of the whole table that was taken last.
      unconfirmed: Until when each order counts that the newest era of the store
        has not shown, by domain, in monotonic seconds.
      disputed: Orders that ended and that an older copy shows, with the time
        from which they count if they still stand.
    """

    returned: Callable[[str], None] = lambda _domain: None
    clock: Clock = attrs.Factory(SystemClock)
    orders: dict[str, DomainOrder] = attrs.Factory(dict)
    drained: frozenset[str] = frozenset()
    as_of: Revision = Revision()
    unconfirmed: dict[str, float] = attrs.Factory(dict)
    disputed: dict[str, tuple[DomainOrder, float]] = attrs.Factory(dict)

    def take(self, order: DomainOrder, source: str) -> None:
        """Takes an order, or its end, in; one that is older is left out.

        Args:
          order: What was heard of.
          source: Where it was heard of, for the log.
        """
        before = self.orders.get(order.domain)
        if before is not None:
            if order.revision <= before.revision:
                return
            if shows_ended(before, order):
                self.dispute(before, order)
                return
            if not order.drained:
                ended = before.revision if before.drained else before.ended
                order = attrs.evolve(order, ended=ended)
        self.put(order, source)

    def put(self, order: DomainOrder, source: str) -> None:
        """Lets an order, or its end, count."""
        self.orders[order.domain] = order
        self.disputed.pop(order.domain, None)
        self.note_confirmed(order)
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
        if revision.era > self.as_of.era:
            # What its copy lacks too has as long again to be written.
            self.unconfirmed.clear()
        self.as_of = max(self.as_of, revision)
        standing = {order.domain: order for order in orders}
        for order in standing.values():
            self.take(order, "store")
        for domain in self.disputed.keys() - standing.keys():
            del self.disputed[domain]
        for domain in self.drained - standing.keys():
            if self.orders[domain].revision.era < revision.era:
                self.note_confirmed(self.orders[domain])
            else:
                self.take(DomainOrder(domain, False, revision), "store")

    def note_confirmed(self, order: DomainOrder) -> None:
        """Keeps until when an order counts that the store has not shown."""
        if not order.drained or order.revision.era >= self.as_of.era:
            self.unconfirmed.pop(order.domain, None)
        elif order.domain not in self.unconfirmed:
            until = self.clock.monotonic() + REWRITTEN_S
            self.unconfirmed[order.domain] = until
            log.info(
                "Order stands that the store lacks.",
                domain=order.domain,
                revision=order.revision.number,
                as_of=self.as_of.number,
            )

    def dispute(self, end: DomainOrder, shown: DomainOrder) -> None:
        """Goes on with the end of an order that an older copy shows."""
        self.orders[end.domain] = attrs.evolve(end, revision=shown.revision)
        until = self.clock.monotonic() + REWRITTEN_S
        self.disputed[end.domain] = shown, until
        log.info(
            "Order shown that ended.",
            domain=end.domain,
            revision=shown.revision.number,
        )

    def settle(self) -> None:
        """Believes the store where nothing was written again in time."""
        now = self.clock.monotonic()
        for order, until in list(self.disputed.values()):
            if until <= now:
                self.put(order, "store")
        late = [
            domain for domain, until in self.unconfirmed.items() if until <= now
        ]
        for domain in late:
            self.take(DomainOrder(domain, False, self.as_of), "store")

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
