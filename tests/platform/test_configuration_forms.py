"""Guards against forms of a configuration that the store accepts and a VM does not."""

import asyncio
import json
import random

import pytest
from aiohttp import ClientSession

from lacewingstair.caller.ingress import Ingress
from lacewingstair.metadata import records as records_module
from lacewingstair.metadata.configuration import (
    ConfigurationStore,
    RequestLimits,
    ServiceTerms,
    SplitPart,
)
from lacewingstair.platform.configuration_rows import DEFAULT_TIMEOUT_MS
from lacewingstair.platform.store import KeyedRecord
from lacewingstair.runtime import SystemClock
from tests.caller.test_ingress import FakeForwarder, FakeGate
from tests.metadata.test_records import with_records
from tests.platform.test_configuration import ROUTE_COLUMNS, decoded, document

PLACES_BY_COLUMN = {column: place for place, column in enumerate(ROUTE_COLUMNS)}


def with_value(column, value, row=0):
    found = document()
    found["routes"]["rows"][row][PLACES_BY_COLUMN[column]] = value
    return found


def without_column(column):
    found = document()
    place = PLACES_BY_COLUMN[column]
    for values in (found["routes"]["columns"], *found["routes"]["rows"]):
        del values[place]
    return found


def first_route(found):
    configuration = decoded(found).unwrap()
    route = configuration.table.find("a.example", "/a/x", "GET").route
    assert configuration.faults == ()
    assert not route.fault
    return route


OMITTED = [
    ("kind", "kind", ""),
    ("timeout", "timeout_ms", DEFAULT_TIMEOUT_MS),
    ("target_latency", "target_latency_ms", 1200.0),
    ("priority", "priority", 0),
    ("attempts", "max_attempts", 1),
    ("traffic_split", "parts", (SplitPart("board", 1.0),)),
]


@pytest.mark.parametrize("column, field, expected", OMITTED)
def test_a_null_stands_for_an_omitted_field(column, field, expected):
    assert getattr(first_route(with_value(column, None)), field) == expected


@pytest.mark.parametrize("column, field, expected", OMITTED)
def test_a_column_that_no_route_uses_can_be_missing(column, field, expected):
    assert getattr(first_route(without_column(column)), field) == expected


def test_a_route_without_a_kind_is_not_repeated():
    """Guards against a second run of a request that may not be repeated."""
    assert not first_route(without_column("kind")).allows_repeat


def test_a_document_of_split_routes_needs_no_column_for_a_service():
    found = without_column("service")
    found["routes"]["rows"][0][-1] = [{"service": "board", "weight": 1}]
    assert first_route(found).parts == (SplitPart("board", 1.0),)


@pytest.mark.parametrize(
    "weights, expected",
    [
        ([90, 10], [90.0, 10.0]),
        ([0.25, 0.75], [0.25, 0.75]),
        ([1, 0.5], [1.0, 0.5]),
        ([0, 5], [5.0]),
        ([0.0, 1], [1.0]),
    ],
)
def test_weights_are_whole_or_fractional_and_may_be_zero(weights, expected):
    split = [
        {"service": f"s{place}", "weight": weight, "note": "unknown"}
        for place, weight in enumerate(weights)
    ]
    found = with_value("traffic_split", split)
    assert [part.weight for part in first_route(found).parts] == expected


@pytest.mark.parametrize(
    "written, milliseconds",
    [("1500ms", 1500.0), ("2.5s", 2500.0), ("0.5ms", 0.5), ("3s", 3000.0)],
)
def test_durations_are_numbers_with_a_unit(written, milliseconds):
    found = with_value("timeout", written)
    found["limits"]["idle_timeout"] = written
    assert first_route(found).timeout_ms == milliseconds
    assert decoded(found).unwrap().limits.idle_timeout_ms == milliseconds


@pytest.mark.parametrize("number", [1, 12, 104, 10**12])
def test_versions_are_written_as_r_and_a_number(number):
    assert decoded(document(number)).unwrap().number == number


def test_what_is_not_known_is_ignored():
    found = document()
    found["routes"]["columns"].insert(0, "note")
    for place, row in enumerate(found["routes"]["rows"]):
        row.insert(0, {"any": [place]})
    found["services"]["columns"].append("note")
    for row in found["services"]["rows"]:
        row.append(None)
    found["limits"]["note"] = {}
    found["extra"] = [1]
    expected = decoded(document()).unwrap()
    configuration = decoded(found).unwrap()
    assert configuration.routes_by_name == expected.routes_by_name
    assert configuration.services_by_name == expected.services_by_name
    assert configuration.limits == expected.limits


@pytest.mark.parametrize("value", [None, "omitted"])
@pytest.mark.parametrize(
    "name", ["max_header_bytes", "max_body_bytes", "header_timeout", "idle_timeout"]
)
def test_a_limit_that_is_omitted_has_its_default(name, value):
    found = document()
    if value is None:
        found["limits"][name] = None
    else:
        del found["limits"][name]
    configuration = decoded(found).unwrap()
    field = name if name.endswith("bytes") else f"{name}_ms"
    assert getattr(configuration.limits, field) == getattr(RequestLimits(), field)
    assert configuration.faults == ()


def test_an_unreadable_limit_leaves_the_routes():
    found = document()
    found["limits"]["header_timeout"] = 5
    configuration = decoded(found).unwrap()
    assert configuration.limits.header_timeout_ms == RequestLimits().header_timeout_ms
    assert [fault.place for fault in configuration.faults] == ["limits.header_timeout"]
    assert configuration.limits.max_body_bytes == 1000


