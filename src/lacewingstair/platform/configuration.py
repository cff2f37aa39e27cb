"""Decodes the operators' configuration document."""

import json
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from lacewingstair.errors import ConfigurationError, Fault
from lacewingstair.metadata.configuration import (
    CallRoute,
    Configuration,
    RequestLimits,
    ServiceTerms,
    SplitPart,
)
from lacewingstair.platform.durations import parse_duration
from lacewingstair.routing.routes import RouteTable
from lacewingstair.tickets.types import normal_host

CONFIGURATION_KEY = "config"
_REPEATABLE_KINDS = frozenset({"idempotent", "download"})
_LARGE_KINDS = frozenset({"download"})


def decode_configuration(value: bytes) -> Result[Configuration, ConfigurationError]:
    """Return the configuration in a document, or why it cannot be used."""
    try:
        document = json.loads(value)
        routes = {row["name"]: _route(row) for row in _rows(document["routes"])}
        services = {row["name"]: _service(row) for row in _rows(document["services"])}
        configuration = Configuration(
            number=_version(document["version"]),
            routes_by_name=routes,
            services_by_name=services,
            limits=_limits(document["limits"]),
            source=value,
            table=RouteTable.compile(routes),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error!s:.200}"
        return Err(ConfigurationError((Fault(CONFIGURATION_KEY, reason),)))
    return Ok(configuration)


def version_of(value: bytes) -> int:
    """Return the version of a document; 0 when it cannot be read."""
    try:
        return _version(json.loads(value)["version"])
    except (KeyError, TypeError, ValueError, AttributeError):
        return 0


def _rows(section: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return the entries of a section written as column names and rows of values."""
    columns = section["columns"]
    return [dict(zip(columns, row, strict=True)) for row in section["rows"]]


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
        parts = tuple(SplitPart(p["service"], float(p["weight"])) for p in split)
    else:
        parts = (SplitPart(str(row["service"]), 1.0),)
    return CallRoute(
        hosts=(normal_host(row["host"]),),
        path_prefix=str(row["path_prefix"]),
        parts=tuple(part for part in parts if part.weight > 0),
        allows_repeat=row["kind"] in _REPEATABLE_KINDS,
        has_large_answers=row["kind"] in _LARGE_KINDS,
        max_attempts=int(row.get("attempts") or 1),
        timeout_ms=_milliseconds("timeout", row["timeout"]),
        target_latency_ms=_milliseconds("target_latency", row["target_latency"]),
        priority=int(row.get("priority") or 0),
        kind=str(row["kind"]),
    )


def _service(row: Mapping[str, Any]) -> ServiceTerms:
    return ServiceTerms(str(row["health_path"]), int(row["max_connections"]))


def _limits(section: Mapping[str, Any]) -> RequestLimits:
    return RequestLimits(
        max_header_bytes=int(section["max_header_bytes"]),
        max_body_bytes=int(section["max_body_bytes"]),
        header_timeout_ms=_milliseconds("header_timeout", section["header_timeout"]),
        idle_timeout_ms=_milliseconds("idle_timeout", section["idle_timeout"]),
    )
