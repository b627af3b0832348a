"""Divides a bound on the requests to one worker among all entries.

Entries cannot count their requests together, since each has its own, delayed
view of the fleet. Instead a few entries, chosen by a hash of the worker, may
send to it, each with a minimum interval between requests; the others use other
workers. The bound holds without communication, also while entries disagree
about which entries are alive.
"""

from __future__ import annotations

import heapq
import math

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import weight_for
from rattanpier._internal.utils.record import Record

# Candidate senders per worker; a bound uses the first of them.
MAX_SENDERS = 16
# Pauses are longer by this factor than an even share of the window, since the
# intervals between requests from one entry vary by some ms on arrival.
PAUSE_FACTOR = 1.05
# An entry that has just started may not know its peers yet, and would conclude
# that it is the only entry.
STARTUP_GRACE_S = 3.0
SEND_RETENTION_S = 60.0  # Longer than any pause.
MAX_TRACKED_WORKERS = 1024  # Workers with stored senders; 0.5 KB each.


@attrs.frozen(eq=False, repr=False)
class RateBound(Record):
    """Bound on the requests of all entries together to one worker.

    Attributes:
      rate_per_s: Requests per second in the long run.
      cap: Most requests within any window.
      window_s: Length of the window in seconds.
      senders: Entries that may send, regardless of which are alive; more
        senders mean a longer pause for each.
      live_share: Share of the senders, among those alive, that do send. A value
        below 1 leaves spares for senders that are down.
    """

    rate_per_s: float
    cap: int
    window_s: float
    senders: int
    live_share: float


@attrs.frozen(eq=False, repr=False)
class SenderShares(Record):
    """How a bound is divided among entries.

    Attributes:
      senders: Entries that may send, regardless of which are alive.
      live_senders: How many of the senders that are alive do send.
      pause_s: Minimum seconds between two requests of one entry.
    """

    senders: int
    live_senders: int
    pause_s: float


def divide(bound: RateBound, entries: int) -> SenderShares | None:
    """Returns how a worker's bound is divided among entries.

    Args:
      bound: The bound for all entries together.
      entries: Number of known entries.

    Returns:
      The division, or None if the worker may get no requests.

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
    """This entry's share of the bounds of workers.

    Attributes:
      fleet: The entries that share a bound.
      clock: Source of monotonic time.
      sent_at: By incarnation of a bounded worker, the time of this entry's last
        request to it, in monotonic seconds.
      candidates: By worker id, the entries that may send to it, with the number
        of the roster from which they were chosen.
      started_at: Start of this entry, in monotonic seconds.
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

    def available_in_s(
        self, worker: RegisteredWorker, bound: RateBound
    ) -> float:
        """Returns the seconds until this entry may send to a worker.

        Infinite if this entry is not one of the worker's senders.
        """
        parts = divide(bound, self.fleet.size())
        if parts is None or not self.may_send(worker, parts):
            return math.inf
        # An earlier process of this entry may have sent just before its end.
        sent_at = self.sent_at.get(worker.incarnation, self.started_at)
        return max(0.0, sent_at + parts.pause_s - self.clock.monotonic())

    def may_send(self, worker: RegisteredWorker, parts: SenderShares) -> bool:
        """Returns whether this entry is one of a worker's active senders.

        Entries that reach no worker leave their share to the next ones.
        """
        now = self.clock.monotonic()
        if self.fleet.size() == 1 and now - self.started_at < STARTUP_GRACE_S:
            return False
        me = self.fleet.me.member.name
        senders = self.candidate_senders(worker.id)[: parts.senders]
        if me not in senders:
            return False
        live = [
            name
            for name in senders
            if name == me or self.fleet.reaches_workers(name)
        ]
        return me in live[: parts.live_senders]

    def candidate_senders(self, worker: str) -> list[str]:
        """Returns the entries that may send to a worker, most preferred first.

        They are chosen from all known entries, including those that are down,
        so that entries that disagree about liveness find the same senders.
        """
        roster, senders = self.candidates.get(worker, (-1, []))
        if roster != self.fleet.roster_version:
            known = [state.member.name for state in self.fleet.all_states()]
            senders = heapq.nlargest(MAX_SENDERS, known, key=weight_for(worker))
            self.candidates[worker] = self.fleet.roster_version, senders
        return senders

    def start_bound(
        self, worker: str, incarnation: str, bound: RateBound
    ) -> None:
        """Records that a bound holds from now on.

        The senders' first requests are staggered over the length of a pause.
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
        """Records that this entry sends a request to a bounded worker."""
        now = self.clock.monotonic()
        self.sent_at[incarnation] = now
        if len(self.sent_at) > MAX_TRACKED_WORKERS:
            self.forget_before(now - SEND_RETENTION_S)

    def forget_before(self, oldest: float) -> None:
        """Drops requests before a monotonic time, and surplus candidates."""
        for incarnation, at in list(self.sent_at.items()):
            if at < oldest:
                del self.sent_at[incarnation]
        if len(self.candidates) > MAX_TRACKED_WORKERS:
            self.candidates.clear()
