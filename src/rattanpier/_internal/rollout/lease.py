"""The lease of a roll-out's driver, with an epoch that fences old drivers.

The lease is not renewed. The set of live processes determines the driver, and
each change checks the lease row, so that a replaced driver cannot write.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import NotRun
from rattanpier._internal.rollout.records import DriverLease, lease_key
from rattanpier._internal.store.table import (
    ABSENT,
    Check,
    Put,
    Table,
    Transaction,
)
from rattanpier._internal.utils.codec import decode, encode


@attrs.frozen
class HeldLease:
    """A lease as written by its holder.

    Attributes:
      rollout: Name of the roll-out.
      lease: The lease.
      version: Version of its row in the table.
    """

    rollout: str
    lease: DriverLease
    version: int

    @property
    def check(self) -> Check:
        """Condition that no other driver has acquired the lease since."""
        return Check(lease_key(self.rollout), self.version)


async def read_lease(table: Table, rollout: str) -> DriverLease | None:
    """Returns the current lease, or None if there is none.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(lease_key(rollout))
    return decode(DriverLease, row.value) if row else None


async def acquire_lease(
    table: Table, rollout: str, owner: str, incarnation: str
) -> HeldLease | None:
    """Acquires the lease of a roll-out, regardless of its current holder.

    Returns:
      The lease, or None if the store did not answer or another process
      acquired it first.
    """
    key = lease_key(rollout)
    try:
        row = await table.get(key)
        epoch = decode(DriverLease, row.value).epoch if row else 0
        lease = DriverLease(owner, incarnation, epoch + 1)
        outcome = await table.transact(
            Transaction(
                [Check(key, row.version if row else ABSENT)],
                [Put(key, encode(lease))],
            )
        )
        if isinstance(outcome, NotRun):
            return None
        # Read back: the answer of the transaction may be lost, and the version
        # of the row is needed.
        present = await table.get(key)
    except StoreUnavailableError:
        return None
    if present is None or decode(DriverLease, present.value) != lease:
        return None
    return HeldLease(rollout, lease, present.version)
