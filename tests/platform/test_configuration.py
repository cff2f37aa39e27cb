import json

import pytest
from result import Err, Ok

from lacewingstair.metadata.configuration import ConfigurationStore, SplitPart
from lacewingstair.platform.configuration import decode_configuration, version_of
from lacewingstair.platform.durations import parse_duration

ROUTE_COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "service",
    "attempts",
    "traffic_split",
]
SPLIT = [{"service": "board", "weight": 90}, {"service": "book", "weight": 10}]


def document(number=7, routes=None):
    if routes is None:
        routes = [
            [
                "r1",
                "A.example",
                "/a/",
                "download",
                "1.2s",
                "600ms",
                1,
                "board",
                2,
                None,
            ],
            ["r2", "a.example", "/b/", "idempotent", "1s", "300ms", 0, None, 3, SPLIT],
        ]
    return {
        "version": f"r{number}",
        "routes": {"columns": list(ROUTE_COLUMNS), "rows": routes},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [["board", "/health", 130], ["book", "/health", 13]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }


def decoded(found):
    return decode_configuration(json.dumps(found).encode())


def test_a_document_is_decoded_with_its_units():
    configuration = decoded(document()).unwrap()
    assert configuration.number == 7
    named = configuration.table.find("a.example", "/a/x/y", "GET")
    assert named.name == "r1"
    assert named.route.timeout_ms == 1200
    assert named.route.has_large_answers and named.route.allows_repeat
    split = configuration.table.find("a.example", "/b/", "GET").route
    assert split.parts == (SplitPart("board", 90.0), SplitPart("book", 10.0))
    assert configuration.services_by_name["book"].max_connections == 13
    assert configuration.table.find("a.example", "/c/", "GET") is None


@pytest.mark.parametrize(
    "spoil",
    [
        lambda d: d.pop("version"),
        lambda d: d.update(version="7"),
        lambda d: d.update(version=7),
        lambda d: d.update(version="r"),
        lambda d: d.update(version="r-7"),
        lambda d: d.update(version="r7.0"),
        lambda d: d.update(routes=[]),
        lambda d: d.update(services=None),
        lambda d: d.update(limits=None),
        lambda d: d["routes"]["columns"].__setitem__(0, "other"),
        lambda d: d["routes"]["columns"].__setitem__(1, "other"),
        lambda d: d["routes"]["columns"].__setitem__(2, "other"),
        lambda d: d["routes"]["columns"].append("other"),
        lambda d: [row.pop() for row in d["routes"]["rows"]],
    ],
)
def test_a_document_that_cannot_be_used_is_an_error(spoil):
    """Guards against a version in force of which no route can be used."""
    spoiled = document()
    spoil(spoiled)
    assert isinstance(decoded(spoiled), Err)


def test_bytes_that_are_no_document_are_an_error():
    deeply_nested = b"[" * 100_000
    for value in (b"", b"\xff", b"[]", b"null", b'{"version": "r1"', deeply_nested):
        assert isinstance(decode_configuration(value), Err)


def test_the_version_is_read_without_decoding():
    """Guards against a text in a document that is taken for its version."""
    found = document(12)
    assert version_of(json.dumps(found).encode()) == 12
    found["routes"]["rows"][0][0] = '"version": "r99"'
    assert version_of(json.dumps(found, separators=(",", ":")).encode()) == 12
    found["limits"] = {"version": "r99"}
    assert version_of(json.dumps(found).encode()) == 12
    for value in (b"", b"\xff", b"{}", b"[]", b'{"version": 12}', b"[" * 100_000):
        assert version_of(value) == 0


def test_the_store_never_returns_to_an_older_configuration():
    """Guards against late records that bring removed routes back."""
    store = ConfigurationStore()
    newest = decoded(document(9)).unwrap()
    assert store.adopt(newest)
    assert not store.adopt(decoded(document(8)).unwrap())
    assert not store.adopt(decoded(document(9)).unwrap())
    assert store.current is newest


def test_durations_have_a_unit():
    assert parse_duration("t", "1500ms") == Ok(1500.0)
    assert parse_duration("t", "2.5s") == Ok(2500.0)
    for value in ("", "5", "5m", "-1s", "1 s", 5, None):
        assert "is not a number with the unit" in str(parse_duration("t", value).err())
