"""A simulated fleet in one process, on a clock that the test advances.

The nodes run the real code that follows, checks, broadcasts and tracks
revisions. They share a store. Nodes can be partitioned from it and from peers.
"""

import asyncio
import random
import types
import uuid

from reactivex.subject import BehaviorSubject

from rattanpier._internal.configuration.broadcast import RevisionBroadcaster
from rattanpier._internal.configuration.currency import Currency
from rattanpier._internal.configuration.follow import (
    Follower,
    poll_interval_s,
)
from rattanpier._internal.configuration.inforce import InForceTracker
from rattanpier._internal.configuration.store import (
    Accepted,
    Revision,
    propose,
    read_head,
)
from rattanpier._internal.exceptions import (
    PeerUnavailableError,
    StoreUnavailableError,
)
from rattanpier._internal.models.member import Member, Role, member_key
from rattanpier._internal.models.outcomes import Committed, NotRun
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.store.table import Put, Transaction
from rattanpier._internal.utils.codec import encode
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock

TICK_S = 0.25


class PartitionableTable:
    """A node's connection to the shared store, which can be interrupted."""

    def __init__(self, table):
        self.table = table
        self.partitioned = False

    def raise_if_partitioned(self):
        if self.partitioned:
            raise StoreUnavailableError("cut off")

    async def get(self, key):
        self.raise_if_partitioned()
        return await self.table.get(key)

    async def scan(self, prefix, after="", limit=500):
        self.raise_if_partitioned()
        return await self.table.scan(prefix, after, limit)

    async def transact(self, transaction):
        if self.partitioned:
            return NotRun("cut off")
        return await self.table.transact(transaction)


class Node:
    """One process. `start` also restarts it, which loses all its state."""

    def __init__(self, fleet, name, role):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.table = PartitionableTable(fleet.table)
        self.frozen = False
        self.partition = 0  # Peers reach each other within one only.
        self.next_poll = 0.0

    @property
    def isolated(self):
        return self.partition == self.name

    @isolated.setter
    def isolated(self, value):
        self.partition = self.name if value else 0

    async def start(self):
        me = Member(
            self.name, uuid.uuid4().hex, self.role, "a", "r", "", self.name, 0
        )
        self.members = types.SimpleNamespace(me=me, live=self.fleet.live)
        self.fleet.live.on_next({**self.fleet.live.value, self.name: me})
        clock, metrics = self.fleet.clock, Metrics()
        self.follower = Follower(self.table, clock, me=me)
        links = types.SimpleNamespace(
            to=lambda member: FakeLink(self, self.fleet.nodes[member.name])
        )
        self.currency = Currency(
            self.follower,
            self.members,
            links,
            clock,
            metrics,
            random.Random(self.name),
        )
        self.broadcaster = RevisionBroadcaster(
            self.follower, self.members, links, metrics
        )
        self.inforce = InForceTracker(
            self.table,
            clock,
            self.follower,
            self.members,
            self.broadcaster,
            metrics,
            clock.monotonic(),
        )
        self.registered = False
        await self.register()
        await self.follower.poll()

    async def register(self):
        """Writes the member row, as a process does until it succeeds."""
        put = Put(member_key(self.name), encode(self.members.me))
        outcome = await self.table.transact(Transaction(puts=[put]))
        self.registered = isinstance(outcome, Committed)

    async def tick(self):
        if self.frozen:
            return
        if not self.registered:
            await self.register()
        now = self.fleet.clock.monotonic()
        if now >= self.next_poll:
            await self.follower.poll()
            fleet = self.follower.configuration.fleet
            self.next_poll = now + poll_interval_s(fleet)
        await self.currency.query_peers()
        self.inforce.record_live_members()
        propagation = self.inforce.propagation
        if propagation and not self.inforce.progress.value.in_force:
            await self.inforce.step(propagation)

    async def propose(self, text):
        """Proposes a text as the next revision; returns whether accepted."""
        try:
            revision = await read_head(self.table) + 1
            change = Revision(revision, text, self.name, uuid.uuid4().hex, 0.0)
            outcome = await propose(self.table, change)
        except StoreUnavailableError:
            return False
        if outcome != Accepted(revision):
            return False
        self.inforce.begin(change)
        return True

    def serving_revision(self):
        """Returns the revision in use for new work, None if it is refused."""
        if self.frozen or not self.currency.is_current():
            return None
        return self.follower.revision


class FakeLink:
    """Delivers a call to another node, unless they are partitioned."""

    def __init__(self, sender, receiver):
        self.sender = sender
        self.receiver = receiver

    async def call(self, call, _timeout_s):
        receiver = self.receiver
        if receiver.frozen or receiver.partition != self.sender.partition:
            raise PeerUnavailableError("cut off")
        handlers = {
            "currency": receiver.currency.serve,
            "config_push": receiver.broadcaster.serve,
        }
        return await handlers[call.WhichOneof("body")](call)


class Fleet:
    """Entries and one control process that share a store."""

    def __init__(self, entries=5, size=5, validity_s=4.0):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.live = BehaviorSubject({})
        self.reported = 0
        self.text = f"[fleet]\nsize = {size}\nvalidity_s = {validity_s}\n"
        names = [f"entry-{number}" for number in range(entries)]
        self.nodes = {name: Node(self, name, Role.ENTRY) for name in names}
        self.nodes["control"] = Node(self, "control", Role.CONTROL)

    @property
    def control(self):
        return self.nodes["control"]

    @property
    def entries(self):
        return [n for n in self.nodes.values() if n.role is Role.ENTRY]

    async def start(self):
        await propose(self.table, Revision(1, self.text, "t", "first", 0.0))
        for node in self.nodes.values():
            await node.start()
        await self.run(1.0)
        return self

    async def run(self, seconds):
        """Advances the clock and runs all nodes."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            for node in self.nodes.values():
                await node.tick()
            await asyncio.sleep(0)
            self.clock.now += TICK_S

    def in_force(self):
        """Returns the newest revision that was ever reported in force."""
        found = self.control.inforce.progress.value
        if found.in_force:
            self.reported = max(self.reported, found.revision)
        return self.reported
