"""How settings are declared: each field of a class carries its declaration."""

from collections.abc import Iterator
from typing import Any

import attrs

from lacewingstair.settings.values import Kind, Number

_DECLARATION = "setting"


@attrs.frozen
class Setting:
    """Declaration of one setting.

    Parameters
    ----------
    section, key : str
        Where it stands in the file.
    kind : Kind
        How its text is read, and what is allowed.
    meaning : str
        What it does.
    example : str
        Value in the example file when there is no default.
    default : object
        None when it has to be given.
    """

    section: str
    key: str
    kind: Kind
    meaning: str
    example: str = ""
    default: Any = None

    @property
    def place(self) -> str:
        """Section and key as error messages show them."""
        return f"[{self.section}] {self.key}"

    @property
    def is_required(self) -> bool:
        """Whether the file has to give it."""
        return self.default is None


def required(section: str, key: str, kind: Kind, meaning: str, example: str) -> Any:
    """Return a field for a setting that the file has to give."""
    setting = Setting(section, key, kind, meaning, example)
    return attrs.field(metadata={_DECLARATION: setting})


def optional(section: str, key: str, kind: Kind, default: Any, meaning: str) -> Any:
    """Return a field for a setting with a default."""
    setting = Setting(section, key, kind, meaning, default=default)
    return attrs.field(default=default, metadata={_DECLARATION: setting})


def seconds(section: str, key: str, default: float, low: float, high: float, meaning):
    """Return a field for a time."""
    return optional(section, key, Number("s", low, high), default, meaning)


def count(
    section: str, key: str, default: int, low: int, high: int, meaning, unit="count"
):
    """Return a field for a whole number."""
    kind = Number(unit, low, high, is_integer=True)
    return optional(section, key, kind, default, meaning)


def declared(cls: type) -> Iterator[tuple[str, Setting]]:
    """Yield the declared fields of a class, by their names."""
    for field in attrs.fields(cls):
        if _DECLARATION in field.metadata:
            yield field.name, field.metadata[_DECLARATION]
