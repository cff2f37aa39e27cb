"""Log lines as parsed events."""

import contextlib

from loguru import logger

from lacewingstair.events import parse_event


@contextlib.contextmanager
def captured_events():
    """Collect the names of the events that are logged."""
    names = []
    sink = logger.add(
        lambda line: names.append(parse_event(line)["event"]), format="{message}"
    )
    try:
        yield names
    finally:
        logger.remove(sink)
