"""Finds the parts of prompts that crash the workers that answer them.

Requests may share a part of their prompts under which each worker crashes as it
begins to answer, while no two of them are alike. A crash is put down to the
parts of all requests that their worker had just begun to answer. What tells the
cause from the parts beside it:

- A part that a worker stood since does not cause crashes. So parts that many
  requests share are soon cleared, however often one is beside the cause.
- A crash has one cause. The part with the most crashes explains them, and what
  is left of the other parts' crashes counts for them.

The module does no input or output and keeps no state.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.record import Record

# Crashes count fully for parts of answers that had begun at most so long ago.
# Later ones, and those of requests that had to wait, count half.
FRESH_S = 0.4
STALE_WEIGHT = 0.5
# Crashes after which a part is held that no worker is known to have stood.
# Other requests that are beside the cause by chance have fewer.
CRASHES_TO_HOLD = 5
# The same if no request has more than two of them. A sound one that is retried
# while workers crash may meet three.
SPREAD_CRASHES_TO_HOLD = 4
MAX_SPREAD_CRASHES = 2
# Entries that know that workers stood the part tell the others meanwhile.
HOLD_DELAY_S = 0.4
MAX_PROOF_DELAY_S = 0.25
# The same for a part that workers stood before, which may have turned bad, as
# with a new version. Requests that still run may show meanwhile that it hasn't.
CRASHES_TO_HOLD_PROVEN = 7
REQUESTS_TO_HOLD_PROVEN = 3
PROVEN_HOLD_DELAY_S = 1.3
# Share of all workers that crashed that had just begun an answer with it. Most
# have begun one with a popular part by chance.
SHARE_ABOVE_CHANCE = 0.45
MIN_SHARE_TO_HOLD_PROVEN = 0.65
MAX_SHARE_TO_HOLD_PROVEN = 0.95
# Requests with an unproven part that have to crash workers before it excuses
# proven ones: one that is new is beside the cause by chance.
REQUESTS_TO_EXCUSE = 2
# Share of a proven part's crashes that unproven ones have to explain.
EXCUSED_SHARE = 0.75
# Unexplained crashes after which a part is held that has enough crashes in all.
# Two causes often crash a worker together.
UNEXPLAINED_TO_HOLD = 1
# Workers that lose power together crash under all that is popular. A cause
# crashes them one after the other.
BURST_S = 0.3
BURSTS_TO_HOLD_PROVEN = 3
# Since the last crash. Long compared to the pauses between callers' retries;
# short enough that a fixed worker serves the part within the hour.
HOLD_S = 600.0
# For a part that workers stood before, doubled with each further burst.
PROVEN_HOLD_S = 30.0
# A part explains crashes better than one of fewer requests if it has this many
# more of them.
WIDER_MARGIN = 2
KEY_PREFIX = "part-"


@attrs.frozen(eq=False, repr=False)
class PartCrash(Record):
    """A crash of a worker at which a request was under way.

    Attributes:
      at: When it crashed, in monotonic seconds.
      answering_s: Seconds for which it had been answering the request, None if
        it had not begun.
    """

    at: float
    answering_s: float | None = None

    @property
    def began(self) -> bool:
        """Whether the worker had begun to answer the request."""
        return self.answering_s is not None

    @property
    def weight(self) -> float:
        """How much the crash counts for the parts of the request."""
        fresh = self.answering_s is not None and self.answering_s <= FRESH_S
        return 1.0 if fresh else STALE_WEIGHT


@attrs.frozen(eq=False, repr=False)
class CrashedRequest(Record):
    """A request under which workers crashed.

    Attributes:
      parts: Ids of the parts of its prompt that others may share.
      crashes: The crashes that they may have caused, by incarnation.
    """

    parts: frozenset[str]
    crashes: dict[str, PartCrash] = attrs.Factory(dict)


@attrs.frozen(eq=False, repr=False)
class PartHold(Record):
    """Parts of prompts that are kept from workers.

    Attributes:
      parts: A request that has all of them is held. Several if the requests
        that crashed workers had all of them.
      workers: Incarnations of the workers that crashed.
      since: From when on requests are held, in monotonic seconds.
      last_crash: When the last worker crashed, in monotonic seconds.
      hold_s: Seconds for which they are held after the last crash.
    """

    parts: frozenset[str]
    workers: frozenset[str]
    since: float
    last_crash: float
    hold_s: float

    @property
    def key(self) -> str:
        """Text that identifies the parts."""
        return KEY_PREFIX + short_digest("\0".join(sorted(self.parts)))

    def remaining_s(self, now: float) -> float:
        """Returns the seconds for which requests are still held, 0 if none."""
        if now < self.since:
            return 0.0
        return max(0.0, self.last_crash + self.hold_s - now)


# Crashes by time, each with the index of its request.
Crashes = list[tuple[PartCrash, int]]


@attrs.define(eq=False, repr=False)
class Candidate:
    """A part that may have caused crashes.

    Attributes:
      part: Id of the part.
      proven: Whether a worker is known to have stood it before.
      requests: Indices of the requests with the part whose worker crashed.
      crashes: Crash of each worker that counts most, and the index of its
        request, by incarnation.
      all_crashes: Time of each crash, whether or not the part was there, by
        incarnation.
      count: Number of all requests whose worker crashed.
    """

    part: str
    proven: bool
    all_crashes: Mapping[str, float]
    count: int
    requests: set[int] = attrs.Factory(set)
    crashes: dict[str, tuple[PartCrash, int]] = attrs.Factory(dict)

    def add(self, worker: str, crash: PartCrash, request: int) -> None:
        """Adds a crash under a request with the part."""
        self.requests.add(request)
        known = self.crashes.get(worker)
        if known is None or known[0].weight < crash.weight:
            self.crashes[worker] = crash, request

    def fresh(self) -> set[str]:
        """Returns the workers that crashed as they began to answer."""
        return {
            worker
            for worker, (crash, _request) in self.crashes.items()
            if crash.weight == 1.0
        }

    def unexplained(self, causes: Iterable[Candidate]) -> Crashes:
        """Returns the crashes that have no other cause, by time."""
        explained = {worker for cause in causes for worker in cause.crashes}
        found = (
            (crash.at, worker, crash, request)
            for worker, (crash, request) in self.crashes.items()
            if worker not in explained
        )
        return [(crash, request) for _, _, crash, request in sorted(found)]


def find_holds(
    requests: Iterable[CrashedRequest], proven_at: Mapping[str, float]
) -> Iterator[PartHold]:
    """Yields the parts that crash workers, the one with most crashes first.

    Args:
      requests: The requests under which workers crashed.
      proven_at: Last time at which a worker began an answer that it stood, in
        monotonic seconds, by part.
    """
    candidates = list(find_candidates(list(requests), proven_at))
    causes: list[Candidate] = []
    while True:
        suspects = [
            each
            for each in candidates
            if math.isfinite(held_from(each, causes))
        ]
        if not suspects:
            return
        cause = select_cause(suspects, causes)
        yield make_hold(cause, candidates, causes)
        causes.append(cause)


def find_candidates(
    requests: list[CrashedRequest], proven_at: Mapping[str, float]
) -> Iterator[Candidate]:
    """Yields the parts with the crashes that may be due to them.

    Of the requests at a worker that crashed, it had begun to answer some. Only
    if that is known of none may the crash be due to those that waited there.
    """
    began = {
        worker
        for request in requests
        for worker, crash in request.crashes.items()
        if crash.began
    }
    found: dict[str, Candidate] = {}
    all_crashes = {
        worker: crash.at
        for request in requests
        for worker, crash in request.crashes.items()
    }
    for index, request in enumerate(requests):
        for worker, crash in request.crashes.items():
            if worker in began and not crash.began:
                continue
            for part in request.parts:
                proven = proven_at.get(part)
                if proven is not None and crash.at <= proven:
                    continue
                if part not in found:
                    found[part] = Candidate(
                        part, proven is not None, all_crashes, len(requests)
                    )
                found[part].add(worker, crash, index)
    excuse_proven(found.values())
    yield from found.values()


def excuse_proven(candidates: Collection[Candidate]) -> None:
    """Drops crashes of proven parts that may be due to unproven ones."""
    unproven = [
        each
        for each in candidates
        if not each.proven and len(each.requests) >= REQUESTS_TO_EXCUSE
    ]
    explained = {worker for each in unproven for worker in each.fresh()}
    for each in candidates:
        if not each.proven:
            continue
        excused = each.crashes.keys() & explained
        if len(excused) >= EXCUSED_SHARE * len(each.crashes):
            for worker in excused:
                del each.crashes[worker]


def held_from(candidate: Candidate, causes: Collection[Candidate]) -> float:
    """Returns when a part begins to be held.

    Args:
      candidate: The part.
      causes: Parts that are held already and explain some of its crashes.

    Returns:
      Monotonic seconds; infinite if it has too few unexplained crashes.
    """
    crashes = candidate.unexplained(causes)
    if candidate.proven:
        return proven_held_from(candidate, crashes, causes)
    enough_at = reached_at(spread(crashes), SPREAD_CRASHES_TO_HOLD)
    if any(cause.requests <= candidate.requests for cause in causes):
        # It comes with each request that has the cause.
        return enough_at + HOLD_DELAY_S
    few_at = reached_at(crashes, UNEXPLAINED_TO_HOLD)
    all_at = reached_at(candidate.unexplained(()), CRASHES_TO_HOLD)
    return min(enough_at + HOLD_DELAY_S, max(few_at, all_at + HOLD_DELAY_S))


def proven_held_from(
    candidate: Candidate, crashes: Crashes, causes: Collection[Candidate]
) -> float:
    """Returns when a part that workers stood before begins to be held.

    A part that has turned bad is new at each worker that crashes. One that is
    only popular is not, and shows sooner that workers still stand it.

    Args:
      candidate: The part.
      crashes: Its unexplained crashes.
      causes: Parts that are held already.

    Returns:
      Monotonic seconds; infinite if the crashes may have another cause.
    """
    if bursts_of(crashes) < BURSTS_TO_HOLD_PROVEN:
        return math.inf
    if len({request for _crash, request in crashes}) < REQUESTS_TO_HOLD_PROVEN:
        return math.inf
    explained = {worker for cause in causes for worker in cause.crashes}
    first = crashes[0][0].at
    total = sum(
        at >= first
        for worker, at in candidate.all_crashes.items()
        if worker not in explained
    )
    fresh = sum(crash.weight == 1.0 for crash, _request in crashes)
    popularity = len(candidate.requests) / candidate.count
    if fresh < required_share(popularity) * total:
        return math.inf
    enough_at = reached_at(crashes, CRASHES_TO_HOLD_PROVEN)
    return enough_at + PROVEN_HOLD_DELAY_S


def required_share(popularity: float) -> float:
    """Returns the share of crashes from which on a proven part is held.

    Args:
      popularity: Share of the requests that crashed workers ran which have it.

    >>> required_share(0.1), required_share(0.9)
    (0.65, 0.95)
    """
    share = popularity + SHARE_ABOVE_CHANCE
    return min(MAX_SHARE_TO_HOLD_PROVEN, max(MIN_SHARE_TO_HOLD_PROVEN, share))


def reached_at(crashes: Crashes, count: float) -> float:
    """Returns when crashes counted enough, infinite if they do not."""
    total = 0.0
    for crash, _request in crashes:
        total += crash.weight
        if total >= count:
            return crash.at
    return math.inf


def spread(crashes: Crashes) -> Crashes:
    """Returns the crashes without those of a request beyond its first ones."""
    counts: collections.Counter[int] = collections.Counter()
    found = []
    for crash, request in crashes:
        counts[request] += 1
        if counts[request] <= MAX_SPREAD_CRASHES:
            found.append((crash, request))
    return found


def bursts_of(crashes: Crashes) -> int:
    """Returns the number of bursts in which workers crashed."""
    return count_bursts(crash.at for crash, _request in crashes)


def count_bursts(times: Iterable[float]) -> int:
    """Returns the number of crashes that are not at about the same time.

    >>> count_bursts([0.0, 0.1, 0.6, 0.7])
    2
    """
    count, last = 0, float("-inf")
    for at in times:
        if at - last >= BURST_S:
            count, last = count + 1, at
    return count


def select_cause(
    suspects: list[Candidate], causes: Collection[Candidate]
) -> Candidate:
    """Returns the part that explains the most crashes.

    A part of fewer requests is preferred if it explains nearly as many.
    """

    def rank(each: Candidate) -> tuple[bool, float, str]:
        crashes = each.unexplained(causes)
        count = sum(crash.weight for crash, _request in crashes)
        return not each.proven, count, each.part

    cause = max(suspects, key=rank)
    narrower = [
        each
        for each in suspects
        if len(each.requests) < len(cause.requests)
        and len(cause.crashes.keys() - each.crashes.keys()) < WIDER_MARGIN
    ]
    return max(narrower, key=rank, default=cause)


def make_hold(
    cause: Candidate,
    candidates: Iterable[Candidate],
    causes: Collection[Candidate],
) -> PartHold:
    """Returns the hold of a part and of those that can't be told from it."""
    crashes = cause.unexplained(causes)
    hold_s = HOLD_S
    if cause.proven:
        doublings = bursts_of(crashes) - BURSTS_TO_HOLD_PROVEN
        hold_s = min(HOLD_S, PROVEN_HOLD_S * 2.0**doublings)
    alike = (
        each.part
        for each in candidates
        if each.requests == cause.requests and each.proven == cause.proven
    )
    return PartHold(
        frozenset(alike),
        frozenset(cause.crashes),
        held_from(cause, causes),
        max(crash.at for crash, _request in cause.crashes.values()),
        hold_s,
    )


def held_s(
    holds: Iterable[PartHold], parts: Collection[str], now: float
) -> float:
    """Returns the seconds for which a request is held for its parts."""
    return max(
        (hold.remaining_s(now) for hold in holds if hold.parts.issubset(parts)),
        default=0.0,
    )


def suppressed_delay_s(entries: int, draw: float) -> float:
    """Returns how long an entry waits before it publishes a proof.

    All entries may be about to publish the same. However many there are, few
    of them do before the first publication has reached the others.

    Args:
      entries: Number of entries.
      draw: Uniformly distributed number from 0 to 1.

    >>> suppressed_delay_s(420, 0.001), suppressed_delay_s(420, 1.0)
    (0.0, 0.25)
    """
    if entries < 2 or draw <= 0.0:
        return 0.0
    share = 1.0 + math.log(draw) / math.log(entries)
    return MAX_PROOF_DELAY_S * max(0.0, share)
