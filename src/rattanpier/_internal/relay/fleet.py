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

PROBED = 2  # Entries that each one asks: two losses in a row are noticed.
LATELY_S = 3.0  # Two timeouts, and the time until all are told.
MOST_MORE_PROBED = 8  # What an entry asks in a round has a bound.
CLOCK_STEP_S = 0.001  # Any step will do to count as the newer start.
FORGET_S = 60.0  # An entry that was down so long is dropped.


# Of a line that tells of several entries; a whole fleet may start at once.
MOST_NAMED = 8


def place_of(member: Member) -> str:
    """Returns where an entry stands in the ring of all.

    Entries of one failure domain stand together, so that what is passed on
    along the ring seldom crosses domains, which is paid for.
    """
    return f"{member.domain}/{member.name}"


@attrs.frozen
class MemberNews:
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
      others: The newest state of each other, by name.
      down_at: When each was found to be down, in monotonic seconds.
      derived: What follows from the states, by name, until one changes: it is
        asked for many times a second.
      roster: Raised when an entry becomes known, or is forgotten.
      changed: Names of others that changed since that was last logged.
      places: Of the others that live, in order.
      standing: Names of the others that live, by place.
    """

    me: MemberNews
    clock: Clock
    others: dict[str, MemberNews] = attrs.Factory(dict)
    down_at: dict[str, float] = attrs.Factory(dict)
    derived: dict[str, Any] = attrs.Factory(dict)
    roster: int = 0
    changed: set[str] = attrs.Factory(set)
    places: list[str] = attrs.Factory(list)
    standing: dict[str, str] = attrs.Factory(dict)

    def derive(self, name: str, make: Callable[[], T]) -> T:
        """Returns what follows from the states, made anew once one changed."""
        if name not in self.derived:
            self.derived[name] = make()
        return self.derived[name]

    def set_me(self, news: MemberNews) -> None:
        """Sets this entry's state."""
        self.me = news
        self.derived.clear()

    def change_me(self, **fields: object) -> bool:
        """Sets this entry's state; says whether it changed."""
        changed = attrs.evolve(self.me, **fields)
        if changed == self.me:
            return False
        self.set_me(attrs.evolve(changed, sequence=self.me.sequence + 1))
        return True

    def take(self, news: MemberNews) -> bool:
        """Takes in a state; says whether it was new here."""
        name = news.member.name
        if name == self.me.member.name:
            return self.refute(news)
        before = self.others.get(name)
        if before is not None and news.order <= before.order:
            return False
        self.roster += before is None
        self.others[name] = news
        self.stand(news)
        self.derived.clear()
        if news.down:
            self.down_at.setdefault(name, self.clock.monotonic())
        else:
            self.down_at.pop(name, None)
        self.changed.add(name)
        return True

    def log_changes(self) -> None:
        """Logs which others changed since the last call, in one line.

        All entries may start, or lose the store, within a second: a line for
        each change of each was 72,737 lines in two seconds of 195 entries.
        """
        changed, self.changed = self.changed, set()
        if not changed:
            return
        named = sorted(changed & self.others.keys())[:MOST_NAMED]
        log.info(
            "Entries changed.",
            changed=len(changed),
            listed=len(self.entries()),
            live=len(self.live()),
            known=self.size(),
            entries=[describe(self.others[name]) for name in named],
        )

    def refute(self, news: MemberNews) -> bool:
        """Answers a claim that this entry is down; says whether it had to."""
        same = news.member.incarnation == self.me.member.incarnation
        if not same and news.started >= self.me.started:
            # The wall clock went back between two starts of this entry.
            newer = news.started + CLOCK_STEP_S
            self.set_me(attrs.evolve(self.me, started=newer))
            return True
        if not (same and news.down and news.sequence >= self.me.sequence):
            return False
        self.set_me(attrs.evolve(self.me, sequence=news.sequence + 1))
        log.info("Called down, and is not.", sequence=self.me.sequence)
        return True

    def note_down(self, name: str, reason: str) -> MemberNews | None:
        """Takes in that an entry does not answer; returns what is new."""
        before = self.others.get(name)
        if before is None or before.down:
            return None
        log.info("Entry does not answer.", entry=name, reason=reason)
        news = attrs.evolve(before, down=True)
        self.take(news)
        return news

    def forget_down(self) -> None:
        """Drops entries that were down for long."""
        now = self.clock.monotonic()
        for name, since in list(self.down_at.items()):
            if now - since > FORGET_S:
                del self.down_at[name]
                del self.others[name]
                self.roster += 1
                self.derived.clear()
                log.info("Entry forgotten.", entry=name)

    def live(self) -> list[MemberNews]:
        """Returns the entries that are not down, this one too."""
        return self.derive("live", self.find_live)

    def lives(self, name: str) -> bool:
        """Says whether another entry is known and not down."""
        news = self.others.get(name)
        return news is not None and not news.down

    def find_live(self) -> list[MemberNews]:
        """Finds the entries that are not down."""
        others = (news for news in self.others.values() if not news.down)
        return [self.me, *others]

    def preferred(self, duty: str, count: int) -> list[str]:
        """Returns the names of the entries that have a duty.

        All entries that know the same find the same: those that reach the
        store or, while none does, any that live.
        """

        def rank() -> list[str]:
            live = self.live()
            able = [news.member.name for news in live if news.store]
            able = able or [news.member.name for news in live]
            return rendezvous(duty, able)

        return self.derive(f"preferred for {duty}", rank)[:count]

    def ring(self) -> list[Member]:
        """Returns the others that live, by place, those behind this first."""
        start = self.places_before(place_of(self.me.member))
        return self.at_places(self.places[start:] + self.places[:start])

    def run_up_to(self, last: str) -> list[Member]:
        """Returns the others that live behind this entry, up to a place.

        Args:
          last: The place where the run ends; empty for none.
        """
        if not last:
            return []
        mine = place_of(self.me.member)
        start, end = self.places_before(mine), self.places_before(last)
        if last > mine:
            return self.at_places(self.places[start:end])
        return self.at_places(self.places[start:] + self.places[:end])

    def places_before(self, place: str) -> int:
        """Returns how many others that live stand up to a place."""
        return bisect.bisect_right(self.places, place)

    def at_places(self, places: Iterable[str]) -> list[Member]:
        """Returns the entries at some places."""
        return [self.others[self.standing[place]].member for place in places]

    def stand(self, news: MemberNews) -> None:
        """Puts an entry into the ring, or takes one out that is down."""
        name, place = news.member.name, place_of(news.member)
        if news.down == (place not in self.standing):
            return
        if news.down:
            self.places.remove(place)
            del self.standing[place]
        else:
            bisect.insort(self.places, place)
            self.standing[place] = name

    def entries(self) -> list[Member]:
        """Returns the entries that callers may use."""
        return [news.member for news in self.live() if news.listed]

    def size(self) -> int:
        """Returns how many entries there are, also those that are down."""
        return len(self.others) + 1

    def drivers(self) -> list[str]:
        """Returns the entries that may drive roll-outs, the first one first.

        By name, those that reach the store; none if none does.
        """
        return self.derive("drivers", self.find_drivers)

    def find_drivers(self) -> list[str]:
        """Sorts the entries that may drive."""
        return sorted(
            news.member.name
            for news in self.live()
            if news.store and news.member.state is MemberState.LIVE
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

    def probed(self) -> list[MemberNews]:
        """Returns the entries that this one asks.

        The next live ones in the order of names, and those before them that
        are down: they may be back. Where both were lost lately as many more are
        asked as were: a failure domain is lost at once, and its entries stand
        side by side. Of 33 such that fall silent among 195 entries all others
        know within 6 s; asking two at a time they knew half after 25 s.
        """
        names = sorted(self.others)
        me = self.me.member.name
        ring = [name for name in names if name > me]
        ring += [name for name in names if name < me]
        found: list[MemberNews] = []
        live = lately_lost = 0
        now = self.clock.monotonic()
        for name in ring:
            news = self.others[name]
            found.append(news)
            live += not news.down
            lost_at = self.down_at.get(name, float("-inf"))
            lately_lost += now - lost_at < LATELY_S
            more = lately_lost if lately_lost >= PROBED else 0
            if live >= PROBED + min(more, MOST_MORE_PROBED):
                break
        return found

    def digest(self) -> int:
        """Returns a number that tells this knowledge from another."""
        return self.derive("digest", self.find_digest)

    def find_digest(self) -> int:
        """Adds up all states, in any order."""
        total = 0
        for news in (self.me, *self.others.values()):
            text = f"{news.member.name}/{news.order}"
            total ^= stable_hash(text)
        return total

    def all_news(self) -> list[MemberNews]:
        """Returns all that is known."""
        return [self.me, *self.others.values()]

    def take_all(self, news: Iterable[MemberNews]) -> list[MemberNews]:
        """Takes in several states; returns those that were new here."""
        return [each for each in news if self.take(each)]


def describe(news: MemberNews) -> str:
    """Returns an entry's state as a log line tells it."""
    told = {
        "ready": news.ready,
        "store": news.store,
        "down": news.down,
        "leaving": news.member.state is MemberState.LEAVING,
    }
    flags = " ".join(name for name, holds in told.items() if holds)
    start = f"{news.member.name}/{news.member.incarnation}"
    return f"{start}#{news.sequence} {flags}".rstrip()
