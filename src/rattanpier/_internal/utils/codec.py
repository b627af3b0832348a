"""JSON text for attrs classes, by cattrs."""

from __future__ import annotations

from typing import Any, TypeVar

from cattrs.preconf.json import make_converter

T = TypeVar("T")

converter = make_converter()


def encode(value: Any) -> str:
    """Returns the JSON text of an attrs object."""
    return converter.dumps(value, separators=(",", ":"))


def decode(cls: type[T], text: str | bytes) -> T:
    """Returns an object of a class from its JSON text.

    Raises:
      cattrs.BaseValidationError: The text does not fit the class.
    """
    return converter.loads(text, cls)
