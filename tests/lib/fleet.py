"""Simulates the claims of several entries in one process, with faults.

Time is virtual. Each node accesses the table, its peers and the clock through a
gate, which is closed while the node is frozen. Executions, released answers and
bills are counted.
"""

import asyncio
import collections
import random

import attrs
from reactivex.subject import BehaviorSubject

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import (
    Answer,
    Batch,
    Bill,
    ClaimResult,
    SettleOp,
)
from rattanpier._internal.claims.service import UNAVAILABLE, Claims
from rattanpier._internal.exceptions import (
    PeerUnavailableError,
    StoreUnavailableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import Member, MemberState, Role
from rattanpier._internal.models.outcomes import (
    ClaimOutcome,
    NotRun,
    SettleOutcome,
    Uncertain,
)
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.codec import decode
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.virtual import LoopClock

TABLE_S = 0.003
PEER_S = 0.001
TIMEOUT_S = 2.0
DETECTION_S = 3.0
RUN_S = 0.05
DOMAINS = ("a", "b", "c")


class Gate:
    """Blocks a node's work while it is frozen or killed."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()
        self.killed = False

    async def passed(self):
        while not self.open.is_set():
            await self.open.wait()


class NodeClock(LoopClock):
    def __init__(self, gate):
        self.gate = gate

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)
        await self.gate.passed()


@attrs.define
class TableFaults:
    """Faults: `down` refuses, `silent` never answers; shares of writes."""

    down: bool = False
    silent: bool = False
    lost: float = 0.0  # Takes effect, but the answer is lost.
    dropped: float = 0.0  # Has no effect and gets no answer.
    delayed: float = 0.0  # Takes effect seconds after its timeout.
    delay_s: float = 0.0


class NodeTable:
    """The table as one node reaches it."""

    def __init__(self, fleet, gate):
        self.fleet = fleet
        self.gate = gate
        self.cut = False  # Only this node can't reach the table.

    async def get(self, key):
        return await self.read(lambda: self.fleet.table.get(key))

    async def scan(self, prefix, after="", limit=500):
        return await self.read(
            lambda: self.fleet.table.scan(prefix, after, limit)
        )

    async def read(self, work):
        await self.gate.passed()
        faults = self.fleet.faults
        await asyncio.sleep(TABLE_S + faults.delay_s)
        if faults.silent:
            await asyncio.sleep(TIMEOUT_S)
        if faults.down or faults.silent or self.cut:
            await self.gate.passed()
            raise StoreUnavailableError("down")
        found = await work()
        await asyncio.sleep(TABLE_S)
        await self.gate.passed()
        return found

    async def transact(self, transaction):
        await self.gate.passed()
        outcome = await self.write(transaction)
        await self.gate.passed()
        return outcome

    async def write(self, transaction):
        faults = self.fleet.faults
        await asyncio.sleep(TABLE_S + faults.delay_s)
        if faults.down or self.cut:
            return NotRun("down")
        draw = self.fleet.rng.random()
        if faults.silent or draw < faults.dropped:
            await asyncio.sleep(TIMEOUT_S)
            return Uncertain("no answer")
        draw -= faults.dropped
        if draw < faults.delayed:
            self.fleet.spawn(self.apply_late(transaction))
            await asyncio.sleep(TIMEOUT_S)
            return Uncertain("no answer")
        outcome = await self.fleet.table.transact(transaction)
        if draw - faults.delayed < faults.lost:
            return Uncertain("answer lost")
        await asyncio.sleep(TABLE_S)
        return outcome

    async def apply_late(self, transaction):
        await asyncio.sleep(TIMEOUT_S + self.fleet.rng.uniform(0, 6))
        await self.fleet.table.transact(transaction)


class NodeLink:
    """A link to a peer."""

    def __init__(self, fleet, me, peer):
        self.fleet = fleet
        self.me = me
        self.peer = peer

    async def call(self, call, timeout_s):
        call = peer_pb2.Call.FromString(call.SerializeToString())
        work = self.fleet.spawn(self.deliver(call))
        try:
            reply = await asyncio.wait_for(asyncio.shield(work), timeout_s)
        except TimeoutError as error:
            await self.me.gate.passed()
            raise PeerUnavailableError("no reply") from error
        await self.me.gate.passed()
        if reply is None or reply.WhichOneof("body") == "failure":
            raise PeerUnavailableError("failed")
        return reply

    async def deliver(self, call):
        await asyncio.sleep(PEER_S)
        peer = self.fleet.nodes.get(self.peer.name)
        if peer is None or peer.member.incarnation != self.peer.incarnation:
            return None
        if peer.gate.killed:
            return None
        await peer.gate.passed()
        outgoing = asyncio.Queue()
        await peer.server.answer(call, outgoing)
        await peer.gate.passed()
        await asyncio.sleep(PEER_S)
        return outgoing.get_nowait()

    def notify(self, notice):
        peer = self.fleet.nodes.get(self.peer.name)
        if peer is not None and peer.gate.open.is_set():
            peer.server.handle_notice(notice)


class NodeLinks:
    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me

    def to(self, member):
        return NodeLink(self.fleet, self.me, member)


class NodeMembers:
    """The live members as one node sees them; outages remove none."""

    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me
        self.live = BehaviorSubject({me.name: me})

    def look(self):
        live = {
            node.member.name: node.members.me
            for node in self.fleet.nodes.values()
            if node.is_believed_alive()
        }
        live[self.me.name] = self.me
        if live != self.live.value:
            self.live.on_next(live)

    def alive(self, holder):
        name, incarnation, *_ = holder.split("/")
        member = self.live.value.get(name)
        return member is not None and member.incarnation == incarnation

    def entries(self):
        return [
            member
            for member in self.live.value.values()
            if member.state is MemberState.LIVE
        ]


class Node:
    """One entry: its claims, and a minimal replacement for the rest."""

    def __init__(self, fleet, name, number):
        self.fleet = fleet
        self.gate = Gate()
        self.member = Member(
            name,
            f"i{number}",
            Role.ENTRY,
            fleet.domains[number % len(fleet.domains)],
            "r",
            "",
            "127.0.0.1",
            number,
        )
        self.table = NodeTable(fleet, self.gate)
        self.clock = NodeClock(self.gate)
        self.kernel = Kernel()
        self.server = PeerServer()
        self.metrics = Metrics()
        self.members = NodeMembers(fleet, self.member)
        self.frozen_at = None
        self.asks = 0
        self.claims = Claims(
            self.member,
            fleet.sizes,
            self.table,
            self.clock,
            self.metrics,
            self.members,
            NodeLinks(fleet, self),
            self.kernel,
        )
        for kind in ("claim", "settle", "lookup"):
            self.server.on_call(kind, self.claims.serve_call)
        self.server.on_call("hold", self.claims.serve_hold)
        self.server.on_notice("shard_free", self.claims.ownership.on_shard_free)
        self.kernel.spawn(self.claims.run())
        self.kernel.spawn(self.watch())

    async def watch(self):
        while True:
            self.members.look()
            await self.clock.sleep(0.25)

    def is_believed_alive(self):
        if self.table.cut:
            return self.fleet.now() - self.frozen_at < DETECTION_S
        if self.gate.open.is_set():
            return True
        if self.fleet.faults.down or self.fleet.faults.silent:
            return True
        return self.fleet.now() - self.frozen_at < DETECTION_S

    def freeze(self):
        self.frozen_at = self.fleet.now()
        self.gate.open.clear()

    def thaw(self):
        if not self.gate.killed:
            self.gate.open.set()

    def cut_store(self):
        self.frozen_at = self.fleet.now()
        self.table.cut = True

    def kill(self):
        self.freeze()
        self.gate.killed = True

    async def answer(self, key, idempotent=True):
        """Handles one request as an entry does; returns the caller's result."""
        self.asks += 1
        holder = f"{self.member.name}/{self.member.incarnation}/{self.asks}"
        ask = Ask("desk", key, holder, idempotent, "digest")
        reply = await self.claims.claim(ask, 8.0)
        await self.gate.passed()
        if reply.outcome is ClaimOutcome.UNAVAILABLE:
            self.claims.disown(ask, ClaimResult.RELEASED)
        if reply.outcome is not ClaimOutcome.GRANTED:
            if reply.not_run and self.fleet.runs[key]:
                self.fleet.false_not_run.add(key)
            return reply
        self.fleet.runs[key] += 1
        await self.clock.sleep(RUN_S)
        text = f"{key} by {holder}"
        op = SettleOp(
            "desk",
            key,
            reply.attempt,
            ClaimResult.ANSWERED,
            Bill("desk", key, "small@1", 1, 1, 1.0),
            Answer(200, "text/plain", text, "small@1"),
        )
        outcome = await self.claims.settle(op, holder, 8.0)
        await self.gate.passed()
        if outcome is SettleOutcome.SETTLED:
            self.fleet.released[key].append(text)
            return text
        if outcome is SettleOutcome.UNAVAILABLE:
            result = ClaimResult.RELEASED if idempotent else ClaimResult.UNKNOWN
            self.claims.disown(ask, result)
        return UNAVAILABLE


class FleetOfNodes:
    """Nodes that share one table.

    Attributes:
      runs: Dispatches by key.
      released: Complete answers given to callers, by key.
      false_not_run: Keys refused as "not run" although they had run.
    """

    def __init__(
        self, count=3, shards=4, seed=1, domains=DOMAINS, writes_per_s=80.0
    ):
        self.rng = random.Random(seed)
        self.domains = domains
        self.sizes = Fleet(
            size=count, claim_shards=shards, store_writes_per_s=writes_per_s
        )
        self.table = MemoryTable()
        self.faults = TableFaults()
        self.nodes = {}
        self.started = 0
        self.tasks = set()
        self.runs = collections.Counter()
        self.false_not_run = set()
        self.released = collections.defaultdict(list)
        for number in range(count):
            self.start(f"entry-{number}")

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def start(self, name):
        self.nodes[name] = Node(self, name, self.started)
        self.started += 1
        return self.nodes[name]

    def working(self):
        return [node for node in self.nodes.values() if node.gate.open.is_set()]

    def owner_of(self, key):
        """Returns the node that considers itself owner of a key's shard."""
        for node in self.nodes.values():
            shard = node.claims.shard_of("desk", key)
            owner = node.claims.ownership.owners.get(shard)
            if owner is not None and not owner.not_serving:
                return node
        return None

    async def settled(self, limit_s=60.0):
        """Waits until each shard has an owner."""
        end = self.now() + limit_s
        while self.now() < end:
            owned = collections.Counter(
                shard
                for node in self.working()
                for shard, owner in node.claims.ownership.owners.items()
                if not owner.not_serving
            )
            if len(owned) == self.sizes.claim_shards:
                await asyncio.sleep(1.0)  # Until each node has read the rows.
                return
            await asyncio.sleep(0.1)
        raise AssertionError("shards have no owner")

    def bills(self):
        """Returns the number of bills by key, computed from the log rows."""
        found = collections.Counter()
        claims = {}
        for row in self.table.rows.values():
            if not row.key.startswith("claims/"):
                continue
            for op in decode(Batch, row.value).ops:
                attempt, result = claims.get(op.key, (0, None))
                if not isinstance(op, SettleOp):
                    if op.attempt > attempt and result != "answered":
                        claims[op.key] = (op.attempt, "running")
                elif op.attempt == attempt and result == "running":
                    claims[op.key] = (attempt, op.result.value)
                    if op.bill is not None:
                        found[op.key] += 1
        return found


@attrs.define
class Count:
    """Results of a number of requests."""

    asked: int = 0
    lost: int = 0
    doubled: int = 0
    misbilled: int = 0
    rerun: int = 0
    false_not_run: int = 0


async def call_until_answered(fleet, key, idempotent, limit_s=60.0):
    """Repeats a request with its key through any entry until answered."""
    end = fleet.now() + limit_s
    while fleet.now() < end:
        nodes = fleet.working()
        if not nodes:
            await asyncio.sleep(0.5)
            continue
        node = fleet.rng.choice(nodes)
        work = fleet.spawn(node.answer(key, idempotent))
        done, _pending = await asyncio.wait({work}, timeout=10.0)
        if done:
            result = work.result()
            if isinstance(result, str):
                return result
            if result.outcome is ClaimOutcome.ANSWERED:
                return result.answer.body
            if result.outcome is ClaimOutcome.UNKNOWN:
                return None
        await asyncio.sleep(fleet.rng.uniform(0.3, 1.0))
    return None


def count_results(fleet, answers, idempotent):
    """Compares callers' answers with executions and bills."""
    bills = fleet.bills()
    count = Count(asked=len(answers))
    count.false_not_run = len(fleet.false_not_run)
    for key, answer in answers.items():
        released = set(fleet.released[key])
        if idempotent and answer is None:
            count.lost += 1
        if len(released | ({answer} - {None})) > 1:
            count.doubled += 1
        if bills[key] > 1 or (released and bills[key] != 1):
            count.misbilled += 1
        if not idempotent and fleet.runs[key] > 1:
            count.rerun += 1
    return count


async def load(fleet, requests, faults, idempotent=True, gap_s=0.1):
    """Sends requests while faults happen; returns the count."""
    await fleet.settled()
    fault = fleet.spawn(faults(fleet))
    answers = {}

    async def one(key):
        answers[key] = await call_until_answered(fleet, key, idempotent)

    callers = []
    for number in range(requests):
        callers.append(fleet.spawn(one(f"k{number}")))
        if number % 5 == 0:
            # The same key concurrently, possibly through another entry.
            callers.append(fleet.spawn(one(f"k{number}")))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*callers)
    await fault
    await asyncio.sleep(
        30.0
    )  # Late writes arrive and kept records are flushed.
    return count_results(fleet, answers, idempotent)
