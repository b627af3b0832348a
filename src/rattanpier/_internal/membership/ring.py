"""A hash ring of members: who probes whom, and who passes notices on to whom.

Each process talks to a few others whose number does not grow with the fleet.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from rattanpier._internal.utils.hashing import stable_hash

PROBED_SUCCESSORS = 2  # Successors that each process probes.
# Together these reach 420 members in at most 13 steps, over 5 links each.
NEIGHBOUR_OFFSETS = (1, 2, 8, 32, 128)


def ring_after(names: Iterable[str], me: str) -> list[str]:
    """Returns the other names in ring order, beginning behind `me`.

    >>> len(ring_after(["a", "b", "c"], "b"))
    2
    """
    start = stable_hash(me)
    others = (name for name in names if name != me)
    return sorted(others, key=lambda name: (stable_hash(name) - start) % 2**64)


def successors(names: Iterable[str], me: str) -> list[str]:
    """Returns the names that `me` probes."""
    return ring_after(names, me)[:PROBED_SUCCESSORS]


def neighbours(names: Iterable[str], me: str) -> list[str]:
    """Returns the names that `me` sends notices to."""
    ring = ring_after(names, me)
    return [
        ring[offset - 1] for offset in NEIGHBOUR_OFFSETS if offset <= len(ring)
    ]


def ring_order(names: Iterable[str]) -> list[tuple[int, str]]:
    """Returns names with their places on the ring, in ring order."""
    return sorted((stable_hash(name), name) for name in names)


def owners(key: str, ring: list[tuple[int, str]], count: int) -> list[str]:
    """Returns the names behind a key's place, at most `count`.

    >>> owners("k", ring_order(["a"]), 2)
    ['a']
    """
    start = bisect.bisect(ring, (stable_hash(key), ""))
    return [
        ring[(start + step) % len(ring)][1]
        for step in range(min(count, len(ring)))
    ]
