"""Structuring of documents without type coercion.

A string is not accepted as a number, a number not as a string and a boolean not
as an integer, so that mistakes in a document are reported rather than guessed
at.
"""

from __future__ import annotations

import enum
import functools
from collections.abc import Callable
from typing import Any, get_origin

import attrs
import cattrs
from cattrs.cols import list_structure_factory
from cattrs.gen import make_dict_structure_fn

HookFactory = Callable[[Any, cattrs.BaseConverter], Callable[[Any, Any], Any]]

MIN_INTEGER, MAX_INTEGER = -(2**63), 2**63 - 1

TYPE_NAMES: dict[Any, str] = {
    str: "a text in quotes",
    int: "a whole number",
    float: "a number",
    bool: "true or false, without quotes",
}


def structure_strictly(value: Any, cls: type[Any]) -> Any:
    """Returns a value that has the type `cls`, without coercion.

    An integer is accepted for a float, and the value of a member for an enum.

    >>> structure_strictly(1, float)
    1.0
    >>> structure_strictly("false", bool)
    Traceback (most recent call last):
      ...
    TypeError: 'false' is wrong; give true or false, without quotes
    """
    if issubclass(cls, enum.Enum):
        return cls(value)
    if cls is float and type(value) is int:
        value = float(value)
    if type(value) is not cls:
        raise TypeError(f"{value!r} is wrong; give {TYPE_NAMES[cls]}")
    if cls is int and not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError(f"{value} is wrong; give a number of 64 bits")
    if cls is str:
        value.encode()  # Lone surrogates can't be sent to anyone.
    return value


def list_factory(
    cls: Any, converter: cattrs.BaseConverter
) -> Callable[[Any, Any], Any]:
    """Returns the hook of a list type, which rejects strings."""
    structure = list_structure_factory(cls, converter)

    def hook(value: Any, wanted: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError(f"{value!r} is wrong; give a list")
        return structure(value, wanted)

    return hook


def table_factory(*, forbid_extra_keys: bool) -> HookFactory:
    """Returns the hook factory for attrs classes, which are read as tables."""

    def factory(
        cls: Any, converter: cattrs.BaseConverter
    ) -> Callable[[Any, Any], Any]:
        structure = make_dict_structure_fn(
            cls,
            converter,
            _cattrs_forbid_extra_keys=forbid_extra_keys,
            _cattrs_use_alias=True,
        )

        def hook(value: Any, wanted: Any) -> Any:
            if not isinstance(value, dict):
                raise TypeError(f"{value!r} is wrong; give a table")
            return structure(value, wanted)

        return hook

    return factory


@functools.cache
def strict_converter(
    *, forbid_extra_keys: bool, detailed: bool = True
) -> cattrs.Converter:
    """Returns a converter that rejects wrong types.

    Callers share a converter, so that they must not add hooks to it.

    Args:
      forbid_extra_keys: Whether keys that a class does not have are rejected;
        otherwise they are ignored.
      detailed: Whether errors name the fields; `codec.structure` adds the names
        itself.
    """
    converter = cattrs.Converter(detailed_validation=detailed)
    for cls in TYPE_NAMES:
        converter.register_structure_hook(cls, structure_strictly)
    converter.register_structure_hook_factory(
        attrs.has, table_factory(forbid_extra_keys=forbid_extra_keys)
    )
    converter.register_structure_hook_factory(
        lambda cls: get_origin(cls) is list, list_factory
    )
    return converter
