"""Configuration distribution and call routing for a service mesh."""

import importlib
from typing import Any

# The names are imported when they are used: parsing tickets needs libraries that a
# daemon which reads whole configurations does without.
_MODULES_BY_NAME = {
    "Decision": "lacewingstair.tickets.acceptance",
    "MeshState": "lacewingstair.tickets.acceptance",
    "Ticket": "lacewingstair.tickets.parsing",
    "fold": "lacewingstair.tickets.acceptance",
    "parse_ticket": "lacewingstair.tickets.parsing",
}

__all__ = ["Decision", "MeshState", "Ticket", "fold", "parse_ticket"]


def __getattr__(name: str) -> Any:
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES_BY_NAME[name]), name)
