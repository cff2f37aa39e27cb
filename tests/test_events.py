from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.events import format_event, parse_event


@given(st.text(), st.integers(), st.booleans())
def test_a_formatted_line_parses_back_to_its_values(text, number, flag):
    line = format_event("event_name", text=text, number=number, flag=flag)
    assert parse_event(line) == {
        "event": "event_name",
        "text": text,
        "number": number,
        "flag": flag,
    }
