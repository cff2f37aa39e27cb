import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from lacewingstair import events
from lacewingstair.events import DecisionLog, format_event, parse_event


@given(st.text(), st.integers(), st.booleans())
def test_a_formatted_line_parses_back_to_its_values(text, number, flag):
    line = format_event("event_name", text=text, number=number, flag=flag)
    assert len(line.splitlines()) == 1
    assert parse_event(line) == {
        "event": "event_name",
        "text": text,
        "number": number,
        "flag": flag,
    }


@pytest.fixture
def log(capsys):
    """Run a function and return the lines that it logs on standard error."""

    def run(function):
        # The standard error of the test, which is not yet there in the fixture.
        events.configure("info")
        function()
        logger.remove()
        return capsys.readouterr().err.splitlines()

    return run


def test_a_logged_event_is_one_line_with_its_level(log):
    """Guards against values that break a line or are taken for fields."""
    reason = 'a "quoted"\nline {x} level="ERROR" <red>'

    def act():
        events.warning("log_gap", reason=reason)
        events.debug("not_logged")

    (line,) = log(act)
    pairs = parse_event(line)
    assert pairs.pop("time").startswith("20")
    assert pairs == {"level": "WARNING", "event": "log_gap", "reason": reason}


@pytest.mark.parametrize(
    ("share", "low", "high"), [(0, 0, 0), (0.1, 70, 130), (1, 1000, 1000)]
)
def test_routing_decisions_are_logged_by_their_share(log, share, low, high):
    decisions = DecisionLog(share, random.Random(1))

    def act():
        for _ in range(1000):
            decisions.call_routed(route="read")

    assert low <= len(log(act)) <= high
