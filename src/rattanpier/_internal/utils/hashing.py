"""Hashes that are the same in all processes, and rendezvous hashing."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable, Iterable

import xxhash

MAX_CACHED_HASHES = 8192  # Ids of workers and of prompt parts recur.


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash that is the same on every machine."""
    return xxhash.xxh3_64_intdigest(text.encode())


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def short_hash(text: str) -> int:
    """Returns a 32-bit hash, for notices.

    They tolerate a collision in one of a million cases.
    """
    return xxhash.xxh32_intdigest(text.encode())


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Returns names in order of preference for a key (rendezvous hashing).

    Removing a name does not change the order of the others.

    >>> rendezvous("k", ["a", "b", "c"]) == rendezvous("k", ["c", "b", "a"])
    True
    """
    return sorted(names, key=weight_for(key), reverse=True)


def most_preferred(key: str, names: Iterable[str]) -> str:
    """Returns the most preferred name for a key.

    >>> most_preferred("k", "abc") == rendezvous("k", "abc")[0]
    True
    """
    return max(names, key=weight_for(key))


def weight_for(key: str) -> Callable[[str], int]:
    """Returns the function that gives a name's weight for a key."""
    return lambda name: stable_hash(f"{key}\x1f{name}")


def sha256_hex(text: str | bytes) -> str:
    """Returns the SHA-256 digest in hexadecimal."""
    data = text.encode() if isinstance(text, str) else text
    return hashlib.sha256(data).hexdigest()


def short_digest(data: str | bytes) -> str:
    """Returns the first half of a SHA-256 digest in hexadecimal.

    128 bits are enough to tell requests apart.

    >>> len(short_digest("request"))
    32
    """
    return sha256_hex(data)[:32]
