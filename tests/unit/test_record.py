"""Methods of `Record` give the same results as those that attrs generates."""

import itertools

import attrs
import pytest

from rattanpier._internal.utils.record import Record


class Base(Record):
    """Has no fields of its own, so that it can't be confused with data."""

    __slots__ = ()


FIELDS = {
    "none": {},
    "one": {"a": attrs.field(default=1)},
    "two": {"a": attrs.field(default=1), "b": attrs.field(default="x")},
    "not compared": {
        "a": attrs.field(default=1),
        "b": attrs.field(default="x", eq=False),
    },
    "not shown": {
        "a": attrs.field(default=1),
        "b": attrs.field(default="x", repr=False),
    },
}
VALUES = [(1, "x"), (1, "y"), (2, "x"), ((1,), None)]


def pair(fields):
    """Returns a class with generated methods and one with shared methods."""
    return (
        attrs.make_class("Data", dict(fields), frozen=True, slots=True),
        attrs.make_class(
            "Data",
            dict(fields),
            bases=(Base,),
            frozen=True,
            slots=True,
            eq=False,
            repr=False,
        ),
    )


@pytest.mark.parametrize("name", FIELDS)
def test_results_are_those_of_generated_methods(name):
    generated, shared = pair(FIELDS[name])
    count = len(FIELDS[name])
    for one, two in itertools.product(VALUES, VALUES):
        left = [cls(*one[:count]) for cls in (generated, shared)]
        right = [cls(*two[:count]) for cls in (generated, shared)]
        equal = left[0] == right[0]
        assert (left[1] == right[1]) is equal
        assert (left[1] != right[1]) is not equal
        assert (hash(left[1]) == hash(right[1])) is equal
        assert repr(left[1]) == repr(left[0])


def test_objects_of_other_classes_differ():
    """Equal fields must not make, for example, two outcomes equal."""
    _, one = pair(FIELDS["one"])
    _, other = pair(FIELDS["one"])
    assert one(1) != other(1)
    assert one(1) != 1


def test_unhashable_fields_raise():
    _, cls = pair(FIELDS["one"])
    with pytest.raises(TypeError):
        hash(cls([]))
