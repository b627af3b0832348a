"""How a bound on what all entries send to one worker is divided among them.

Entries that each hold their own late view cannot count together what they send.
So a senders entries, found by a hash of the worker, may send to it, each with a
pause between two sends; the others go elsewhere. The bound holds without talk,
also while entries differ in whom they take to live.
"""

from __future__ import annotations

import heapq
import math

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import weight_for

# Entries that are candidates for a worker, of which a bound names the first senders.
MAX_SENDERS = 16
# A pause is so much longer than a whole part of a window: sends from one entry
# arrive at intervals that differ by some ms.
PAUSE_FACTOR = 1.05
# An entry that has just started may not know of the others yet, and would take
# itself for the only one.
STARTUP_GRACE_S = 3.0
SEND_RETENTION_S = 60.0  # Longer than any pause.
MAX_TRACKED_WORKERS = 1024  # Workers whose senders are remembered; 0.5 KB each.


@attrs.frozen
class RateBound:
    """What all entries together may send to a worker.

    Attributes:
      rate_per_s: Requests, in the long run.
      cap: Requests within any window.
      window_s: Its length.
      senders: Entries that may ever send, whoever lives; with more of them each
        has a longer pause.
      live_share: Of these, the share that does, of those that live. What is not
        1 leaves spares for those that are down.
    """

    rate_per_s: float
    cap: int
    window_s: float
    senders: int
    live_share: float


@attrs.frozen
class SenderShares:
    """How a bound is divided.

    Attributes:
      senders: Entries that may ever send, whoever lives.
      live_senders: Of these, how many that live do.
      pause_s: Seconds between two sends of one entry.
    """

    senders: int
    live_senders: int
    pause_s: float


def divide(bound: RateBound, entries: int) -> SenderShares | None:
    """Returns how a worker's bound is divided; None: it may get nothing.

    Args:
      bound: What all entries together may send.
      entries: Those that are known.

    >>> divide(RateBound(9.0, 18, 1.0, 4, 0.5), entries=77)
    SenderShares(senders=4, live_senders=2, pause_s=0.2625)
    """
    if bound.cap < 1:
        return None
    senders = min(MAX_SENDERS, bound.senders, entries, bound.cap)
    live_senders = max(1, math.floor(bound.live_share * senders))
    pause_s = PAUSE_FACTOR * bound.window_s / (bound.cap // senders)
    if bound.rate_per_s > 0.0:
        pause_s = max(pause_s, live_senders / bound.rate_per_s)
    return SenderShares(senders, live_senders, pause_s)


@attrs.define(eq=False, repr=False)
class SharedRates:
    """This entry's part of the bounds of workers.

    Workers are known here by their incarnations.

    Attributes:
      fleet: The entries that share a bound.
      sent_at: When this entry sent to a bound worker last, in monotonic
        seconds.
      candidates: The entries that may ever send to each, and the roster that they
        were candidates from.
      started_at: When this entry started.
    """

    fleet: Fleet
    clock: Clock
    sent_at: dict[str, float] = attrs.Factory(dict)
    candidates: dict[str, tuple[int, list[str]]] = attrs.Factory(dict)
    started_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    def opens_in_s(self, worker: RegisteredWorker, bound: RateBound) -> float:
        """Returns the seconds until this entry may send to a worker.

        Infinite for an entry that may not at all.
        """
        parts = divide(bound, self.fleet.size())
        if parts is None or not self.may_send(worker, parts):
            return math.inf
        sent_at = self.sent_at.get(worker.incarnation, -math.inf)
        return max(0.0, sent_at + parts.pause_s - self.clock.monotonic())

    def may_send(self, worker: RegisteredWorker, parts: SenderShares) -> bool:
        """Says whether this entry is one that may send to a worker."""
        now = self.clock.monotonic()
        if self.fleet.size() == 1 and now - self.started_at < STARTUP_GRACE_S:
            return False
        me = self.fleet.me.member.name
        senders = self.candidate_senders(worker.id)[: parts.senders]
        if me not in senders:
            return False
        live = [
            name for name in senders if name == me or self.fleet.is_live(name)
        ]
        return me in live[: parts.live_senders]

    def candidate_senders(self, worker: str) -> list[str]:
        """Returns the entries that may ever send to a worker.

        They are candidates from all that are known, down or not, so that entries
        that differ in whom they take to live find the same senders.
        """
        roster, senders = self.candidates.get(worker, (-1, []))
        if roster != self.fleet.roster_version:
            known = [news.member.name for news in self.fleet.all_states()]
            senders = heapq.nlargest(MAX_SENDERS, known, key=weight_for(worker))
            self.candidates[worker] = self.fleet.roster_version, senders
        return senders

    def start_bound(
        self, worker: str, incarnation: str, bound: RateBound
    ) -> None:
        """Takes in that a bound holds from now on.

        The senders begin one after the other, over the length of a pause.
        """
        parts = divide(bound, self.fleet.size())
        me = self.fleet.me.member.name
        senders = self.candidate_senders(worker)
        if parts is None or me not in senders:
            return
        rank = senders.index(me) + 1
        since_s = parts.pause_s * max(0.0, 1.0 - rank / parts.senders)
        sent_at = self.sent_at.get(incarnation, -math.inf)
        as_if_at = self.clock.monotonic() - since_s
        self.sent_at[incarnation] = max(sent_at, as_if_at)

    def record_send(self, incarnation: str) -> None:
        """Takes in that this entry sends a request to a bound worker."""
        now = self.clock.monotonic()
        self.sent_at[incarnation] = now
        if len(self.sent_at) > MAX_TRACKED_WORKERS:
            self.forget_before(now - SEND_RETENTION_S)

    def forget_before(self, oldest: float) -> None:
        """Drops sends from before a monotonic time, and surplus draws."""
        for incarnation, at in list(self.sent_at.items()):
            if at < oldest:
                del self.sent_at[incarnation]
        if len(self.candidates) > MAX_TRACKED_WORKERS:
            self.candidates.clear()
