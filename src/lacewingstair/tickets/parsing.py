"""Tickets: their types, their JSON form and their canonical digest."""

import hashlib
import itertools
import json
import unicodedata
from collections.abc import Iterable
from datetime import datetime
from importlib import resources
from typing import Any

import attrs
import jsonschema
from result import Err, Ok, Result

from lacewingstair.errors import Fault, TicketError
from lacewingstair.tickets.types import Rollout, Route, Service, Ticket, normal_host

# A ticket has to fit in a frame of 1 MiB between VMs, and parsing one blocks the event
# loop for about 0.7 ms per KB.
MAX_TICKET_BYTES = 256 << 10
# A valid ticket has four levels and the characters of a text below them.
MAX_DEPTH = 8
MAX_FAULTS = 20
MAX_EXACT_FLOAT = 2**53


def _load_schema() -> dict[str, Any]:
    path = resources.files("lacewingstair.tickets").joinpath("ticket.schema.json")
    return json.loads(path.read_text("utf-8"))


TICKET_SCHEMA = _load_schema()
SECTIONS = ("services", "routes", "rollouts")


def _inlined(schema: Any) -> Any:
    """Return a schema with every ``$ref`` to ``$defs`` replaced by what it means."""
    if isinstance(schema, list):
        return [_inlined(part) for part in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        return _inlined(TICKET_SCHEMA["$defs"][schema["$ref"].rpartition("/")[2]])
    return {key: _inlined(part) for key, part in schema.items() if key != "$defs"}


def _validator(schema: dict[str, Any]) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(_inlined(schema))


def _ticket_validator() -> jsonschema.Draft202012Validator:
    """Return a validator of everything but the entries of the sections."""
    properties = dict(TICKET_SCHEMA["properties"])
    for section in SECTIONS:
        properties[section] = {**properties[section], "additionalProperties": True}
    return _validator({**TICKET_SCHEMA, "properties": properties})


# Entries are validated one by one: the library looks up each "$ref" anew, and an error
# under "anyOf" has no location.
_TICKET_VALIDATOR = _ticket_validator()
_VALIDATORS_BY_SECTION = {
    "services": _validator(TICKET_SCHEMA["$defs"]["service"]),
    "routes": _validator(TICKET_SCHEMA["$defs"]["route"]),
    "rollouts": _validator(TICKET_SCHEMA["$defs"]["rollout"]),
}


def canonical_digest(value: Any) -> str:
    """Return the SHA-256 of a JSON value written with sorted keys, as hex."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def parse_ticket(text: str | bytes) -> Result[Ticket, TicketError]:
    """Return the ticket in a JSON text, or its faults.

    Parameters
    ----------
    text : str or bytes
        JSON object as in ``ticket.schema.json``, at most `MAX_TICKET_BYTES` long in
        UTF-8.
    """
    data = text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text
    if len(data) > MAX_TICKET_BYTES:
        reason = f"{len(data)} bytes, at most {MAX_TICKET_BYTES} are allowed"
        return _invalid("ticket", reason)
    try:
        document = json.loads(
            text,
            parse_constant=_reject_constant,
            parse_float=_parse_float,
            object_pairs_hook=_unique_keys,
        )
    except RecursionError:
        return _invalid("ticket", f"nested deeper than {MAX_DEPTH} levels")
    except ValueError as error:
        shown = data[:60].decode("utf-8", "replace")
        return _invalid("ticket", f"not JSON: {error!s:.300} in {shown!r}")
    return ticket_from_document(document)


def ticket_from_document(document: Any) -> Result[Ticket, TicketError]:
    """Return the ticket in a decoded JSON value, or its first `MAX_FAULTS` faults."""
    faults = _text_faults(document) or _schema_faults(document)
    if faults:
        return Err(TicketError(tuple(faults[:MAX_FAULTS])))
    ticket = Ticket(
        number=int(document["number"]),
        digest=canonical_digest(document),
        author=document.get("author", ""),
        note=document.get("note", ""),
        services=_by_name(document, "services", _service),
        routes=_by_name(document, "routes", _route),
        rollouts=_by_name(document, "rollouts", _rollout),
    )
    faults = _meaning_faults(ticket)
    if faults:
        return Err(TicketError(tuple(faults[:MAX_FAULTS])))
    return Ok(ticket)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _invalid(place: str, reason: str) -> Result[Ticket, TicketError]:
    return Err(TicketError((Fault(place, reason),)))


def _parse_float(text: str) -> int | float:
    # 1.0 and 1 are the same number in JSON and have to give the same digest.
    value = float(text)
    if value.is_integer() and abs(value) <= MAX_EXACT_FLOAT:
        return int(value)
    return value


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        seen: set[str] = set()
        repeated = next(k for k, _ in pairs if k in seen or seen.add(k))
        raise ValueError(f"the key {repeated!r:.100} is there more than once")
    return document


def _text_faults(document: Any) -> list[Fault]:
    """Return faults that JSON Schema cannot state: depth and characters.

    In a pattern of the schema, Python's ``$`` also matches before a final line feed.
    """
    faults: list[Fault] = []
    level: list[tuple[str, Any]] = [("", document)]
    for _ in range(MAX_DEPTH):
        below: list[tuple[str, Any]] = []
        for place, value in level:
            if isinstance(value, str):
                _check_characters(place, value, faults)
            elif isinstance(value, list):
                below.extend((f"{place}.{i}", part) for i, part in enumerate(value))
            elif isinstance(value, dict):
                for key, part in value.items():
                    _check_characters(place, key, faults)
                    below.append((f"{place}.{key}", part))
            if len(faults) >= MAX_FAULTS:
                return faults
        if not below:
            return faults
        level = below
    return [Fault("ticket", f"nested deeper than {MAX_DEPTH} levels")]


def _check_characters(place: str, text: str, faults: list[Fault]) -> None:
    if text.isprintable():
        return
    allowed = "\n\t" if place == ".note" else ""
    for character in text:
        if unicodedata.category(character) in ("Cc", "Cs") and character not in allowed:
            shown = place.removeprefix(".").encode("ascii", "backslashreplace")
            reason = f"{text!r:.100} has a control character or a lone surrogate"
            faults.append(Fault(shown.decode()[:200] or "ticket", reason))
            return


def _schema_faults(document: Any) -> list[Fault]:
    errors = itertools.islice(_TICKET_VALIDATOR.iter_errors(document), MAX_FAULTS)
    faults = sorted((_schema_fault((), error) for error in errors), key=str)
    for section in SECTIONS:
        validator = _VALIDATORS_BY_SECTION[section]
        entries = document.get(section) if isinstance(document, dict) else None
        if not isinstance(entries, dict):
            continue
        for name, entry in entries.items():
            if entry is None:
                continue
            errors = validator.iter_errors(entry)
            found = [_schema_fault((section, name), error) for error in errors]
            faults.extend(sorted(found, key=str))
            if len(faults) >= MAX_FAULTS:
                return faults
    return faults


def _schema_fault(above: tuple[str, ...], error: jsonschema.ValidationError) -> Fault:
    parts = (*above, *map(str, error.absolute_path))
    place = ".".join(parts) or "ticket"
    reason = error.message
    if len(reason) > 300:
        reason = reason[:300] + "..."
    return Fault(place, reason)


def _by_name(document: dict[str, Any], section: str, convert: Any) -> dict[str, Any]:
    entries = document.get(section, {})
    return {
        name: None if entry is None else convert(entry)
        for name, entry in entries.items()
    }


def _service(entry: dict[str, Any]) -> Service:
    # JSON Schema takes 503.0 for an integer.
    statuses = {int(status) for status in entry.get("not_run_statuses", ())}
    return Service(
        versions=tuple(entry["versions"]),
        current=entry["current"],
        not_run_statuses=tuple(sorted(statuses)),
    )


def _unique(values: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted(set(values)))


def _route(entry: dict[str, Any]) -> Route:
    lists = {key: tuple(entry[key]) for key in ("hosts", "methods") if key in entry}
    if "hosts" in lists:
        lists["hosts"] = _unique(normal_host(host) for host in lists["hosts"])
    if "methods" in lists:
        lists["methods"] = _unique(method.upper() for method in lists["methods"])
    return Route(**{**entry, **_numbers(entry, Route), **lists})


def _rollout(entry: dict[str, Any]) -> Rollout:
    times = {key: _parse_time(entry[key]) for key in ("start", "end_by")}
    return Rollout(**{**entry, **_numbers(entry, Rollout), **times})


def _numbers(entry: dict[str, Any], cls: type) -> dict[str, Any]:
    # JSON Schema takes 1.0 for an integer and 1 for a number. The digest of the state
    # distinguishes them, so each field gets the one type that it is declared with.
    return {
        field.name: field.type(entry[field.name])
        for field in attrs.fields(cls)
        if field.type in (int, float) and type(entry.get(field.name)) in (int, float)
    }


def _parse_time(text: str) -> float:
    try:
        moment = datetime.fromisoformat(text)
        if moment.tzinfo is None:
            return float("nan")
        return moment.timestamp()
    except (ValueError, OverflowError):
        return float("nan")


def _meaning_faults(ticket: Ticket) -> list[Fault]:
    faults: list[Fault] = []
    for name, service in ticket.services.items():
        if service is not None and service.current not in service.versions:
            reason = f"{service.current!r} is not one of {list(service.versions)}"
            faults.append(Fault(f"services.{name}.current", reason))
    for name, rollout in ticket.rollouts.items():
        if rollout is not None:
            faults.extend(_rollout_faults(f"rollouts.{name}", rollout))
    return faults


def _rollout_faults(place: str, rollout: Rollout) -> list[Fault]:
    faults: list[Fault] = []
    for key in ("start", "end_by"):
        value = getattr(rollout, key)
        if value != value:
            reason = "must be an RFC 3339 time with offset, as 2026-01-31T10:00:00Z"
            faults.append(Fault(f"{place}.{key}", reason))
    if rollout.end_by <= rollout.start:
        faults.append(Fault(f"{place}.end_by", "must be later than start"))
    if rollout.from_version == rollout.to_version:
        reason = f"{rollout.to_version!r} is the same as from_version"
        faults.append(Fault(f"{place}.to_version", reason))
    return faults
