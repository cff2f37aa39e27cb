import json

import jsonschema
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from lacewingstair.tickets.parsing import (
    MAX_FAULTS,
    MAX_TICKET_BYTES,
    TICKET_SCHEMA,
    parse_ticket,
    ticket_from_document,
)
from tests.ticket_texts import ROLLOUT, SERVICES, first_ticket, ticket


def places(text):
    return [fault.place for fault in parse_ticket(text).unwrap_err().faults]


def reasons(text):
    return str(parse_ticket(text).unwrap_err())


def test_integers_written_as_floats_are_the_same_ticket():
    as_integers = '{"number": 3, "routes": {"r": {"service": "s", "timeout_ms": 50}}}'
    as_floats = as_integers.replace("3", "3.0").replace("50", "5e1")
    first, second = parse_ticket(as_integers).unwrap(), parse_ticket(as_floats).unwrap()
    assert first == second
    assert type(second.number) is int
    assert type(second.routes["r"].timeout_ms) is int
    assert type(second.routes["r"].worth) is float


def test_hosts_and_methods_are_normalised():
    route = {
        "service": "s",
        "hosts": ["Rota.Example.", "rota.example"],
        "methods": ["post", "GET", "POST"],
    }
    parsed = parse_ticket(ticket(1, routes={"r": route})).unwrap().routes["r"]
    assert parsed.hosts == ("rota.example",)
    assert parsed.methods == ("GET", "POST")


def test_statuses_of_refusals_are_none_by_default_and_normalised():
    """Guards against digests that differ by the order or form of the statuses."""
    entry = {**SERVICES["board"], "not_run_statuses": [503, 418.0]}
    services = {"a": SERVICES["board"], "b": entry}
    parsed = parse_ticket(ticket(1, services=services)).unwrap().services
    assert parsed["a"].not_run_statuses == ()
    assert parsed["b"].not_run_statuses == (418, 503)
    document = {"number": 1, "services": services}
    assert ticket_from_document(document).unwrap().services == parsed


@pytest.mark.parametrize(
    ("section", "entry", "place"),
    [
        ("services", {"versions": ["v1"]}, "services.x"),
        ("services", {"versions": ["v1"], "current": "v2"}, "services.x.current"),
        ("services", {"versions": ["v\n"], "current": "v"}, "services.x.versions.0"),
        (
            "services",
            {**SERVICES["board"], "not_run_statuses": [399]},
            "services.x.not_run_statuses.0",
        ),
        (
            "services",
            {**SERVICES["board"], "not_run_statuses": [503, 600]},
            "services.x.not_run_statuses.1",
        ),
        (
            "services",
            {**SERVICES["board"], "not_run_statuses": [503, 503]},
            "services.x.not_run_statuses",
        ),
        ("routes", {"service": "s", "worth": 0}, "routes.x.worth"),
        ("routes", {"service": "s", "worth": 10**400}, "routes.x.worth"),
        ("routes", {"service": "s", "timeout_ms": 1.5}, "routes.x.timeout_ms"),
        ("routes", {"service": "s", "hosts": ["a\n"]}, "routes.x.hosts.0"),
        ("routes", {"service": "s", "path_prefix": "/\ud800"}, "routes.x.path_prefix"),
        ("rollouts", {**ROLLOUT, "start": "2026-01-31T10:00:00"}, "rollouts.x.start"),
        ("rollouts", {**ROLLOUT, "end_by": ROLLOUT["start"]}, "rollouts.x.end_by"),
        ("rollouts", {**ROLLOUT, "to_version": "v1"}, "rollouts.x.to_version"),
        ("rollouts", [], "rollouts.x"),
    ],
)
def test_a_fault_of_an_entry_is_reported_with_its_place(section, entry, place):
    assert places(ticket(1, **{section: {"x": entry}}))[0] == place


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("[" * 100_000, "nested"),
        ('{"number": 1, "note": ' + "[" * 500 + "]" * 500 + "}", "nested"),
        ('{"number": 1, "number": 2}', "'number' is there more than once"),
        ('{"number": ' + "9" * 5000 + "}", "not JSON"),
        ('{"number": ' + "9" * 4000 + "}", "number"),
        ('{"number": 1e999}', "number"),
        ('{"number": NaN}', "NaN"),
        ('{"number": 1, "note": "\\ud800"}', "lone surrogate"),
        ('{"number": 1, "\\ud800": 1}', "lone surrogate"),
        ('{"number": 1, "author": "a\\nb"}', "control character"),
        ('{"number": true}', "number"),
        (b"\xff\xfe{", "not JSON"),
        (" " * (MAX_TICKET_BYTES + 1), "at most"),
        ("\u20ac" * (MAX_TICKET_BYTES // 2), "at most"),
        ("", "not JSON"),
        ("null", "None is not of type"),
    ],
)
def test_a_hostile_text_is_refused_with_a_clear_fault(text, reason):
    assert reason in reasons(text)


def test_a_ticket_with_very_many_faults_reports_the_first_ones():
    services = {f"s{i}": {"versions": [], "current": 1} for i in range(5000)}
    assert MAX_FAULTS <= len(places(ticket(1, services=services))) <= MAX_FAULTS


def test_a_note_may_have_several_lines():
    assert parse_ticket(ticket(1, note="one\n\ttwo")).is_ok()


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=10,
)


@given(
    st.sampled_from(["number", "services", "routes", "rollouts", "note", "x"]),
    json_values,
)
@example("services", {"a": {"versions": {}, "current": None}})
def test_any_value_at_any_key_is_a_ticket_or_an_error(key, value):
    text = json.dumps({"number": 1, **json.loads(first_ticket()), key: value})
    parsed = parse_ticket(text)
    assert parsed.is_ok() or parsed.err_value.faults


@given(st.text() | st.binary())
def test_any_text_is_a_ticket_or_an_error(text):
    parsed = parse_ticket(text)
    assert parsed.is_ok() or str(parsed.err_value)


@given(
    st.sampled_from(["services", "routes", "rollouts"]),
    st.sampled_from([*SERVICES["board"], *ROLLOUT, "hosts", "methods", "worth"]),
    json_values,
)
def test_what_the_published_schema_refuses_is_refused(section, key, value):
    entry = {"services": SERVICES["board"], "rollouts": ROLLOUT}.get(
        section, {"service": "board"}
    )
    document = {"number": 1, section: {"x": {**entry, key: value}}}
    text = json.dumps(document)
    if not jsonschema.Draft202012Validator(TICKET_SCHEMA).is_valid(json.loads(text)):
        assert parse_ticket(text).is_err()
