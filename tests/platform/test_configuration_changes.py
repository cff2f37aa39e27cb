"""Guards against a version that differs when it is decoded after another one."""

import json

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from lacewingstair.metadata.configuration import Configuration
from lacewingstair.platform.configuration import decode_configuration
from tests.platform.test_configuration import ROUTE_COLUMNS, SPLIT, document

NUMBERS = (0, 1, 1.0, True, 2, None, "2", "x", 1e400, float("nan"))
SPLITS = (
    None,
    [],
    SPLIT,
    SPLIT[::-1],
    [{"service": 1, "weight": 90}],
    [{"service": "board", "weight": True}],
    [{"service": "board", "weight": 0}],
    [{"service": "board"}],
)
VALUES_BY_COLUMN = {
    "name": ("r1", "r2", "r3", "r4", "r5", "r6", 1, True, None),
    "host": ("a.example", "A.example.", "b.example", "*", 1),
    "path_prefix": ("/", "/a/", "/a/b/", "/b/", 1, True),
    "kind": ("idempotent", "non_idempotent", "download", 1, True),
    "timeout": ("1s", "1000ms", "1.5s", "5"),
    "target_latency": ("300ms", "1s", 300),
    "priority": NUMBERS,
    "service": ("board", "book", None, 1),
    "attempts": NUMBERS,
    "traffic_split": SPLITS,
    "note": (None, "x", 1, True),
}
# Shrinking the share of values that are refused lets most documents be decoded.
VALID_VALUES_BY_COLUMN = {
    "name": ("r1", "r2", "r3", "r4", "r5", "r6"),
    "host": ("a.example", "A.example.", "b.example", "*"),
    "path_prefix": ("/", "/a/", "/a/b/", "/b/"),
    "kind": ("idempotent", "non_idempotent", "download"),
    "timeout": ("1s", "1000ms", "1.5s"),
    "target_latency": ("300ms", "1s"),
    "priority": (0, 1, 1.0, True, 2, None),
    "service": ("board", "book"),
    "attempts": (0, 1, 1.0, True, 2, None, "2"),
    "traffic_split": (None, [], SPLIT, SPLIT[::-1]),
    "note": (None, "x", 1, True),
}


def sampled(values_by_column):
    return st.fixed_dictionaries(
        {column: st.sampled_from(v) for column, v in values_by_column.items()}
    )


valid_routes = sampled(VALID_VALUES_BY_COLUMN)
any_routes = sampled(VALUES_BY_COLUMN)


@st.composite
def changed_routes(draw, before):
    """Draw routes that are added, removed, moved, repeated or changed in a field."""
    routes = list(before)
    for _ in range(draw(st.integers(0, 3))):
        place = draw(st.integers(0, len(routes)))
        operation = draw(st.sampled_from(("add", "remove", "repeat", "set", "spoil")))
        if operation == "add":
            routes.insert(place, draw(valid_routes))
        elif place < len(routes):
            if operation == "remove":
                routes.pop(place)
            elif operation == "repeat":
                routes.append(routes[place])
            else:
                is_valid = operation == "set"
                values = VALID_VALUES_BY_COLUMN if is_valid else VALUES_BY_COLUMN
                column = draw(st.sampled_from(sorted(values)))
                value = draw(st.sampled_from(values[column]))
                routes[place] = {**routes[place], column: value}
    return routes


@st.composite
def changed_columns(draw, before):
    """Draw the same columns, or others in another order; one may be missing."""
    if draw(st.integers(0, 3)):
        return before
    columns = draw(st.permutations([*ROUTE_COLUMNS, "note"]))
    dropped = draw(st.sampled_from(("", "note", "attempts", "name", "kind")))
    return [column for column in columns if column != dropped]


@st.composite
def histories(draw):
    """Draw documents of which each changes a little of the one before."""
    routes = draw(st.lists(valid_routes, max_size=6))
    columns = list(ROUTE_COLUMNS)
    sources = []
    for number in range(1, draw(st.integers(2, 5)) + 1):
        routes = draw(changed_routes(routes))
        columns = draw(changed_columns(columns))
        rows = [[route[column] for column in columns] for route in routes]
        if rows and not draw(st.integers(0, 9)):
            rows[draw(st.integers(0, len(rows) - 1))].pop()
        found = document(number, rows)
        found["routes"]["columns"] = columns
        if not draw(st.integers(0, 9)):
            found["limits"].pop("idle_timeout")
        sources.append(json.dumps(found).encode())
    return sources


