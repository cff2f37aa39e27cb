"""Log lines of key=value pairs over loguru.

Each line is ``event=name key="value" ...``. Values are written as JSON strings or
numbers, so that a line can be parsed back with `parse_event`.
"""

import json
import random
import re
import sys
from typing import Any

from loguru import logger

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
_PAIR = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]+)')


def configure(level: str) -> None:
    """Send log lines of `level` and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, format=LINE_FORMAT, level=level.upper(), colorize=False)


def format_event(event: str, /, **fields: Any) -> str:
    """Return one line of key=value pairs."""
    parts = [f"event={event}"]
    parts.extend(f"{key}={_format_value(value)}" for key, value in fields.items())
    return " ".join(parts)


def parse_event(line: str) -> dict[str, Any]:
    """Return the pairs of a line made by `format_event`."""
    pairs: dict[str, Any] = {}
    for key, text in _PAIR.findall(line):
        pairs[key] = _parse_value(text)
    return pairs


def info(event: str, /, **fields: Any) -> None:
    """Log an event of normal operation."""
    _emit("INFO", event, fields)


def warning(event: str, /, **fields: Any) -> None:
    """Log an event that an operator may have to act on."""
    _emit("WARNING", event, fields)


def error(event: str, /, **fields: Any) -> None:
    """Log an event that an operator has to act on."""
    _emit("ERROR", event, fields)


def debug(event: str, /, **fields: Any) -> None:
    """Log an event for fault finding; off by default."""
    _emit("DEBUG", event, fields)


def _emit(level: str, event: str, fields: dict[str, Any]) -> None:
    logger.opt(lazy=True).log(level, "{}", lambda: format_event(event, **fields))


def _format_value(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    if isinstance(value, int):
        return str(value)
    if isinstance(value, float):
        return json.dumps(round(value, 6))
    return json.dumps(str(value))


def _parse_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


class DecisionLog:
    """Logs a share of the routing decisions.

    Parameters
    ----------
    share : float
        Share that is logged, from 0 to 1.
    rng : random.Random
        Source of the choice.
    """

    def __init__(self, share: float, rng: random.Random) -> None:
        self._share = share
        self._rng = rng

    def is_sampled(self) -> bool:
        """Return whether the next decision is logged."""
        return self._share > 0 and self._rng.random() < self._share

    def call_routed(self, **fields: Any) -> None:
        """Log where a call went, if it is sampled."""
        if self.is_sampled():
            info("call_routed", **fields)
