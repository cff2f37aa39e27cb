import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.routing.routes import RouteTable
from lacewingstair.tickets.parsing import Route

SEGMENTS = ("a", "b", "ab", "")
HOSTS = ("*", "x.example", "y.example")
METHODS = ("GET", "POST")

paths = st.lists(st.sampled_from(SEGMENTS), max_size=4).map(lambda s: "/" + "/".join(s))
routes = st.dictionaries(
    st.sampled_from([f"r{i}" for i in range(12)]),
    st.builds(
        Route,
        service=st.just("s"),
        hosts=st.lists(st.sampled_from(HOSTS), min_size=1, max_size=2).map(tuple),
        path_prefix=paths,
        methods=st.lists(st.sampled_from(METHODS), max_size=1).map(tuple),
    ),
)
calls = st.tuples(st.sampled_from((*HOSTS[1:], "z")), paths, st.sampled_from(METHODS))


def find_by_linear_scan(routes, host, path, method):
    """Return the route name by the rules of `RouteTable`, checked for each route."""
    matching = []
    for name, route in routes.items():
        prefix = route.path_prefix
        is_match = path == prefix or path.startswith(
            prefix if prefix.endswith("/") else prefix + "/"
        )
        if not is_match or (route.methods and method not in route.methods):
            continue
        for is_exact in (host in route.hosts, False):
            if is_exact or "*" in route.hosts:
                order = (not is_exact, -len(prefix), not route.methods, name)
                matching.append((order, name))
    return min(matching)[1] if matching else None


@given(routes, st.lists(calls, max_size=10))
def test_lookup_agrees_with_a_linear_scan(routes, calls):
    table = RouteTable.compile(routes)
    for call in calls:
        named = table.find(*call)
        assert (named and named.name) == find_by_linear_scan(routes, *call)


@given(routes, routes, st.lists(calls, max_size=10))
def test_an_updated_table_equals_a_newly_compiled_one(before, after, calls):
    first = RouteTable.compile(before)
    names = [n for n in before | after if before.get(n) != after.get(n)]
    changed = first.updated(before, after, names)
    fresh = RouteTable.compile(after)
    for call in calls:
        assert changed.find(*call) == fresh.find(*call)
        assert first.find(*call) == RouteTable.compile(before).find(*call)
    assert changed._routes_by_host == fresh._routes_by_host


@pytest.mark.parametrize("host", ["rota.example", "ROTA.example:80", "rota.example."])
def test_the_host_header_is_normalised(host):
    table = RouteTable.compile({"r": Route("s", hosts=("rota.example",))})
    assert table.find(host, "/", "GET").name == "r"
