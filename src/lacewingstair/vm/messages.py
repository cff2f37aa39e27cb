"""Messages between VMs and their msgpack form.

A message is a msgpack array of its type code and its fields in order. Decoding checks
every type, since nothing that a peer sends is trusted to be well formed.
"""

from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Any

import attrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.errors import FrameError, InvariantError
from lacewingstair.rollouts.evidence import EvidenceReport
from lacewingstair.rollouts.marks import StageMark, TakeBack
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
            raise InvariantError(f"message code {code} is registered twice")
        _types_by_code[code] = cls
        _codes_by_type[cls] = code
        return cls

    return register


@message(1)
@attrs.frozen
class Hello:
    """First message of each side of a connection.

    The side that opened the connection decides whether the link is eager.
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
    """Sent at every interval; digests let the peer notice what it missed.

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
    """Consecutive records of the ticket stream, refused ones included."""

    previous_offset: int
    next_offset: int
    records: tuple[TicketRecord, ...]


@message(4)
@attrs.frozen
class StateRequest:
    """Asks for the records from `next_offset` on."""

    next_offset: int


@message(5)
@attrs.frozen
class SnapshotChunk:
    """Part of a compressed snapshot; usable when all `count` parts are there."""

    snapshot_id: int
    index: int
    count: int
    digest: str
    data: bytes


@message(6)
@attrs.frozen
class Busy:
    """The peer serves no snapshot now; ask again later or elsewhere.

    `is_joined` tells whether the peer has a snapshot to give.
    """

    retry_after_ms: int
    has_snapshot: bool


@message(7)
@attrs.frozen
class DirectoryDelta:
    """Records of VMs that the peer may lack."""

    records: tuple[VmRecord, ...]


@message(8)
@attrs.frozen
class DirectoryDigests:
    """Digest of each bucket of the sender's directory.

    `buckets` holds the low 4 bytes of each digest in order, big-endian.
    """

    buckets: bytes


@message(9)
@attrs.frozen
class DirectoryRequest:
    """Asks for the records with the given digests."""

    digests: tuple[int, ...]


@message(10)
@attrs.frozen
class MarksDelta:
    """Marks that the peer may lack."""

    stages: tuple[StageMark, ...] = ()
    take_backs: tuple[TakeBack, ...] = ()


@message(11)
@attrs.frozen
class MarksRequest:
    """Asks for all marks."""


@message(12)
@attrs.frozen
class Evidence:
    """Evidence of rollouts on its way up the tree or between relays."""

    report: EvidenceReport


@message(13)
@attrs.frozen
class Goodbye:
    """The sender closes the connection on purpose."""

    reason: str


@message(14)
@attrs.frozen
class SnapshotRequest:
    """Asks for a snapshot of the state if it is newer than `next_offset`."""

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
    """Answer to `DirectoryDigests`: the buckets that differ."""

    summaries: tuple[BucketSummary, ...]


@message(16)
@attrs.frozen
class LinkMode:
    """The opener of the connection changes whether the link is eager."""

    is_eager: bool


@message(18)
@attrs.frozen
class Unchanged:
    """Takes the place of a heartbeat that is the same as the last one on the link."""


@message(19)
@attrs.frozen
class Full:
    """The sender accepts no more connections; others may."""

    addresses: tuple[str, ...]


@message(17)
@attrs.frozen
class RecordsExpired:
    """The records asked for are not kept any more; a snapshot replaces them."""

    next_offset: int


def _from_number(cls: type[IntEnum]) -> StructureHook:
    members_by_number = {int(member): member for member in cls}

    def structure(value: Any, _: Any) -> Any:
        member = members_by_number.get(value) if type(value) is int else None
        if member is None:
            raise ValueError(f"{shown(value)} is not a {cls.__name__}")
        return member

    return structure


_converter = tuple_converter(int, str, bytes, bool)
_converter.register_structure_hook(float, structure_float)
for _kind in (EndpointState, VmStatus):
    # Without a hook of their own they would be taken for int.
    _converter.register_structure_hook(_kind, _from_number(_kind))

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)


def pack(value: Any) -> bytes:
    """Return the msgpack form of plain values.

    Texts of refused tickets can hold lone surrogates, which are kept.
    """
    return msgpack.packb(value, unicode_errors="surrogatepass")


def unpack(data: bytes) -> Result[Any, FrameError]:
    """Return the plain values in msgpack; arrays become tuples, maps are refused."""
    try:
        return Ok(
            msgpack.unpackb(
                data, use_list=False, max_map_len=0, unicode_errors="surrogatepass"
            )
        )
    except _DECODE_ERRORS as error:
        return Err(FrameError(f"not msgpack: {type(error).__name__} {error}"))


def encode(body: Any) -> bytes:
    """Return the msgpack form of a message."""
    code = _codes_by_type[type(body)]
    return pack([code, *_converter.unstructure(body)])


def decode(data: bytes) -> Result[Any, FrameError]:
    """Return the message in a msgpack array."""
    unpacked = unpack(data)
    if isinstance(unpacked, Err):
        return unpacked
    array = unpacked.ok_value
    if not isinstance(array, tuple) or not array or type(array[0]) is not int:
        return Err(FrameError("not an array that starts with a type code"))
    cls = _types_by_code.get(array[0])
    if cls is None:
        return Err(FrameError(f"unknown message type {array[0]}"))
    return _structure(array[1:], cls)


def array_header(length: int) -> bytes:
    """Return the msgpack header of an array, to be followed by its elements."""
    return msgpack.Packer().pack_array_header(length)


def encode_vm_records(records: Iterable[VmRecord]) -> bytes:
    """Return the msgpack forms of records of VMs, one after the other."""
    return b"".join(pack(_converter.unstructure(record)) for record in records)


def decode_vm_records(data: bytes) -> Result[tuple[VmRecord, ...], FrameError]:
    """Return the records in an array of the forms of `encode_vm_records`."""
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
