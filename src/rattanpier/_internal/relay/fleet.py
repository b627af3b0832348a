"""One entry's view of the fleet of entries.

Each entry raises the sequence number of its state with every change. The
highest number wins, and at the same number "down" wins; an entry that learns
that it is considered down refutes this by raising its number. The view is
eventually consistent; whatever needs agreement is kept in the store.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import attrs
import structlog

from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import rendezvous, stable_hash
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="fleet")

T = TypeVar("T")

# With two targets, the loss of two adjacent entries is still detected.
LIVE_PROBE_TARGETS = 2
RECENT_LOSS_S = 3.0  # Two timeouts plus the time of a broadcast.
MAX_EXTRA_PROBE_TARGETS = 8  # Bounds the probes of an entry in a round.
CLOCK_STEP_S = 0.001  # Any positive step makes the start the newer one.
FORGET_DOWN_AFTER_S = 60.0  # Entries that were down for this long are dropped.
# An entry that has been cut off for this long shares nothing with the others,
# which drop it later. The time between is longer than any window of a bound.
CUT_OFF_AFTER_S = 45.0
# Of the ready entries, those that reach workers have to be this share to carry
# the load of all.
MIN_LISTED_SHARE = 1 / 3


# Per log line; a whole fleet may start at once.
MAX_LOGGED_ENTRIES = 8


def ring_position(member: Member) -> str:
    """Returns the sort key of an entry on the ring.

    Entries of a failure domain are adjacent, so that messages forwarded along
    the ring seldom cross domains; traffic between domains is billed.
    """
    return f"{member.domain}/{member.name}"


@attrs.frozen(eq=False, repr=False)
class EntryState(Record):
    """The state of one entry.

    Field names are on the wire and in the store, and can't be changed.

    Attributes:
      member: Addresses and incarnation of the entry.
      started: Wall time of the start in seconds; the newest incarnation wins.
      sequence: Raised with each change of the state.
      ready: Whether the entry serves callers.
      store: Whether the entry can reach the store.
      down: Whether the entry does not answer.
      unreachable: Services of which the entry can't connect to any worker.
      partitioned: Whether these are all services, or were a moment ago.
    """

    member: Member
    started: float
    sequence: int = 0
    ready: bool = False
    store: bool = False
    down: bool = False
    unreachable: tuple[str, ...] = ()
    partitioned: bool = False

    @property
    def order(self) -> tuple[float, int, bool]:
        """Sort key of the state; the larger of two is the newer."""
        return self.started, self.sequence, self.down

    @property
    def listed(self) -> bool:
        """Whether the entry may be offered to callers."""
        live = self.member.state is MemberState.LIVE
        return self.ready and live and not self.down


@attrs.define(eq=False, repr=False)
class Fleet:
    """The states of all entries, as known to this entry.

    Attributes:
      me: State of this entry.
      clock: Source of monotonic time.
      peers: Newest known state of each other entry, by name.
      down_since: Monotonic time at which each peer was found down, in seconds.
      cache: Values derived from the states, by name; cleared when a state
        changes. They are read many times a second.
      roster_version: Raised when an entry becomes known or is forgotten.
      unlogged_changes: Names of peers that changed since the last log line.
      joined_at: Since when this entry has known the others and they it, in
        monotonic seconds; None if it does not, or is cut off from most.
      size_before_cut: Number of entries that were known when this entry was cut
        off from most of them; 0 if it never was.
      positions: Sorted ring positions of the live peers.
      names_by_position: Names of the live peers, by ring position.
    """

    me: EntryState
    clock: Clock
    peers: dict[str, EntryState] = attrs.Factory(dict)
    down_since: dict[str, float] = attrs.Factory(dict)
    cache: dict[str, Any] = attrs.Factory(dict)
    roster_version: int = 0
    unlogged_changes: set[str] = attrs.Factory(set)
    joined_at: float | None = None
    size_before_cut: int = 0
    positions: list[str] = attrs.Factory(list)
    names_by_position: dict[str, str] = attrs.Factory(dict)

    def cached(self, name: str, make: Callable[[], T]) -> T:
        """Returns a derived value, recomputed after a state changed."""
        if name not in self.cache:
            self.cache[name] = make()
        return self.cache[name]

    def set_own_state(self, state: EntryState) -> None:
        """Replaces this entry's state."""
        self.me = state
        self.cache.clear()

    def update_own_state(self, **fields: object) -> bool:
        """Updates fields of this entry's state; returns whether it changed."""
        updated = attrs.evolve(self.me, **fields)
        if updated == self.me:
            return False
        self.set_own_state(attrs.evolve(updated, sequence=self.me.sequence + 1))
        return True

    def apply_state(self, state: EntryState) -> bool:
        """Applies a received state; returns whether it was newer."""
        name = state.member.name
        if name == self.me.member.name:
            return self.refute(state)
        known = self.peers.get(name)
        if known is not None and state.order <= known.order:
            return False
        self.roster_version += known is None
        self.peers[name] = state
        self.update_ring(state)
        self.cache.clear()
        if state.down:
            self.down_since.setdefault(name, self.clock.monotonic())
        else:
            self.down_since.pop(name, None)
        self.unlogged_changes.add(name)
        return True

    def log_changes(self) -> None:
        """Logs in one line which peers changed since the last call.

        All entries may start, or lose the store, within a second. One line per
        change amounted to 72,737 lines in two seconds with 195 entries.
        """
        changed, self.unlogged_changes = self.unlogged_changes, set()
        if not changed:
            return
        named = sorted(changed & self.peers.keys())[:MAX_LOGGED_ENTRIES]
        log.info(
            "Entries changed.",
            changed=len(changed),
            listed=len(self.entries()),
            live=len(self.live()),
            known=self.size(),
            entries=[describe(self.peers[name]) for name in named],
        )

    def refute(self, state: EntryState) -> bool:
        """Refutes a report that this entry is down; returns whether needed."""
        same = state.member.incarnation == self.me.member.incarnation
        if not same and state.started >= self.me.started:
            # The wall clock was set back between two starts of this entry.
            newer = state.started + CLOCK_STEP_S
            self.set_own_state(attrs.evolve(self.me, started=newer))
            return True
        if not (same and state.down and state.sequence >= self.me.sequence):
            return False
        self.set_own_state(attrs.evolve(self.me, sequence=state.sequence + 1))
        log.info("Refuted a report of being down.", sequence=self.me.sequence)
        return True

    def record_down(self, name: str, reason: str) -> EntryState | None:
        """Records that an entry is down; returns its state if that is new."""
        known = self.peers.get(name)
        if known is None or known.down:
            return None
        log.info("Entry does not answer.", entry=name, reason=reason)
        state = attrs.evolve(known, down=True)
        self.apply_state(state)
        return state

    def forget_down(self) -> None:
        """Drops entries that were down for `FORGET_DOWN_AFTER_S`."""
        self.check_cut_off()
        now = self.clock.monotonic()
        for name, since in list(self.down_since.items()):
            if now - since > FORGET_DOWN_AFTER_S:
                del self.down_since[name]
                del self.peers[name]
                self.roster_version += 1
                self.cache.clear()
                log.info("Entry forgotten.", entry=name)

    def check_cut_off(self) -> None:
        """Records if at least half of the entries have been down for long.

        This entry can't tell whether they have ended or it is cut off, in which
        case they are about to share everything among themselves.
        """
        now = self.clock.monotonic()
        long_down = sum(
            now - since > CUT_OFF_AFTER_S for since in self.down_since.values()
        )
        if 2 * long_down >= self.size():
            self.record_cut_off()

    def record_pause(self, paused_s: float) -> None:
        """Records that this entry did not run for some seconds."""
        if paused_s > CUT_OFF_AFTER_S:
            self.record_cut_off()

    def record_cut_off(self) -> None:
        """Records that the others may share everything without this entry."""
        if self.joined_at is not None:
            self.joined_at = None
            self.size_before_cut = self.size()
            log.warning("Cut off from the other entries.", known=self.size())

    def record_joined(self) -> None:
        """Records that this entry and the others know of each other."""
        if self.joined_at is not None:
            return
        if 2 * len(self.live()) > self.size_before_cut:
            self.joined_at = self.clock.monotonic()
            log.info("Joined the other entries.", known=self.size())

    def live(self) -> list[EntryState]:
        """Returns the entries that are not down, including this one."""
        return self.cached("live", self.find_live)

    def is_live(self, name: str) -> bool:
        """Returns whether a peer is known and not down."""
        state = self.peers.get(name)
        return state is not None and not state.down

    def reaches_workers(self, name: str) -> bool:
        """Returns whether a peer is live and can connect to workers."""
        return self.is_live(name) and not self.peers[name].partitioned

    def count_without_path(self, service: str) -> int:
        """Returns how many live entries can't reach a service."""
        return sum(service in state.unreachable for state in self.live())

    def find_live(self) -> list[EntryState]:
        """Computes `live`."""
        peers = (state for state in self.peers.values() if not state.down)
        return [self.me, *peers]

    def preferred(
        self, duty: str, count: int, asks_workers: bool = False
    ) -> list[str]:
        """Returns the names of the entries assigned to a duty.

        Entries with the same view get the same result, by rendezvous hashing
        over the entries that reach the store and stay or, if none does, all
        live ones. The first names are of different failure domains, so that
        the loss of one domain does not take all of them.

        Args:
          duty: Name of the duty.
          count: Maximum number of names to return.
          asks_workers: Whether the duty needs a path to workers; entries that
            have none are passed over unless all are.
        """

        def rank() -> list[str]:
            live = {state.member.name: state for state in self.live()}
            if asks_workers:
                live = {
                    name: state
                    for name, state in live.items()
                    if not state.partitioned
                } or live
            able = [
                name
                for name, state in live.items()
                if state.store and state.member.state is MemberState.LIVE
            ]
            ranked = rendezvous(duty, able or list(live))
            domains = {name: live[name].member.domain for name in ranked}
            return spread_over_domains(ranked, domains)

        return self.cached(f"preferred for {duty}", rank)[:count]

    def ring(self) -> list[Member]:
        """Returns the live peers in ring order, starting after this entry."""
        start = self.count_up_to(ring_position(self.me.member))
        return self.members_at(self.positions[start:] + self.positions[:start])

    def segment_up_to(self, last: str) -> list[Member]:
        """Returns the live peers after this entry, up to a ring position.

        Args:
          last: Ring position where the segment ends; empty for no peers.
        """
        if not last:
            return []
        mine = ring_position(self.me.member)
        start, end = self.count_up_to(mine), self.count_up_to(last)
        if last > mine:
            return self.members_at(self.positions[start:end])
        return self.members_at(self.positions[start:] + self.positions[:end])

    def count_up_to(self, position: str) -> int:
        """Returns the number of live peers up to a ring position."""
        return bisect.bisect_right(self.positions, position)

    def members_at(self, positions: Iterable[str]) -> list[Member]:
        """Returns the entries at some ring positions."""
        return [
            self.peers[self.names_by_position[position]].member
            for position in positions
        ]

    def update_ring(self, state: EntryState) -> None:
        """Inserts a live entry into the ring, or removes one that is down."""
        name, position = state.member.name, ring_position(state.member)
        if state.down == (position not in self.names_by_position):
            return
        if state.down:
            self.positions.remove(position)
            del self.names_by_position[position]
        else:
            bisect.insort(self.positions, position)
            self.names_by_position[position] = name

    def entries(self) -> list[Member]:
        """Returns the entries that may be offered to callers.

        Entries that reach no worker are left out if the others can carry
        their load. They serve callers that come all the same, through peers.
        """
        listed = [state for state in self.live() if state.listed]
        connected = [state for state in listed if not state.partitioned]
        if len(connected) >= MIN_LISTED_SHARE * len(listed):
            listed = connected
        return [state.member for state in listed]

    def size(self) -> int:
        """Returns the number of known entries, including those down."""
        return len(self.peers) + 1

    def drivers(self) -> list[str]:
        """Returns the entries that may drive roll-outs, preferred one first.

        These are the entries that reach the store, sorted by name; the list is
        empty if none does.
        """
        return self.cached("drivers", self.find_drivers)

    def find_drivers(self) -> list[str]:
        """Computes `drivers`."""
        return sorted(
            state.member.name
            for state in self.live()
            if state.store and state.member.state is MemberState.LIVE
        )

    def driver(self) -> str:
        """Returns the name of the driver of roll-outs, or "" if none."""
        return next(iter(self.drivers()), "")

    def drives(self, stand_ins: int = 0) -> bool:
        """Returns whether this entry should drive roll-outs now.

        Args:
          stand_ins: Number of entries after the first that may drive as well.
        """
        return self.me.member.name in self.drivers()[: 1 + stand_ins]

    def probe_targets(self) -> list[EntryState]:
        """Returns the entries that this entry probes in a round.

        These are the next live entries in the order of names, and any entries
        before them that are down, since they may be back. If as many entries
        as are usually probed were lost recently, one more is probed for each
        of the lost: a failure domain fails at once, and its entries are
        adjacent. If 33 adjacent entries of 195 stop answering, all others know
        within 6 s; with two probes at a time they knew half after 25 s.
        """
        names = sorted(self.peers)
        me = self.me.member.name
        candidates = [name for name in names if name > me]
        candidates += [name for name in names if name < me]
        targets: list[EntryState] = []
        live = recently_lost = 0
        now = self.clock.monotonic()
        for name in candidates:
            state = self.peers[name]
            targets.append(state)
            live += not state.down
            lost_at = self.down_since.get(name, float("-inf"))
            recently_lost += now - lost_at < RECENT_LOSS_S
            more = recently_lost if recently_lost >= LIVE_PROBE_TARGETS else 0
            if live >= LIVE_PROBE_TARGETS + min(more, MAX_EXTRA_PROBE_TARGETS):
                break
        return targets

    def digest(self) -> int:
        """Returns a digest that is equal on entries with the same view."""
        return self.cached("digest", self.find_digest)

    def find_digest(self) -> int:
        """Computes `digest`, independent of the order of the states."""
        total = 0
        for state in (self.me, *self.peers.values()):
            text = f"{state.member.name}/{state.order}"
            total ^= stable_hash(text)
        return total

    def all_states(self) -> list[EntryState]:
        """Returns the states of all known entries, including this one."""
        return [self.me, *self.peers.values()]

    def apply_states(self, states: Iterable[EntryState]) -> list[EntryState]:
        """Applies several received states; returns those that were newer."""
        return [each for each in states if self.apply_state(each)]


def spread_over_domains(
    names: Iterable[str], domains: Mapping[str, str]
) -> list[str]:
    """Returns names with the first one of each failure domain in front.

    Args:
      names: Names in order of preference, which is kept otherwise.
      domains: Failure domain of each name.

    >>> spread_over_domains("abcd", {"a": "x", "b": "x", "c": "y", "d": "y"})
    ['a', 'c', 'b', 'd']
    """
    seen: set[str] = set()
    first: list[str] = []
    others: list[str] = []
    for name in names:
        (others if domains[name] in seen else first).append(name)
        seen.add(domains[name])
    return first + others


def describe(state: EntryState) -> str:
    """Formats an entry's state for a log line."""
    flags_set = {
        "ready": state.ready,
        "store": state.store,
        "down": state.down,
        "leaving": state.member.state is MemberState.LEAVING,
        "partitioned": state.partitioned,
    }
    flags = " ".join(name for name, holds in flags_set.items() if holds)
    incarnation = f"{state.member.name}/{state.member.incarnation}"
    return f"{incarnation}#{state.sequence} {flags}".rstrip()
