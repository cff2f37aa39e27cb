"""Decodes the routes, services and limits of a configuration, each on its own.

The store accepts only valid configurations. A value that cannot be read is a fault of
this decoder, which must not keep the other routes of a version out of force.
"""

import math
from collections.abc import Mapping
from typing import Any

from result import Err

from lacewingstair.errors import Fault
from lacewingstair.metadata.configuration import (
    CallRoute,
    RequestLimits,
    ServiceTerms,
    SplitPart,
)
from lacewingstair.platform.durations import parse_duration
from lacewingstair.tickets.types import normal_host

# Bound of calls on a route without a timeout whose caller states none either.
DEFAULT_TIMEOUT_MS = 30_000.0
_REPEATABLE_KINDS = frozenset({"idempotent", "download"})
_LARGE_KINDS = frozenset({"download"})

# Everything that a value of the wrong kind raises while it is decoded.
DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def route_of(columns: tuple[str, ...], row: Any) -> CallRoute:
    """Return the route of a row, or one with a fault if it cannot be read."""
    try:
        return _route(values_by_column(columns, row))
    except DECODING_ERRORS as error:
        return _unreadable_route(columns, row, describe(error))


def service_of(row: Mapping[str, Any]) -> ServiceTerms:
    """Return the parameters of a service."""
    connections = row.get("max_connections")
    return ServiceTerms(
        text("health_path", row["health_path"]),
        None if connections is None else whole("max_connections", connections),
    )


def limits_of(section: Mapping[str, Any]) -> tuple[RequestLimits, list[Fault]]:
    """Return the limits; omitted and unreadable ones have their defaults."""
    values: dict[str, Any] = {}
    faults: list[Fault] = []
    for name, field, decode in (
        ("max_header_bytes", "max_header_bytes", whole),
        ("max_body_bytes", "max_body_bytes", whole),
        ("header_timeout", "header_timeout_ms", milliseconds),
        ("idle_timeout", "idle_timeout_ms", milliseconds),
    ):
        if section.get(name) is None:
            continue
        try:
            values[field] = decode(name, section[name])
        except DECODING_ERRORS as error:
            faults.append(Fault(f"limits.{name}", describe(error)))
    return RequestLimits(**values), faults


def values_by_column(columns: tuple[str, ...], row: Any) -> dict[str, Any]:
    """Return the values of a row by the names of their columns."""
    if not isinstance(row, list):
        raise ValueError(f"row {row!r:.40} is not a list")
    return dict(zip(columns, row, strict=True))


def text(place: str, value: object) -> str:
    """Return a value that has to be text."""
    if not isinstance(value, str):
        raise ValueError(f"{place} {value!r:.40} is not text")
    return value


def milliseconds(place: str, value: object) -> float:
    """Return the milliseconds of a duration."""
    parsed = parse_duration(place, value)
    if isinstance(parsed, Err):
        raise ValueError(str(parsed.err_value))
    return parsed.ok_value


def describe(error: Exception) -> str:
    """Return the text of an error that a value has raised."""
    return f"{type(error).__name__}: {error!s:.200}"


def _route(row: Mapping[str, Any]) -> CallRoute:
    kind = row.get("kind")
    kind = "" if kind is None else text("kind", kind)
    timeout_ms = _milliseconds_or("timeout", row, DEFAULT_TIMEOUT_MS)
    return CallRoute(
        hosts=(normal_host(row["host"]),),
        path_prefix=text("path_prefix", row["path_prefix"]),
        parts=_parts(row),
        allows_repeat=kind in _REPEATABLE_KINDS,
        has_large_answers=kind in _LARGE_KINDS,
        max_attempts=whole("attempts", row.get("attempts") or 1),
        timeout_ms=timeout_ms,
        target_latency_ms=_milliseconds_or("target_latency", row, timeout_ms),
        priority=whole("priority", row.get("priority") or 0),
        kind=kind,
        is_public=_flag("public", row.get("public")),
    )


def _flag(place: str, value: Any) -> bool:
    if value is None:
        return False
    if not isinstance(value, bool):
        raise ValueError(f"{place} {value!r:.40} is not true or false")
    return value


def _milliseconds_or(place: str, row: Mapping[str, Any], default: float) -> float:
    value = row.get(place)
    return default if value is None else milliseconds(place, value)


def _parts(row: Mapping[str, Any]) -> tuple[SplitPart, ...]:
    split = row.get("traffic_split")
    if not split:
        return (SplitPart(text("service", row["service"]), 1.0),)
    found = [_split_part(part) for part in split]
    parts = tuple(part for part in found if part.weight > 0)
    if not parts:
        raise ValueError("no part of traffic_split has a weight above 0")
    return parts


def _split_part(part: Mapping[str, Any]) -> SplitPart:
    weight = float(part["weight"])
    if not 0 <= weight < math.inf:
        raise ValueError(f"weight {weight!r} is not a share")
    return SplitPart(text("service", part["service"]), weight)


def whole(place: str, value: Any) -> int:
    """Return a value that has to be a whole number."""
    number = int(value)
    if isinstance(value, float) and number != value:
        raise ValueError(f"{place} {value!r:.40} is not a whole number")
    return number


def _unreadable_route(columns: tuple[str, ...], row: Any, fault: str) -> CallRoute:
    """Return a route that only occupies its host and prefix, if these are readable."""
    values = dict(zip(columns, row, strict=False)) if isinstance(row, list) else {}
    host, prefix = values.get("host"), values.get("path_prefix")
    if not (isinstance(host, str) and isinstance(prefix, str)):
        return CallRoute((), "", (), fault=fault)
    return CallRoute((normal_host(host),), prefix, (), fault=fault)
