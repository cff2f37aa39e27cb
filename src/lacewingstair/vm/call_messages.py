"""Messages on the streams that carry calls between VMs.

A message is encoded as a msgpack array: its type code, then its fields in order.
Messages are validated when they are decoded, although peers run the same program.

Offsets of the store's topics are positions (`metadata.positions`), so that offsets of
different eras of the store are never compared with each other.
"""

import enum
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.accounts.quota_messages import (
    QuotaGrant,
    QuotaReport,
    shares_from_values,
    usages_from_values,
)
from lacewingstair.errors import FrameError
from lacewingstair.final_responses import find_answer_fault
from lacewingstair.staged_rollouts.evidence import GateEvidence, RouteCounts
from lacewingstair.staged_rollouts.marks import RolloutMark
from lacewingstair.staged_rollouts.policy import Stage
from lacewingstair.vm.entries import VmEntry, entry_from_values, entry_to_values

MAX_MESSAGE_BYTES = 80 << 20
FIRST_BUFFER_BYTES = 4 << 10

MessageType = TypeVar("MessageType", bound=type)
_TYPES_BY_CODE: dict[int, type] = {}
_CODES_BY_TYPE: dict[type, int] = {}


def _register_message(code: int) -> Callable[[MessageType], MessageType]:
    def decorate(cls: MessageType) -> MessageType:
        _TYPES_BY_CODE[code] = cls
        _CODES_BY_TYPE[cls] = code
        return cls

    return decorate


class RefusalReason(enum.IntEnum):
    """Why a call was not run."""

    FULL = 1
    CLOSED = 2
    WRONG_SERVICE = 3
    NO_TIME = 4
    UNREACHABLE = 5
    VERSION = 6
    UPSTREAM_REFUSED = 7


class SendOrigin(enum.IntEnum):
    """Why a call is sent to a backend server; all but `FIRST` are additional load."""

    FIRST = 0
    AFTER_REFUSAL = 1
    AFTER_FAILURE = 2
    AFTER_ERROR = 3
    SILENT_VM = 4
    # First attempt of a nested call that is made by a repeated run.
    REPEATED_RUN = 5


@attrs.frozen
class LoadReport:
    """Load of a gate.

    Parameters
    ----------
    running, waiting, slots : int
        Calls at the backend server, calls in the queue, and the limit of concurrent
        calls.
    service_ms : float
        Mean time that the backend server takes for a call.
    wait_ms : float
        Estimated time in the queue for the next call.
    is_open : bool
        Whether the gate accepts calls.
    version : str
        Version of the backend server.
    records_position : int
        Offset up to which the VM holds the operators' records.
    reads_store : bool
        Whether the VM currently follows the operators' records in the store.
    configuration_number : int
        Version of the configuration that the VM holds, 0 if it has none. VMs at the
        same position can hold different ones after a late write of an older version.
    link_wait_ms : float
        Estimated wait of a further message before the VM's own link, which large bodies
        occupy.
    work_percent : int
        How long work takes on the machine of the backend server, in percent of the
        usual, as it states; 0 if it does not.
    backlog_ms : float
        Work left of its running and queued calls at that speed, over all slots.
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
    configuration_number: int = 0
    link_wait_ms: float = 0.0
    work_percent: int = 0
    backlog_ms: float = 0.0


@_register_message(1)
@attrs.frozen
class Hello:
    """First message in each direction; identifies the sender."""

    entry: VmEntry


@_register_message(2)
@attrs.frozen
class CallRequest:
    """A call for the backend server on the receiving VM.

    Parameters
    ----------
    call_id : int
        Unique on the stream.
    request_id : str
        Request id set by the caller.
    service, version, route : str
        Destination of the call; an empty version stands for any.
    method, target : str
        Method and target of the request line.
    header_lines, body : bytes
        Header section and body of the request.
    remaining_ms, target_ms : float
        Time to the deadline, and to the latency target, after which the answer loses
        most of its value to the caller.
    priority : int
        Priority; 0 is the highest.
    allows_repeat : bool
        Whether the call may run twice.
    origin : SendOrigin
        Why the call is sent.
    account : str
        Name of the caller's account; empty if it has none.
    is_nested : bool
        Whether a backend server makes the call while it runs another one.
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
    account: str = ""
    is_nested: bool = False


@_register_message(3)
@attrs.frozen
class CallCancel:
    """Cancels a call, since its caller no longer waits for the answer."""

    call_id: int


