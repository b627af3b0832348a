"""Tells by crashes whether a part of prompts causes them, as they come in.

Two statements about the crashes of workers are compared:

- All crashes happen by themselves, at one rate for each worker that runs.
- From some crash on, the part causes a crash soon after each start of an answer
  with it; the others happen by themselves.

The logarithm of the ratio of their likelihoods is the evidence. Rates are those
that fit best, and so is the crash from which on the part is the cause, as in a
CUSUM test. A decision that was reached once stands: crashes that come after it
say nothing of a part that is kept from workers.

The module does no input or output and keeps no state.
"""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Iterable, Iterator, Sequence

import attrs

from rattanpier._internal.utils.record import Record

# Rate of crashes after the start of an answer that causes one, in 1/s.
CAUSED_RATE = 3.3
# Logarithm of the chance that a worker stands an answer with the cause.
LOG_MISSED = -3.0
# Evidence from which on a part is taken for the cause. One wrong decision in
# exp(10) starts of answers, were crashes independent.
DECISION = 10.0
# Crashes that a decision needs, and the least time in which they came. Workers
# that lose power together crash under all that is popular.
MIN_CRASHES = 5
MIN_SPAN_S = 0.2
# Two entries' times of one crash differ by the latency of the report.
LATENCY_S = 0.05
# Crashes under one request that count; the request itself may be the cause.
MAX_OF_REQUEST = 2
# Seconds without a crash before the first one. Without them, the first would
# seem to show that workers crash all the time.
LEAD_S = 1.0
# Bounds the work for each part.
MAX_CRASHES = 40


@attrs.frozen(eq=False, repr=False)
class SuspectCrash(Record):
    """A crash of a worker that was running requests with a part.

    Attributes:
      at: When it crashed, in monotonic seconds.
      request: Number of the request with the part that had begun last.
      fresh: Whether an answer with the part had just begun.
      stood_since: When answers with the part had begun that the worker had
        stood for longer than the cause takes, in monotonic seconds.
    """

    at: float
    request: int
    fresh: bool
    stood_since: tuple[float, ...] = ()


def log_ratio(caused: int, total: int, stood: int, worker_s: float) -> float:
    """Returns the evidence that a part causes crashes.

    Args:
      caused: Crashes just after the start of an answer with the part.
      total: All crashes.
      stood: Workers that stood an answer with the part.
      worker_s: Seconds for which workers ran, summed over them.

    >>> round(log_ratio(5, 5, 0, 12.0), 1), round(log_ratio(5, 9, 0, 12.0), 1)
    (15.3, 9.2)
    >>> round(log_ratio(5, 5, 2, 12.0), 1)
    9.3
    """
    return (
        caused * (math.log(CAUSED_RATE * worker_s) + 1.0)
        + count_log(total - caused)
        - count_log(total)
        + stood * LOG_MISSED
    )


def count_log(count: int) -> float:
    """Returns `count` times its logarithm, 0 for none."""
    return count * math.log(count) if count else 0.0


def evidence(
    crashes: Sequence[SuspectCrash], all_crashes: Iterable[float], workers: int
) -> Iterator[tuple[float, float]]:
    """Yields the time of each crash, and the evidence up to it.

    Args:
      crashes: Crashes at which a part was there, by time.
      all_crashes: Times of all crashes.
      workers: Number of workers; 0 if it is not known.
    """
    crashes = crashes[-MAX_CRASHES:]
    times = sorted(all_crashes)
    best = [-math.inf] * len(crashes)
    for start, first in enumerate(crashes):
        if not first.fresh:
            continue
        before = bisect.bisect_right(times, first.at - LEAD_S)
        for number, counts in count_from(crashes[start:]):
            now = crashes[start + number].at
            until = bisect.bisect_right(times, now + LATENCY_S)
            total = max(counts.caused, until - before)
            if counts.caused < MIN_CRASHES or now - first.at < MIN_SPAN_S:
                continue
            running = running_workers(workers or len(times), total)
            found = log_ratio(
                counts.caused,
                total,
                counts.stood,
                running * (now - first.at + LEAD_S),
            )
            best[start + number] = max(best[start + number], found)
    yield from zip((crash.at for crash in crashes), best, strict=True)


def running_workers(workers: int, crashes: int) -> float:
    """Returns about how many workers ran while some of them crashed.

    >>> running_workers(9, 2), running_workers(9, 30)
    (8.0, 3.0)
    """
    return max(workers - crashes / 2, workers / 3)


@attrs.define(eq=False, repr=False)
class Counts:
    """What speaks for and against a part, up to a crash.

    Attributes:
      caused: Crashes just after the start of an answer with the part.
      stood: Workers that stood an answer with the part.
    """

    caused: int = 0
    stood: int = 0


def count_from(
    crashes: Sequence[SuspectCrash],
) -> Iterator[tuple[int, Counts]]:
    """Yields the number of each crash, and what counts from the first to it."""
    counts = Counts()
    of_request: collections.Counter[int] = collections.Counter()
    for number, crash in enumerate(crashes):
        if crash.fresh and of_request[crash.request] < MAX_OF_REQUEST:
            counts.caused += 1
            of_request[crash.request] += 1
        # An answer that had begun before the part turned bad shows nothing.
        counts.stood += any(at > crashes[0].at for at in crash.stood_since)
        yield number, counts
