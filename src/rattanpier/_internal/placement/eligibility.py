"""From the workers of a version to those that may get a request now.

Each condition of a worker that keeps requests from it stands here once, by its
name, which the log lines and the counters bear. Nothing is sent to a worker
that has not passed all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.request_progress import RequestProgress

Workers = Sequence[RegisteredWorker]

LEAVING = "leaving"
ENDED = "ended"
DRAINED_DOMAIN = "drained_domain"
OTHER_REGION = "other_region"
TRIED = "tried"
WARMING_UP = "warming_up"
RATE_LIMITED = "rate_limited"
RESTING = "resting"
AVOIDED = "avoided"
KEPT_APART = "kept_apart"
# Conditions that a worker's own word begins and ends.
OWN_WORDS = frozenset({RATE_LIMITED, RESTING})
# Conditions of which it is known when a worker takes a request again.
TIMED = frozenset({WARMING_UP, RATE_LIMITED, RESTING})


@attrs.frozen
class Condition:
    """One reason for which workers get no request now.

    Attributes:
      name: Of the reason.
      keep: Returns the workers for which it does not hold.
    """

    name: str
    keep: Callable[[RequestProgress, Workers], Workers]


@attrs.frozen
class Eligible:
    """Workers that may get a request.

    Attributes:
      workers: These.
      left_out: How many others each reason kept from it.
    """

    workers: Workers
    left_out: Mapping[str, int]


def eligible(
    conditions: Sequence[Condition], course: RequestProgress, workers: Workers
) -> Eligible:
    """Returns the workers for which no condition holds."""
    left_out: dict[str, int] = {}
    for condition in conditions:
        kept = condition.keep(course, workers)
        if len(kept) < len(workers):
            left_out[condition.name] = len(workers) - len(kept)
        workers = kept
    return Eligible(workers, left_out)


def soonest_s(
    opens_in_s: Callable[[RegisteredWorker], float], workers: Workers
) -> float | None:
    """Returns the seconds until one of some closed workers opens.

    Args:
      opens_in_s: Returns when a worker opens; 0: it is open.
      workers: To choose from.

    Returns:
      None where all are open.
    """
    waits = filter(None, map(opens_in_s, workers))
    return min(waits, default=None)


def in_regions(
    region_of: Mapping[str, str], course: RequestProgress, workers: Workers
) -> Workers:
    """Returns the workers in a region that route and workspace allow.

    Where both name regions both bind. A domain of an unknown region is in none
    of them.
    """
    request = course.request
    bounds = [request.route.regions]
    if request.workspace is not None:
        bounds.append(request.workspace.regions)
    for regions in filter(None, bounds):
        workers = [
            each for each in workers if region_of.get(each.domain) in regions
        ]
    return workers


def untried(course: RequestProgress, workers: Workers) -> Workers:
    """Returns the workers that the request was not sent to yet."""
    if not course.tried:
        return workers
    return [each for each in workers if each.id not in course.tried]


def apart(
    suspects: Callable[[str], bool],
    suspects_at: Callable[[str], int],
    course: RequestProgress,
    workers: Workers,
) -> Workers:
    """Returns the workers with fewest requests that may end them.

    All that ran at a worker that ended are sent on at the same moment, and
    would go to the same next worker: kept apart, those that ran beside the one
    that ended it are answered there, and only that one ends another.

    Args:
      suspects: Says whether a worker ended under a content.
      suspects_at: Returns the own requests at a worker that may end it.
      course: How the request went so far.
      workers: To choose from.
    """
    if not suspects(course.request.content):
        return workers
    counts = [suspects_at(worker.id) for worker in workers]
    least = min(counts, default=0)
    return [
        worker
        for worker, count in zip(workers, counts, strict=True)
        if count == least
    ]