def test_a_service_may_omit_its_connections():
    found = document()
    found["services"]["rows"][0][2] = None
    services = decoded(found).unwrap().services_by_name
    assert services["board"] == ServiceTerms("/health", None)


@pytest.mark.parametrize(
    "row", [["board", None, 130], ["board"], None, [1, "/health", 130]]
)
def test_an_unreadable_service_leaves_the_others(row):
    found = document()
    found["services"]["rows"][0] = row
    configuration = decoded(found).unwrap()
    assert list(configuration.services_by_name) == ["book"]
    assert [fault.place for fault in configuration.faults] == ["services row 0"]
    assert len(configuration.routes_by_name) == 2


UNREADABLE = [
    lambda row: row.pop(),
    lambda row: row.append(1),
    lambda row: row.__setitem__(3, True),
    lambda row: row.__setitem__(4, "1.2"),
    lambda row: row.__setitem__(4, 1200),
    lambda row: row.__setitem__(5, "fast"),
    lambda row: row.__setitem__(6, float("inf")),
    lambda row: row.__setitem__(6, 1.5),
    lambda row: row.__setitem__(7, None),
    lambda row: row.__setitem__(7, 5),
    lambda row: row.__setitem__(8, 2.5),
    lambda row: row.__setitem__(9, [{"service": 1, "weight": 90}]),
    lambda row: row.__setitem__(9, [{"service": "board"}]),
    lambda row: row.__setitem__(9, [{"service": "board", "weight": None}]),
    lambda row: row.__setitem__(9, [{"service": "board", "weight": 0}]),
    lambda row: row.__setitem__(9, [{"service": "board", "weight": -1}]),
    lambda row: row.__setitem__(9, [{"service": "board", "weight": float("nan")}]),
    lambda row: row.__setitem__(9, "board"),
]


@pytest.mark.parametrize("spoil", UNREADABLE)
def test_an_unreadable_route_leaves_the_others_and_is_not_served(spoil):
    """Guards against an old version for all routes, and a route in a wrong form."""
    found = document()
    spoil(found["routes"]["rows"][0])
    configuration = decoded(found).unwrap()
    unreadable = configuration.table.find("a.example", "/a/x", "GET")
    assert unreadable.name == "r1"
    assert unreadable.route.fault and not unreadable.route.parts
    other = configuration.table.find("a.example", "/b/x", "GET").route
    assert other == decoded(document()).unwrap().routes_by_name["r2"]


@pytest.mark.parametrize(
    "spoil",
    [
        lambda row: row.clear(),
        lambda row: row.__setitem__(1, 5),
        lambda row: row.__setitem__(2, 5),
        lambda row: row.__setitem__(2, None),
    ],
)
def test_a_route_without_a_host_or_prefix_leaves_the_others(spoil):
    found = document()
    spoil(found["routes"]["rows"][0])
    configuration = decoded(found).unwrap()
    assert configuration.table.find("a.example", "/a/x", "GET") is None
    assert configuration.table.find("a.example", "/b/x", "GET").name == "r2"
    assert [bool(r.fault) for r in configuration.routes_by_name.values()].count(1) == 1


@pytest.mark.parametrize("name", [None, ["r1"], 5])
def test_a_route_without_a_readable_name_is_served(name):
    found = with_value("name", name)
    route = first_route(found)
    assert route == decoded(document()).unwrap().routes_by_name["r1"]


def test_an_unreadable_route_is_logged_once_with_its_name(monkeypatch):
    lines = []
    monkeypatch.setattr(
        records_module.events, "error", lambda event, **fields: lines.append(fields)
    )

    def check(records, _):
        for number in (7, 8):
            found = document(number)
            found["routes"]["rows"][0][4] = "never"
            value = json.dumps(found).encode()
            record = KeyedRecord("config", value, number)
            records.take_operator_records([record], number)
            assert records._configurations.current.number == number
        assert records.operator.position == 8

    with_records(check)
    assert [line["place"] for line in lines] == ["route r1"]
    assert "never" in lines[0]["error"]


def test_calls_of_an_unreadable_route_are_refused_and_not_sent_elsewhere():
    """Guards against a route with a shorter prefix that takes the calls."""
    found = document()
    found["routes"]["rows"][0][2] = "/b/c/"
    found["routes"]["rows"][0][4] = None
    found["routes"]["rows"][0][7] = None

    async def main():
        configurations, forwarder = ConfigurationStore(), FakeForwarder()
        configurations.adopt(decoded(found).unwrap())
        ingress = Ingress(
            "book",
            configurations,
            forwarder,
            FakeGate(),
            SystemClock(),
            random.Random(1),
        )
        http = ingress.http_server(8190, 100, 65536)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(http, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        headers = {"Host": "a.example", "Request-Id": "q", "Timeout-Ms": "900"}
        async with ClientSession(headers=headers) as session:
            for path, status, calls in (("/b/c/x", 503, 0), ("/b/x", 200, 1)):
                url = f"http://127.0.0.1:{port}{path}"
                async with session.get(url) as answer:
                    assert answer.status == status
                    assert (status == 503) == ("Retry-After" in answer.headers)
                assert len(forwarder.calls) == calls
        listening.close()
        await http.shutdown()

    asyncio.run(main())
