"""Decodes the operators' configuration document."""

import json
import re
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import Any

import attrs
from result import Err, Ok, Result

from lacewingstair.errors import ConfigurationError, Fault
from lacewingstair.metadata.configuration import (
    CallRoute,
    Configuration,
    RouteRows,
    ServiceTerms,
)
from lacewingstair.platform.configuration_accounts import accounts_of
from lacewingstair.platform.configuration_rows import (
    DECODING_ERRORS,
    describe,
    limits_of,
    route_of,
    service_of,
    text,
    values_by_column,
)

CONFIGURATION_KEY = "config"
_REQUIRED_COLUMNS = frozenset({"name", "host", "path_prefix"})
_VERSION = re.compile(r"r[0-9]+")
_VERSION_FIELD = re.compile(rb'"version"\s*:\s*"r(\d{1,18})"')


def decode_configuration(
    value: bytes, previous: Configuration | None = None
) -> Result[Configuration, ConfigurationError]:
    """Return the configuration in a document, or why it cannot be used.

    Parameters
    ----------
    value : bytes
        The document.
    previous : Configuration or None
        A configuration decoded before, which does not change. The result is the same
        with and without it, but shares the routes that are the same in both.
    """
    if previous is None or not previous.route_rows.columns:
        previous = Configuration()
    elif value == previous.source:
        return Ok(previous)
    try:
        configuration = _decoded(value, previous)
    except DECODING_ERRORS as error:
        fault = Fault(CONFIGURATION_KEY, describe(error))
        return Err(ConfigurationError((fault,)))
    return Ok(configuration)


def version_of(value: bytes) -> int:
    """Return the version of a document, or 0; the rest of it may be unusable.

    The document is parsed only if it has no such field, or several: a quote inside a
    text is escaped, so a match is a field and no part of a text.
    """
    found = _VERSION_FIELD.findall(value)
    if len(found) == 1:
        return int(found[0])
    try:
        return _version(json.loads(value)["version"])
    except DECODING_ERRORS:
        return 0


def _decoded(value: bytes, previous: Configuration) -> Configuration:
    document = json.loads(value)
    routes = _decode_routes(document["routes"], previous)
    services_by_name, service_faults = _decode_services(document["services"])
    limits, limit_faults = limits_of(document["limits"])
    accounts, account_faults = accounts_of(document.get("tenants"))
    return Configuration(
        number=_version(document["version"]),
        routes_by_name=routes.by_name,
        services_by_name=services_by_name,
        limits=limits,
        accounts=accounts,
        source=value,
        faults=(*service_faults, *limit_faults, *account_faults),
        table=previous.table.updated(
            previous.routes_by_name, routes.by_name, routes.changed_names
        ),
        route_rows=routes.rows,
    )


@attrs.frozen
class _DecodedRoutes:
    """Routes of a document.

    Parameters
    ----------
    by_name : mapping
        All routes.
    rows : RouteRows
        Rows from which they were decoded.
    changed_names : set of str
        Names of all routes that differ from the previous configuration.
    """

    by_name: Mapping[str, CallRoute]
    rows: RouteRows
    changed_names: AbstractSet[str]


def _decode_routes(
    section: Mapping[str, Any], previous: Configuration
) -> _DecodedRoutes:
    columns = tuple(section["columns"])
    missing = _REQUIRED_COLUMNS.difference(columns)
    if missing:
        raise ValueError(f"routes have no columns {sorted(missing)}")
    name_place = columns.index("name")
    is_comparable = columns == previous.route_rows.columns
    held_rows = previous.route_rows.by_name if is_comparable else {}
    held_routes = previous.routes_by_name
    routes: dict[str, CallRoute] = {}
    rows: dict[str, list[Any]] = {}
    changed: set[str] = set()
    for place, row in enumerate(section["rows"]):
        name = _route_name(row, name_place, place)
        held_row = held_rows.get(name)
        # Equal rows may hold 1 for 1.0 or true, which the fields of numbers read alike;
        # all other fields of a readable route are text.
        if row == held_row and not held_routes[name].fault:
            rows[name] = held_row
            routes[name] = held_routes[name]
            continue
        route = route_of(columns, row)
        held_route = held_routes.get(name)
        is_same = route == held_route
        rows[name] = row
        routes[name] = held_route if is_same else route
        if not is_same:
            changed.add(name)
    changed |= held_routes.keys() - routes.keys()
    if routes and all(route.fault for route in routes.values()):
        raise ValueError(f"no route is readable: {route.fault}")
    return _DecodedRoutes(routes, RouteRows(columns, rows), changed)


def _route_name(row: Any, name_place: int, place: int) -> str:
    """Return the name of a route, or one made of its place if it has none."""
    has_name = isinstance(row, list) and len(row) > name_place
    name = row[name_place] if has_name else None
    return name if isinstance(name, str) else f"row {place}"


def _decode_services(
    section: Mapping[str, Any],
) -> tuple[dict[str, ServiceTerms], list[Fault]]:
    """Return the services that are readable, and the faults of the others."""
    services_by_name: dict[str, ServiceTerms] = {}
    faults: list[Fault] = []
    columns = tuple(section["columns"])
    for place, row in enumerate(section["rows"]):
        try:
            values = values_by_column(columns, row)
            name = text("name", values["name"])
            services_by_name[name] = service_of(values)
        except DECODING_ERRORS as error:
            faults.append(Fault(f"services row {place}", describe(error)))
    return services_by_name, faults


def _version(value: str) -> int:
    if not _VERSION.fullmatch(value):
        raise ValueError(f"version {value!r:.40} is not r and a number")
    return int(value[1:])
