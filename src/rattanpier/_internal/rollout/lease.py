"""The lease of a roll-out's driver: an epoch that rises with each driver.

It need not be renewed: who may drive follows from who is alive, and a driver
that was replaced fails the check of the lease row in each of its changes.
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
    """A lease as its holder wrote it, and the version of its row."""

    rollout: str
    lease: DriverLease
    version: int

    @property
    def check(self) -> Check:
        """The condition that nobody took over since."""
        return Check(lease_key(self.rollout), self.version)


async def read_lease(table: Table, rollout: str) -> DriverLease | None:
    """Returns the present lease.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(lease_key(rollout))
    return decode(DriverLease, row.value) if row else None


async def acquire_lease(
    table: Table, rollout: str, owner: str, incarnation: str
) -> HeldLease | None:
    """Takes a roll-out over, whoever drove it before.

    Returns:
      The lease, or None if the store did not answer or another came first.
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
        # Read back: the answer may be lost, and the row's version is needed.
        present = await table.get(key)
    except StoreUnavailableError:
        return None
    if present is None or decode(DriverLease, present.value) != lease:
        return None
    return HeldLease(rollout, lease, present.version)
