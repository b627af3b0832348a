"""Round-robin interleaving of sequences."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

T = TypeVar("T")


def interleave(lists: Iterable[Sequence[T]]) -> Iterator[T]:
    """Yields the first item of each list, then the second, and so on.

    >>> "".join(interleave(["ad", "be", "c"]))
    'abcde'
    """
    missing = object()
    rounds = itertools.zip_longest(*lists, fillvalue=missing)
    for item in itertools.chain.from_iterable(rounds):
        if item is not missing:
            yield item  # type: ignore[misc]
