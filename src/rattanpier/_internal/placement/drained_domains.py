"""Failure domains that operators have drained: they get no new requests.

A drain order restricts where requests may go, so it is accepted from any
source: the store, a peer or a peer's snapshot. It ends only when its removal
was seen in the store, by this entry or by a peer that reports the revision of
the removal. An unavailable store or a peer that knows less ends no order.

After the store was restored from a backup it may lack an order that is in
force, which operators then write again, or contain one that has ended. Neither
takes effect until the grace period is over.
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

# After the store was restored from a backup, the orders known before take
# precedence for this long, so that operators can write them again. A domain
# that stays drained for some seconds too long costs less than one that gets
# requests for a moment.
REISSUE_GRACE_S = 6.0


def repeats_ended_order(known: DomainOrder, received: DomainOrder) -> bool:
    """Returns whether a restored store contains an order that has ended."""
    was_ended = received.drained and not known.drained
    return was_ended and received.revision.is_restored_from(known.ended)


@attrs.define(eq=False, repr=False)
class DrainedDomains:
    """The newest order for each failure domain.

    Attributes:
      on_undrained: Called with each domain whose order ended.
      clock: Source of monotonic time.
      orders: The newest order by domain, including orders that have ended.
      drained: Domains that get no new requests.
      as_of: Store revision of the last full read.
      unconfirmed_until: By domain, the time in monotonic seconds until which an
        order stays in force although the newest era of the store lacks it.
      disputed: By domain, an ended order that a restored store contains, and
        the time in monotonic seconds from which it is in force again if the
        store still contains it.
    """

    on_undrained: Callable[[str], None] = lambda _domain: None
    clock: Clock = attrs.Factory(SystemClock)
    orders: dict[str, DomainOrder] = attrs.Factory(dict)
    drained: frozenset[str] = frozenset()
    as_of: Revision = Revision()
    unconfirmed_until: dict[str, float] = attrs.Factory(dict)
    disputed: dict[str, tuple[DomainOrder, float]] = attrs.Factory(dict)

    def apply_order(self, order: DomainOrder, source: str) -> None:
        """Applies an order or its removal; ignores it if it is outdated.

        Args:
          order: The order received.
          source: Where it was received from, for the log.
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
        """Puts an order or its removal into force."""
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
        """Applies a full read of the orders in the store.

        Args:
          orders: The orders in force.
          revision: Revision of the store at which they were read.
        """
        if revision.era > self.as_of.era:
            # Orders that this backup lacks get the full grace period again.
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
        """Starts or ends the grace period of an order that the store lacks."""
        if not order.drained or order.revision.era >= self.as_of.era:
            self.unconfirmed_until.pop(order.domain, None)
        elif order.domain not in self.unconfirmed_until:
            until = self.clock.monotonic() + REISSUE_GRACE_S
            self.unconfirmed_until[order.domain] = until
            log.info(
                "Drain order in force is missing from the store.",
                domain=order.domain,
                revision=order.revision.number,
                as_of=self.as_of.number,
            )

    def dispute(self, end: DomainOrder, shown: DomainOrder) -> None:
        """Keeps an order ended that a restored store contains.

        Args:
          end: The removal of the order.
          shown: The order as the restored store contains it.
        """
        self.orders[end.domain] = attrs.evolve(end, revision=shown.revision)
        until = self.clock.monotonic() + REISSUE_GRACE_S
        self.disputed[end.domain] = shown, until
        log.info(
            "Store contains a drain order that has ended.",
            domain=end.domain,
            revision=shown.revision.number,
        )

    def expire_grace_periods(self) -> None:
        """Accepts the state of the store where a grace period is over."""
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
        """Returns the orders in force, sorted by domain."""
        return [self.orders[domain] for domain in sorted(self.drained)]

    def apply_peer_orders(self, orders: Iterable[DomainOrder]) -> None:
        """Applies the orders that a peer reports as in force."""
        for order in orders:
            self.apply_order(order, "peer")

    def digest(self) -> int:
        """Returns a digest of the orders in force, to compare with peers."""
        total = 0
        for order in self.active_orders():
            total ^= stable_hash(f"{order.domain}/{order.revision.number}")
        return total

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that are not in a drained domain."""
        if not self.drained:
            return workers
        return [each for each in workers if each.domain not in self.drained]
