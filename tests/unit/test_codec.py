"""Decoded documents: valid ones cost little, errors name the fields."""

import attrs
import pytest

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.utils import codec
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.strict import strict_converter

strict = strict_converter(forbid_extra_keys=False, detailed=False)


@attrs.frozen(eq=False, repr=False)
class Inner(Record):
    """A nested object."""

    count: int


@attrs.frozen(eq=False, repr=False)
class Outer(Record):
    """An object with a nested one, and fields with defaults."""

    inner: Inner
    texts: list[str] = attrs.Factory(list)
    pair: tuple[int, str] = (0, "")


VALID = {"inner": {"count": 3}, "texts": ["a"], "pair": [1, "b"]}
INVALID = [
    ({"inner": {"count": "x"}}, "$.inner.count"),
    ({"inner": {}}, "$.inner"),
    ({"inner": {"count": 1}, "texts": 3}, "$.texts"),
    ({"inner": {"count": 1}, "pair": [1, "b", 2]}, "$.pair"),
]


@pytest.mark.parametrize("chosen", [codec.converter, codec.packer, strict])
def test_valid_documents_need_no_detailed_code(chosen):
    """Compiling it for each class took half of decoding at a start."""
    codec.detailed_converter.cache_clear()
    made = codec.structure(chosen, Outer, VALID)
    assert made == Outer(Inner(3), ["a"], (1, "b"))
    assert codec.detailed_converter.cache_info().misses == 0
    assert not chosen.detailed_validation


@pytest.mark.parametrize("chosen", [codec.converter, codec.packer, strict])
@pytest.mark.parametrize(("document", "place"), INVALID)
def test_errors_name_the_field(chosen, document, place):
    """Operators find the field that they have to correct."""
    with pytest.raises(UnreadableError) as caught:
        codec.structure(chosen, Outer, document)
    assert place in caught.value.message


@pytest.mark.parametrize("chosen", [codec.converter, codec.packer, strict])
@pytest.mark.parametrize("document", [None, 3, [], "text"])
def test_other_documents_are_unreadable(chosen, document):
    with pytest.raises(UnreadableError):
        codec.structure(chosen, Outer, document)
