"""Which order a row means, though the store may have come back from a copy.

An order bears the number under which it became known first. After a return the
same order is read under another version: it stands in the copy, or operators
have written it again. It must not begin anew, least of all one that was rolled
back; a copy that shows an order from before the newest one is no order at all.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import structlog

from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="rollout")

MAX_PAST_ORDERS = 8  # Orders of a service that a copy may show again.


def has_same_target(one: RolloutOrder, other: RolloutOrder) -> bool:
    """Says whether two orders move a service to the same version in a time."""
    fields = one.version, one.deadline_s
    return fields == (other.version, other.deadline_s)


def belongs_to(record: RolloutRecord, order: RolloutOrder) -> bool:
    """Says whether a record tells of an order, under whatever number."""
    if record.order == order.id:
        return True
    same_version = record.version == order.version
    return same_version and may_be_same_row(
        seen_revision(record), order.revision
    )


def same_order(one: RolloutRecord, other: RolloutRecord) -> bool:
    """Says whether two records tell of one order, under whatever numbers."""
    if one.order == other.order:
        return True
    same_version = one.version == other.version
    return same_version and may_be_same_row(
        seen_revision(one), seen_revision(other)
    )


def seen_revision(record: RolloutRecord) -> Revision:
    """Returns the revision of the order's row that a record's writer knew."""
    return Revision.from_number(record.seen or record.order)


def may_be_same_row(one: Revision, other: Revision) -> bool:
    """Says whether two revisions may be of one order's row.

    Within an era another revision means another order.
    """
    return one == other or one.era != other.era


def merge_records(one: RolloutRecord, other: RolloutRecord) -> RolloutRecord:
    """Returns how far an order went of which there are two records.

    It goes by the newer number; what is final stays.
    """
    phases = list(RolloutPhase)
    order = max(one.order, other.order)
    seen = max(seen_revision(one), seen_revision(other)).number
    found = max(
        (one, other),
        key=lambda record: (record.phase.final, phases.index(record.phase)),
    )
    return attrs.evolve(found, order=order, seen=seen)


def record_to_write(
    stored: RolloutRecord | None, known: RolloutRecord
) -> RolloutRecord | None:
    """Returns what is to be written where a record stands and one is known.

    None if what stands tells as much.
    """
    if stored is None:
        return known
    if not same_order(stored, known):
        return known if known.order > stored.order else None
    found = merge_records(known, stored)
    return None if found == merge_records(stored, stored) else found


@attrs.define(eq=False, repr=False)
class KnownOrders:
    """The newest order of each service, and those before.

    Attributes:
      newest: By service.
      past: Those that another one followed, the newest last, by service.
      full_read_revision: Revision of the first whole table of the newest era.
    """

    newest: dict[str, RolloutOrder] = attrs.Factory(dict)
    past: dict[str, list[RolloutOrder]] = attrs.Factory(dict)
    full_read_revision: Revision = Revision()

    def record_full_read(self, revision: Revision) -> None:
        """Takes in that the whole table was read as of a revision."""
        if revision.era > self.full_read_revision.era:
            self.full_read_revision = revision

    def apply(self, order: RolloutOrder) -> bool:
        """Takes an order in; says whether it is to begin."""
        known = self.newest.get(order.service)
        if known is None:
            self.newest[order.service] = order
            return True
        if order.revision <= known.revision:
            return False
        new_era = order.revision.era > known.revision.era
        if new_era and has_same_target(order, known):
            self.newest[order.service] = attrs.evolve(
                known, revision=order.revision
            )
            return False
        if self.is_superseded(order):
            log.info(
                "Order of an older copy left out.",
                service=order.service,
                version=order.version,
                revision=order.revision.number,
            )
            return False
        self.replace_newest(order)
        return True

    def is_superseded(self, order: RolloutOrder) -> bool:
        """Says whether a copy shows an order that another one followed."""
        return any(
            has_same_target(order, each)
            and order.revision.is_kept_from(each.revision)
            for each in self.past.get(order.service, ())
        )

    def replace_newest(self, order: RolloutOrder) -> None:
        """Puts an order in the place of the newest one of its service."""
        past = self.past.setdefault(order.service, [])
        past.append(self.newest[order.service])
        del past[:-MAX_PAST_ORDERS]
        self.newest[order.service] = order

    # What entries tell each other.

    def unconfirmed(self) -> list[RolloutOrder]:
        """Returns the orders that the newest era of the store has not shown."""
        return [
            order
            for order in self.newest.values()
            if order.revision.era < self.full_read_revision.era
        ]

    def apply_unconfirmed(
        self, orders: Iterable[RolloutOrder]
    ) -> list[RolloutOrder]:
        """Takes in what another entry knows beyond the store.

        Returns:
          Those that are to begin here: what is known here is what the copy
          showed.
        """
        found: list[RolloutOrder] = []
        for order in orders:
            known = self.newest.get(order.service)
            if known is None:
                self.newest[order.service] = order
            elif has_same_target(order, known) or not (
                order.revision.era < known.revision.era
                and known.revision <= self.full_read_revision
            ):
                continue
            else:
                self.replace_newest(order)
            found.append(order)
        return found

    def digest(self) -> int:
        """Returns a number that tells unconfirmed orders from others."""
        total = 0
        for order in self.unconfirmed():
            total ^= stable_hash(f"unconfirmed/{order.service}/{order.version}")
        return total
