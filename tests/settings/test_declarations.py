from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from lacewingstair.settings.declarations import LinkSettings, all_settings
from lacewingstair.settings.page import example_file, settings_page
from lacewingstair.settings.reader import parse_settings

ROOT = Path(__file__).parents[2]

VALID = """\
[vm]
region = akmola
availability_zone = akmola-1
address = 10.0.0.1:7100
[caller]
address = 10.0.0.1:7101
[backend_server]
address = 127.0.0.1:7102
[operator]
address = 10.0.0.1:7103
[platform]
log_url = http://10.0.0.9:7000
"""


def faults(text):
    outcome = parse_settings("file", text)
    assert isinstance(outcome, Err)
    return {fault.place: fault.reason for fault in outcome.err_value.faults}


def test_only_addresses_region_and_zone_have_no_default():
    settings = parse_settings("file", VALID).unwrap()
    assert settings.vm_id == "10.0.0.1:7100"
    assert settings.links == LinkSettings()
    required = {setting.place for setting in all_settings() if setting.is_required}
    assert len(required) == 7
    assert set(faults("")) == required


def test_committed_page_and_example_match_the_declarations():
    assert (ROOT / "docs/settings.md").read_text("utf-8") == settings_page()
    example = (ROOT / "examples/lacewingstaird.ini").read_text("utf-8")
    assert example == example_file()


def test_example_with_its_comments_removed_gives_the_defaults():
    """Guards against defaults in the example that the reader does not accept."""
    text = "\n".join(
        line[1:] if line.startswith("#") and " = " in line and line[1] != " " else line
        for line in example_file().splitlines()
        if not line.startswith("#id =")
    )
    shown = parse_settings("shown", text).unwrap()
    assert shown == parse_settings("example", example_file()).unwrap()


def test_all_faults_are_reported_at_once_with_line_value_and_range():
    found = faults(
        VALID.replace("region = akmola", "region = two words")
        .replace("10.0.0.1:7101", "localhost:7101")
        .replace("10.0.0.1:7103", "10.0.0.1:7100")
        + "[vm]\nheartbeat_seconds = 0\nsnapshot_slots = 1.5\nspeed = 3\nbroken\n"
        "availability_zone = again\n[disk]\n[log]\nlevel = loud\n"
    )
    assert found.pop("line 2: [vm] region").startswith("'two words' is not valid")
    assert "ip:port" in found.pop("line 6: [caller] address")
    assert "address of [vm]" in found.pop("line 10: [operator] address")
    assert found.pop("line 14: [vm] heartbeat_seconds") == (
        "'0' is not valid; allowed: a number from 0.1 to 60"
    )
    assert "'1.5'" in found.pop("line 15: [vm] snapshot_slots")
    assert "unknown setting" in found.pop("line 16: [vm] speed")
    assert "'broken'" in found.pop("line 17")
    assert found.pop("line 18: [vm] availability_zone") == ("already set in line 3")
    assert "unknown section" in found.pop("line 19: [disk]")
    assert "debug, info" in found.pop("line 21: [log] level")
    assert found == {}


@pytest.mark.parametrize(
    ("addition", "place"),
    [
        ("[vm]\nsilence_seconds = 0.5", "line 14: [vm] silence_seconds"),
        ("[vm]\nsilence_seconds = 1.9", "line 14: [vm] silence_seconds"),
        ("[vm]\nsilence_seconds = 2", None),
        ("[vm]\nreconnect_base_seconds = 10", None),
        ("[vm]\nreconnect_cap_seconds = 0.1", None),
        (
            "[vm]\nreconnect_base_seconds = 3\nreconnect_cap_seconds = 2",
            "line 15: [vm] reconnect_cap_seconds",
        ),
    ],
)
def test_values_are_checked_against_each_other(addition, place):
    outcome = parse_settings("file", f"{VALID}{addition}\n")
    if place is None:
        assert isinstance(outcome, Ok)
    else:
        assert set(faults(f"{VALID}{addition}\n")) == {place}


def test_vm_address_has_to_be_one_that_others_can_reach():
    assert set(faults(VALID.replace("10.0.0.1:7100", "0.0.0.0:7100"))) == {
        "line 4: [vm] address"
    }


@given(st.text(max_size=200))
def test_any_text_gives_settings_or_faults(text):
    """Guards against exceptions of configparser that reach the operator."""
    outcome = parse_settings("file", VALID + text)
    if isinstance(outcome, Err):
        assert outcome.err_value.faults
        assert all(fault.reason for fault in outcome.err_value.faults)


@pytest.mark.parametrize("setting", all_settings(), ids=lambda s: s.place)
def test_defaults_and_examples_are_allowed_values(setting):
    if setting.is_required:
        assert setting.kind.parse(setting.example) == setting.example
    elif attrs.has(type(setting.kind)) and hasattr(setting.kind, "low"):
        assert setting.kind.parse(str(setting.default)) == setting.default


def test_the_interface_of_a_metadata_store_has_settings_of_its_own():
    """Guards against a start that fails later than the check of the settings."""
    found = faults(VALID + "interface = metadata_store\nbounds = grace=6\n")
    assert "'6' is not a number with the unit" in found.pop(
        "line 14: [platform] bounds"
    )
    assert set(found) == {
        "[backend_server] own_address",
        "[backend_server] own_service",
    }
