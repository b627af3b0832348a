"""Gossip between entries: failure detection, updates and anti-entropy.

Each entry probes two others, whatever the size of the fleet. The entry that
makes or detects a change broadcasts it at once, see `broadcast`. Updates that
get lost are repaired pairwise: each entry compares its digest with that of a
few peers in turn and, if the digests keep differing, exchanges the states that
either side lacks. Evidence on new versions is sent only to the entry that
drives roll-outs, and before the last step to its backups.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.relay_settings import Address
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.broadcast import Broadcaster, split_segment
from rattanpier._internal.relay.evidence import Evidence
from rattanpier._internal.relay.fleet import EntryState, Fleet
from rattanpier._internal.relay.shared_state import SharedState
from rattanpier._internal.relay.snapshots import Snapshots
from rattanpier._internal.relay.updates import (
    KnownStates,
    StateDiff,
    StateUpdate,
)
from rattanpier._internal.relay.watch import (
    TableFollower,
    TableUpdate,
    pack_update,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode, pack, unpack
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="fleet")

HEARTBEAT_INTERVAL_S = 0.5
# Peers answer within a few ms. Shorter than the interval between rounds.
CALL_TIMEOUT_S = 0.45
# A single call may be lost, or the peer may be busy for a moment.
PROBE_ATTEMPTS = 2
# Allows for the states of hundreds of entries over a slow link.
COMPARE_TIMEOUT_S = 1.0
# After any change, digests differ until the broadcast has reached all entries,
# some ten ms. Only a lasting difference justifies the bytes of a comparison.
MISMATCHES_TO_COMPARE = 2
# Every second round, one distant entry is asked for its digest, so that an
# entry receives an update that it missed within about two seconds.
ROUNDS_PER_DISTANT_PROBE = 2
# If all entries start or change at once, digests differ for seconds, and a
# comparison in which one side lacks all states takes both sides some ten ms.
MIN_COMPARE_INTERVAL_S = 1.0
# Evidence that the driver of roll-outs receives in a round, in a large fleet.
MAX_REPORTS_PER_ROUND = 160
# Entries beside the driver that receive evidence before the last step of a
# roll-out, so that they can take it if the driver loses the store.
BACKUP_RECEIVERS = 2
# Worker crashes within this time are broadcast together. Much shorter than the
# time in which a request moves on from one worker to the next.
QUARANTINE_BATCH_DELAY_S = 0.01


@attrs.define(eq=False, repr=False)
class Gossip:
    """Exchanges heartbeats and state updates with the other entries.

    Attributes:
      fleet: Known states of all entries.
      shared_state: State, other than that of entries, that all entries share.
      links: Connections to the peers.
      broadcaster: Sends messages to all peers.
      clock: Source of monotonic time.
      seeds: Addresses to contact while no other entry is known.
      snapshots: Fetches state from peers while the store is unreachable.
      refresh_own_state: Updates this entry's own state; returns whether it
        changed.
      followers: Followers of the store's tables, by table name; they receive
        the pages that watchers read.
      published: The last broadcast update, used to broadcast only changes.
      compared_at: Monotonic time of the last comparison that this entry
        started, in seconds.
      digest_mismatches: Consecutive peer digests that differed from this
        entry's digest.
      round_count: Rounds that were started.
      reported: Evidence that was last sent, by the name of its receiver.
      quarantine_timer: Pending broadcast of batched quarantine updates.
    """

    fleet: Fleet
    shared_state: SharedState
    links: Links
    broadcaster: Broadcaster
    clock: Clock
    seeds: tuple[Address, ...]
    snapshots: Snapshots
    refresh_own_state: Callable[[], bool]
    followers: dict[str, TableFollower] = attrs.Factory(dict)
    published: StateUpdate = attrs.Factory(StateUpdate)
    compared_at: float = float("-inf")
    digest_mismatches: int = 0
    round_count: int = 0
    reported: dict[str, Evidence] = attrs.Factory(dict)
    quarantine_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        while True:
            if not await self.round():
                await self.clock.sleep(HEARTBEAT_INTERVAL_S)

    async def round(self) -> bool:
        """Probes the neighbours and broadcasts local changes.

        Returns:
          Whether an entry was found down. The entries next to it may be down
          too, so the next round should start at once.
        """
        self.fleet.forget_down()
        self.fleet.log_changes()
        self.broadcast_changes()
        self.round_count += 1
        lost = await asyncio.gather(
            *(self.probe(state) for state in self.fleet.probe_targets()),
            self.report_evidence(),
            self.probe_distant_entry(),
        )
        if len(self.fleet.live()) == 1:
            await self.join()
        covered = all(each.is_up_to_date() for each in self.followers.values())
        if not covered or self.shared_state.has_older_table():
            await self.snapshots.request_if_needed()
        return any(lost)

    # Failure detection.

    async def probe(self, state: EntryState) -> bool:
        """Probes one entry; returns whether it was newly found down."""
        name = state.member.name
        reason = "calls time out"
        for _ in range(PROBE_ATTEMPTS):
            try:
                await self.exchange_heartbeat(state)
            except PeerRefusedError:
                reason = "no process listens"
                break
            except PeerUnavailableError:
                continue
            return False
        return self.report_down(name, reason)

    async def exchange_heartbeat(self, state: EntryState) -> None:
        """Exchanges heartbeats with an entry; compares states if needed.

        Args:
          state: Last known state of the entry.

        Raises:
          PeerRefusedError: No process listens at the entry's address.
          PeerUnavailableError: The entry did not answer in time.
        """
        call = peer_pb2.Call(beat=self.build_beat(state.down))
        reply = await self.links.to(state.member).call(call, CALL_TIMEOUT_S)
        self.fleet.record_joined()
        self.shared_state.history.record_era(reply.beat.store_era, "peer")
        if reply.beat.digest == self.digest():
            self.digest_mismatches = 0
            return
        self.digest_mismatches += 1
        if self.should_compare():
            self.digest_mismatches = 0
            self.compared_at = self.clock.monotonic()
            await self.compare(state.member)

    def should_compare(self) -> bool:
        """Returns whether the digest mismatch warrants a comparison now."""
        since_s = self.clock.monotonic() - self.compared_at
        if math.isinf(since_s):
            # Just started: peers are known only from rows that may be stale.
            return True
        lasts = self.digest_mismatches >= MISMATCHES_TO_COMPARE
        return lasts and since_s >= MIN_COMPARE_INTERVAL_S

    def build_beat(self, believed_down: bool) -> peer_pb2.Beat:
        """Returns the heartbeat message that is sent with each probe."""
        me = self.fleet.me
        return peer_pb2.Beat(
            sender=me.member.name,
            incarnation=me.member.incarnation,
            sequence=me.sequence,
            believed_down=believed_down,
            digest=self.digest(),
            store_era=self.shared_state.history.era,
        )

    def digest(self) -> int:
        """Returns a digest that is equal on entries with the same state."""
        return self.fleet.digest() ^ self.shared_state.digest()

    async def serve_beat(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers a heartbeat."""
        self.shared_state.history.record_era(call.beat.store_era, "peer")
        if call.beat.believed_down:
            me = self.fleet.me
            self.fleet.refute(attrs.evolve(me, down=True))
        return peer_pb2.Reply(beat=self.build_beat(believed_down=False))

    def report_down(self, name: str, reason: str) -> bool:
        """Broadcasts that an entry is down; returns whether that was new."""
        state = self.fleet.record_down(name, reason)
        if state is None:
            return False
        self.broadcast(StateUpdate(members=[state]))
        return True

    # Broadcast of updates.

    def broadcast_changes(self) -> None:
        """Broadcasts local changes since the last round."""
        self.refresh_own_state()
        rollouts = self.shared_state.rollouts
        stopped = sorted(rollouts.stopped)
        current = StateUpdate(
            members=[self.fleet.me],
            records=list(rollouts.records.values()),
            stopped=stopped,
            held=rollouts.sessions.drain_updates(),
        )
        previous, self.published = (
            self.published,
            attrs.evolve(current, held=[]),
        )
        if self.published != previous or current.held:
            self.broadcast(current)

    def broadcast(self, update: StateUpdate) -> None:
        """Starts a broadcast without waiting for slow peers."""
        rumors = peer_pb2.Rumors(text=encode(update).encode())
        self.broadcaster.start_sending(
            peer_pb2.Spread(rumors=rumors), self.fleet.ring()
        )

    def schedule_quarantine_broadcast(self) -> None:
        """Schedules a broadcast of worker crashes.

        When a worker crashes, all its answers break off within a few ms, so
        they are batched into one broadcast.
        """
        if self.quarantine_timer is None:
            loop = asyncio.get_running_loop()
            self.quarantine_timer = loop.call_later(
                QUARANTINE_BATCH_DELAY_S, self.broadcast_quarantine
            )

    def broadcast_quarantine(self) -> None:
        """Starts a broadcast of the worker crashes recorded so far."""
        self.quarantine_timer = None
        untold = self.shared_state.quarantine.pop_unsent()
        self.broadcast(StateUpdate(quarantine=untold))

    def broadcast_stop(self, order: int) -> None:
        """Starts a broadcast that an order's version is stopped.

        It does not wait for the next round: until then peers would go on
        sending requests to the version.
        """
        self.broadcast(StateUpdate(stopped=[order]))

    def broadcast_limit(self, limit: RateLimit) -> None:
        """Starts a broadcast of a rate limit that a worker announced."""
        self.broadcast(StateUpdate(limits=[limit]))

    def broadcast_brittle(self, limit: RateLimit) -> None:
        """Starts a broadcast of how many refusals a worker stands."""
        self.broadcast(StateUpdate(brittle=[limit]))

    def broadcast_full(self, incarnation: str) -> None:
        """Starts a broadcast that a brittle worker refused a request."""
        self.broadcast(StateUpdate(full=[incarnation]))

    def broadcast_leaving(self, incarnation: str) -> None:
        """Starts a broadcast that a worker incarnation is leaving."""
        self.broadcast(StateUpdate(leaving=[incarnation]))

    def receive_rumors(self, rumors: peer_pb2.Rumors) -> None:
        """Applies an update that another entry sent.

        Raises:
          UnreadableError: The update can't be decoded.
        """
        self.apply_update(decode(StateUpdate, rumors.text))

    def apply_update(self, update: StateUpdate) -> None:
        """Applies an update from another entry."""
        self.fleet.apply_states(update.members)
        self.shared_state.apply_update(update)

    # Anti-entropy.

    async def probe_distant_entry(self) -> None:
        """Compares digests with one of a few entries spread over the ring.

        Neighbours on the ring tend to miss the same updates. The heads of the
        broadcast segments are far apart, and connections to them are open
        anyway.
        """
        firsts = [part[0] for part in split_segment(self.fleet.ring())]
        turn, rest = divmod(self.round_count, ROUNDS_PER_DISTANT_PROBE)
        if rest or not firsts:
            return
        state = self.fleet.peers[firsts[turn % len(firsts)].name]
        # Entries that do not answer are detected by their predecessors.
        with contextlib.suppress(PeerRefusedError, PeerUnavailableError):
            await self.exchange_heartbeat(state)

    async def compare(self, peer: Member) -> None:
        """Exchanges the states that either this entry or a peer lacks."""
        known = KnownStates(
            {
                state.member.name: state.order
                for state in self.fleet.all_states()
            }
        )
        call = peer_pb2.Call(summary=peer_pb2.Summary(packed=pack(known)))
        try:
            reply = await self.links.to(peer).call(call, COMPARE_TIMEOUT_S)
            compared = unpack(StateDiff, reply.summary.packed)
        except (PeerUnavailableError, UnreadableError) as error:
            log.info(
                "Comparison with peer failed.",
                entry=peer.name,
                error=str(error),
            )
            return
        self.apply_update(compared.news)
        members = [
            state
            for state in self.fleet.all_states()
            if state.member.name in compared.wanted
        ]
        log.info(
            "Compared.",
            entry=peer.name,
            learned=len(compared.news.members),
            told=len(members),
        )
        if members or self.shared_state.has_unsummarized_state():
            await self.send_update(peer, self.shared_state.full_update(members))

    async def serve_summary(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Returns the states that the caller lacks and those it should send.

        Raises:
          UnreadableError: The summary can't be unpacked.
        """
        known = unpack(KnownStates, call.summary.packed).orders
        mine = {state.member.name: state for state in self.fleet.all_states()}
        lacking = [
            state
            for name, state in mine.items()
            if name not in known or state.order > known[name]
        ]
        wanted = [
            name
            for name, order in known.items()
            if name not in mine or order > mine[name].order
        ]
        packed = pack(StateDiff(self.shared_state.full_update(lacking), wanted))
        return peer_pb2.Reply(summary=peer_pb2.Comparison(packed=packed))

    async def send_update(self, peer: Member, update: StateUpdate) -> None:
        """Sends an update to one entry, which does not forward it."""
        rumors = peer_pb2.Rumors(text=encode(update).encode())
        call = peer_pb2.Call(spread=peer_pb2.Spread(rumors=rumors))
        try:
            await self.links.to(peer).call(call, COMPARE_TIMEOUT_S)
        except PeerUnavailableError as error:
            log.info("Peer did not answer.", entry=peer.name, error=str(error))

    async def join(self) -> None:
        """Contacts the seeds until another live entry is known.

        One answer names all other entries; further calls would only delay the
        start.
        """
        me = self.fleet.me.member
        for seed in self.seeds:
            if len(self.fleet.live()) > 1:
                return
            if (seed.host, seed.port) != (me.peer_host, me.peer_port):
                await self.compare(seed_member(seed))

    # Evidence for roll-outs.

    async def report_evidence(self) -> None:
        """Sends evidence on new versions to the entries that need it."""
        rounds = report_rounds(len(self.fleet.live()))
        me = self.fleet.me.member
        if (self.round_count + stable_hash(me.name)) % rounds:
            return
        evidence = self.shared_state.rollouts.evidence(me.incarnation)
        receivers = self.evidence_receivers()
        self.reported = {
            name: sent
            for name, sent in self.reported.items()
            if name in receivers
        }
        if evidence is None:
            return
        await asyncio.gather(
            *(
                self.report_to(name, evidence)
                for name in receivers
                if self.reported.get(name) != evidence
            )
        )

    def evidence_receivers(self) -> list[str]:
        """Returns the driver of roll-outs, and its backups if they may act."""
        backups = BACKUP_RECEIVERS if self.shared_state.rollouts.is_full else 0
        return self.fleet.drivers()[: 1 + backups]

    async def report_to(self, name: str, evidence: Evidence) -> None:
        """Sends evidence to a peer; this entry itself is left out.

        Args:
          name: Name of the peer.
          evidence: The evidence.
        """
        receiver = self.fleet.peers.get(name)
        if receiver is None:
            return
        call = peer_pb2.Call(
            report=peer_pb2.EvidenceReport(text=pack(evidence))
        )
        try:
            await self.links.to(receiver.member).call(call, CALL_TIMEOUT_S)
        except PeerUnavailableError as error:
            log.info("Evidence not reported.", peer=name, error=str(error))
            return
        self.reported[name] = evidence

    async def serve_report(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Records the evidence that an entry sent.

        Raises:
          UnreadableError: The evidence can't be decoded.
        """
        evidence = unpack(Evidence, call.report.text)
        self.shared_state.rollouts.answer_counts.apply_evidence(
            evidence, self.clock.monotonic()
        )
        return peer_pb2.Reply(report=peer_pb2.EvidenceReport())

    # Pages that watchers read from the store.

    def broadcast_store_news(self, update: TableUpdate) -> None:
        """Starts a broadcast of a page that this watcher read."""
        message = peer_pb2.StoreNews(packed=pack_update(update))
        self.broadcaster.start_sending(
            peer_pb2.Spread(store_news=message), self.fleet.ring()
        )

    def receive_store_news(self, message: peer_pb2.StoreNews) -> None:
        """Passes a page that a watcher read to the table's follower.

        Raises:
          UnreadableError: The page can't be unpacked.
        """
        update = unpack(TableUpdate, message.packed)
        follower = self.followers.get(update.table)
        if follower is not None:
            follower.apply_update(update)


def report_rounds(live: int) -> int:
    """Returns in how many rounds an entry reports its evidence once.

    Args:
      live: Number of live entries.

    >>> report_rounds(8), report_rounds(420)
    (1, 3)
    """
    return max(1, math.ceil(live / MAX_REPORTS_PER_ROUND))


def seed_member(seed: Address) -> Member:
    """Returns a placeholder for a peer known only by its address."""
    return Member(
        name=str(seed),
        incarnation="",
        role=Role.ENTRY,
        domain="",
        region="",
        caller_url="",
        peer_host=seed.host,
        peer_port=seed.port,
    )
