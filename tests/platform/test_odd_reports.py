"""Reports of another writer: no number, depth or text harms what follows from them."""

import json

import attrs
import pytest

from lacewingstair.backend_server.upstream_tracker import ReportOutcome, UpstreamTracker
from lacewingstair.platform import headers
from lacewingstair.platform.announcements import decode_report
from lacewingstair.vm.entries import decode_entry, encode_entry
from tests.vm.test_entries import ENTRY

REPORT = {
    "address": "10.0.0.1:1",
    "born": 5,
    "info": {"service": "board", "version": "v1", "zone": "z", "slots": 9},
    "status": {"state": "ready", "seq": 4, "cold_remaining": "0ms"},
}


def body(place, name, value):
    report = json.loads(json.dumps(REPORT))
    (report if place is None else report[place])[name] = "?"
    return json.dumps(report).replace('"?"', value).encode()


PLACES = [
    (None, "address"),
    (None, "born"),
    *(("info", name) for name in REPORT["info"]),
    *(("status", name) for name in REPORT["status"]),
]
ODD_VALUES = {
    "nested": "[" * 30_000 + "]" * 30_000,
    "a large number": "9" * 4000,
    "a larger number": "9" * 6000,
    "a negative number": "-5",
    "a fraction": "1e999",
    "not a number": "NaN",
    "a long duration": f'"{"9" * 400}s"',
    "a lone surrogate": '"\\ud800"',
    "a long text": f'"{"v" * 5000}"',
}


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize(("place", "name"), PLACES)
def test_an_odd_report_is_refused_or_can_be_passed_on(place, name, value):
    """Guards against a process that ends for what a backend server says of itself."""
    decoded = decode_report("i-1", body(place, name, ODD_VALUES[value]))
    if decoded.is_err():
        return
    report = decoded.unwrap()
    register = UpstreamTracker("board", "10.0.0.1:1", 10.0)
    assert register.apply_report(report, 1.0) in ReportOutcome
    identity = register.identity(1.0)
    entry = attrs.evolve(
        ENTRY,
        upstream_id=identity.upstream_id,
        version=identity.version,
        slots=identity.slots,
    )
    assert decode_entry(encode_entry(entry)).unwrap() == entry


@pytest.mark.parametrize("upstream_id", ["\ud800", "i" * 300, "a\0b"])
def test_an_odd_id_is_refused(upstream_id):
    assert decode_report(upstream_id, json.dumps(REPORT).encode()).is_err()


@pytest.mark.parametrize("text", ["\u00b2", "\u0663", "9" * 5000, "-1", "1e3", ""])
def test_odd_numbers_in_headers_say_nothing(text):
    """Guards against a call that ends with an exception for one header."""
    assert headers.upstream_load({headers.LOAD: f"0,0,{text}"}) is None
    assert headers.keep_alive_seconds({headers.KEEP_ALIVE: f"timeout={text}"}) is None
    assert headers.deadline_ms({headers.DEADLINE: text}) is None
