"""Checks of command-line arguments; each returns the value or what is allowed."""

import math
from urllib.parse import urlsplit

from result import Err, Ok, Result

from lacewingstair.settings.values import IpAddress, Url

Checked = (
    Result[float, str]
    | Result[int, str]
    | Result[str, str]
    | Result[tuple[float, ...], str]
)


def url(name: str, text: str) -> Result[str, str]:
    """Return a base URL without its last slash; ``host:port`` is completed."""
    complete = text if "://" in text else f"http://{text}"
    try:
        Url().parse(complete)
    except ValueError:
        return Err(f"{name}: {text!r} is not valid; allowed: {Url.allowed}")
    if urlsplit(complete).path not in ("", "/"):
        return Err(f"{name}: {text!r} is not valid; allowed: a URL without path")
    return Ok(complete.rstrip("/"))


def seconds(name: str, text: str) -> Result[float, str]:
    """Return a positive number of seconds."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value < math.inf:
        return Err(f"{name}: {text!r} is not valid; allowed: seconds above 0")
    return Ok(value)


def integer(name: str, text: str, low: int, high: int) -> Result[int, str]:
    """Return an integer within bounds."""
    try:
        value = int(text)
    except ValueError:
        value = low - 1
    if not low <= value <= high:
        return Err(f"{name}: {text!r} is not valid; allowed: {low} to {high}")
    return Ok(value)


def numbers(
    name: str, text: str, low: float, high: float
) -> Result[tuple[float, ...], str]:
    """Return numbers within bounds that are separated by commas."""
    try:
        values = tuple(float(part) for part in text.split(","))
    except ValueError:
        values = ()
    if not values or not all(low <= value <= high for value in values):
        return Err(
            f"{name}: {text!r} is not valid; allowed: numbers from {low:g} to "
            f"{high:g}, separated by commas"
        )
    return Ok(values)


def address(name: str, text: str) -> Result[str, str]:
    """Return an address ``ip:port``."""
    try:
        return Ok(IpAddress().parse(text))
    except ValueError:
        return Err(f"{name}: {text!r} is not valid; allowed: {IpAddress.allowed}")


def flag(name: str, text: str | bool) -> Result[bool, str]:
    """Return whether a flag is set."""
    if str(text) not in ("True", "False"):
        return Err(f"--{name} takes no value; {text!r} was given")
    return Ok(str(text) == "True")


def faults(*checked: Checked) -> list[str]:
    """Return the messages of all checks that failed."""
    return [check.err_value for check in checked if isinstance(check, Err)]
