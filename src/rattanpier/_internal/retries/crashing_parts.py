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

import math
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.record import Record

# Crashed workers after which a part is held that no worker is known to have
# stood. Other requests that are beside the cause by chance have fewer.
CRASHES_TO_HOLD = 4
# Entries that know that workers stood the part tell the others meanwhile.
HOLD_DELAY_S = 0.4
MAX_PROOF_DELAY_S = 0.25
# The same for a part that workers stood before, which may have turned bad, as
# with a new version. Requests that still run may show meanwhile that it hasn't.
CRASHES_TO_HOLD_PROVEN = 5
PROVEN_HOLD_DELAY_S = 1.0
# Workers that lose power together crash under all that is popular. A cause
# crashes them one after the other.
BURST_S = 0.5
BURSTS_TO_HOLD_PROVEN = 3
# Since the last crash. Long compared to the pauses between callers' retries;
# short enough that a fixed worker serves the part within the hour.
HOLD_S = 600.0
# For a part that workers stood before, doubled with each further burst.
PROVEN_HOLD_S = 30.0
# A part explains crashes better than one that only some of its requests have
# if it has this many more of them.
WIDER_MARGIN = 2
KEY_PREFIX = "part-"


@attrs.frozen(eq=False, repr=False)
class PartCrash(Record):
    """A crash of a worker at which a request was under way.

    Attributes:
      at: When it crashed, in monotonic seconds.
      began: Whether it had just begun to answer the request.
    """

    at: float
    began: bool


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


@attrs.define(eq=False, repr=False)
class Candidate:
    """A part that may have caused crashes.

    Attributes:
      part: Id of the part.
      proven: Whether a worker is known to have stood it before.
      requests: Indices of the requests with the part whose worker crashed.
      crashes: When the workers crashed, in monotonic seconds, by incarnation.
    """

    part: str
    proven: bool
    requests: set[int] = attrs.Factory(set)
    crashes: dict[str, float] = attrs.Factory(dict)

    def unexplained(self, explained: Collection[str]) -> list[float]:
        """Returns the times of the crashes that have no other cause, sorted."""
        return sorted(
            at for worker, at in self.crashes.items() if worker not in explained
        )


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
    explained: set[str] = set()
    while True:
        suspects = [
            each
            for each in candidates
            if is_enough(each, each.unexplained(explained))
        ]
        if not suspects:
            return
        cause = select_cause(suspects, explained)
        yield make_hold(cause, candidates, explained)
        explained.update(cause.crashes)


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
    # Crashes that may be due to a part that no worker is known to have stood.
    unproven = {
        worker
        for request in requests
        if not request.parts <= proven_at.keys()
        for worker, crash in request.crashes.items()
        if crash.began or worker not in began
    }
    found: dict[str, Candidate] = {}
    for index, request in enumerate(requests):
        for worker, crash in request.crashes.items():
            if worker in began and not crash.began:
                continue
            for part in request.parts:
                proven = proven_at.get(part)
                if proven is not None and (
                    crash.at <= proven or worker in unproven
                ):
                    continue
                candidate = found.get(part)
                if candidate is None:
                    candidate = Candidate(part, proven is not None)
                    found[part] = candidate
                candidate.requests.add(index)
                candidate.crashes.setdefault(worker, crash.at)
    yield from found.values()


def is_enough(candidate: Candidate, times: list[float]) -> bool:
    """Returns whether a part is held for unexplained crashes at some times."""
    if not candidate.proven:
        return len(times) >= CRASHES_TO_HOLD
    return (
        len(times) >= CRASHES_TO_HOLD_PROVEN
        and count_bursts(times) >= BURSTS_TO_HOLD_PROVEN
    )


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
    suspects: list[Candidate], explained: Collection[str]
) -> Candidate:
    """Returns the part that explains the most crashes.

    A part that only some of its requests have is preferred if it explains
    nearly as many.
    """

    def rank(each: Candidate) -> tuple[bool, int, str]:
        return not each.proven, len(each.unexplained(explained)), each.part

    cause = max(suspects, key=rank)
    narrower = [
        each
        for each in suspects
        if each.requests < cause.requests
        and len(cause.crashes.keys() - each.crashes.keys()) < WIDER_MARGIN
    ]
    return max(narrower, key=rank, default=cause)


def make_hold(
    cause: Candidate,
    candidates: Iterable[Candidate],
    explained: Collection[str],
) -> PartHold:
    """Returns the hold of a part and of those that can't be told from it."""
    times = cause.unexplained(explained)
    if cause.proven:
        bursts = count_bursts(times)
        since = times[CRASHES_TO_HOLD_PROVEN - 1] + PROVEN_HOLD_DELAY_S
        doublings = bursts - BURSTS_TO_HOLD_PROVEN
        hold_s = min(HOLD_S, PROVEN_HOLD_S * 2.0**doublings)
    else:
        since = times[CRASHES_TO_HOLD - 1] + HOLD_DELAY_S
        hold_s = HOLD_S
    alike = (
        each.part
        for each in candidates
        if each.requests == cause.requests and each.proven == cause.proven
    )
    return PartHold(
        frozenset(alike),
        frozenset(cause.crashes),
        since,
        max(cause.crashes.values()),
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
