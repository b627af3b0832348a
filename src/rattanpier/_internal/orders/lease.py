"""The lease on giving orders to an upstream's workers.

Its holder counts the term from before the write that renewed it; others count
from when they saw the row unchanged first, and longer. So the holder gives up
before anybody takes over, whatever their clocks show, as long as they run at
about the same rate.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.member import Member
from rattanpier._internal.models.outcomes import NotRun
from rattanpier._internal.orders.records import OrdersLease, lease_key
from rattanpier._internal.store.row_watch import RowWatch
from rattanpier._internal.store.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

TERM_S = 6.0
RENEW_S = 2.0
SKEW_S = 1.0  # Clocks that run at slightly unlike rates.
# The longest an order may be under way, from the check of the lease until it
# takes effect at the engine or never does.
MAX_IN_FLIGHT_S = 3.0


@attrs.define
class HeldLease:
    """A lease that this process holds.

    Attributes:
      lease: As this process wrote it last.
      version: Version of its row.
      valid_until: Monotonic time at which it may have lapsed.
      clear_at: Monotonic time from when no order of an earlier owner can
        still be under way.
    """

    lease: OrdersLease
    version: int
    valid_until: float
    clear_at: float


@attrs.define
class Leases:
    """The leases of one process, and the others' rows as it saw them.

    Attributes:
      held: By upstream.
      seen: Rows of others, by upstream.
    """

    me: Member
    table: Table
    clock: Clock
    held: dict[str, HeldLease] = attrs.Factory(dict)
    seen: dict[str, RowWatch] = attrs.Factory(dict)

    def valid(self, upstream: str) -> HeldLease | None:
        """Returns a lease that surely holds now, or None."""
        held = self.held.get(upstream)
        if held is None or self.clock.monotonic() >= held.valid_until:
            return None
        return held

    async def renew_or_acquire(self, upstream: str) -> None:
        """Renews or takes a lease, if it is time to."""
        held = self.held.get(upstream)
        now = self.clock.monotonic()
        try:
            if held is None:
                await self.acquire(upstream)
            elif held.valid_until - now < TERM_S - RENEW_S:
                await self.write(upstream, held.lease, held.version)
        except StoreUnavailableError:
            return

    async def acquire(self, upstream: str) -> None:
        """Takes a lease that lapsed, as far as this process can tell."""
        row = await self.table.get(lease_key(upstream))
        if row is not None and not self.has_expired(upstream, row):
            return
        present = decode(OrdersLease, row.value) if row else None
        epoch = present.epoch + 1 if present else 1
        lease = OrdersLease(self.me.name, self.me.incarnation, epoch)
        await self.write(upstream, lease, row.version if row else ABSENT)

    def has_expired(self, upstream: str, row: Row) -> bool:
        """Says whether a row stood unchanged for longer than its term."""
        watch = self.seen.setdefault(upstream, RowWatch())
        unchanged_s = watch.unchanged_s(row.version, self.clock.monotonic())
        return unchanged_s > TERM_S + SKEW_S

    async def write(
        self, upstream: str, lease: OrdersLease, version: int
    ) -> None:
        """Writes a lease over a row version and notes what became of it."""
        key = lease_key(upstream)
        wanted = attrs.evolve(lease, renewal=lease.renewal + 1)
        asked = self.clock.monotonic()
        outcome = await self.table.transact(
            Transaction([Check(key, version)], [Put(key, encode(wanted))])
        )
        if isinstance(outcome, NotRun):
            return
        # Read back: the answer may be lost, and the version is needed.
        row = await self.table.get(key)
        if row is None or decode(OrdersLease, row.value) != wanted:
            self.held.pop(upstream, None)
            return
        before = self.held.get(upstream)
        clear_at = before.clear_at if before else asked + MAX_IN_FLIGHT_S
        valid_until = asked + TERM_S
        self.held[upstream] = HeldLease(
            wanted, row.version, valid_until, clear_at
        )
