"""Registries that decorators fill, for behaviour that varies by a name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from lacewingstair.errors import InvariantError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind of behaviour.

    Parameters
    ----------
    kind : str
        What the entries are, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds an entry under `name`."""

        def add(entry: T) -> T:
            if name in self._entries_by_name:
                raise InvariantError(f"{self._kind} {name!r} is registered twice")
            self._entries_by_name[name] = entry
            return entry

        return add

    def get(self, name: str) -> T | None:
        """Return the entry of that name, or None."""
        return self._entries_by_name.get(name)

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries_by_name)
