"""Messages between VMs and their msgpack encoding.

A message is encoded as a msgpack array of its type code and its fields in order.
Decoding validates the type of every field, since input from peers is untrusted.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any

import attrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.errors import FrameError, InvariantError
from lacewingstair.rollouts.evidence import EvidenceReport
from lacewingstair.rollouts.marks import RollbackMark, StageMark
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.strict_structuring import (
    StructureHook,
    shown,
    structure_float,
    tuple_converter,
)
from lacewingstair.vm.directory import EndpointState, VmRecord, VmStatus

PROTOCOL_VERSION = 4

_types_by_code: dict[int, type] = {}
_codes_by_type: dict[type, int] = {}


def message(code: int) -> Callable[[type], type]:
    """Return a decorator that registers a message type under its wire code."""

    def register(cls: type) -> type:
        if code in _types_by_code:
            raise InvariantError(f"message code {code} is already registered")
        _types_by_code[code] = cls
        _codes_by_type[cls] = code
        return cls

    return register


@message(1)
@attrs.frozen
class Hello:
    """First message that each side of a connection sends.

    The side that opened the connection decides whether the link is eager, that is,
    whether updates are pushed over it at once.
    """

    mesh: str
    vm_id: str
    region: str
    availability_zone: str
    incarnation: int
    is_eager: bool = True
    protocol: int = PROTOCOL_VERSION


@message(2)
@attrs.frozen
class Heartbeat:
    """Periodic message whose digests let the peer detect missed updates.

    Digests are 64-bit integers.
    """

    next_offset: int
    number: int
    state_digest: int
    directory_digest: int
    marks_digest: int


@message(3)
@attrs.frozen
class TicketDelta:
    """Consecutive records of the ticket log, including those of refused tickets."""

    previous_offset: int
    next_offset: int
    records: tuple[TicketRecord, ...]


@message(4)
@attrs.frozen
class StateRequest:
    """Requests the ticket records from `next_offset` on."""

    next_offset: int


@message(5)
@attrs.frozen
class SnapshotChunk:
    """Part of a compressed snapshot, which is complete with all `count` parts."""

    snapshot_id: int
    index: int
    count: int
    digest: str
    data: bytes


@message(6)
@attrs.frozen
class Busy:
    """Reply of a peer that cannot serve a snapshot now; retry later or elsewhere.

    `has_snapshot` tells whether the peer could serve a snapshot later.
    """

    retry_after_ms: int
    has_snapshot: bool


@message(7)
@attrs.frozen
class DirectoryDelta:
    """Directory records that the peer may not have."""

    records: tuple[VmRecord, ...]


@message(8)
@attrs.frozen
class DirectoryDigests:
    """Digests of all buckets of the sender's directory.

    `buckets` holds the low 4 bytes of each digest, big-endian, in bucket order.
    """

    buckets: bytes


@message(9)
@attrs.frozen
class DirectoryRequest:
    """Requests the directory records with the given digests."""

    digests: tuple[int, ...]


@message(10)
@attrs.frozen
class MarksDelta:
    """Marks that the peer may not have."""

    stages: tuple[StageMark, ...] = ()
    take_backs: tuple[RollbackMark, ...] = ()


@message(11)
@attrs.frozen
class MarksRequest:
    """Requests all marks."""


@message(12)
@attrs.frozen
class Evidence:
    """Evidence of rollouts, sent up the aggregation tree or between relays."""

    report: EvidenceReport


@message(13)
@attrs.frozen
class Goodbye:
    """Last message of a sender that closes the connection intentionally."""

    reason: str


@message(14)
@attrs.frozen
class SnapshotRequest:
    """Requests a snapshot of the state if it is newer than `next_offset`."""

    next_offset: int
    with_directory: bool


@attrs.frozen
class BucketSummary:
    """Digests of all records in one bucket."""

    bucket: int
    digests: tuple[int, ...]


@message(15)
@attrs.frozen
class BucketSummaries:
    """Reply to `DirectoryDigests` with a summary of each bucket that differs."""

    summaries: tuple[BucketSummary, ...]


@message(16)
@attrs.frozen
class LinkMode:
    """Sent by the side that opened the connection to make the link eager or not."""

    is_eager: bool


@message(18)
@attrs.frozen
class Unchanged:
    """Replaces a heartbeat that equals the previous one on the same link."""


@message(19)
@attrs.frozen
class Full:
    """The sender accepts no more connections; `addresses` lists alternatives."""

    addresses: tuple[str, ...]


@message(17)
@attrs.frozen
class RecordsExpired:
    """The requested records are no longer available; a snapshot is needed instead."""

    next_offset: int


def _structure_enum(cls: type[IntEnum]) -> StructureHook:
    members_by_value = {int(member): member for member in cls}

    def structure(value: Any, _: Any) -> Any:
        member = members_by_value.get(value) if type(value) is int else None
        if member is None:
            raise ValueError(f"{shown(value)} is not a {cls.__name__}")
        return member

    return structure


_converter = tuple_converter(int, str, bytes, bool)
_converter.register_structure_hook(float, structure_float)
for _enum_type in (EndpointState, VmStatus):
    # Without these hooks, cattrs would treat an IntEnum as a plain int.
    _converter.register_structure_hook(_enum_type, _structure_enum(_enum_type))

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)


def pack(value: Any) -> bytes:
    """Return the msgpack encoding of plain values.

    Lone surrogates, which strings of refused tickets can contain, are preserved.
    """
    return msgpack.packb(value, unicode_errors="surrogatepass")


def unpack(data: bytes) -> Result[Any, FrameError]:
    """Return the plain values in msgpack data, with arrays as tuples; reject maps."""
    try:
        return Ok(
            msgpack.unpackb(
                data, use_list=False, max_map_len=0, unicode_errors="surrogatepass"
            )
        )
    except _DECODE_ERRORS as error:
        return Err(FrameError(f"invalid msgpack data: {type(error).__name__} {error}"))


def encode(body: Any) -> bytes:
    """Return the msgpack encoding of a message."""
    code = _codes_by_type[type(body)]
    return pack([code, *_converter.unstructure(body)])


def decode(data: bytes) -> Result[Any, FrameError]:
    """Return the message that msgpack data encodes."""
    unpacked = unpack(data)
    if isinstance(unpacked, Err):
        return unpacked
    array = unpacked.ok_value
    if not isinstance(array, tuple) or not array or type(array[0]) is not int:
        return Err(FrameError("message is not an array that starts with a type code"))
    cls = _types_by_code.get(array[0])
    if cls is None:
        return Err(FrameError(f"unknown message type {array[0]}"))
    return _structure(array[1:], cls)


def array_header(length: int) -> bytes:
    """Return the msgpack header of an array; the encoded elements must follow it."""
    return msgpack.Packer().pack_array_header(length)


def encode_vm_records(records: Iterable[VmRecord]) -> bytes:
    """Return the concatenated msgpack encodings of directory records."""
    return b"".join(pack(_converter.unstructure(record)) for record in records)


def decode_vm_records(data: bytes) -> Result[tuple[VmRecord, ...], FrameError]:
    """Return the records in a msgpack array of `encode_vm_records` output."""
    unpacked = unpack(data)
    if isinstance(unpacked, Err):
        return unpacked
    return _structure(unpacked.ok_value, tuple[VmRecord, ...])


def _structure(value: Any, target: Any) -> Result[Any, FrameError]:
    try:
        return Ok(_converter.structure(value, target))
    except _DECODE_ERRORS as error:
        name = getattr(target, "__name__", str(target))
        return Err(FrameError(f"malformed {name}: {error}"))
