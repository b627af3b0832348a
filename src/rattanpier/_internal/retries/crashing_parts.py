"""Finds the parts of prompts that crash the workers that answer them.

Requests may share a part of their prompts under which each worker crashes as it
begins to answer, while no two of them are alike. A crash is put down to the
parts of all requests that their worker had just begun to answer. What tells the
cause from the parts beside it:

- A part that a worker stood since does not cause crashes. So parts that many
  requests share are soon cleared, however often one is beside the cause.
- A crash has one cause. The part that can be told first explains its crashes,
  and what is left of the other parts' crashes counts for them.
- A part that workers stood before may have turned bad. It needs more evidence,
  see `crash_evidence`.

The module does no input or output and keeps no state.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from rattanpier._internal.retries.crash_evidence import (
    DECISION,
    SuspectCrash,
    evidence,
)
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
# The delay for a part that workers stood before, which may have turned bad, as
# with a new version. Requests that still run show meanwhile that it hasn't.
PROVEN_HOLD_DELAY_S = 1.2
# Evidence that a proven part may have less than another one, and is still held
# in its place if fewer requests have it.
NARROWER_MARGIN = 2.0
# Requests with an unproven part that have to crash workers before it excuses
# proven ones: one that is new is beside the cause by chance.
REQUESTS_TO_EXCUSE = 2
# Share of a proven part's crashes that unproven ones have to explain.
EXCUSED_SHARE = 0.75
# Unexplained crashes after which a part is held that has enough crashes in all.
# Two causes often crash a worker together.
UNEXPLAINED_TO_HOLD = 1
# Crashes this close to each other are one burst.
BURST_S = 0.3
BURSTS_OF_FIRST_HOLD = 3
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
      is_hold: Whether it stands for parts that another entry held, and is no
        request.
    """

    parts: frozenset[str]
    crashes: dict[str, PartCrash] = attrs.Factory(dict)
    is_hold: bool = False


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
      held_elsewhere: Whether another entry held it.
      crashes: Crash of each worker that counts most, and the index of its
        request, by incarnation.
      all_crashes: First report of each crash, whether or not the part was
        there, by incarnation.
      workers: Number of workers; 0 if it is not known.
      stood_since: When answers with the part began that the worker had stood
        for a while as it crashed, by incarnation.
    """

    part: str
    proven: bool
    all_crashes: Mapping[str, float]
    workers: int
    stood_since: dict[str, list[float]] = attrs.Factory(dict)
    requests: set[int] = attrs.Factory(set)
    held_elsewhere: bool = False
    crashes: dict[str, tuple[PartCrash, int]] = attrs.Factory(dict)

    def add(
        self, worker: str, crash: PartCrash, request: int, is_hold: bool
    ) -> None:
        """Adds a crash under a request with the part."""
        if is_hold:
            self.held_elsewhere = True
        else:
            self.requests.add(request)
        if crash.answering_s is not None and crash.answering_s > FRESH_S:
            began_at = crash.at - crash.answering_s
            self.stood_since.setdefault(worker, []).append(began_at)
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

    def evidence(
        self, causes: Iterable[Candidate]
    ) -> list[tuple[float, float]]:
        """Returns the evidence that the part is a cause, as crashes came in.

        Args:
          causes: Parts that explain some of the crashes.

        Returns:
          Pairs of a time in monotonic seconds and the evidence up to it.
        """
        explained = {worker for cause in causes for worker in cause.crashes}
        found = (
            SuspectCrash(
                self.all_crashes[worker],
                request,
                crash.began and crash.weight == 1.0,
                tuple(self.stood_since.get(worker, ())),
            )
            for worker, (crash, request) in self.crashes.items()
            if worker not in explained
        )
        times = [
            at
            for worker, at in self.all_crashes.items()
            if worker not in explained
        ]
        by_time = sorted(found, key=lambda crash: crash.at)
        return list(evidence(by_time, times, self.workers))


def find_holds(
    requests: Iterable[CrashedRequest],
    proven_at: Mapping[str, float],
    workers: int = 0,
) -> Iterator[PartHold]:
    """Yields the parts that crash workers, the one with most crashes first.

    Args:
      requests: The requests under which workers crashed.
      proven_at: Last time at which a worker began an answer that it stood, in
        monotonic seconds, by part.
      workers: Number of workers; 0 if it is not known.
    """
    candidates = list(find_candidates(list(requests), proven_at, workers))
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
    requests: list[CrashedRequest],
    proven_at: Mapping[str, float],
    workers: int,
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
    all_crashes: dict[str, float] = {}
    for request in requests:
        for worker, crash in request.crashes.items():
            known = all_crashes.get(worker, crash.at)
            all_crashes[worker] = min(known, crash.at)
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
                        part, proven is not None, all_crashes, workers
                    )
                found[part].add(worker, crash, index, request.is_hold)
    excuse_proven(found.values())
    yield from found.values()


def excuse_proven(candidates: Collection[Candidate]) -> None:
    """Drops crashes of proven parts that may be due to unproven ones."""
    unproven = [
        each
        for each in candidates
        if not each.proven
        and (each.held_elsewhere or len(each.requests) >= REQUESTS_TO_EXCUSE)
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
        return proven_held_from(candidate, causes)
    enough_at = reached_at(spread(crashes), SPREAD_CRASHES_TO_HOLD)
    if any(
        cause.requests and cause.requests <= candidate.requests
        for cause in causes
    ):
        # It comes with each request that has the cause.
        return enough_at + HOLD_DELAY_S
    few_at = reached_at(crashes, UNEXPLAINED_TO_HOLD)
    all_at = reached_at(candidate.unexplained(()), CRASHES_TO_HOLD)
    return min(enough_at + HOLD_DELAY_S, max(few_at, all_at + HOLD_DELAY_S))


def proven_held_from(
    candidate: Candidate, causes: Iterable[Candidate]
) -> float:
    """Returns when a part that workers stood before begins to be held.

    Args:
      candidate: The part.
      causes: Parts that are held already.

    Returns:
      Monotonic seconds; infinite if the crashes may have another cause.
    """
    for at, found in candidate.evidence(causes):
        if found >= DECISION:
            return at + PROVEN_HOLD_DELAY_S
    return math.inf


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
    """Returns the part that explains the crashes best.

    The first one that could be told stands: crashes that come later are not due
    to it, as it is kept from workers. A part of fewer requests is preferred if
    it explains nearly as much.
    """
    first = min(suspects, key=lambda each: held_from(each, causes))
    suspects = [each for each in suspects if each.proven == first.proven]
    if not first.proven:
        return select_unproven(suspects, causes)
    # Crashes after the first hold began say nothing of the part that is held.
    until = min(proven_held_from(each, causes) for each in suspects)
    found = {
        each.part: max(
            (value for at, value in each.evidence(causes) if at <= until),
            default=-math.inf,
        )
        for each in suspects
    }
    least = max(DECISION, max(found.values()) - NARROWER_MARGIN)
    return min(
        (each for each in suspects if found[each.part] >= least),
        key=lambda each: (len(each.requests), -found[each.part], each.part),
    )


def select_unproven(
    suspects: list[Candidate], causes: Collection[Candidate]
) -> Candidate:
    """Returns the part with the most crashes, or a narrower one."""

    def rank(each: Candidate) -> tuple[float, str]:
        crashes = each.unexplained(causes)
        count = sum(crash.weight for crash, _request in crashes)
        return count, each.part

    cause = max(suspects, key=rank)
    narrower = [
        each
        for each in suspects
        if is_narrower(each, cause)
        and len(cause.crashes.keys() - each.crashes.keys()) < WIDER_MARGIN
    ]
    return max(narrower, key=rank, default=cause)


def is_narrower(candidate: Candidate, other: Candidate) -> bool:
    """Returns whether fewer requests have a part than another one.

    One that another entry held was told from its neighbours there.
    """
    if candidate.held_elsewhere != other.held_elsewhere:
        return candidate.held_elsewhere
    return len(candidate.requests) < len(other.requests)


def make_hold(
    cause: Candidate,
    candidates: Iterable[Candidate],
    causes: Collection[Candidate],
) -> PartHold:
    """Returns the hold of a part and of those that can't be told from it."""
    crashes = cause.unexplained(causes)
    hold_s = HOLD_S
    if cause.proven:
        doublings = max(0, bursts_of(crashes) - BURSTS_OF_FIRST_HOLD)
        hold_s = min(HOLD_S, PROVEN_HOLD_S * 2.0**doublings)
    alike = (
        each.part
        for each in candidates
        if each.requests == cause.requests
        and each.proven == cause.proven
        and each.held_elsewhere == cause.held_elsewhere
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
