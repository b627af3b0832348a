"""A hash ring of members: which peers a process probes and notifies.

Each process talks to a bounded number of peers, whatever the fleet's size.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from rattanpier._internal.utils.hashing import stable_hash

PROBED_SUCCESSORS = 2  # Probed by each process.
# Ring distances of the peers that get notices. With these, a notice reaches
# 420 members in at most 13 hops, over 5 links for each member.
NEIGHBOUR_OFFSETS = (1, 2, 8, 32, 128)


def ring_after(names: Iterable[str], me: str) -> list[str]:
    """Returns the other names in ring order, starting after `me`.

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
    """Returns pairs of ring position and name, in ring order."""
    return sorted((stable_hash(name), name) for name in names)


def owners(key: str, ring: list[tuple[int, str]], count: int) -> list[str]:
    """Returns up to `count` names that follow a key's ring position.

    >>> owners("k", ring_order(["a"]), 2)
    ['a']
    """
    start = bisect.bisect(ring, (stable_hash(key), ""))
    return [
        ring[(start + step) % len(ring)][1]
        for step in range(min(count, len(ring)))
    ]
