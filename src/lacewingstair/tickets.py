"""Tickets: their types, their JSON form and their canonical digest."""

import hashlib
import json
from collections.abc import Mapping
from datetime import datetime
from importlib import resources
from typing import Any

import attrs
import jsonschema
from result import Err, Ok, Result

from lacewingstair.errors import Fault, TicketError

MAX_TICKET_BYTES = 1 << 20
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@attrs.frozen
class Service:
    """A service and the versions of it that may serve.

    Parameters
    ----------
    versions : tuple of str
        Versions that backend servers may announce.
    current : str
        Version that serves when no rollout moves traffic.
    """

    versions: tuple[str, ...]
    current: str


@attrs.frozen
class Route:
    """Calls that go to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    hosts : tuple of str
        Host names without port; ``*`` matches all.
    path_prefix : str
        Matches whole path segments.
    methods : tuple of str
        Upper-case methods; empty matches all.
    kind : str
        Request kind for counting service; the route's name when empty.
    worth : float
        Relative worth of a call when calls have to be refused.
    timeout_ms : int
        Longest time for a call, retries included.
    idempotent : bool or None
        Whether a call may run twice; None decides by method.
    max_body_bytes : int
        Largest request body.
    """

    service: str
    hosts: tuple[str, ...] = ("*",)
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    kind: str = ""
    worth: float = 1.0
    timeout_ms: int = 2000
    idempotent: bool | None = None
    max_body_bytes: int = 1 << 20

    def allows_repeat(self, method: str) -> bool:
        """Return whether a call with this method may run twice."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


@attrs.frozen
class Rollout:
    """A move of a service's traffic from one version to another.

    Parameters
    ----------
    service, from_version, to_version : str
        What moves.
    start, end_by : float
        Seconds since the Unix epoch between which traffic moves.
    trial_share : float
        Share of calls the new version gets before it has earned more.
    max_failure_increase : float
        Increase of the failure ratio that makes the new version bad.
    max_latency_ratio : float
        Ratio to the old version's latency that makes the new version bad.
    """

    service: str
    from_version: str
    to_version: str
    start: float
    end_by: float
    trial_share: float = 0.02
    max_failure_increase: float = 0.02
    max_latency_ratio: float = 1.5


@attrs.frozen
class Ticket:
    """A numbered change with the whole new state of all that it touches.

    The three mappings give the new state by name; None removes the entry.
    """

    number: int
    digest: str
    author: str = ""
    note: str = ""
    services: Mapping[str, Service | None] = attrs.field(factory=dict)
    routes: Mapping[str, Route | None] = attrs.field(factory=dict)
    rollouts: Mapping[str, Rollout | None] = attrs.field(factory=dict)


def _load_schema() -> dict[str, Any]:
    path = resources.files("lacewingstair").joinpath("ticket.schema.json")
    return json.loads(path.read_text("utf-8"))


TICKET_SCHEMA = _load_schema()
_VALIDATOR = jsonschema.Draft202012Validator(TICKET_SCHEMA)


def canonical_digest(value: Any) -> str:
    """Return the SHA-256 of a JSON value written with sorted keys, as hex."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def parse_ticket(text: str | bytes) -> Result[Ticket, TicketError]:
    """Return the ticket in a JSON text, or every fault of it.

    Parameters
    ----------
    text : str or bytes
        JSON object as in ``ticket.schema.json``, at most `MAX_TICKET_BYTES` long.
    """
    if len(text) > MAX_TICKET_BYTES:
        reason = f"{len(text)} bytes, at most {MAX_TICKET_BYTES} are allowed"
        return _invalid("ticket", reason)
    try:
        document = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return _invalid("ticket", f"not JSON: {error}")
    return ticket_from_document(document)


def ticket_from_document(document: Any) -> Result[Ticket, TicketError]:
    """Return the ticket in a decoded JSON value, or every fault of it."""
    faults = _schema_faults(document)
    if faults:
        return Err(TicketError(tuple(faults)))
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
        return Err(TicketError(tuple(faults)))
    return Ok(ticket)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _invalid(place: str, reason: str) -> Result[Ticket, TicketError]:
    return Err(TicketError((Fault(place, reason),)))


def _schema_faults(document: Any) -> list[Fault]:
    found = sorted(
        _VALIDATOR.iter_errors(document), key=lambda e: list(map(str, e.path))
    )
    return [_schema_fault(error) for error in found]


def _schema_fault(error: jsonschema.ValidationError) -> Fault:
    place = ".".join(str(part) for part in error.absolute_path) or "ticket"
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
    return Service(versions=tuple(entry["versions"]), current=entry["current"])


def _route(entry: dict[str, Any]) -> Route:
    lists = {key: tuple(entry[key]) for key in ("hosts", "methods") if key in entry}
    if "hosts" in lists:
        lists["hosts"] = tuple(host.lower() for host in lists["hosts"])
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
    except ValueError:
        return float("nan")
    if moment.tzinfo is None:
        return float("nan")
    return moment.timestamp()


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
