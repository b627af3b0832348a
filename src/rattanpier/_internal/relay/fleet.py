"""The entries that belong to the system, as one of them knows them.

Each entry has a state with a number that it raises when the state changes. The
newest number counts, and "down" counts over the same number: an entry that
hears itself called down raises its number. Nothing here is agreed on: what
must be is in the store.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs
import structlog

from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import rendezvous, stable_hash

log = structlog.get_logger(part="fleet")

T = TypeVar("T")

LIVE_PROBE_TARGETS = (
    2  # Entries that each one asks: two losses in a row are noticed.
)
RECENT_LOSS_S = 3.0  # Two timeouts, and the time until all are told.
MAX_EXTRA_PROBE_TARGETS = 8  # What an entry asks in a round has a bound.
CLOCK_STEP_S = 0.001  # Any step will do to count as the newer start.
FORGET_DOWN_AFTER_S = 60.0  # An entry that was down so long is dropped.


# Of a line that tells of several entries; a whole fleet may start at once.
MAX_LOGGED_ENTRIES = 8


def ring_position(member: Member) -> str:
    """Returns where an entry stands in the ring of all.

    Entries of one failure domain stand together, so that what is passed on
    along the ring seldom crosses domains, which is paid for.
    """
    return f"{member.domain}/{member.name}"


@attrs.frozen
class EntryState:
    """The state of one entry.

    Attributes:
      member: Its addresses and incarnation.
      started: Wall time of its start; the newest incarnation counts.
      sequence: Raised with each change of the state.
      ready: It serves callers.
      store: It reaches the store.
      down: It does not answer.
    """

    member: Member
    started: float
    sequence: int = 0
    ready: bool = False
    store: bool = False
    down: bool = False

    @property
    def order(self) -> tuple[float, int, bool]:
        """The larger of two is the newer."""
        return self.started, self.sequence, self.down

    @property
    def listed(self) -> bool:
        """Whether callers may be sent there."""
        live = self.member.state is MemberState.LIVE
        return self.ready and live and not self.down


@attrs.define(eq=False, repr=False)
class Fleet:
    """The entries as this one knows them.

    Attributes:
      me: This entry.
      peers: The newest state of each other, by name.
      down_since: When each was found to be down, in monotonic seconds.
      cache: What follows from the states, by name, until one changes: it is
        asked for many times a second.
      roster_version: Raised when an entry becomes known, or is forgotten.
      unlogged_changes: Names of others that changed since that was last logged.
      positions: Of the others that live, in order.
      names_by_position: Names of the others that live, by place.
    """

    me: EntryState
    clock: Clock
    peers: dict[str, EntryState] = attrs.Factory(dict)
    down_since: dict[str, float] = attrs.Factory(dict)
    cache: dict[str, Any] = attrs.Factory(dict)
    roster_version: int = 0
    unlogged_changes: set[str] = attrs.Factory(set)
    positions: list[str] = attrs.Factory(list)
    names_by_position: dict[str, str] = attrs.Factory(dict)

    def cached(self, name: str, make: Callable[[], T]) -> T:
        """Returns what follows from the states, made anew once one changed."""
        if name not in self.cache:
            self.cache[name] = make()
        return self.cache[name]

    def set_own_state(self, state: EntryState) -> None:
        """Sets this entry's state."""
        self.me = state
        self.cache.clear()

    def update_own_state(self, **fields: object) -> bool:
        """Sets this entry's state; says whether it changed."""
        updated = attrs.evolve(self.me, **fields)
        if updated == self.me:
            return False
        self.set_own_state(attrs.evolve(updated, sequence=self.me.sequence + 1))
        return True

    def apply_state(self, state: EntryState) -> bool:
        """Takes in a state; says whether it was new here."""
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
        """Logs which others changed since the last call, in one line.

        All entries may start, or lose the store, within a second: a line for
        each change of each was 72,737 lines in two seconds of 195 entries.
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
        """Answers a claim that this entry is down; says whether it had to."""
        same = state.member.incarnation == self.me.member.incarnation
        if not same and state.started >= self.me.started:
            # The wall clock went back between two starts of this entry.
            newer = state.started + CLOCK_STEP_S
            self.set_own_state(attrs.evolve(self.me, started=newer))
            return True
        if not (same and state.down and state.sequence >= self.me.sequence):
            return False
        self.set_own_state(attrs.evolve(self.me, sequence=state.sequence + 1))
        log.info("Called down, and is not.", sequence=self.me.sequence)
        return True

    def record_down(self, name: str, reason: str) -> EntryState | None:
        """Takes in that an entry does not answer; returns what is new."""
        known = self.peers.get(name)
        if known is None or known.down:
            return None
        log.info("Entry does not answer.", entry=name, reason=reason)
        state = attrs.evolve(known, down=True)
        self.apply_state(state)
        return state

    def forget_down(self) -> None:
        """Drops entries that were down for long."""
        now = self.clock.monotonic()
        for name, since in list(self.down_since.items()):
            if now - since > FORGET_DOWN_AFTER_S:
                del self.down_since[name]
                del self.peers[name]
                self.roster_version += 1
                self.cache.clear()
                log.info("Entry forgotten.", entry=name)

    def live(self) -> list[EntryState]:
        """Returns the entries that are not down, this one too."""
        return self.cached("live", self.find_live)

    def is_live(self, name: str) -> bool:
        """Says whether another entry is known and not down."""
        state = self.peers.get(name)
        return state is not None and not state.down

    def find_live(self) -> list[EntryState]:
        """Finds the entries that are not down."""
        peers = (state for state in self.peers.values() if not state.down)
        return [self.me, *peers]

    def preferred(self, duty: str, count: int) -> list[str]:
        """Returns the names of the entries that have a duty.

        All entries that know the same find the same: those that reach the
        store or, while none does, any that live.
        """

        def rank() -> list[str]:
            live = self.live()
            able = [state.member.name for state in live if state.store]
            able = able or [state.member.name for state in live]
            return rendezvous(duty, able)

        return self.cached(f"preferred for {duty}", rank)[:count]

    def ring(self) -> list[Member]:
        """Returns the others that live, by place, those behind this first."""
        start = self.count_up_to(ring_position(self.me.member))
        return self.members_at(self.positions[start:] + self.positions[:start])

    def segment_up_to(self, last: str) -> list[Member]:
        """Returns the others that live behind this entry, up to a place.

        Args:
          last: The place where the run ends; empty for none.
        """
        if not last:
            return []
        mine = ring_position(self.me.member)
        start, end = self.count_up_to(mine), self.count_up_to(last)
        if last > mine:
            return self.members_at(self.positions[start:end])
        return self.members_at(self.positions[start:] + self.positions[:end])

    def count_up_to(self, position: str) -> int:
        """Returns how many others that live stand up to a place."""
        return bisect.bisect_right(self.positions, position)

    def members_at(self, positions: Iterable[str]) -> list[Member]:
        """Returns the entries at some places."""
        return [
            self.peers[self.names_by_position[position]].member
            for position in positions
        ]

    def update_ring(self, state: EntryState) -> None:
        """Puts an entry into the ring, or takes one out that is down."""
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
        """Returns the entries that callers may use."""
        return [state.member for state in self.live() if state.listed]

    def size(self) -> int:
        """Returns how many entries there are, also those that are down."""
        return len(self.peers) + 1

    def drivers(self) -> list[str]:
        """Returns the entries that may drive roll-outs, the first one first.

        By name, those that reach the store; none if none does.
        """
        return self.cached("drivers", self.find_drivers)

    def find_drivers(self) -> list[str]:
        """Sorts the entries that may drive."""
        return sorted(
            state.member.name
            for state in self.live()
            if state.store and state.member.state is MemberState.LIVE
        )

    def driver(self) -> str:
        """Returns the name of the entry that drives roll-outs now."""
        return next(iter(self.drivers()), "")

    def drives(self, stand_ins: int = 0) -> bool:
        """Says whether this entry is to drive roll-outs now.

        Args:
          stand_ins: Entries behind the first one that may act as well.
        """
        return self.me.member.name in self.drivers()[: 1 + stand_ins]

    def probe_targets(self) -> list[EntryState]:
        """Returns the entries that this one asks.

        The next live ones in the order of names, and those before them that
        are down: they may be back. Where both were lost lately as many more are
        asked as were: a failure domain is lost at once, and its entries stand
        side by side. Of 33 such that fall silent among 195 entries all others
        know within 6 s; asking two at a time they knew half after 25 s.
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
        """Returns a number that tells this knowledge from another."""
        return self.cached("digest", self.find_digest)

    def find_digest(self) -> int:
        """Adds up all states, in any order."""
        total = 0
        for state in (self.me, *self.peers.values()):
            text = f"{state.member.name}/{state.order}"
            total ^= stable_hash(text)
        return total

    def all_states(self) -> list[EntryState]:
        """Returns all that is known."""
        return [self.me, *self.peers.values()]

    def apply_states(self, states: Iterable[EntryState]) -> list[EntryState]:
        """Takes in several states; returns those that were new here."""
        return [each for each in states if self.apply_state(each)]


def describe(state: EntryState) -> str:
    """Returns an entry's state as a log line tells it."""
    flags_set = {
        "ready": state.ready,
        "store": state.store,
        "down": state.down,
        "leaving": state.member.state is MemberState.LEAVING,
    }
    flags = " ".join(name for name, holds in flags_set.items() if holds)
    incarnation = f"{state.member.name}/{state.member.incarnation}"
    return f"{incarnation}#{state.sequence} {flags}".rstrip()
