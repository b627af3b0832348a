"""Base of data classes, with the methods that attrs would generate for each.

attrs compiles these methods anew for each class, which takes most of the time
of creating it. An entry creates over a hundred such classes at its start.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable
from typing import Any

import attrs


class Record:
    """Compares, hashes and represents an attrs object by its fields.

    Subclasses are declared with `@attrs.frozen(eq=False, repr=False)`.

    >>> @attrs.frozen(eq=False, repr=False)
    ... class Point(Record):
    ...     x: int
    ...     y: int = 0
    >>> Point(1), Point(1) == Point(1, 0), hash(Point(1)) == hash(Point(1))
    (Point(x=1, y=0), True, True)
    """

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        cls = self.__class__
        if other.__class__ is not cls:
            return NotImplemented
        compared = compared_values(cls)
        return compared(self) == compared(other)

    def __hash__(self) -> int:
        cls = self.__class__
        return hash((cls, compared_values(cls)(self)))

    def __repr__(self) -> str:
        cls = self.__class__
        values = ", ".join(
            f"{field.name}={getattr(self, field.name)!r}"
            for field in attrs.fields(cls)
            if field.repr
        )
        return f"{cls.__name__}({values})"


@functools.cache
def compared_values(cls: type[Any]) -> Callable[[Any], Any]:
    """Returns the function that returns an object's values to compare."""
    names = [field.name for field in attrs.fields(cls) if field.eq]
    return operator.attrgetter(*names) if names else lambda _: ()
