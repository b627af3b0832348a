"""Limits how many ratings each entry may request.

The hourly rating budget of a workspace is a hard limit. It is divided among
the entries, and each entry enforces its share with a token bucket, without
coordination.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Collection

import attrs

from rattanpier._internal.utils.hashing import rendezvous

HOUR_S = 3600.0
BURST = 3.0  # Unused ratings that may accumulate for suitable requests.


def entry_share(
    budget: int, workspace: str, entry: str, entries: Collection[str]
) -> int:
    """Returns the number of ratings per hour that one entry may request.

    The shares of all entries add up to the budget. A remainder goes to the
    entries that rendezvous hashing prefers for the workspace. An entry that
    is not in `entries` gets 0.

    Args:
      budget: Ratings per hour of the workspace.
      workspace: Name of the workspace.
      entry: Name of the entry.
      entries: Names of all entries.

    >>> names = ["e1", "e2", "e3"]
    >>> sum(entry_share(7, "desk", name, names) for name in names)
    7
    """
    if entry not in entries:
        return 0
    remainder = budget % len(entries)
    extra = entry in rendezvous(workspace, entries)[:remainder]
    return budget // len(entries) + extra


@attrs.define
class RatingBudget:
    """Token bucket for the ratings that one entry requests for a workspace.

    The bucket starts empty, so that a restart of the entry does not spend
    the budget twice, and is refilled at a constant rate. The times of recent
    ratings are kept so that no period of an hour exceeds the share.

    Attributes:
      refilled_at: Clock time in seconds of the last refill.
      tokens: Ratings that the bucket allows now.
      acquired_at: Clock times of the ratings of the last hour, oldest first.
    """

    refilled_at: float
    tokens: float = 0.0
    acquired_at: collections.deque[float] = attrs.Factory(collections.deque)


def refill(rating_budget: RatingBudget, share: int, now: float) -> float:
    """Refills the bucket and returns the number of ratings allowed now.

    Args:
      rating_budget: The bucket.
      share: Ratings per hour of this entry.
      now: Clock time in seconds.
    """
    elapsed_s = now - rating_budget.refilled_at
    rating_budget.refilled_at = now
    rating_budget.tokens = min(
        BURST, rating_budget.tokens + share * elapsed_s / HOUR_S
    )
    while (
        rating_budget.acquired_at
        and rating_budget.acquired_at[0] <= now - HOUR_S
    ):
        rating_budget.acquired_at.popleft()
    return min(
        rating_budget.tokens, float(share - len(rating_budget.acquired_at))
    )


def try_acquire(rating_budget: RatingBudget, share: int, now: float) -> bool:
    """Takes one rating from the bucket; returns whether one was available.

    Args:
      rating_budget: The bucket.
      share: Ratings per hour of this entry.
      now: Clock time in seconds.
    """
    if math.floor(refill(rating_budget, share, now)) < 1:
        return False
    rating_budget.tokens -= 1
    rating_budget.acquired_at.append(now)
    return True
