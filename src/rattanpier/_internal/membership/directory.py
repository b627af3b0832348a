"""Reads and writes the directory of members in the table service.

A process requests a change by a row of its own; the holder of the lease row
merges the requests into the next revision. Readers fetch only the changes after
their own revision, so the cost of a read does not depend on the fleet's size.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import structlog

from rattanpier._internal.membership.records import (
    CHANGE_PREFIX,
    FULL_KEY,
    LEASE_KEY,
    REQUEST_PREFIX,
    Change,
    Directory,
    DirectoryLease,
    Presence,
    apply_presences,
    change_key,
    incarnation_id,
)
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import Member, member_key
from rattanpier._internal.models.outcomes import Committed
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
from rattanpier._internal.utils.hashing import rendezvous

log = structlog.get_logger(part="directory")

MAX_KEPT_CHANGES = 64  # A reader further behind does a full read.
MAX_CANDIDATES = 3  # Processes that watch the directory's lease.
# A lease unchanged for this time on the watcher's own clock may be acquired.
LEASE_TIMEOUT_S = 4.0
RANK_DELAY_S = 1.5  # Additional wait for each rank after the first.
MAX_REQUESTS = 200  # Requests merged into one revision.


def candidate_rank(names: Iterable[str], me: str) -> int | None:
    """Returns a process's rank among those that watch the lease, or None.

    >>> [candidate_rank(["a", "b"], name) for name in ("a", "b")]
    [0, 1]
    """
    rank = rendezvous("directory", names).index(me)
    return rank if rank < MAX_CANDIDATES else None


async def read_full(table: Table) -> Directory:
    """Returns the whole directory.

    Raises:
      StoreUnavailableError: The directory can't be read.
    """
    row = await table.get(FULL_KEY)
    return decode(Directory, row.value) if row else Directory()


async def read_changes(table: Table, revision: int) -> list[Change]:
    """Returns the changes after a revision, in order.

    Raises:
      StoreUnavailableError: The changes can't be read.
    """
    rows = await table.scan(CHANGE_PREFIX, change_key(revision))
    return [decode(Change, row.value) for row in rows]


@attrs.define
class DirectoryWriter:
    """Writes the directory while it holds the lease; else watches the lease.

    Attributes:
      watch: Watches the lease row while another process holds it.
      directory: The directory as last written or read; None if it has to be
        read again.
      holding: Whether this process held the lease at the last step.
    """

    table: Table
    clock: Clock
    watch: RowWatch = attrs.Factory(RowWatch)
    directory: Directory | None = None
    holding: bool = False

    async def step(
        self, me: Member, rank: int, roster: Roster
    ) -> list[Presence]:
        """Renews, watches or acquires the lease; writes if it is held.

        Args:
          me: This process.
          rank: Its rank among the candidates, from 0.
          roster: The members that this process knows.

        Returns:
          The presences written into the directory.

        Raises:
          StoreUnavailableError: The table service does not answer.
        """
        row = await self.table.get(LEASE_KEY)
        lease = decode(DirectoryLease, row.value) if row else None
        if row and lease and lease.holder == incarnation_id(me):
            return await self.write(me, row, roster)
        self.directory = None
        self.holding = False
        if self.is_lease_free(row, rank):
            return await self.acquire_lease(me, row, roster)
        return []

    def is_lease_free(self, row: Row | None, rank: int) -> bool:
        """Returns whether the lease may be acquired by a candidate."""
        if row is None:
            return True
        unchanged_s = self.watch.unchanged_s(
            row.version, self.clock.monotonic()
        )
        return unchanged_s >= LEASE_TIMEOUT_S + RANK_DELAY_S * rank

    async def acquire_lease(
        self, me: Member, row: Row | None, roster: Roster
    ) -> list[Presence]:
        """Acquires the lease if its row is unchanged, and writes at once."""
        version = row.version if row else ABSENT
        lease = DirectoryLease(incarnation_id(me))
        await self.table.transact(
            Transaction(
                [Check(LEASE_KEY, version)], [Put(LEASE_KEY, encode(lease))]
            )
        )
        # Read back: the answer may be lost, and the new version is needed.
        present = await self.table.get(LEASE_KEY)
        if present and decode(DirectoryLease, present.value) == lease:
            log.info("Directory lease acquired.", holder=lease.holder)
            return await self.write(me, present, roster)
        return []

    async def write(
        self, me: Member, lease_row: Row, roster: Roster
    ) -> list[Presence]:
        """Renews the lease and writes the requested changes."""
        self.holding = True
        if self.directory is None:
            self.directory = await read_full(self.table)
        rows = await self.table.scan(REQUEST_PREFIX, limit=MAX_REQUESTS)
        transaction = lease_renewal(me, lease_row)
        directory = self.directory
        presences = [decode(Presence, row.value) for row in rows]
        presences += unrecorded_presences(directory, roster, presences)
        if presences:
            directory, change = apply_presences(directory, presences)
            gone_rows = await self.find_gone_rows(presences)
            transaction = attrs.evolve(
                transaction,
                checks=[
                    *transaction.checks,
                    Check(change_key(change.revision), ABSENT),
                    *(Check(row.key, row.version) for row in gone_rows),
                ],
                puts=[
                    *transaction.puts,
                    Put(FULL_KEY, encode(directory)),
                    Put(change_key(change.revision), encode(change)),
                ],
                deletes=[
                    *(row.key for row in rows),
                    change_key(change.revision - MAX_KEPT_CHANGES),
                    *(row.key for row in gone_rows),
                ],
            )
        outcome = await self.table.transact(transaction)
        # After a lost answer or a conflict the next step reads again.
        committed = isinstance(outcome, Committed)
        self.directory = directory if committed else None
        return presences if committed else []

    async def find_gone_rows(self, presences: list[Presence]) -> list[Row]:
        """Returns the member rows that belong to incarnations now gone."""
        found = []
        for presence in presences:
            if not presence.gone:
                continue
            row = await self.table.get(member_key(presence.member.name))
            if row is None:
                continue
            owner = decode(Member, row.value).incarnation
            if owner == presence.member.incarnation:
                found.append(row)
        return found


def unrecorded_presences(
    directory: Directory, roster: Roster, requested: list[Presence]
) -> list[Presence]:
    """Returns presences known by notices that nobody could record.

    A process partitioned from the store can find a peer dead, or rejoin, but
    can't write a request.
    """
    members = {incarnation_id(item): item for item in directory.members}
    requested_ids = {incarnation_id(item.member) for item in requested}
    gone = [
        Presence(member, gone=True)
        for identity, member in members.items()
        if identity in roster.departed and identity not in requested_ids
    ]
    joined = [
        Presence(member)
        for member in roster.known.values()
        if incarnation_id(member) not in requested_ids
        and members.get(incarnation_id(member)) != member
        and member.is_reachable
    ]
    return gone + joined


def lease_renewal(me: Member, lease_row: Row) -> Transaction:
    """Returns a transaction that renews the lease if it is still held."""
    lease = DirectoryLease(incarnation_id(me))
    return Transaction(
        [Check(LEASE_KEY, lease_row.version)], [Put(LEASE_KEY, encode(lease))]
    )


@attrs.define
class DirectoryReader:
    """Reads the directory incrementally.

    Attributes:
      revision: The last revision read; None before the first read.
    """

    table: Table
    revision: int | None = None

    async def read_new(self) -> list[Presence]:
        """Returns the presences recorded since the last call.

        Raises:
          StoreUnavailableError: The directory can't be read.
        """
        if self.revision is not None:
            changes = await read_changes(self.table, self.revision)
            if not changes:
                return []
            if changes[0].revision == self.revision + 1:
                self.revision = changes[-1].revision
                return [
                    presence
                    for change in changes
                    for presence in change.presences
                ]
        full = await read_full(self.table)
        self.revision = full.revision
        return [Presence(member) for member in full.members]