@_register_message(4)
@attrs.frozen
class CallRefused:
    """The call was rejected before execution and will not run.

    Parameters
    ----------
    call_id : int
        Id of the call.
    reason : RefusalReason
        Why the call was rejected.
    retry_after_ms : float
        Estimated time until there is capacity again.
    was_sent : bool
        Whether the call reached the backend server, which rejected it.
    load : LoadReport
        Load of the gate.
    """

    call_id: int
    reason: RefusalReason
    retry_after_ms: float
    was_sent: bool
    load: LoadReport


@_register_message(5)
@attrs.frozen
class CallFailed:
    """The call has no usable answer and may have run."""

    call_id: int
    reason: str
    is_timeout: bool
    load: LoadReport


@_register_message(6)
@attrs.frozen
class CallAnswer:
    """Complete answer of the backend server.

    Parameters
    ----------
    call_id : int
        Id of the call.
    status, reason
        Code and reason phrase of the status line, the latter with one character for
        each byte.
    header_lines, body : bytes
        Header section and body of the answer.
    load : LoadReport
        Load of the gate.
    has_failed_nested_call : bool
        Whether a call that the backend server made for this one was refused or failed
        after the retries that were allowed.
    """

    call_id: int
    status: int
    reason: str
    header_lines: bytes
    body: bytes
    load: LoadReport
    has_failed_nested_call: bool = False


@_register_message(7)
@attrs.frozen
class Ping:
    """Checks whether the peer's process responds."""

    number: int


@_register_message(8)
@attrs.frozen
class Pong:
    """Response to a `Ping`."""

    number: int
    load: LoadReport


@_register_message(9)
@attrs.frozen
class LoadChanged:
    """The gate has opened or closed, or its load has changed considerably."""

    load: LoadReport


@_register_message(10)
@attrs.frozen
class EntryChanged:
    """The sender's entry, or another VM's as the sender knows it."""

    entry: VmEntry


@_register_message(11)
@attrs.frozen
class RecordsRequest:
    """Requests the operators' records that the sender does not hold.

    Parameters
    ----------
    transfer_id : int
        Unique on the stream.
    after : int
        Offset up to which the sender holds all records.
    base_offsets : list of int
        Offsets of values that the sender holds and that a delta can have as its base.
    configuration_number : int
        Version of the configuration that the sender holds, 0 if it has none.
    """

    transfer_id: int
    after: int
    base_offsets: list[int]
    configuration_number: int = 0


@_register_message(12)
@attrs.frozen
class RecordsPart:
    """Part of a transfer of records, split so that other messages are not delayed.

    Parameters
    ----------
    transfer_id : int
        Id from the request.
    is_last : bool
        Whether this is the last part of the transfer.
    data : bytes
        Next bytes of the transfer.
    """

    transfer_id: int
    is_last: bool
    data: bytes


@_register_message(13)
@attrs.frozen
class EvidenceChanged:
    """Call counts of the sender's gate during a rollout."""

    evidence: GateEvidence


@_register_message(14)
@attrs.frozen
class MarkChanged:
    """Progress of a rollout as known to the sender."""

    mark: RolloutMark


class StoreTopic(enum.IntEnum):
    """Topic of the store that VMs check for each other."""

    OPERATORS = 0
    ENTRIES = 1


@_register_message(15)
@attrs.frozen
class StoreChecked:
    """Where a topic of the store ended when the sender read it.

    Parameters
    ----------
    topic : StoreTopic
        The topic.
    end_offset : int
        Offset of the next record that would have been written.
    is_held : bool
        Whether the sender holds all records before that offset.
    age_ms : int
        Time from the begin of the read to the sending of this message.
    sent_at_ms : int
        When this message was sent, monotonic milliseconds of the sender.
    """

    topic: StoreTopic
    end_offset: int
    is_held: bool = True
    age_ms: int = 0
    sent_at_ms: int = 0


_register_message(16)(QuotaReport)
_register_message(17)(QuotaGrant)

CallOutcome = CallAnswer | CallRefused | CallFailed
_LOAD_REPORT_FIELD_NAMES = tuple(field.name for field in attrs.fields(LoadReport))
_LOAD_REPORT_DEFAULTS = tuple(field.default for field in attrs.fields(LoadReport))
# Fields that every version of the program reads.
_FIRST_LOAD_REPORT_FIELDS = 10


