"""Serialization of attrs classes to JSON and to compressed MessagePack.

JSON is for data that people or other programs read, packed bytes are for
messages between entries. Both hold the same data; packed bytes hold values of
type bytes unencoded. All input that can't be decoded raises `UnreadableError`.
"""

from __future__ import annotations

import functools
import json
import zlib
from typing import Any, TypeVar

import cattrs
import msgpack
from cattrs.preconf import json as json_converters
from cattrs.preconf import msgpack as msgpack_converters
from cattrs.v import format_exception

from rattanpier._internal.exceptions import UnreadableError

T = TypeVar("T")

# In characters. Messages of type errors contain the value, which may be long.
MAX_EXPLANATION_LENGTH = 80
# Far above the largest message, the state of a whole fleet.
MAX_UNPACKED_BYTES = 16 * 2**20
MAX_INTEGER_DIGITS = 18  # Of whole numbers that fit into 64 bits.
# Texts of callers may hold bytes that are no UTF-8, escaped in this way.
UNICODE_ERRORS = "surrogateescape"

converter = json_converters.make_converter(detailed_validation=False)
packer = msgpack_converters.make_converter(detailed_validation=False)


def encode(value: Any) -> str:
    """Returns the JSON text of an attrs object."""
    return converter.dumps(value, separators=(",", ":"))


def pack(value: Any) -> bytes:
    """Returns the compressed bytes of an attrs object."""
    return zlib.compress(packer.dumps(value, unicode_errors=UNICODE_ERRORS))


def parse_integer(digits: str) -> int | float:
    """Returns a whole number; one of too many digits becomes a float.

    Messages between entries hold integers of 64 bits, and Python reads only so
    many digits. A field that wants an integer then rejects the value, while one
    that nobody needs may hold it.

    >>> parse_integer("-12"), parse_integer("9" * 5000)
    (-12, inf)
    """
    if len(digits) > MAX_INTEGER_DIGITS:
        return float(digits)
    return int(digits)


def parse_json(text: str | bytes) -> Any:
    """Returns the document in a JSON text.

    Raises:
      UnreadableError: The text is not valid JSON.
    """
    try:
        return json.loads(text, parse_int=parse_integer)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f"no JSON: {error}") from error


def decode(cls: type[T], text: str | bytes) -> T:
    """Returns an object of a class from its JSON text.

    Raises:
      UnreadableError: The text is not valid JSON or does not fit the class.
    """
    return structure(converter, cls, parse_json(text))


def unpack(cls: type[T], packed: bytes) -> T:
    """Returns an object of a class from its compressed bytes.

    Raises:
      UnreadableError: The bytes are malformed or do not fit the class.
    """
    try:
        document = msgpack.unpackb(
            decompress(packed),
            strict_map_key=False,
            unicode_errors=UNICODE_ERRORS,
        )
    except (
        zlib.error,
        ValueError,
        TypeError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise UnreadableError(f"not packed: {error!r}") from error
    return structure(packer, cls, document)


def decompress(packed: bytes) -> bytes:
    """Returns decompressed bytes.

    Raises:
      ValueError: They are more than `MAX_UNPACKED_BYTES`, or incomplete.
      zlib.error: They are malformed.
    """
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError("too long or incomplete")
    return raw


def explain(error: BaseException, cls: type[Any] | None) -> str:
    """Returns what is wrong with a value, short enough for a log line."""
    if isinstance(error, TypeError):
        return str(error)[:MAX_EXPLANATION_LENGTH]
    return format_exception(error, cls)


def structure(chosen: cattrs.Converter, cls: type[T], document: Any) -> T:
    """Returns an object of a class from a decoded document.

    Args:
      chosen: A converter without detailed validation. cattrs compiles a
        function for each class, which takes twice as long with it.
      cls: The class.
      document: The decoded document.

    Raises:
      UnreadableError: The document does not fit the class; the message names
        the fields and what is wrong with them.
    """
    try:
        return chosen.structure(document, cls)
    except Exception:  # Hooks raise whatever a wrong value leads to.
        return structure_in_detail(chosen, cls, document)


def structure_in_detail(
    chosen: cattrs.Converter, cls: type[T], document: Any
) -> T:
    """Does the same as `structure`, with a converter that names the fields.

    Raises:
      UnreadableError: The document does not fit the class.
    """
    try:
        return detailed_converter(chosen).structure(document, cls)
    except cattrs.BaseValidationError as error:
        raise UnreadableError(describe(error)) from error
    except Exception as error:
        # Hooks raise directly if the document itself has a wrong type.
        raise UnreadableError(short_repr(error)) from error


def describe(error: cattrs.BaseValidationError) -> str:
    """Returns what is wrong with the fields of a document."""
    try:
        found = cattrs.transform_error(error, format_exception=explain)
    except Exception as cause:  # As of a value that is nested too deep.
        return short_repr(cause)
    return "; ".join(found)


def short_repr(error: Exception) -> str:
    """Returns an error as a text that is short enough for a log line."""
    return repr(error)[:MAX_EXPLANATION_LENGTH]


@functools.cache
def detailed_converter(chosen: cattrs.Converter) -> cattrs.Converter:
    """Returns a copy of a converter whose errors name the fields."""
    return chosen.copy(detailed_validation=True)
