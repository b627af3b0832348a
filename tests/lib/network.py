"""Members on a controlled clock, over a network and a store with faults."""

import asyncio

import attrs

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
    StoreUnavailableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.serving import serve_peers
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.outcomes import NotRun
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock


@attrs.define
class Traffic:
    """What one node sent and received, as encoded."""

    messages: int = 0
    bytes: int = 0

    def add(self, message):
        self.messages += 1
        self.bytes += message.ByteSize()


class NodeClock:
    """The clock of a node that may be frozen."""

    def __init__(self, node):
        self.node = node

    def monotonic(self):
        return self.node.network.clock.monotonic()

    def time(self):
        return self.node.network.clock.time()

    async def sleep(self, seconds):
        await self.node.network.clock.sleep(seconds)
        await self.node.awake.wait()


class NodeTable:
    """The store as one node reaches it."""

    def __init__(self, node):
        self.node = node
        self.reads = 0
        self.writes = 0
        self.bytes = 0

    def down(self):
        network = self.node.network
        return network.store_down or self.node.name in network.no_store

    async def read(self, call):
        await self.node.awake.wait()
        if self.down():
            raise StoreUnavailableError("down")
        self.reads += 1
        found = await call()
        rows = found if isinstance(found, list) else [found]
        self.bytes += sum(len(row.value) for row in rows if row)
        return found

    async def get(self, key):
        return await self.read(lambda: self.node.network.table.get(key))

    async def scan(self, prefix, after="", limit=500):
        return await self.read(
            lambda: self.node.network.table.scan(prefix, after, limit)
        )

    async def transact(self, transaction):
        await self.node.awake.wait()
        if self.down():
            return NotRun("down")
        self.writes += 1
        self.bytes += sum(len(put.value) for put in transaction.puts)
        return await self.node.network.table.transact(transaction)


class NodeLink:
    """A link from one node to an address."""

    def __init__(self, node, member):
        self.node = node
        self.network = node.network
        self.member = member

    def target(self):
        return self.network.nodes.get(self.member.peer_port)

    async def call(self, call, timeout_s):
        target = self.target()
        self.node.traffic.add(call)
        if not self.network.passes(self.node, target) or not target.is_awake:
            await self.network.clock.sleep(timeout_s)
            raise PeerUnavailableError("silent")
        if target.dead:
            raise PeerRefusedError("refused")
        target.traffic.add(call)
        handler = target.server.calls[call.WhichOneof("body")]
        asking = asyncio.create_task(handler(call))
        limit = asyncio.create_task(self.network.clock.sleep(timeout_s))
        await asyncio.wait({asking, limit}, return_when=asyncio.FIRST_COMPLETED)
        limit.cancel()
        if not asking.done():
            raise PeerUnavailableError("late")
        reply = asking.result()
        target.traffic.add(reply)
        self.node.traffic.add(reply)
        return reply

    def notify(self, notice):
        copy = peer_pb2.Notice.FromString(notice.SerializeToString())
        target = self.target()
        self.node.traffic.add(notice)
        if notice.WhichOneof("body") in self.network.lost_notices:
            return
        if not self.network.passes(self.node, target) or target.dead:
            return
        target.traffic.add(notice)
        if target.is_awake:
            asyncio.get_running_loop().call_soon(target.take, copy)
        else:
            target.inbox.append(copy)


class NodeLinks:
    """The links of one node."""

    def __init__(self, node):
        self.node = node

    def to(self, member):
        return NodeLink(self.node, member)

    def retain(self, addresses):
        pass


class Node:
    """One process: real membership over fakes."""

    def __init__(self, network, name, port, role):
        self.network = network
        self.name = name
        self.dead = False
        self.awake = asyncio.Event()
        self.awake.set()
        self.inbox = []
        self.traffic = Traffic()
        self.metrics = Metrics()
        self.table = NodeTable(self)
        self.server = PeerServer()
        self.kernel = Kernel()
        me = Member(
            name=name,
            incarnation=f"{name}-{port}",
            role=role,
            domain="a",
            region="r",
            caller_url=f"http://10.0.0.1:{port}",
            peer_host="10.0.0.1",
            peer_port=port,
        )
        self.members = Members(
            me, self.table, NodeClock(self), NodeLinks(self), self.metrics
        )
        serve_peers(self.members, self.server)

    @property
    def is_awake(self):
        return self.awake.is_set()

    @property
    def sees(self):
        return set(self.members.live.value)

    @property
    def lists(self):
        return {member.name for member in self.members.entries()}

    @property
    def identity(self):
        return f"{self.members.me.name}/{self.members.me.incarnation}"

    def take(self, notice):
        self.server.handle_notice(notice)

    async def start(self):
        await self.members.step()
        self.kernel.spawn(self.members.run(self.kernel))

    async def kill(self):
        self.dead = True
        self.kernel.stopping.set()
        for task in list(self.kernel.tasks):
            task.cancel()

    def freeze(self):
        self.awake.clear()

    def thaw(self):
        self.awake.set()
        inbox, self.inbox = self.inbox, []
        for notice in inbox:
            self.take(notice)


class Network:
    """Nodes, the store between them, and what is cut."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.nodes = {}
        self.store_down = False
        self.no_store = set()
        self.cuts = set()
        self.lost_notices = set()  # Kinds that get lost.

    def passes(self, sender, target):
        if target is None or not sender.is_awake:
            return False
        pair = frozenset((sender.name, target.name))
        return pair not in self.cuts

    def cut_off(self, node):
        """Cuts a node from all others."""
        for other in self.nodes.values():
            self.cuts.add(frozenset((node.name, other.name)))

    async def start(self, name, role=Role.ENTRY):
        port = len(self.nodes) + 1
        node = self.nodes[port] = Node(self, name, port, role)
        await node.start()
        return node

    async def stop(self):
        for node in self.nodes.values():
            await node.kill()
