"""How much a worker gets while it warms up, over all entries together.

A worker that has just started bears a few requests a second and ends under
more. It also looks empty, so that all entries would choose it at the same
moment. Entries that each hold their own late view cannot count together what
they send. So a few entries, found by a hash of the worker, may send to it, each
with a pause between two sends; the others go elsewhere. The bound holds without
talk, also while entries differ in whom they take to live.

What is not known counts as warming up: a worker that appears, one whose domain
comes back after it was drained.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.route_table import WarmUp
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import weight_for

log = structlog.get_logger(part="workers")

# Entries that may ever send to a worker, whoever lives; half of them do, so
# that one may be down. With more each has a longer pause, and a part that it
# has no request for is lost.
MOST_SENDERS = 4
LIVE_SHARE = 0.5
# A pause is so much longer than a whole part of a second: sends from one entry
# arrive at intervals that differ by some ms.
PAUSE_SLACK = 1.05
# The registration that tells of a warm-up is as old as one heartbeat of the
# worker and the way through the store and a watcher.
NEWS_S = 1.0
# An entry that has just started may not know of the others yet, and would take
# itself for the only one.
SETTLED_S = 3.0
# What is known of a worker is of use for as long as it warms up.
KEPT_S = 60.0
MOST_DRAWN = 1024  # Workers whose senders are remembered; 0.5 KB each.


@attrs.frozen
class WarmUpLimit:
    """What all entries together may send to a worker that warms up.

    Attributes:
      senders: Entries that may ever send, whoever lives.
      live_senders: Of these, how many that live do.
      pause_s: Seconds between two sends of one entry.
    """

    senders: int
    live_senders: int
    pause_s: float


def limit_for(
    warm_up: WarmUp, overshoot: float, slack: float, entries: int
) -> WarmUpLimit | None:
    """Returns how a worker's bound is divided; None: it may get nothing.

    Args:
      warm_up: What the worker bears.
      overshoot: Times the rate that may reach it in any one second.
      slack: Requests that may reach it beyond that.
      entries: Those that are known.

    >>> limit_for(WarmUp(3.0, 9.0), 1.5, 5.0, entries=77)
    WarmUpLimit(senders=4, live_senders=2, pause_s=0.2625)
    """
    most = math.floor(warm_up.rate_per_s * overshoot + slack)
    if most < 1:
        return None
    senders = min(MOST_SENDERS, entries, most)
    live = max(1, math.floor(LIVE_SHARE * senders))
    pause_s = PAUSE_SLACK / (most // senders)
    if warm_up.rate_per_s > 0.0:
        pause_s = max(pause_s, live / warm_up.rate_per_s)
    return WarmUpLimit(senders, live, pause_s)


@attrs.define(eq=False, repr=False)
class WarmUps:
    """Workers that warm up, and what this entry may send them.

    Workers are known here by their incarnations.

    Attributes:
      fleet: The entries that share the bound.
      warm_up_of: What workers of a service bear; None where it is unbounded.
      overshoot: Times the rate that may reach one in any one second.
      slack: Requests that may reach one beyond that.
      heartbeat_s: Workers renew their registration this often.
      told_until: Until when each says that it warms up, in monotonic seconds.
      presumed_at: Since when each is taken to, whatever it says.
      sent_at: When this entry sent there last.
      drawn: The entries that may ever send to each, and the roster that they
        were drawn from.
      started_at: When this entry started.
    """

    fleet: Fleet
    clock: Clock
    warm_up_of: Callable[[str], WarmUp | None]
    overshoot: float = 1.0
    slack: float = 0.0
    heartbeat_s: float = 0.0
    told_until: dict[str, float] = attrs.Factory(dict)
    presumed_at: dict[str, float] = attrs.Factory(dict)
    sent_at: dict[str, float] = attrs.Factory(dict)
    drawn: dict[str, tuple[int, list[str]]] = attrs.Factory(dict)
    started_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    # What is known of workers.

    def note_registered(self, worker: RegisteredWorker, appeared: bool) -> None:
        """Takes in a registration.

        Args:
          worker: Who registered.
          appeared: Its incarnation was not known before.
        """
        if worker.warm_in_s > 0.0:
            until = self.clock.monotonic() + worker.warm_in_s
            self.told_until[worker.incarnation] = until
        else:
            self.told_until.pop(worker.incarnation, None)
        if appeared:
            self.presume([worker])

    def presume(self, workers: Iterable[RegisteredWorker]) -> None:
        """Takes workers to warm up from now on, whatever they say.

        That holds for those that have just appeared, and for those whose domain
        gets requests again: they may have turned cold meanwhile, which their
        registrations tell a heartbeat later.
        """
        self.forget_old()
        now = self.clock.monotonic()
        for worker in workers:
            self.presumed_at[worker.incarnation] = now

    def forget_old(self) -> None:
        """Drops what was known of workers that are warm by now, or gone."""
        oldest = self.clock.monotonic() - KEPT_S
        for known in (self.told_until, self.presumed_at, self.sent_at):
            for incarnation, at in list(known.items()):
                if at < oldest:
                    del known[incarnation]
        if len(self.drawn) > MOST_DRAWN:
            self.drawn.clear()

    def warm_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker is surely warm; 0: it is."""
        warm_up = self.warm_up_of(worker.service)
        if warm_up is None:
            return 0.0
        told = self.told_until.get(worker.incarnation, -math.inf)
        presumed = self.presumed_at.get(worker.incarnation, -math.inf)
        until = max(
            told + NEWS_S, presumed + warm_up.start_s + self.heartbeat_s
        )
        return max(0.0, until - self.clock.monotonic())

    def warms_up(self, worker: RegisteredWorker) -> bool:
        """Says whether a worker's bound holds for what it gets now."""
        return self.warm_in_s(worker) > 0.0

    # What may be sent.

    def open(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not self.told_until and not self.presumed_at:
            return workers
        return [each for each in workers if self.opens_in_s(each) <= 0.0]

    def opens_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until this entry may send to a worker."""
        warm_in_s = self.warm_in_s(worker)
        if warm_in_s <= 0.0:
            return 0.0
        warm_up = self.warm_up_of(worker.service)
        assert warm_up is not None
        limit = limit_for(
            warm_up, self.overshoot, self.slack, self.fleet.size()
        )
        if limit is None or not self.is_sender(worker, limit):
            return warm_in_s
        sent_at = self.sent_at.get(worker.incarnation, -math.inf)
        next_in_s = sent_at + limit.pause_s - self.clock.monotonic()
        return min(warm_in_s, max(0.0, next_in_s))

    def soonest_s(self, workers: Iterable[RegisteredWorker]) -> float | None:
        """Returns when this entry may send to one of some that warm up.

        None if there is none that it may not send to now.
        """
        waits = (self.opens_in_s(worker) for worker in workers)
        return min((wait_s for wait_s in waits if wait_s > 0.0), default=None)

    def is_sender(self, worker: RegisteredWorker, limit: WarmUpLimit) -> bool:
        """Says whether this entry is one that may send to a worker."""
        now = self.clock.monotonic()
        if self.fleet.size() == 1 and now - self.started_at < SETTLED_S:
            return False
        me = self.fleet.me.member.name
        few = self.draw(worker.id)[: limit.senders]
        if me not in few:
            return False
        live = [name for name in few if name == me or self.fleet.lives(name)]
        return me in live[: limit.live_senders]

    def draw(self, worker: str) -> list[str]:
        """Returns the entries that may ever send to a worker.

        They are drawn from all that are known, down or not, so that entries
        that differ in whom they take to live find the same few.
        """
        roster, few = self.drawn.get(worker, (-1, []))
        if roster != self.fleet.roster:
            known = [news.member.name for news in self.fleet.all_news()]
            few = heapq.nlargest(MOST_SENDERS, known, key=weight_for(worker))
            self.drawn[worker] = self.fleet.roster, few
        return few

    def note_send(self, worker: RegisteredWorker) -> None:
        """Takes in that this entry sends a request to a worker."""
        if self.warms_up(worker):
            self.sent_at[worker.incarnation] = self.clock.monotonic()
            log.info(
                "Sent to a worker that warms up.",
                worker=worker.id,
                warm_in_s=round(self.warm_in_s(worker), 3),
                entries=self.fleet.size(),
            )