def contents(configuration):
    """Return all that a configuration holds, with its order and types."""
    return (
        repr(configuration),
        configuration.source,
        sorted(
            (host, sorted(found.routes_by_prefix.items()), found.max_prefix_length)
            for host, found in configuration.table._routes_by_host.items()
        ),
        configuration.route_rows.columns,
        list(configuration.route_rows.by_name),
    )


def check_history(sources):
    previous = None
    for source in sources:
        whole = decode_configuration(source)
        after = decode_configuration(source, previous)
        if isinstance(whole, Err):
            assert after == whole
        else:
            assert contents(after.ok_value) == contents(whole.ok_value)
        if previous is not None:
            unchanged = decode_configuration(previous.source).unwrap()
            assert contents(previous) == contents(unchanged)
        previous = after.unwrap_or(previous)


@given(histories())
def test_a_changed_document_is_decoded_as_a_new_one(sources):
    """Guards against routes that stay, vanish or mix when a version is decoded.

    A refused document leaves the configuration before it as it was.
    """
    check_history(sources)


@given(st.lists(st.lists(any_routes | valid_routes, max_size=3), max_size=3))
def test_documents_of_any_values_are_decoded_or_refused_alike(versions):
    """Guards against 1, 1.0 and true being taken for the same text."""
    sources = []
    for number, routes in enumerate(versions, 1):
        rows = [[route[column] for column in ROUTE_COLUMNS] for route in routes]
        sources.append(json.dumps(document(number, rows)).encode())
    check_history(sources)


def decoded(routes, previous=None, number=7):
    source = json.dumps(document(number, routes)).encode()
    return decode_configuration(source, previous).unwrap()


def rows_of(count):
    kept = ["idempotent", "1s", "300ms", 0, "board", 2, None]
    return [[f"r{i}", "a.example", f"/{i}/", *kept] for i in range(count)]


def test_unchanged_routes_are_shared():
    """Guards against decoding all routes for each version of a storm."""
    rows = rows_of(50)
    before = decoded(rows)
    changed = [row[:] for row in rows]
    changed[7][ROUTE_COLUMNS.index("timeout")] = "2s"
    after = decoded(changed, before, 8)
    for index in range(50):
        name, path = f"r{index}", f"/{index}/"
        is_shared = after.routes_by_name[name] is before.routes_by_name[name]
        found = [c.table.find("a.example", path, "GET") for c in (before, after)]
        assert is_shared == (index != 7)
        assert (found[0] is found[1]) == is_shared
    assert after.routes_by_name["r7"].timeout_ms == 2000.0
    assert before.routes_by_name["r7"].timeout_ms == 1000.0


def test_routes_are_shared_when_only_their_columns_move():
    """Guards against a new table for rows that say the same in another order."""
    before = decoded(rows_of(5))
    found = document(8, [row[::-1] for row in rows_of(5)])
    found["routes"]["columns"] = ROUTE_COLUMNS[::-1]
    after = decode_configuration(json.dumps(found).encode(), before).unwrap()
    assert after.number == 8
    for name, route in before.routes_by_name.items():
        assert after.routes_by_name[name] is route


def test_rows_are_read_by_the_columns_of_their_own_document():
    """Guards against a row that is taken for unchanged under other columns."""
    before = decoded(rows_of(2))
    found = document(8, rows_of(2))
    columns = list(ROUTE_COLUMNS)
    first, second = columns.index("timeout"), columns.index("target_latency")
    columns[first], columns[second] = columns[second], columns[first]
    found["routes"]["columns"] = columns
    after = decode_configuration(json.dumps(found).encode(), before).unwrap()
    for route in after.routes_by_name.values():
        assert (route.timeout_ms, route.target_latency_ms) == (300.0, 1000.0)


def test_the_same_document_is_not_decoded_again():
    """Guards against decoding a document that several VMs pass on."""
    before = decoded(rows_of(5))
    assert decode_configuration(before.source, before) == Ok(before)
    assert decode_configuration(before.source, before).ok_value is before


def test_a_configuration_that_was_not_decoded_is_not_compared_with():
    """Guards against a table that lacks the routes of a hand-made configuration."""
    whole = decoded(rows_of(3))
    made = Configuration(1, whole.routes_by_name, source=whole.source)
    after = decoded(rows_of(3), made)
    assert contents(after) == contents(whole)
