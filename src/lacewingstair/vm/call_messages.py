"""Messages on the streams that carry calls between VMs.

A message is a msgpack array of its code and its fields in order. Peers run the same
program, but what they send is checked for its shape all the same.
"""

import enum
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.errors import FrameError
from lacewingstair.staged_rollouts.evidence import GateEvidence, RouteCounts
from lacewingstair.staged_rollouts.marks import RolloutMark
from lacewingstair.staged_rollouts.policy import Stage
from lacewingstair.vm.entries import VmEntry, entry_of_values, entry_values

MAX_MESSAGE_BYTES = 80 << 20

M = TypeVar("M", bound=type)
_TYPES_BY_CODE: dict[int, type] = {}
_CODES_BY_TYPE: dict[type, int] = {}


def _message(code: int) -> Callable[[M], M]:
    def register(cls: M) -> M:
        _TYPES_BY_CODE[code] = cls
        _CODES_BY_TYPE[cls] = code
        return cls

    return register


class RefusalReason(enum.IntEnum):
    """Why a gate did not run a call."""

    FULL = 1
    CLOSED = 2
    WRONG_SERVICE = 3
    NO_TIME = 4
    UNREACHABLE = 5
    VERSION = 6
    UPSTREAM_REFUSED = 7


class SendOrigin(enum.IntEnum):
    """Why a backend server gets a call; all but the first add to its load."""

    FIRST = 0
    AFTER_REFUSAL = 1
    AFTER_FAILURE = 2
    AFTER_ERROR = 3
    SILENT_VM = 4
    # The first send of a call that a repeated run makes.
    REPEATED_RUN = 5


@attrs.frozen
class LoadReport:
    """Load of a gate.

    Parameters
    ----------
    running, waiting, slots : int
        Calls at its backend server, calls in its queue, and calls that may run.
    service_ms : float
        Mean time that a call takes once it runs.
    wait_ms : float
        Time that a further call would wait.
    is_open : bool
        Whether it takes calls.
    version : str
        Version of its backend server.
    records_position : int
        Offset up to which the VM holds the operators' records.
    reads_store : bool
        Whether the VM follows the operators' records in the store now.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    service_ms: float = 0.0
    wait_ms: float = 0.0
    is_open: bool = False
    version: str = ""
    records_position: int = -1
    reads_store: bool = False


@_message(1)
@attrs.frozen
class Hello:
    """First message of both sides: who they are."""

    entry: VmEntry


@_message(2)
@attrs.frozen
class CallRequest:
    """A call to be run by the backend server beside the receiver.

    Parameters
    ----------
    call_id : int
        Unique on the stream.
    request_id : str
        Id that the caller gave.
    service, version, route : str
        What the call is for; any version when empty.
    method, target : str
        Request line.
    header_lines, body : bytes
        The rest of the request.
    remaining_ms, target_ms : float
        Time until an answer is of no use, and until it loses most of its worth.
    priority : int
        Rank; 0 is the highest.
    allows_repeat : bool
        Whether the call may run twice.
    origin : SendOrigin
        Why it is sent.
    """

    call_id: int
    request_id: str
    service: str
    version: str
    route: str
    method: str
    target: str
    header_lines: bytes
    body: bytes
    remaining_ms: float
    target_ms: float
    priority: int
    allows_repeat: bool
    origin: SendOrigin = SendOrigin.FIRST


@_message(3)
@attrs.frozen
class CallCancel:
    """The caller has left."""

    call_id: int


@_message(4)
@attrs.frozen
class CallRefused:
    """The call did not run and will not.

    Parameters
    ----------
    call_id : int
        Which call.
    reason : RefusalReason
        Why.
    retry_after_ms : float
        Time after which there may be room.
    was_sent : bool
        Whether the backend server saw it and refused it.
    load : LoadReport
        Load of the gate.
    """

    call_id: int
    reason: RefusalReason
    retry_after_ms: float
    was_sent: bool
    load: LoadReport


@_message(5)
@attrs.frozen
class CallFailed:
    """The call has no usable answer and may have run."""

    call_id: int
    reason: str
    is_timeout: bool
    load: LoadReport


@_message(6)
@attrs.frozen
class CallAnswer:
    """Whole answer of the backend server.

    Parameters
    ----------
    call_id : int
        Which call.
    status, reason
        Status line.
    header_lines, body : bytes
        The rest of the answer.
    load : LoadReport
        Load of the gate.
    has_failed_call : bool
        Whether backend servers refused or failed a call that the run had made, after
        the repeats that this call was allowed.
    """

    call_id: int
    status: int
    reason: str
    header_lines: bytes
    body: bytes
    load: LoadReport
    has_failed_call: bool = False


@_message(7)
@attrs.frozen
class Ping:
    """Asks whether the peer's process runs."""

    number: int


