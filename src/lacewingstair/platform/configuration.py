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
    RequestLimits,
    RouteRows,
    ServiceTerms,
    SplitPart,
)
from lacewingstair.platform.durations import parse_duration
from lacewingstair.tickets.types import normal_host

CONFIGURATION_KEY = "config"
_REPEATABLE_KINDS = frozenset({"idempotent", "download"})
_LARGE_KINDS = frozenset({"download"})


_VERSION_FIELD = re.compile(rb'"version"\s*:\s*"r(\d{1,18})"')

# Everything that a document with values of the wrong kind raises while it is decoded.
_DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


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
    except _DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error!s:.200}"
        return Err(ConfigurationError((Fault(CONFIGURATION_KEY, reason),)))
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
    except _DECODING_ERRORS:
        return 0


def _decoded(value: bytes, previous: Configuration) -> Configuration:
    document = json.loads(value)
    routes = _decode_routes(document["routes"], previous)
    services = {row["name"]: _service(row) for row in _rows(document["services"])}
    return Configuration(
        number=_version(document["version"]),
        routes_by_name=routes.by_name,
        services_by_name=services,
        limits=_limits(document["limits"]),
        source=value,
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
    place_by_column = {column: place for place, column in enumerate(columns)}
    is_comparable = columns == previous.route_rows.columns
    held_rows = previous.route_rows.by_name if is_comparable else {}
    held_routes = previous.routes_by_name
    routes: dict[str, CallRoute] = {}
    rows: dict[str, list[Any]] = {}
    changed: set[str] = set()
    for row in section["rows"]:
        name = _text("name", row[place_by_column["name"]])
        held_row = held_rows.get(name)
        # Equal rows may hold 1 for 1.0 or true, which the fields of numbers read alike;
        # all other fields are text.
        if row == held_row:
            rows[name] = held_row
            routes[name] = held_routes[name]
            continue
        route = _route(dict(zip(columns, row, strict=True)))
        held_route = held_routes.get(name)
        is_same = route == held_route
        rows[name] = row
        routes[name] = held_route if is_same else route
        if not is_same:
            changed.add(name)
    changed |= held_routes.keys() - routes.keys()
    return _DecodedRoutes(routes, RouteRows(columns, rows), changed)


def _rows(section: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return the entries of a section written as column names and rows of values."""
    columns = section["columns"]
    return [dict(zip(columns, row, strict=True)) for row in section["rows"]]


def _text(place: str, value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{place} {value!r:.40} is not text")
    return value


def _version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"version {text!r:.40} does not begin with r")
    return int(text[1:])


def _milliseconds(place: str, value: object) -> float:
    parsed = parse_duration(place, value)
    if isinstance(parsed, Err):
        raise ValueError(str(parsed.err_value))
    return parsed.ok_value


def _route(row: Mapping[str, Any]) -> CallRoute:
    split = row.get("traffic_split")
    if split:
        parts = tuple(_split_part(part) for part in split)
    else:
        parts = (SplitPart(_text("service", row["service"]), 1.0),)
    kind = _text("kind", row["kind"])
    return CallRoute(
        hosts=(normal_host(row["host"]),),
        path_prefix=_text("path_prefix", row["path_prefix"]),
        parts=tuple(part for part in parts if part.weight > 0),
        allows_repeat=kind in _REPEATABLE_KINDS,
        has_large_answers=kind in _LARGE_KINDS,
        max_attempts=int(row.get("attempts") or 1),
        timeout_ms=_milliseconds("timeout", row["timeout"]),
        target_latency_ms=_milliseconds("target_latency", row["target_latency"]),
        priority=int(row.get("priority") or 0),
        kind=kind,
    )


def _split_part(part: Mapping[str, Any]) -> SplitPart:
    return SplitPart(_text("service", part["service"]), float(part["weight"]))


def _service(row: Mapping[str, Any]) -> ServiceTerms:
    return ServiceTerms(str(row["health_path"]), int(row["max_connections"]))


def _limits(section: Mapping[str, Any]) -> RequestLimits:
    return RequestLimits(
        max_header_bytes=int(section["max_header_bytes"]),
        max_body_bytes=int(section["max_body_bytes"]),
        header_timeout_ms=_milliseconds("header_timeout", section["header_timeout"]),
        idle_timeout_ms=_milliseconds("idle_timeout", section["idle_timeout"]),
    )
