"""The entries that belong to the system, and what they tell each other.

Each entry raises a counter of its own and passes on the newest counter of
every other, so that an entry counts as live though this one does not talk to
it directly. Nothing here is agreed on: what must be is in the store.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs
import structlog

from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.models.rollout_order import RolloutRecord
from rattanpier._internal.relay.rollouts import Rollouts, TallyKey
from rattanpier._internal.relay.verdict import Tally
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="fleet")

GOSSIP_EVERY_S = 0.5
FANOUT = 3  # Peers told in each round; all of them where there are few.
FEW = 9  # So many members are told directly: news arrive in one round.
# Three rounds without a new counter; callers who pick a dead entry lose up to
# a second, so it must not stay listed for long.
SILENT_S = 1.8
FORGET_S = 30.0  # After that a member is dropped; it announces itself anew.


@attrs.frozen
class MemberNews:
    """What is known of one entry.

    Attributes:
      member: Its addresses and incarnation.
      started: Wall time of its start; the newest incarnation counts.
      counter: Raised in each round.
      ready: It serves callers.
      store: It reaches the store.
    """

    member: Member
    started: float
    counter: int
    ready: bool
    store: bool


@attrs.frozen
class TallyNews:
    """Answers that one entry saw, for one key."""

    origin: str
    key: TallyKey
    tally: Tally


@attrs.frozen
class News:
    """What one entry tells another.

    Attributes:
      members: All that it knows.
      table_version: Version of the route table that it has in force.
      records: How far roll-outs went.
      tallies: Answers of versions that are rolled out.
      running_old: Requests at old versions by order, in this entry.
      stopped: Orders whose version was found to be worse.
      incarnation: Of the sender.
    """

    incarnation: str
    members: list[MemberNews]
    table_version: int = -1
    records: list[RolloutRecord] = attrs.Factory(list)
    tallies: list[TallyNews] = attrs.Factory(list)
    running_old: dict[int, int] = attrs.Factory(dict)
    stopped: list[int] = attrs.Factory(list)


@attrs.define
class Seen:
    """A member and when its counter rose last.

    Attributes:
      news: The newest.
      heard_at: Monotonic seconds.
      refused: No process listens there.
      running_old: As it told last.
      table_version: As it told last.
    """

    news: MemberNews
    heard_at: float
    refused: bool = False
    running_old: dict[int, int] = attrs.Factory(dict)
    table_version: int = -1


@attrs.define
class Fleet:
    """The entries as this one knows them.

    Attributes:
      me: This entry.
      seen: The others, by name.
      rollouts: Where news of roll-outs go.
    """

    me: MemberNews
    clock: Clock
    rollouts: Rollouts
    rng: random.Random
    seen: dict[str, Seen] = attrs.Factory(dict)

    def take_member(self, news: MemberNews) -> None:
        """Takes in what is told of a member."""
        name = news.member.name
        if name == self.me.member.name:
            return
        now = self.clock.monotonic()
        before = self.seen.get(name)
        if before is None or news.started > before.news.started:
            self.seen[name] = Seen(news, now)
            log.info(
                "Entry known.",
                entry=name,
                incarnation=news.member.incarnation,
                ready=news.ready,
            )
            return
        if news.started < before.news.started:
            return
        if news.counter > before.news.counter:
            self.note_change(before, news)
            before.news = news
            before.heard_at = now
            before.refused = False

    def note_change(self, before: Seen, news: MemberNews) -> None:
        """Logs what callers will notice."""
        if before.news.ready != news.ready or before.refused:
            log.info(
                "Entry changed.",
                entry=news.member.name,
                ready=news.ready,
                state=news.member.state.value,
            )

    def note_refused(self, name: str) -> None:
        """Takes in that no process listens at a member's address."""
        seen = self.seen.get(name)
        if seen is not None and not seen.refused:
            seen.refused = True
            log.info("Entry is down.", entry=name)

    def is_live(self, seen: Seen) -> bool:
        """Says whether a member was heard of lately."""
        age = self.clock.monotonic() - seen.heard_at
        return not seen.refused and age < SILENT_S

    def live(self) -> list[MemberNews]:
        """Returns the live members, this one too."""
        others = [
            seen.news for seen in self.seen.values() if self.is_live(seen)
        ]
        return [self.me, *others]

    def entries(self) -> list[Member]:
        """Returns the entries that callers may use."""
        return [
            news.member
            for news in self.live()
            if news.ready and news.member.state is MemberState.LIVE
        ]

    def size(self) -> int:
        """Returns how many entries there are, also silent ones."""
        return len(self.seen) + 1

    def drives(self) -> bool:
        """Says whether this entry is to drive roll-outs now."""
        able = [
            news.member.name
            for news in self.live()
            if news.store and news.member.state is MemberState.LIVE
        ]
        return bool(able) and min(able) == self.me.member.name

    def old_running(self, order: int) -> int:
        """Returns the requests at an order's old version, in all entries."""
        own = self.rollouts.running_old.get(order, 0)
        return own + sum(
            seen.running_old.get(order, 0)
            for seen in self.seen.values()
            if self.is_live(seen)
        )

    def targets(self) -> list[Member]:
        """Returns the members to tell in this round.

        Beside live ones a silent one is tried: it may be back, or this entry
        may have been cut off.
        """
        live = [each for each in self.seen.values() if self.is_live(each)]
        silent = [each for each in self.seen.values() if not self.is_live(each)]
        if len(live) > FEW:
            live = self.rng.sample(live, FANOUT)
        if silent:
            live.append(self.rng.choice(silent))
        return [seen.news.member for seen in live]

    def forget_silent(self) -> None:
        """Drops members that were silent for long."""
        now = self.clock.monotonic()
        for name, seen in list(self.seen.items()):
            if now - seen.heard_at > FORGET_S:
                del self.seen[name]
                log.info("Entry forgotten.", entry=name)

    def news(self, table_version: int) -> News:
        """Returns what this entry tells."""
        orders = {order.id for order in self.rollouts.orders.values()}
        origin = self.me.member.incarnation
        tallies = [
            TallyNews(who, key, tally)
            for who, source in (
                (origin, self.rollouts.own),
                *self.rollouts.others.items(),
            )
            for key, tally in source.items()
            if key.order in orders
        ]
        return News(
            incarnation=origin,
            members=self.live(),
            table_version=table_version,
            records=list(self.rollouts.records.values()),
            tallies=tallies,
            running_old=dict(self.rollouts.running_old),
            stopped=sorted(self.rollouts.stopped & orders),
        )

    def take(self, news: News) -> None:
        """Takes in what another entry tells."""
        for member in news.members:
            self.take_member(member)
        for record in news.records:
            self.rollouts.take_record(record)
        for order in news.stopped:
            self.rollouts.stop(order, "told by a peer")
        self.take_tallies(news.tallies)
        for seen in self.seen.values():
            if seen.news.member.incarnation == news.incarnation:
                seen.running_old = news.running_old
                seen.table_version = news.table_version

    def take_tallies(self, tallies: Iterable[TallyNews]) -> None:
        """Takes in counts; they only rise."""
        for item in tallies:
            if item.origin == self.me.member.incarnation:
                continue
            known = self.rollouts.others.setdefault(item.origin, {})
            before = known.get(item.key)
            if before is None or item.tally.total > before.total:
                known[item.key] = item.tally