def _to_wire_value(value: Any) -> Any:
    if isinstance(value, LoadReport):
        return _load_to_values(value)
    if isinstance(value, VmEntry):
        return entry_to_values(value)
    if isinstance(value, GateEvidence):
        return _evidence_to_values(value)
    if isinstance(value, RolloutMark):
        return _mark_to_values(value)
    return value


def _load_to_values(load: LoadReport) -> list[Any]:
    """Return the fields of a load report without later ones that have their defaults.

    A process of an earlier version cannot read fields that it does not know.
    """
    values = [getattr(load, name) for name in _LOAD_REPORT_FIELD_NAMES]
    while (
        len(values) > _FIRST_LOAD_REPORT_FIELDS
        and values[-1] == _LOAD_REPORT_DEFAULTS[len(values) - 1]
    ):
        values.pop()
    return values


def _evidence_to_values(evidence: GateEvidence) -> list[Any]:
    by_slice = {
        index: {route: _counts_to_values(found) for route, found in by_route.items()}
        for index, by_route in evidence.counts_by_route_by_slice.items()
    }
    return [
        evidence.vm_id,
        evidence.incarnation,
        evidence.service,
        evidence.version,
        evidence.order_offset,
        by_slice,
    ]


def _counts_to_values(counts: RouteCounts) -> list[Any]:
    return [
        counts.calls,
        counts.bad,
        counts.calls_by_bucket,
        counts.abandoned_by_bucket,
    ]


def _evidence_from_values(values: Any) -> GateEvidence:
    *names, by_slice = values
    found = {
        int(index): {route: RouteCounts(*fields) for route, fields in by_route.items()}
        for index, by_route in by_slice.items()
    }
    return GateEvidence(*names, found)


def _mark_to_values(mark: RolloutMark) -> list[Any]:
    return [
        mark.service,
        mark.order_offset,
        int(mark.stage),
        mark.elapsed_seconds,
        mark.is_reported,
        mark.target_version,
        mark.stage_seconds,
    ]


def _mark_from_values(values: Any) -> RolloutMark:
    service, offset, stage, *others = values
    return RolloutMark(service, offset, Stage(stage), *others)


_FIELD_NAMES_BY_TYPE = {
    cls: tuple(field.name for field in attrs.fields(cls)) for cls in _CODES_BY_TYPE
}
_CONVERTERS_BY_FIELD_NAME: dict[str, Callable[[Any], Any]] = {
    "origin": SendOrigin,
    "topic": StoreTopic,
    "load": lambda value: LoadReport(*value),
    "entry": entry_from_values,
    "evidence": _evidence_from_values,
    "mark": _mark_from_values,
    "usages": usages_from_values,
    "shares": shares_from_values,
}


def encode(message: Any) -> bytes:
    """Return the wire encoding of a message."""
    cls = type(message)
    fields = [
        _to_wire_value(getattr(message, name)) for name in _FIELD_NAMES_BY_TYPE[cls]
    ]
    return msgpack.packb([_CODES_BY_TYPE[cls], *fields])


def decode(array: Any) -> Result[Any, FrameError]:
    """Return the message that a msgpack array encodes.

    An answer that is not a final response becomes a failure that promises nothing.
    """
    try:
        code, *values = array
        cls = _TYPES_BY_CODE[code]
        names = _FIELD_NAMES_BY_TYPE[cls]
        fields = dict(zip(names, values, strict=True))
        for name in _CONVERTERS_BY_FIELD_NAME.keys() & fields.keys():
            fields[name] = _CONVERTERS_BY_FIELD_NAME[name](fields[name])
        if cls is CallRefused:
            fields["reason"] = RefusalReason(fields["reason"])
        message = cls(**fields)
        return Ok(_checked(message) if cls is CallAnswer else message)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        return Err(FrameError(f"invalid message: {error!r:.100}"))


def _checked(answer: CallAnswer) -> CallAnswer | CallFailed:
    fault = find_answer_fault(
        answer.status, answer.reason, answer.header_lines, answer.body
    )
    if not fault:
        return answer
    return CallFailed(answer.call_id, fault, False, answer.load)


def unpacker() -> msgpack.Unpacker:
    """Return an incremental decoder of msgpack arrays; its buffer grows as needed."""
    return msgpack.Unpacker(
        read_size=FIRST_BUFFER_BYTES,
        max_buffer_size=MAX_MESSAGE_BYTES,
        strict_map_key=False,
    )
