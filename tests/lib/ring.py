"""Simulated ring of entries in one process, in virtual time.

Messages are encoded and decoded as on the wire, and counted per sender.
"""

import asyncio
import collections
import random

import attrs

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
)
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.rollout_order import RolloutOrder
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.placement.brittle_workers import BrittleWorkers
from rattanpier._internal.placement.drained_domains import DrainedDomains
from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.placement.shared_rates import SharedRates
from rattanpier._internal.relay.broadcast import Broadcaster
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.fleet import EntryState, Fleet
from rattanpier._internal.relay.gossip import HEARTBEAT_INTERVAL_S, Gossip
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.shared_state import SharedState
from rattanpier._internal.relay.snapshots import Snapshots
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.virtual import LoopClock

DOMAINS = 6
LATENCY_S = 0.001  # Of a message between two entries.


@attrs.define
class Sent:
    """Traffic that one entry sent."""

    messages: int = 0
    bytes: int = 0
    peers: set = attrs.Factory(set)


class RingLink:
    """A simulated connection from one entry to another."""

    def __init__(self, ring, sender, target):
        self.ring = ring
        self.sender = sender
        self.target = target

    async def call(self, call, timeout_s):
        entry = self.ring.deliver(self.sender, self.target, call)
        if entry is None:
            await asyncio.sleep(timeout_s)
            raise PeerUnavailableError("silent")
        if entry.dead:
            raise PeerRefusedError("refused")
        await asyncio.sleep(LATENCY_S)
        received = peer_pb2.Call.FromString(call.SerializeToString())
        reply = await entry.calls()[received.WhichOneof("body")](received)
        self.ring.count(self.target, self.sender, reply)
        await asyncio.sleep(LATENCY_S)
        return peer_pb2.Reply.FromString(reply.SerializeToString())

    def notify(self, notice):
        entry = self.ring.deliver(self.sender, self.target, notice)
        if entry is None or entry.dead:
            return
        received = peer_pb2.Notice.FromString(notice.SerializeToString())
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, entry.broadcaster.handle_notice, received)


@attrs.define
class RingLinks:
    """The simulated connections of one entry."""

    ring: object
    sender: str

    def to(self, member):
        return RingLink(self.ring, self.sender, member.name)


@attrs.define(eq=False)
class Entry:
    """The parts of an entry that communicate with its peers."""

    fleet: Fleet
    broadcaster: Broadcaster
    gossip: Gossip
    dead: bool = False
    received: collections.Counter = attrs.Factory(collections.Counter)

    def calls(self):
        return {
            "beat": self.gossip.serve_beat,
            "summary": self.gossip.serve_summary,
            "spread": self.broadcaster.serve,
            "report": self.gossip.serve_report,
        }

    def record_notice(self, message):
        self.received[message.packed] += 1


@attrs.define
class Ring:
    """All entries and the simulated network between them.

    Attributes:
      loss_ratio: Probability that a message is lost.
      partitioned: Names of entries without network.
    """

    clock: LoopClock = attrs.Factory(LoopClock)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    entries: dict = attrs.Factory(dict)
    sent: dict = attrs.Factory(lambda: collections.defaultdict(Sent))
    loss_ratio: float = 0.0
    partitioned: set = attrs.Factory(set)

    def add(self, number):
        """Adds an entry that knows no other entry."""
        member = make_member(number)
        fleet = Fleet(EntryState(member, 1.0, ready=True), self.clock)
        links = RingLinks(self, member.name)
        broadcaster = Broadcaster(fleet, links)
        gossip = Gossip(
            fleet=fleet,
            shared_state=SharedState(
                Rollouts(ExposureBound(0.1, 30.0), 5.0, self.clock),
                Quarantine(self.clock),
                DrainedDomains(),
                RateLimits(SharedRates(fleet, self.clock), self.clock),
                BrittleWorkers(
                    fleet, self.clock, lambda _service: (), lambda _worker: 0
                ),
                WorkerDirectory(self.clock),
                StoreHistory(self.clock, Metrics()),
            ),
            links=links,
            broadcaster=broadcaster,
            clock=self.clock,
            seeds=(),
            snapshots=Snapshots(
                fleet=fleet,
                links=links,
                clock=self.clock,
                needed=lambda: False,
                build=lambda: None,
                restore=lambda _snapshot, _peer: None,
            ),
            refresh_own_state=lambda: False,
        )
        gossip.shared_state.quarantine.on_update = (
            gossip.schedule_quarantine_broadcast
        )
        gossip.shared_state.limits.publish = gossip.broadcast_limit
        gossip.shared_state.rollouts.on_stopped = gossip.broadcast_stop
        gossip.shared_state.directory.broadcast_leaving = (
            gossip.broadcast_leaving
        )
        entry = Entry(fleet, broadcaster, gossip)
        broadcaster.handlers["rumors"] = gossip.receive_rumors
        broadcaster.handlers["queue_news"] = entry.record_notice
        self.entries[member.name] = entry
        return entry

    def deliver(self, sender, target, message):
        """Counts a message; returns its recipient, or None if it is lost."""
        self.count(sender, target, message)
        if {
            sender,
            target,
        } & self.partitioned or self.rng.random() < self.loss_ratio:
            return None
        return self.entries[target]

    def count(self, sender, target, message):
        sent = self.sent[sender]
        sent.messages += 1
        sent.bytes += message.ByteSize()
        sent.peers.add(target)

    def live(self):
        return [each for each in self.entries.values() if not each.dead]

    async def run_rounds(self, count):
        """Runs all live entries for some rounds, each with its own offset."""
        running = [
            asyncio.ensure_future(self.run_entry(entry))
            for entry in self.live()
            if entry.fleet.me.member.name not in self.partitioned
        ]
        await asyncio.sleep(count * HEARTBEAT_INTERVAL_S)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def run_entry(self, entry):
        await asyncio.sleep(self.rng.uniform(0.0, 0.8 * HEARTBEAT_INTERVAL_S))
        await entry.gossip.run()

    def share_knowing(self, name, state):
        """Returns the share of live peers whose view of an entry matches."""
        others = [
            each
            for each in self.live()
            if each.fleet.me.member.name not in {name, *self.partitioned}
        ]
        known = sum(
            state(each.fleet.peers[name])
            for each in others
            if name in each.fleet.peers
        )
        return known / len(others)

    def reset_sent(self):
        self.sent.clear()

    def connections(self):
        """Returns the largest number of peers that one entry sent to."""
        return max(len(sent.peers) for sent in self.sent.values())

    def max_and_mean(self, field):
        """Returns the maximum and the mean over the entries."""
        values = [getattr(sent, field) for sent in self.sent.values()]
        return max(values), sum(values) / len(self.entries)


def make_member(number):
    name = f"e{number:03}"
    domain = f"d{number % DOMAINS}"
    return Member(name, f"i{number}", Role.ENTRY, domain, "r", name, "h", 1)


def make_ring(count, knowing=True):
    """Makes a ring of entries that know each other, or none."""
    ring = Ring()
    for number in range(count):
        ring.add(number)
    if knowing:
        states = [entry.fleet.me for entry in ring.entries.values()]
        for entry in ring.entries.values():
            entry.fleet.apply_states(
                each for each in states if each is not entry.fleet.me
            )
            entry.gossip.compared_at = 0.0
            entry.gossip.published = entry.gossip.shared_state.full_update(
                [entry.fleet.me]
            )
    return ring


ORDER = RolloutOrder(7, "s", "v2", 24.0)
