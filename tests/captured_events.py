"""Log lines as parsed events."""

import contextlib
import re

from loguru import logger

from lacewingstair.events import parse_event


@contextlib.contextmanager
def captured_events():
    """Collect the log lines as parsed events."""
    lines = []
    sink = logger.add(
        lambda m: lines.append(re.sub(r"\s+$", "", m)), format="{message}"
    )
    found = []
    try:
        yield found
    finally:
        logger.remove(sink)
        found.extend(parse_event(line) for line in lines)
