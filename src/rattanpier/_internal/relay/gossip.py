"""Talks to the other entries: who lives, what changed, what was seen.

Each entry asks two others whether they live, however many there are. A change
is told to all at once by the one that makes or finds it, see `broadcast`. What
gets lost is made good between two entries: each asks a few others in turn for
a digest of what they know and, where it goes on differing, for what it lacks.
Evidence on new versions goes to the one entry that drives roll-outs.
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
    TableNews,
    pack_news,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode, pack, unpack

log = structlog.get_logger(part="fleet")

HEARTBEAT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.45  # Peers answer within some ms; less than a round.
# One call may be lost or its entry be busy for a moment.
PROBE_ATTEMPTS = 2
COMPARE_TIMEOUT_S = 1.0  # States of hundreds of entries over a slow link.
# While something changes anywhere, digests differ for as long as news take to
# get round, some ten ms: only a difference that lasts is worth its bytes.
MISMATCHES_TO_COMPARE = 2
# In every second round one entry that stands apart is asked for its digest, so
# that what an entry missed it has within some two seconds.
ROUNDS_PER_DISTANT_PROBE = 2
# Where all start or change at once digests differ for seconds, and a comparison
# in which one lacks the states of all takes both ends some ten ms.
MIN_COMPARE_INTERVAL_S = 1.0
# News of workers that ended wait so long for each other: much less than a
# request takes that goes on from one worker to the next.
QUARANTINE_BATCH_DELAY_S = 0.01


@attrs.define(eq=False, repr=False)
class Gossip:
    """Sends and takes news.

    Attributes:
      fleet: What is known of the others.
      shared_state: What is known beside that.
      links: Connections to the others.
      broadcaster: Tells all of them.
      seeds: Addresses to ask while nobody is known.
      snapshots: What peers know stands in for the store.
      refresh_own_state: Brings this entry's own news up to date; says
        whether they changed.
      followers: Of the store's tables, by name; hear what watchers tell.
      published: What was told last, so that only changes are.
      compared_at: When this entry asked for what it lacks last, in monotonic
        seconds.
      digest_mismatches: Digests in a row that differed from this entry's.
      round_count: Counts the rounds.
      quarantine_timer: When what was gathered of the quarantine is told.
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
    reported: Evidence | None = None
    quarantine_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Asks and tells the others, round after round."""
        while True:
            if not await self.round():
                await self.clock.sleep(HEARTBEAT_INTERVAL_S)

    async def round(self) -> bool:
        """Asks the neighbours, and tells everybody what changed.

        Returns:
          Whether one was found lost: those behind it may be lost too, and are
          to be asked at once.
        """
        self.fleet.forget_down()
        self.fleet.log_changes()
        self.broadcast_changes()
        self.round_count += 1
        lost = await asyncio.gather(
            *(self.probe(news) for news in self.fleet.probe_targets()),
            self.report_evidence(),
            self.probe_distant_entry(),
        )
        if len(self.fleet.live()) == 1:
            await self.join()
        covered = all(each.covered() for each in self.followers.values())
        if not covered or self.shared_state.has_older_table():
            await self.snapshots.request_if_needed()
        return any(lost)

    # Who lives.

    async def probe(self, state: EntryState) -> bool:
        """Asks one entry whether it lives; says whether it was found lost."""
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
        """Tells an entry that this one lives, and compares their knowledge.

        Raises:
          PeerRefusedError: No process listens there.
          PeerUnavailableError: No answer in time.
        """
        call = peer_pb2.Call(beat=self.build_beat(state.down))
        reply = await self.links.to(state.member).call(call, CALL_TIMEOUT_S)
        self.shared_state.history.note(reply.beat.store_era, "peer")
        if reply.beat.digest == self.digest():
            self.digest_mismatches = 0
            return
        self.digest_mismatches += 1
        if self.should_compare():
            self.digest_mismatches = 0
            self.compared_at = self.clock.monotonic()
            await self.compare(state.member)

    def should_compare(self) -> bool:
        """Says whether a digest that differs is a reason to compare now."""
        since_s = self.clock.monotonic() - self.compared_at
        if math.isinf(since_s):
            # It has just started, and knows the others by old rows.
            return True
        lasts = self.digest_mismatches >= MISMATCHES_TO_COMPARE
        return lasts and since_s >= MIN_COMPARE_INTERVAL_S

    def build_beat(self, believed_down: bool) -> peer_pb2.Beat:
        """Returns what is told with each question."""
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
        """Returns what two entries that know the same have in common."""
        return self.fleet.digest() ^ self.shared_state.digest()

    async def serve_beat(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers an entry that asks."""
        self.shared_state.history.note(call.beat.store_era, "peer")
        if call.beat.believed_down:
            me = self.fleet.me
            self.fleet.refute(attrs.evolve(me, down=True))
        return peer_pb2.Reply(beat=self.build_beat(believed_down=False))

    def report_down(self, name: str, reason: str) -> bool:
        """Tells everybody that an entry does not answer, if that is new."""
        state = self.fleet.record_down(name, reason)
        if state is None:
            return False
        self.broadcast(StateUpdate(members=[state]))
        return True

    # What changed.

    def broadcast_changes(self) -> None:
        """Tells everybody what changed here since the last round."""
        self.refresh_own_state()
        rollouts = self.shared_state.rollouts
        stopped = sorted(rollouts.stopped)
        current = StateUpdate(
            members=[self.fleet.me],
            records=list(rollouts.records.values()),
            stopped=stopped,
            held=rollouts.sessions.take_news(),
        )
        previous, self.published = (
            self.published,
            attrs.evolve(current, held=[]),
        )
        if self.published != previous or current.held:
            self.broadcast(current)

    def broadcast(self, update: StateUpdate) -> None:
        """Begins to tell everybody; some may not answer for a while."""
        rumors = peer_pb2.Rumors(text=encode(update).encode())
        self.broadcaster.start_sending(
            peer_pb2.Spread(rumors=rumors), self.fleet.ring()
        )

    def schedule_quarantine_broadcast(self) -> None:
        """Begins to tell everybody of workers that ended, in a moment.

        All answers of a worker that ends break off within some ms: they are
        told of together.
        """
        if self.quarantine_timer is None:
            loop = asyncio.get_running_loop()
            self.quarantine_timer = loop.call_later(
                QUARANTINE_BATCH_DELAY_S, self.broadcast_quarantine
            )

    def broadcast_quarantine(self) -> None:
        """Begins to tell everybody of the workers that ended by now."""
        self.quarantine_timer = None
        untold = self.shared_state.quarantine.take_untold()
        self.broadcast(StateUpdate(quarantine=untold))

    def broadcast_limit(self, limit: RateLimit) -> None:
        """Begins to tell everybody how much a worker takes."""
        self.broadcast(StateUpdate(limits=[limit]))

    def broadcast_leaving(self, incarnation: str) -> None:
        """Begins to tell everybody that a worker leaves."""
        self.broadcast(StateUpdate(leaving=[incarnation]))

    def receive_rumors(self, rumors: peer_pb2.Rumors) -> None:
        """Takes in what another entry tells all."""
        self.apply_update(decode(StateUpdate, rumors.text))

    def apply_update(self, update: StateUpdate) -> None:
        """Takes in what another entry tells."""
        self.fleet.apply_states(update.members)
        self.shared_state.apply_update(update)

    # What was missed.

    async def probe_distant_entry(self) -> None:
        """Asks one of a few entries all over the ring for its digest.

        An entry misses news together with those that stand near it; these
        stand apart, and connections to them are open anyway.
        """
        firsts = [part[0] for part in split_segment(self.fleet.ring())]
        turn, rest = divmod(self.round_count, ROUNDS_PER_DISTANT_PROBE)
        if rest or not firsts:
            return
        state = self.fleet.peers[firsts[turn % len(firsts)].name]
        # One that does not answer is for those to find that stand before it.
        with contextlib.suppress(PeerRefusedError, PeerUnavailableError):
            await self.exchange_heartbeat(state)

    async def compare(self, peer: Member) -> None:
        """Makes two entries know the same."""
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
            log.info("Not compared.", entry=peer.name, error=str(error))
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
        """Answers with what the asker lacks, and names what it knows better."""
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
        """Tells one entry, which does not pass it on."""
        rumors = peer_pb2.Rumors(text=encode(update).encode())
        call = peer_pb2.Call(spread=peer_pb2.Spread(rumors=rumors))
        try:
            await self.links.to(peer).call(call, COMPARE_TIMEOUT_S)
        except PeerUnavailableError as error:
            log.info("Peer is silent.", entry=peer.name, error=str(error))

    async def join(self) -> None:
        """Asks the seeds until another entry is known to live.

        One answer names all others; further ones would only delay a start.
        """
        me = self.fleet.me.member
        for seed in self.seeds:
            if len(self.fleet.live()) > 1:
                return
            if (seed.host, seed.port) != (me.peer_host, me.peer_port):
                await self.compare(seed_member(seed))

    # What was seen.

    async def report_evidence(self) -> None:
        """Reports evidence on new versions to the entry that drives."""
        evidence = self.shared_state.rollouts.evidence(
            self.fleet.me.member.incarnation
        )
        driver = self.fleet.peers.get(self.fleet.driver())
        if evidence is None or evidence == self.reported or driver is None:
            return
        call = peer_pb2.Call(
            report=peer_pb2.EvidenceReport(text=encode(evidence).encode())
        )
        try:
            await self.links.to(driver.member).call(call, CALL_TIMEOUT_S)
        except PeerUnavailableError as error:
            log.info("Evidence not reported.", error=str(error))
            return
        self.reported = evidence

    async def serve_report(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Takes in an entry's evidence."""
        evidence = decode(Evidence, call.report.text)
        self.shared_state.rollouts.seen.take(evidence)
        return peer_pb2.Reply(report=peer_pb2.EvidenceReport())

    # What watchers read.

    def broadcast_store_news(self, update: TableNews) -> None:
        """Begins to tell everybody of an answer of a feed."""
        message = peer_pb2.StoreNews(packed=pack_news(update))
        self.broadcaster.start_sending(
            peer_pb2.Spread(store_news=message), self.fleet.ring()
        )

    def receive_store_news(self, message: peer_pb2.StoreNews) -> None:
        """Takes in what a watcher read."""
        update = unpack(TableNews, message.packed)
        follower = self.followers.get(update.table)
        if follower is not None:
            follower.hear(update)


def seed_member(seed: Address) -> Member:
    """Returns a stand-in for a peer of which only the address is known."""
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
