"""Strict `cattrs` hooks: values of untrusted input are checked, never converted.

By itself cattrs turns ``"7"`` into 7 and fills in the defaults of missing fields. These
hooks raise `ValueError` with the start of the offending value instead; the decoders
that use them turn it into an error value.
"""

from collections.abc import Callable
from typing import Any

import attrs
import cattrs

# Characters of an offending value that an error shows.
MAX_TEXT_IN_ERROR = 80

StructureHook = Callable[[Any, Any], Any]


def shown(value: Any) -> str:
    """Return the start of the `repr` of a value, for an error."""
    return f"{value!r:.{MAX_TEXT_IN_ERROR}}"


def strict(kind: type) -> StructureHook:
    """Return a hook that accepts only values of exactly one type.

    A subclass is refused as well, so that a bool is no int.
    """

    def structure(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise ValueError(f"{shown(value)} is not of type {kind.__name__}")
        return value

    return structure


def structure_float(value: Any, _: Any) -> float:
    """Return an int or a float as a float; raise `ValueError` for anything else."""
    if type(value) not in (int, float):
        raise ValueError(f"{shown(value)} is not a number")
    return float(value)


def tuple_converter(*strict_types: type) -> cattrs.Converter:
    """Return a converter between `attrs` classes and tuples of their fields.

    Parameters
    ----------
    *strict_types : type
        Types whose values are checked by `strict`.
    """
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
    )
    for kind in strict_types:
        converter.register_structure_hook(kind, strict(kind))
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _from_tuple(converter, cls)
    )
    return converter


def _from_tuple(converter: cattrs.Converter, cls: type) -> StructureHook:
    # cattrs accepts a tuple of another length and fills in defaults.
    hooks = [
        (converter.get_structure_hook(field.type), field.type)
        for field in attrs.fields(cls)
    ]

    def structure(value: Any, _: Any) -> Any:
        if type(value) is not tuple or len(value) != len(hooks):
            raise ValueError(
                f"{shown(value)} is not {len(hooks)} {cls.__name__} fields"
            )
        parts = zip(value, hooks, strict=True)
        return cls(*(hook(part, target) for part, (hook, target) in parts))

    return structure
