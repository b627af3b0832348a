"""Filters the workers of a version to those that may get a request now.

Each condition that excludes workers is defined here once, under the name that
log lines and counters use for it. A request is only sent to a worker that none
of the conditions exclude.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.utils.record import Record

Workers = Sequence[RegisteredWorker]

LEAVING = "leaving"
ENDED = "ended"
DRAINED_DOMAIN = "drained_domain"
OTHER_REGION = "other_region"
TRIED = "tried"
WARMING_UP = "warming_up"
RATE_LIMITED = "rate_limited"
RESTING = "resting"
BRITTLE = "brittle"
AVOIDED = "avoided"
KEPT_APART = "kept_apart"
# Conditions that start and end with what a worker itself reports.
WORKER_REPORTED = frozenset({RATE_LIMITED, RESTING, BRITTLE})
# Conditions with a known time at which a worker accepts requests again.
TEMPORARY = frozenset({WARMING_UP, RATE_LIMITED, RESTING, BRITTLE})


@attrs.frozen(eq=False, repr=False)
class Condition(Record):
    """A reason for excluding workers from a choice.

    Attributes:
      name: Name of the condition in log lines and counters.
      select: Returns the workers that the condition does not exclude.
    """

    name: str
    select: Callable[[RequestProgress, Workers], Workers]


@attrs.frozen(eq=False, repr=False)
class EligibleWorkers(Record):
    """The result of filtering workers by all conditions.

    Attributes:
      workers: Workers that may get the request.
      excluded: Number of workers that each condition excluded, by its name.
    """

    workers: Workers
    excluded: Mapping[str, int]


def filter_eligible(
    conditions: Sequence[Condition], progress: RequestProgress, workers: Workers
) -> EligibleWorkers:
    """Returns the workers that no condition excludes.

    A worker is counted under the first condition that excludes it.
    """
    excluded: dict[str, int] = {}
    for condition in conditions:
        selected = condition.select(progress, workers)
        if len(selected) < len(workers):
            excluded[condition.name] = len(workers) - len(selected)
        workers = selected
    return EligibleWorkers(workers, excluded)


def min_wait_s(
    available_in_s: Callable[[RegisteredWorker], float], workers: Workers
) -> float | None:
    """Returns the seconds until the first unavailable worker is available.

    Args:
      available_in_s: Returns the seconds until a worker accepts a request; 0 if
        it does now.
      workers: The workers to consider.

    Returns:
      Seconds, or None if all workers accept requests now.
    """
    waits = filter(None, map(available_in_s, workers))
    return min(waits, default=None)


def in_regions(
    region_of: Mapping[str, str], progress: RequestProgress, workers: Workers
) -> Workers:
    """Returns the workers in the regions that route and workspace allow.

    If both name regions, both must allow the worker's region. A worker whose
    failure domain has no known region is excluded if any regions are named.
    """
    request = progress.request
    allowed = [request.route.regions]
    if request.workspace is not None:
        allowed.append(request.workspace.regions)
    for regions in filter(None, allowed):
        workers = [
            each for each in workers if region_of.get(each.domain) in regions
        ]
    return workers


def untried(progress: RequestProgress, workers: Workers) -> Workers:
    """Returns the workers that the request has not been sent to yet."""
    if not progress.tried:
        return workers
    return [each for each in workers if each.id not in progress.tried]


def separate_suspects(
    is_suspect: Callable[[str], bool],
    suspect_count: Callable[[str], int],
    progress: RequestProgress,
    workers: Workers,
) -> Workers:
    """Returns the workers with the fewest suspect requests.

    All requests of a worker that crashed are retried at the same moment and
    would reach the same next worker. Spread over workers, the innocent ones
    are answered, and only the request that caused the crash can cause another.

    Args:
      is_suspect: Returns whether a worker crashed while it ran a content.
      suspect_count: Returns how many suspect requests of this entry a worker
        is running.
      progress: State of the request so far.
      workers: The workers to choose from.
    """
    if not is_suspect(progress.request.content):
        return workers
    counts = [suspect_count(worker.id) for worker in workers]
    least = min(counts, default=0)
    return [
        worker
        for worker, count in zip(workers, counts, strict=True)
        if count == least
    ]