@_message(8)
@attrs.frozen
class Pong:
    """Answer to a `Ping`."""

    number: int
    load: LoadReport


@_message(9)
@attrs.frozen
class LoadChanged:
    """The gate has opened or closed, or its load has changed much."""

    load: LoadReport


@_message(10)
@attrs.frozen
class EntryChanged:
    """The sender's entry, or another VM's as the sender knows it."""

    entry: VmEntry


@_message(11)
@attrs.frozen
class RecordsRequest:
    """Asks for the operators' records that the sender lacks.

    Parameters
    ----------
    transfer_id : int
        Unique on the stream.
    after : int
        Offset up to which the sender is complete.
    remembered : list of int
        Offsets of values that a difference can refer to.
    """

    transfer_id: int
    after: int
    remembered: list[int]


@_message(12)
@attrs.frozen
class RecordsPart:
    """Part of a transfer of records, so that other messages get in between.

    Parameters
    ----------
    transfer_id : int
        From the request.
    is_last : bool
        Whether the transfer is complete with it.
    data : bytes
        Next bytes of the transfer.
    """

    transfer_id: int
    is_last: bool
    data: bytes


@_message(13)
@attrs.frozen
class EvidenceChanged:
    """Counts of the sender's gate during a rollout."""

    evidence: GateEvidence


@_message(14)
@attrs.frozen
class MarkChanged:
    """How far a rollout is, as the sender knows it."""

    mark: RolloutMark


CallOutcome = CallAnswer | CallRefused | CallFailed
_LOAD_FIELDS = tuple(field.name for field in attrs.fields(LoadReport))


def _packed(value: Any) -> Any:
    if isinstance(value, LoadReport):
        return [getattr(value, name) for name in _LOAD_FIELDS]
    if isinstance(value, VmEntry):
        return entry_values(value)
    if isinstance(value, GateEvidence):
        return _evidence_values(value)
    if isinstance(value, RolloutMark):
        return _mark_values(value)
    return value


def _evidence_values(evidence: GateEvidence) -> list[Any]:
    counts = {
        route: [found.calls, found.bad, found.calls_by_bucket]
        for route, found in evidence.counts_by_route.items()
    }
    return [
        evidence.vm_id,
        evidence.service,
        evidence.version,
        evidence.order_offset,
        counts,
    ]


def _evidence_of(values: Any) -> GateEvidence:
    *names, counts = values
    found = {route: RouteCounts(*fields) for route, fields in counts.items()}
    return GateEvidence(*names, found)


def _mark_values(mark: RolloutMark) -> list[Any]:
    return [
        mark.service,
        mark.order_offset,
        int(mark.stage),
        mark.elapsed_seconds,
        mark.is_reported,
    ]


def _mark_of(values: Any) -> RolloutMark:
    service, offset, stage, elapsed_seconds, is_reported = values
    return RolloutMark(service, offset, Stage(stage), elapsed_seconds, is_reported)


_GETTERS_BY_TYPE = {
    cls: tuple(field.name for field in attrs.fields(cls)) for cls in _CODES_BY_TYPE
}
_CONVERTERS_BY_NAME: dict[str, Callable[[Any], Any]] = {
    "origin": SendOrigin,
    "load": lambda value: LoadReport(*value),
    "entry": entry_of_values,
    "evidence": _evidence_of,
    "mark": _mark_of,
}


def encode(message: Any) -> bytes:
    """Return a message as it goes on the stream."""
    cls = type(message)
    fields = [_packed(getattr(message, name)) for name in _GETTERS_BY_TYPE[cls]]
    return msgpack.packb([_CODES_BY_TYPE[cls], *fields])


def decode(array: Any) -> Result[Any, FrameError]:
    """Return the message of a decoded array."""
    try:
        code, *values = array
        cls = _TYPES_BY_CODE[code]
        names = _GETTERS_BY_TYPE[cls]
        fields = dict(zip(names, values, strict=True))
        for name in _CONVERTERS_BY_NAME.keys() & fields.keys():
            fields[name] = _CONVERTERS_BY_NAME[name](fields[name])
        if cls is CallRefused:
            fields["reason"] = RefusalReason(fields["reason"])
        return Ok(cls(**fields))
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        return Err(FrameError(f"not a message: {error!r:.100}"))


def unpacker() -> msgpack.Unpacker:
    """Return what splits the bytes of a stream into arrays."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)
