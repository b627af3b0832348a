"""The hard budget of ratings, and its share of one entry."""

from __future__ import annotations

import collections
import math
from collections.abc import Collection

import attrs

from rattanpier._internal.utils.hashing import rendezvous

HOUR_S = 3600.0
BURST = 3.0  # Ratings that may wait for a request worth them.


def entry_share(
    budget: int, workspace: str, entry: str, entries: Collection[str]
) -> int:
    """Returns the ratings an hour that one entry may ask for.

    The shares of all entries add up to the budget.

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
    """What one entry may spend for one workspace.

    It starts empty, so that an entry that restarts does not spend twice, and
    fills evenly; in no hour is more than the share spent.

    Attributes:
      filled_at: Seconds of the clock up to which it is filled.
      tokens: Ratings that may be asked for now.
      spent: Times of the ratings of the last hour.
    """

    refilled_at: float
    tokens: float = 0.0
    acquired_at: collections.deque[float] = attrs.Factory(collections.deque)


def refill(rating_budget: RatingBudget, share: int, now: float) -> float:
    """Fills a purse and returns the ratings that may be asked for now."""
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
    """Takes one rating out of a purse, if there is one."""
    if math.floor(refill(rating_budget, share, now)) < 1:
        return False
    rating_budget.tokens -= 1
    rating_budget.acquired_at.append(now)
    return True
