"""Log lines of key=value pairs over loguru.

Each line is ``event=name key="value" ...``. Values are written as JSON strings or
numbers, so that a line can be parsed back with `parse_event`.
"""

import asyncio
import json
import math
import os
import random
import re
import sys
import time
from typing import Any

from loguru import logger

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
FLUSH_SECONDS = 0.1
MAX_WAITING_BYTES = 256 << 10
# Enough for each call of a VM on an ordinary day; a burst is sampled.
SERVED_LINES_PER_SECOND = 100.0
FAILED_LINES_PER_SECOND = 200.0
_PAIR = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]+)')


def configure(level: str) -> None:
    """Send log lines of `level` and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, format=LINE_FORMAT, level=level.upper(), colorize=False)


class BoundedOutput:
    """Writes lines to a descriptor without ever blocking, and drops what is too much.

    Lines are collected and written together, so that a line costs little. While the
    reader of the descriptor is slow, lines wait up to `MAX_WAITING_BYTES`; further ones
    are dropped and counted in a line of their own.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is set to non-blocking.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._unreported = 0
        self._scheduled: asyncio.TimerHandle | None = None
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Take one line that ends with a line feed."""
        data = line.encode("utf-8", "backslashreplace")
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._waiting += data
        if not self._schedule():
            self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._scheduled = None
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            written = len(self._waiting)
        del self._waiting[:written]
        if self._unreported and not self._waiting:
            count, self._unreported = self._unreported, 0
            self(f"event=lines_dropped count={count}\n")
        elif self._waiting:
            self._schedule()

    def _schedule(self) -> bool:
        """Write soon; return False when no loop runs that could."""
        if self._scheduled is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._scheduled = loop.call_later(FLUSH_SECONDS, self.flush)
        return True


def configure_output(level: str) -> BoundedOutput:
    """Send log lines to standard output, bounded and without blocking."""
    output = BoundedOutput(sys.stdout.fileno())
    logger.remove()
    logger.add(
        lambda message: output(str(message)),
        format=LINE_FORMAT,
        level=level.upper(),
        colorize=False,
        catch=False,
    )
    return output


class _LineBudget:
    """Bounds the lines about calls: failures have a budget of their own."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._refilled_at = time.monotonic()
        self.suppressed = 0

    def take(self) -> bool:
        """Return whether a line may be written."""
        now = time.monotonic()
        elapsed, self._refilled_at = now - self._refilled_at, now
        self._tokens += elapsed * self._per_second
        self._tokens = min(self._tokens, self._per_second)
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True


_served_lines = _LineBudget(SERVED_LINES_PER_SECOND)
_failed_lines = _LineBudget(FAILED_LINES_PER_SECOND)


def call_line(event: str, /, is_failure: bool, **fields: Any) -> None:
    """Log a decision about one call, as far as the bound on such lines allows.

    The number of lines left out since the last one is added to the next.
    """
    budget = _failed_lines if is_failure else _served_lines
    if not budget.take():
        return
    if budget.suppressed:
        fields["left_out"], budget.suppressed = budget.suppressed, 0
    _emit("INFO", event, fields)


class CountedWarning:
    """A warning that others can cause as often as they like.

    Each cause is counted; a line is logged at most once per interval and tells how many
    were counted in all.

    Parameters
    ----------
    event : str
        Name of the event.
    interval_seconds : float
        Least time between two lines.

    Attributes
    ----------
    count : int
        Causes since the start.
    """

    def __init__(self, event: str, interval_seconds: float) -> None:
        self._event = event
        self._interval_seconds = interval_seconds
        self._logged_at = -math.inf
        self.count = 0

    def warn(self, **fields: Any) -> None:
        """Count one cause, and log it unless another was logged within the interval."""
        self.count += 1
        now = time.monotonic()
        if now - self._logged_at >= self._interval_seconds:
            self._logged_at = now
            warning(self._event, count=self.count, **fields)


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
