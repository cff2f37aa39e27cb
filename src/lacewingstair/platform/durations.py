"""Durations as the platform writes them."""

import re

from result import Err, Ok, Result

from lacewingstair.errors import Fault

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MS_BY_UNIT = {"ms": 1.0, "s": 1000.0}


def parse_duration(place: str, value: object) -> Result[float, Fault]:
    """Return the milliseconds of a text such as ``1500ms`` or ``2.5s``.

    Parameters
    ----------
    place : str
        Where the value stands, for the fault.
    value : object
        Decoded value of any type.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        reason = f"{value!r:.60} is not a number with the unit ms or s"
        return Err(Fault(place, reason))
    return Ok(float(match[1]) * _MS_BY_UNIT[match[2]])
