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
WORKER_REPORTED = frozenset({RATE_LIMITED, RESTING})
# Conditions of which it is known when a worker takes a request again.
TEMPORARY = frozenset({WARMING_UP, RATE_LIMITED, RESTING})


@attrs.frozen
class Condition:
    """One reason for which workers get no request now.

    Attributes:
      name: Of the reason.
      select: Returns the workers for which it does not hold.
    """

    name: str
    select: Callable[[RequestProgress, Workers], Workers]


@attrs.frozen
class EligibleWorkers:
    """Workers that may get a request.

    Attributes:
      workers: These.
      excluded: How many others each reason kept from it.
    """

    workers: Workers
    excluded: Mapping[str, int]


def filter_eligible(
    conditions: Sequence[Condition], course: RequestProgress, workers: Workers
) -> EligibleWorkers:
    """Returns the workers for which no condition holds."""
    excluded: dict[str, int] = {}
    for condition in conditions:
        selected = condition.select(course, workers)
        if len(selected) < len(workers):
            excluded[condition.name] = len(workers) - len(selected)
        workers = selected
    return EligibleWorkers(workers, excluded)


def min_wait_s(
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
    allowed = [request.route.regions]
    if request.workspace is not None:
        allowed.append(request.workspace.regions)
    for regions in filter(None, allowed):
        workers = [
            each for each in workers if region_of.get(each.domain) in regions
        ]
    return workers


def untried(course: RequestProgress, workers: Workers) -> Workers:
    """Returns the workers that the request was not sent to yet."""
    if not course.tried:
        return workers
    return [each for each in workers if each.id not in course.tried]


def separate_suspects(
    is_suspect: Callable[[str], bool],
    suspect_count: Callable[[str], int],
    course: RequestProgress,
    workers: Workers,
) -> Workers:
    """Returns the workers with fewest requests that may end them.

    All that ran at a worker that ended are sent on at the same moment, and
    would go to the same next worker: kept apart, those that ran beside the one
    that ended it are answered there, and only that one ends another.

    Args:
      is_suspect: Says whether a worker ended under a content.
      suspect_count: Returns the own requests at a worker that may end it.
      course: How the request went so far.
      workers: To choose from.
    """
    if not is_suspect(course.request.content):
        return workers
    counts = [suspect_count(worker.id) for worker in workers]
    least = min(counts, default=0)
    return [
        worker
        for worker, count in zip(workers, counts, strict=True)
        if count == least
    ]
