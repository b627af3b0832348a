"""Which shards this process owns, and who owns the others."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import attrs
import structlog

from rattanpier._internal.claims.compaction import Compactor
from rattanpier._internal.claims.outage import Outage
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import ShardLease, lease_key
from rattanpier._internal.claims.shard_log import FlushResult
from rattanpier._internal.claims.takeover import acquire, recover
from rattanpier._internal.exceptions import (
    StoreUnavailableError,
    UnreadableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.models.outcomes import Committed
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.store.objects import Objects
from rattanpier._internal.store.table import (
    Check,
    Put,
    Row,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="claims")

ASK_PEERS_S = 0.2  # Between questions to peers until they agree.
MAINTAIN_S = 0.5  # Between looks at the lease rows, at the least.
LOOKS_PER_S = 200.0  # Looks at the lease rows by the whole fleet.
REFRESH_S = 0.1  # Between reads of one lease row after a failed call.
TAKE_ANY_S = 3.0  # A shard free for so long is taken by any entry.
SETTLED_S = 3.0  # A better owner has to be known for so long.
LEASE_PREFIX = "shard/"


@attrs.frozen
class Seen:
    """A lease row as last read."""

    lease: ShardLease
    version: int


@attrs.define
class Ownership:
    """Takes shards over, gives them up, and knows their owners.

    Attributes:
      owners: Shards this process owns.
      seen: Lease rows as last read, by shard.
      free_since: When a shard was first seen without a live owner.
      better_since: When an owned shard was first seen to belong elsewhere.
      reachable: False while the lease rows can't be read.
      reachable_since: When they could be read again.
      acquainted: Whether a live owner of each shard was known at some time.
        Without one a request can't be claimed, and while the store is away
        nobody tells of owners: an entry takes callers only from then on.
      wake: Set to look at the rows at once.
    """

    fleet: Fleet
    table: Table
    clock: Clock
    metrics: Metrics
    members: Members
    links: Links
    kernel: Kernel
    outage: Outage
    objects: Objects
    owners: dict[int, ShardOwner] = attrs.Factory(dict)
    seen: dict[int, Seen] = attrs.Factory(dict)
    free_since: dict[int, float] = attrs.Factory(dict)
    better_since: dict[int, float] = attrs.Factory(dict)
    read_at: dict[int, float] = attrs.Factory(dict)
    reachable: bool = True
    reachable_since: float = 0.0
    acquainted: bool = False
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def me(self) -> Member:
        """This process as a member."""
        return self.members.me

    @property
    def live(self) -> Mapping[str, Member]:
        """The live members by name."""
        return self.members.live.value

    @property
    def interval_s(self) -> float:
        """Seconds between two batches of one shard, from the budget."""
        return self.fleet.claim_shards / self.fleet.store_writes_per_s

    @property
    def pause_s(self) -> float:
        """Seconds between looks; the fleet's reads stay within a budget."""
        return max(MAINTAIN_S, self.fleet.size / LOOKS_PER_S)

    async def run(self) -> None:
        """Takes shards over and gives them up until the end."""
        while not self.kernel.stopping.is_set():
            await self.maintain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), self.pause_s)
            self.wake.clear()

    async def maintain(self) -> None:
        """Looks at the lease rows once and does what follows from them."""
        try:
            await self.read_while_asking()
        except StoreUnavailableError:
            await self.note_outage()
            return
        self.note_reachable()
        shards = range(self.fleet.claim_shards)
        await asyncio.gather(
            *(self.take(shard) for shard in shards if self.should_take(shard))
        )
        for shard in list(self.owners):
            if self.should_hand_over(shard):
                await self.hand_over(shard)
        await self.free_left_over()
        self.acquainted = self.acquainted or self.knows_owners()

    # The store.

    async def read_while_asking(self) -> None:
        """Reads all lease rows; asks peers meanwhile if that failed before.

        A store that is silent lets each read run into its timeout. Peers
        notice at other moments than this process, and no request goes on
        before they agree, so they are asked more often than the rows are read.

        Raises:
          StoreUnavailableError: The rows can't be read.
        """
        reading = asyncio.ensure_future(self.read_rows())
        try:
            while not (self.reachable or self.outage.confirmed):
                done, _ = await asyncio.wait({reading}, timeout=ASK_PEERS_S)
                if done:
                    break
                await self.ask_peers()
            await reading
        finally:
            reading.cancel()

    async def note_outage(self) -> None:
        """Notes that the store is down, and asks peers whether it is."""
        if self.reachable:
            log.warning("Lease rows can't be read.")
        self.reachable = False
        await self.ask_peers()

    async def ask_peers(self) -> None:
        """Asks peers whether the store is down for them too."""
        await self.outage.check()
        if self.outage.confirmed:
            for owner in self.owners.values():
                owner.record_flush(FlushResult.STORE_DOWN)

    def note_reachable(self) -> None:
        """Notes that the store answers."""
        self.outage.confirmed = False
        if not self.reachable:
            self.reachable = True
            self.reachable_since = self.clock.monotonic()
            log.info("Lease rows can be read again.")

    async def read_rows(self) -> None:
        """Reads all lease rows."""
        rows = await scan_all(self.table, LEASE_PREFIX)
        for row in rows:
            self.see(int(row.key.removeprefix(LEASE_PREFIX)), row)
        present = {int(row.key.removeprefix(LEASE_PREFIX)) for row in rows}
        for shard in set(self.owners) - present:
            self.owners[shard].mark_lost()
        for shard, owner in list(self.owners.items()):
            if owner.lost:
                del self.owners[shard]

    async def refresh(self, shard: int) -> None:
        """Reads one lease row again after its owner could not be reached."""
        now = self.clock.monotonic()
        if now - self.read_at.get(shard, -REFRESH_S) < REFRESH_S:
            return
        self.read_at[shard] = now
        with contextlib.suppress(StoreUnavailableError):
            row = await self.table.get(lease_key(shard))
            self.note_reachable()
            if row is not None:
                self.see(shard, row)

    def see(self, shard: int, row: Row) -> None:
        """Takes in a lease row; gives up a shard that has another owner."""
        before = self.seen.get(shard)
        if before is not None and before.version >= row.version:
            return
        try:
            lease = decode(ShardLease, row.value)
        except UnreadableError:
            self.metrics.count("claims.lease_unreadable")
            log.error("Lease row is not readable.", shard=shard)
            return
        self.seen[shard] = Seen(lease, row.version)
        self.free_since.pop(shard, None)
        owner = self.owners.get(shard)
        if owner is not None and lease.epoch > owner.lease.epoch:
            owner.mark_lost()

    # Taking over.

    def should_take(self, shard: int) -> bool:
        """Says whether this entry is to own a shard that has no owner."""
        if shard in self.owners or self.me.state is MemberState.LEAVING:
            return False
        seen = self.seen.get(shard)
        if seen is not None and self.has_owner(seen.lease):
            self.free_since.pop(shard, None)
            return False
        if seen is not None and self.is_mine(seen.lease):
            return True
        now = self.clock.monotonic()
        free_s = now - self.free_since.setdefault(shard, now)
        return self.preferred(shard) == self.me.name or free_s >= TAKE_ANY_S

    def has_owner(self, lease: ShardLease) -> bool:
        """Says whether a lease's owner is alive, and another process.

        A lease of this very process without an owner here is left over from
        an acquisition whose answer, or whose log, could not be read.
        """
        if not lease.owner or self.is_mine(lease):
            return False
        return self.members.alive(f"{lease.owner}/{lease.incarnation}")

    def is_mine(self, lease: ShardLease) -> bool:
        """Says whether a lease names this very process."""
        mine = (self.me.name, self.me.incarnation)
        return (lease.owner, lease.incarnation) == mine

    def preferred(self, shard: int) -> str:
        """Returns the entry that should own a shard."""
        names = [member.name for member in self.members.entries()]
        return next(iter(rendezvous(f"shard-{shard}", names)), "")

    async def take(self, shard: int) -> None:
        """Takes a shard over and starts to serve it."""
        try:
            owner = await self.make_owner(shard)
        except StoreUnavailableError:
            # The lease may be ours already: it is taken again, or freed.
            log.warning("Shard's log can't be read.", shard=shard)
            self.metrics.count("claims.retry.recover")
            return
        if owner is None:
            return
        self.owners[shard] = owner
        self.kernel.spawn(owner.run())
        log.info("Shard taken.", shard=shard, epoch=owner.lease.epoch)

    async def make_owner(self, shard: int) -> ShardOwner | None:
        """Acquires a shard and reads its log; None if not obtained.

        Raises:
          StoreUnavailableError: The log can't be read.
        """
        seen = self.seen.get(shard)
        row = (
            Row(lease_key(shard), seen.version, encode(seen.lease))
            if seen
            else None
        )
        obtained = await acquire(
            self.table, shard, row, self.me.name, self.me.incarnation
        )
        if obtained is None:
            return None
        lease, version = obtained
        self.seen[shard] = Seen(lease, version)
        book, sequence = await recover(self.table, shard, self.objects)
        owner = ShardOwner(
            shard=shard,
            lease=lease,
            lease_version=version,
            table=self.table,
            clock=self.clock,
            metrics=self.metrics,
            alive=self.members.alive,
            interval_s=self.interval_s,
            outage=self.outage,
            book=book,
            next_sequence=sequence,
            compactor=await self.make_compactor(shard, lease),
        )
        if seen is not None and seen.lease.owner:
            for bill in await self.outage.collect(seen.lease.owner, shard):
                owner.enqueue_pending_bill(bill)
        return owner

    async def make_compactor(self, shard: int, lease: ShardLease) -> Compactor:
        """Returns the compactor of a shard, where its lease row left off.

        Raises:
          StoreUnavailableError: What the lease names can't be read.
        """
        compactor = Compactor(
            shard,
            self.table,
            self.objects,
            self.metrics,
            self.fleet.retention_s,
        )
        await compactor.load_history(lease)
        return compactor

    def owner_member(self, shard: int) -> Member | None:
        """Returns the live owner of a shard, as far as is known."""
        seen = self.seen.get(shard)
        if seen is None:
            return None
        member = self.live.get(seen.lease.owner)
        if member is None or member.incarnation != seen.lease.incarnation:
            return None
        return member

    def knows_owners(self) -> bool:
        """Says whether each shard has a live owner, as far as is known."""
        return all(
            shard in self.owners or self.owner_member(shard) is not None
            for shard in range(self.fleet.claim_shards)
        )

    # Giving up.

    def should_hand_over(self, shard: int) -> bool:
        """Says whether another entry should own a shard by now."""
        better = self.preferred(shard)
        if better in ("", self.me.name):
            self.better_since.pop(shard, None)
            return False
        if self.me.state is MemberState.LEAVING:
            return True
        now = self.clock.monotonic()
        return now - self.better_since.setdefault(shard, now) >= SETTLED_S

    async def hand_over(self, shard: int) -> None:
        """Gives a shard up once all that was decided is in its log."""
        owner = self.owners.get(shard)
        if owner is None:
            return
        clean = await owner.close()
        self.owners.pop(shard, None)
        self.better_since.pop(shard, None)
        if not clean:
            log.warning("Shard given up with writes open.", shard=shard)
        owner.mark_lost()
        await self.free(shard, owner.lease, owner.lease_version)

    async def free(self, shard: int, lease: ShardLease, version: int) -> None:
        """Writes that a shard has no owner, and tells the next one."""
        key = lease_key(shard)
        lease = attrs.evolve(lease, owner="", incarnation="")
        outcome = await self.table.transact(
            Transaction([Check(key, version)], [Put(key, encode(lease))])
        )
        if not isinstance(outcome, Committed):
            return  # The next look finds it left over.
        self.metrics.count("claims.handed_over")
        log.info("Shard handed over.", shard=shard)
        self.tell(shard)

    async def free_left_over(self) -> None:
        """Frees, on leaving, shards that are still in this process's name."""
        if self.me.state is not MemberState.LEAVING:
            return
        for shard, seen in list(self.seen.items()):
            if self.is_mine(seen.lease) and shard not in self.owners:
                await self.free(shard, seen.lease, seen.version)

    async def hand_over_all(self) -> None:
        """Gives up every shard, for a planned stop."""
        await asyncio.gather(*(self.hand_over(shard) for shard in self.owners))

    def tell(self, shard: int) -> None:
        """Tells the next owner of a shard that it is free."""
        member = self.live.get(self.preferred(shard))
        if member is None or member.name == self.me.name:
            return
        notice = peer_pb2.Notice(shard_free=peer_pb2.ShardFree(shard=shard))
        self.links.to(member).notify(notice)

    def take_free(self, _notice: peer_pb2.Notice) -> None:
        """Looks at the rows at once when a peer freed a shard."""
        self.wake.set()
