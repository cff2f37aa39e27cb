import attrs
import pytest

from lacewingstair.tickets.strict_structuring import (
    strict,
    structure_float,
    tuple_converter,
)


@attrs.frozen
class Inner:
    size: int


@attrs.frozen
class Outer:
    name: str
    inner: Inner
    note: str = ""


CONVERTER = tuple_converter(int, str)


def test_an_object_survives_its_tuple():
    outer = Outer("a", Inner(7), "b")
    assert CONVERTER.structure(CONVERTER.unstructure(outer), Outer) == outer


@pytest.mark.parametrize(
    "value",
    [
        ("a", (7,)),
        ("a", (7,), "b", "c"),
        ["a", (7,), "b"],
        ("a", ("7",), "b"),
        ("a", (True,), "b"),
        (None, (7,), "b"),
    ],
)
def test_other_lengths_and_types_are_refused_instead_of_converted(value):
    with pytest.raises(ValueError, match="is not"):
        CONVERTER.structure(value, Outer)


def test_an_error_shows_only_the_start_of_a_long_value():
    with pytest.raises(ValueError) as raised:
        strict(int)("x" * 10_000, int)
    assert str(raised.value).startswith("'xxx") and len(str(raised.value)) < 120


def test_numbers_become_floats_and_a_bool_or_a_text_does_not():
    assert structure_float(3, float) == 3.0
    for value in (True, "3", None):
        with pytest.raises(ValueError, match="is not a number"):
            structure_float(value, float)
