"""Lease that allows one process to send orders to an upstream's workers.

The holder measures the term from before the write that renewed the lease.
Other processes measure it from when they first saw the row's current version,
and wait `SKEW_S` longer. The holder's lease therefore expires before another
process acquires it, regardless of clock offsets, as long as the clocks run at
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
SKEW_S = 1.0  # Allows for clocks that run at slightly different rates.
# Maximum time from the check of the lease until an order takes effect at the
# engine or is lost.
MAX_IN_FLIGHT_S = 3.0


@attrs.define
class HeldLease:
    """A lease that this process holds.

    Attributes:
      lease: Lease as this process last wrote it.
      version: Version of the lease's row.
      valid_until: Monotonic time in seconds at which the lease may have
        expired.
      clear_at: Monotonic time in seconds from which no order of an earlier
        owner can still be in flight.
    """

    lease: OrdersLease
    version: int
    valid_until: float
    clear_at: float


@attrs.define
class Leases:
    """Leases that a process holds, and its observations of other leases.

    Attributes:
      held: Leases of this process, by upstream.
      seen: Observed lease rows of other processes, by upstream.
    """

    me: Member
    table: Table
    clock: Clock
    held: dict[str, HeldLease] = attrs.Factory(dict)
    seen: dict[str, RowWatch] = attrs.Factory(dict)

    def valid(self, upstream: str) -> HeldLease | None:
        """Returns the lease if it is certain to be valid now, else None."""
        held = self.held.get(upstream)
        if held is None or self.clock.monotonic() >= held.valid_until:
            return None
        return held

    async def renew_or_acquire(self, upstream: str) -> None:
        """Renews a held lease when due, or tries to acquire it.

        If the store is unavailable, the lease stays as it is.
        """
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
        """Acquires a lease that is free or that this process saw expire."""
        row = await self.table.get(lease_key(upstream))
        if row is not None and not self.has_expired(upstream, row):
            return
        present = decode(OrdersLease, row.value) if row else None
        epoch = present.epoch + 1 if present else 1
        lease = OrdersLease(self.me.name, self.me.incarnation, epoch)
        await self.write(upstream, lease, row.version if row else ABSENT)

    def has_expired(self, upstream: str, row: Row) -> bool:
        """Returns whether a row was unchanged for `TERM_S` plus `SKEW_S`."""
        watch = self.seen.setdefault(upstream, RowWatch())
        unchanged_s = watch.unchanged_s(row.version, self.clock.monotonic())
        return unchanged_s > TERM_S + SKEW_S

    async def write(
        self, upstream: str, lease: OrdersLease, version: int
    ) -> None:
        """Writes a lease if its row has `version`, and records the result.

        Raises:
          StoreUnavailableError: The row could not be read back.
        """
        key = lease_key(upstream)
        wanted = attrs.evolve(lease, renewal=lease.renewal + 1)
        asked = self.clock.monotonic()
        outcome = await self.table.transact(
            Transaction([Check(key, version)], [Put(key, encode(wanted))])
        )
        if isinstance(outcome, NotRun):
            return
        # Read the row back: the reply to the write may have been lost, and
        # the next renewal needs the row's version.
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
