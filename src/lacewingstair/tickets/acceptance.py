"""Acceptance of tickets: a deterministic fold of the log's records.

All VMs fold the same records in the log's order and so decide alike. Nothing here reads
a clock or a random source.
"""

import enum
import hashlib
import operator
from collections.abc import Mapping
from typing import Any

import attrs
from result import Err

from lacewingstair.errors import Fault
from lacewingstair.routing.routes import RouteTable
from lacewingstair.tickets.parsing import (
    MAX_FAULTS,
    SECTIONS,
    Rollout,
    Route,
    Service,
    Ticket,
    parse_ticket,
)

MAX_REMEMBERED_REFUSALS = 32
# Copies of a ticket that a slow request doubles arrive among the next few tickets.
MAX_REMEMBERED_DIGESTS = 32
# Entries are flat, so that the recursion of attrs.astuple is not needed.
_VALUES_BY_TYPE = {
    cls: operator.attrgetter(*(field.name for field in attrs.fields(cls)))
    for cls in (Service, Route, Rollout)
}


class Verdict(enum.Enum):
    """How one record of the log was decided."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    REFUSED = "refused"


@attrs.frozen
class TicketRecord:
    """One record of the ticket stream.

    Parameters
    ----------
    offset : int
        Place in the stream.
    value : str
        Text that was published.
    """

    offset: int
    value: str


@attrs.frozen
class Decision:
    """How one record of the log was decided, with the faults found.

    Parameters
    ----------
    offset : int
        Place of the record.
    number : int or None
        Ticket number, None when the record is not a ticket.
    verdict : Verdict
        Outcome.
    faults : tuple of Fault
        Reasons of a refusal.
    """

    offset: int
    number: int | None
    verdict: Verdict
    faults: tuple[Fault, ...] = ()


@attrs.frozen
class MeshState:
    """The configuration in force after all records before `next_offset`.

    Parameters
    ----------
    next_offset : int
        First offset that is not folded in.
    number : int
        Last accepted ticket number, 0 before the first.
    ticket_digest : str
        Canonical digest of the last accepted ticket.
    digest : str
        Digest of services, routes and rollouts, as hex.
    services, routes, rollouts : mapping by name
        The configuration.
    recent_digests : mapping of int to str
        Canonical digests of the last `MAX_REMEMBERED_DIGESTS` accepted tickets by
        number, by which a late copy is told from another ticket.
    rollout_numbers : mapping of str to int
        Ticket number that last set each rollout. It tells a rollout from a later one of
        the same name.
    refusals : tuple of Decision
        The last `MAX_REMEMBERED_REFUSALS` refused records.
    route_table : RouteTable
        Compiled from `routes`.
    """

    next_offset: int = 0
    number: int = 0
    ticket_digest: str = ""
    recent_digests: Mapping[int, str] = attrs.field(factory=dict)
    digest: str = "0" * 32
    services: Mapping[str, Service] = attrs.field(factory=dict)
    routes: Mapping[str, Route] = attrs.field(factory=dict)
    rollouts: Mapping[str, Rollout] = attrs.field(factory=dict)
    rollout_numbers: Mapping[str, int] = attrs.field(factory=dict)
    refusals: tuple[Decision, ...] = ()
    route_table: RouteTable = attrs.field(factory=RouteTable, eq=False, repr=False)

    @property
    def is_empty(self) -> bool:
        """Whether no ticket has been accepted yet."""
        return self.number == 0


def fold(state: MeshState, record: TicketRecord) -> tuple[MeshState, Decision]:
    """Return the state after one more record, and its decision.

    A record below `state.next_offset` leaves the state as it is and counts as a
    duplicate.
    """
    if record.offset < state.next_offset:
        return state, Decision(record.offset, None, Verdict.DUPLICATE)
    parsed = parse_ticket(record.value)
    if isinstance(parsed, Err):
        return _refuse(state, record.offset, None, parsed.err_value.faults)
    ticket = parsed.ok_value
    if state.recent_digests.get(ticket.number) == ticket.digest:
        after = attrs.evolve(state, next_offset=record.offset + 1)
        return after, Decision(record.offset, ticket.number, Verdict.DUPLICATE)
    faults = _number_faults(state, ticket)
    if faults:
        return _refuse(state, record.offset, ticket.number, faults)
    after = _applied(state, ticket, record.offset + 1)
    faults = _result_faults(ticket, after)
    if faults:
        return _refuse(state, record.offset, ticket.number, faults)
    return after, Decision(record.offset, ticket.number, Verdict.ACCEPTED)


def check_against(state: MeshState, ticket: Ticket) -> tuple[Fault, ...]:
    """Return why a valid ticket cannot be accepted in this state; empty if it can."""
    faults = _number_faults(state, ticket)
    if faults:
        return faults
    return _result_faults(ticket, _applied(state, ticket, state.next_offset))


def configuration_digest(
    services: Mapping[str, Service],
    routes: Mapping[str, Route],
    rollouts: Mapping[str, Rollout],
) -> str:
    """Return the digest of a whole configuration, as in `MeshState.digest`."""
    digest = 0
    for section, entries in zip(SECTIONS, (services, routes, rollouts), strict=True):
        digest ^= _changes_digest(section, {}, entries)
    return f"{digest:032x}"


def reference_faults(
    services: Mapping[str, Service],
    routes: Mapping[str, Route],
    rollouts: Mapping[str, Rollout],
) -> tuple[Fault, ...]:
    """Return every reference to a service or version that is missing."""
    return (*_route_faults(services, routes), *_rollout_faults(services, rollouts))


def _refuse(
    state: MeshState, offset: int, number: int | None, faults: tuple[Fault, ...]
) -> tuple[MeshState, Decision]:
    decision = Decision(offset, number, Verdict.REFUSED, faults[:MAX_FAULTS])
    refusals = (*state.refusals, decision)[-MAX_REMEMBERED_REFUSALS:]
    after = attrs.evolve(state, next_offset=offset + 1, refusals=refusals)
    return after, decision


def _number_faults(state: MeshState, ticket: Ticket) -> tuple[Fault, ...]:
    if ticket.number in state.recent_digests:
        reason = f"{ticket.number} is already taken by a ticket with other content"
        return (Fault("number", reason),)
    if ticket.number < state.number:
        reason = f"{ticket.number} is not above the last accepted, {state.number}"
        return (Fault("number", reason),)
    return ()


def _result_faults(ticket: Ticket, after: MeshState) -> tuple[Fault, ...]:
    # The state before has no faults, so that only what the ticket names, and routes of
    # a service that it removes, can be at fault.
    routes: Mapping[str, Route] = {
        name: after.routes[name] for name in ticket.routes if name in after.routes
    }
    if any(name not in after.services for name in ticket.services):
        routes = after.routes
    return reference_faults(after.services, routes, after.rollouts)


def _merged(held: Mapping[str, Any], changes: Mapping[str, Any]) -> Mapping[str, Any]:
    if not changes:
        return held
    merged = {**held, **changes}
    for name, entry in changes.items():
        if entry is None:
            del merged[name]
    return merged


def _route_faults(
    services: Mapping[str, Service], routes: Mapping[str, Route]
) -> list[Fault]:
    return [
        Fault(f"routes.{name}.service", f"service {route.service!r} does not exist")
        for name, route in sorted(routes.items())
        if route.service not in services
    ]


def _rollout_faults(
    services: Mapping[str, Service], rollouts: Mapping[str, Rollout]
) -> list[Fault]:
    faults: list[Fault] = []
    rollout_by_service: dict[str, str] = {}
    for name, rollout in sorted(rollouts.items()):
        place = f"rollouts.{name}"
        service = services.get(rollout.service)
        if service is None:
            reason = f"service {rollout.service!r} does not exist"
            faults.append(Fault(f"{place}.service", reason))
            continue
        for key in ("from_version", "to_version"):
            version = getattr(rollout, key)
            if version not in service.versions:
                reason = f"{version!r} is not one of {list(service.versions)}"
                faults.append(Fault(f"{place}.{key}", reason))
        other = rollout_by_service.setdefault(rollout.service, name)
        if other != name:
            reason = (
                f"service {rollout.service!r} is already moved by rollout {other!r}"
            )
            faults.append(Fault(f"{place}.service", reason))
    return faults


def _applied(state: MeshState, ticket: Ticket, next_offset: int) -> MeshState:
    digest = int(state.digest, 16)
    sections: dict[str, Mapping[str, Any]] = {}
    for section in SECTIONS:
        held = getattr(state, section)
        changes = getattr(ticket, section)
        digest ^= _changes_digest(section, held, changes)
        sections[section] = _merged(held, changes)
    numbers = {
        name: ticket.number if name in ticket.rollouts else state.rollout_numbers[name]
        for name in sections["rollouts"]
    }
    routes = sections["routes"]
    return attrs.evolve(
        state,
        next_offset=next_offset,
        number=ticket.number,
        ticket_digest=ticket.digest,
        recent_digests=_with_digest(state.recent_digests, ticket),
        digest=f"{digest:032x}",
        rollout_numbers=numbers,
        route_table=state.route_table.updated(state.routes, routes, ticket.routes),
        **sections,
    )


def _with_digest(recent: Mapping[int, str], ticket: Ticket) -> dict[int, str]:
    oldest = min(recent) if len(recent) >= MAX_REMEMBERED_DIGESTS else None
    kept = {number: digest for number, digest in recent.items() if number != oldest}
    kept[ticket.number] = ticket.digest
    return kept


def _changes_digest(
    section: str, held: Mapping[str, Any], changes: Mapping[str, Any]
) -> int:
    digest = 0
    for name, entry in changes.items():
        digest ^= _entry_digest(section, name, held.get(name))
        digest ^= _entry_digest(section, name, entry)
    return digest


def _entry_digest(section: str, name: str, entry: Any) -> int:
    if entry is None:
        return 0
    text = f"{section}/{name}/{_VALUES_BY_TYPE[type(entry)](entry)!r}"
    hashed = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=16)
    return int.from_bytes(hashed.digest(), "big")
