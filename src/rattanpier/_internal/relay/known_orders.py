"""Identifies roll-out orders across restores of the store.

An order is identified by the revision under which it first became known. After
a restore from a backup the same order may be read at another revision, because
the backup contains it or because operators wrote it again. It must not start
again, least of all one that was rolled back. An order that the backup contains
but that a later one superseded is ignored.
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

# Superseded orders per service that are recognized in a restored store.
MAX_PAST_ORDERS = 8


def has_same_target(one: RolloutOrder, other: RolloutOrder) -> bool:
    """Returns whether two orders have the same version and deadline."""
    fields = one.version, one.deadline_s
    return fields == (other.version, other.deadline_s)


def belongs_to(record: RolloutRecord, order: RolloutOrder) -> bool:
    """Returns whether a record is of an order, whatever their revisions."""
    if record.order == order.id:
        return True
    same_version = record.version == order.version
    return same_version and may_be_same_row(
        seen_revision(record), order.revision
    )


def same_order(one: RolloutRecord, other: RolloutRecord) -> bool:
    """Returns whether two records are of one order, whatever its revisions."""
    if one.order == other.order:
        return True
    same_version = one.version == other.version
    return same_version and may_be_same_row(
        seen_revision(one), seen_revision(other)
    )


def seen_revision(record: RolloutRecord) -> Revision:
    """Returns the revision of the order's row that a record's writer saw."""
    return Revision.from_number(record.seen or record.order)


def may_be_same_row(one: Revision, other: Revision) -> bool:
    """Returns whether two revisions may be of the same order's row.

    Within an era, different revisions mean different orders.
    """
    return one == other or one.era != other.era


def merge_records(one: RolloutRecord, other: RolloutRecord) -> RolloutRecord:
    """Merges two records of one order.

    The result has the later phase and the newer revisions. A final phase takes
    precedence over any other.
    """
    phases = list(RolloutPhase)
    order = max(one.order, other.order)
    seen = max(seen_revision(one), seen_revision(other)).number
    found = max(
        (one, other),
        key=lambda record: (record.phase.final, phases.index(record.phase)),
    )
    return attrs.evolve(
        found,
        order=order,
        seen=seen,
        extending_share=max(one.extending_share, other.extending_share),
    )


def record_to_write(
    stored: RolloutRecord | None, known: RolloutRecord
) -> RolloutRecord | None:
    """Returns the record to write to the store.

    Args:
      stored: Record in the store, None if there is none.
      known: Record that this entry knows.

    Returns:
      The record to write, or None if the stored one is up to date.
    """
    if stored is None:
        return known
    if not same_order(stored, known):
        return known if known.order > stored.order else None
    found = merge_records(known, stored)
    return None if found == merge_records(stored, stored) else found


@attrs.define(eq=False, repr=False)
class KnownOrders:
    """The newest order of each service, and the superseded ones.

    Attributes:
      newest: Newest order, by service.
      past: Superseded orders, the newest last, by service.
      full_read_revision: Revision of the first full read of the newest era.
    """

    newest: dict[str, RolloutOrder] = attrs.Factory(dict)
    past: dict[str, list[RolloutOrder]] = attrs.Factory(dict)
    full_read_revision: Revision = Revision()

    def record_full_read(self, revision: Revision) -> None:
        """Records a full read of the operators' table at a revision."""
        if revision.era > self.full_read_revision.era:
            self.full_read_revision = revision

    def apply(self, order: RolloutOrder) -> bool:
        """Applies an order of the store; returns whether it has to start."""
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
                "Superseded order of a restored store ignored.",
                service=order.service,
                version=order.version,
                revision=order.revision.number,
            )
            return False
        self.replace_newest(order)
        return True

    def is_superseded(self, order: RolloutOrder) -> bool:
        """Returns whether an order was superseded before a store restore."""
        return any(
            has_same_target(order, each)
            and order.revision.is_restored_from(each.revision)
            for each in self.past.get(order.service, ())
        )

    def replace_newest(self, order: RolloutOrder) -> None:
        """Replaces the newest order of a service, which becomes a past one."""
        past = self.past.setdefault(order.service, [])
        past.append(self.newest[order.service])
        del past[:-MAX_PAST_ORDERS]
        self.newest[order.service] = order

    # State that entries exchange.

    def unconfirmed(self) -> list[RolloutOrder]:
        """Returns the orders that were not read in the store's newest era."""
        return [
            order
            for order in self.newest.values()
            if order.revision.era < self.full_read_revision.era
        ]

    def apply_unconfirmed(
        self, orders: Iterable[RolloutOrder]
    ) -> list[RolloutOrder]:
        """Applies orders that a peer knows and that the store lost.

        An order known here is replaced only if it was read from a restored
        store, since the peer's order is then newer than the backup.

        Args:
          orders: Unconfirmed orders of a peer.

        Returns:
          The orders that have to start here.
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
        """Returns a digest of the unconfirmed orders, for comparison."""
        total = 0
        for order in self.unconfirmed():
            total ^= stable_hash(f"unconfirmed/{order.service}/{order.version}")
        return total
