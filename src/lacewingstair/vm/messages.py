"""Messages between VMs and their msgpack form.

A message is a msgpack array of its type code and its fields in order. Decoding checks
every type, since nothing that a peer sends is trusted to be well formed.
"""

from typing import Any

import attrs
import cattrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.acceptance import TicketRecord
from lacewingstair.directory import VmRecord
from lacewingstair.errors import FrameError, InvariantError
from lacewingstair.evidence import EvidenceReport
from lacewingstair.marks import StageMark, TakeBack

PROTOCOL_VERSION = 1

_types_by_code: dict[int, type] = {}
_codes_by_type: dict[type, int] = {}


def message(code: int):
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
    """First message of each side of a connection."""

    mesh: str
    vm_id: str
    region: str
    availability_zone: str
    incarnation: int
    protocol: int = PROTOCOL_VERSION


@message(2)
@attrs.frozen
class Heartbeat:
    """Sent at every interval; digests let the peer notice what it missed."""

    next_offset: int
    number: int
    state_digest: str
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
    """Asks for the records from `next_offset` on, or a snapshot."""

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
    """The peer serves no snapshot now; ask again later or elsewhere."""

    retry_after_ms: int


@message(7)
@attrs.frozen
class DirectoryDelta:
    """Records of VMs that may be news to the peer."""

    records: tuple[VmRecord, ...]


@message(8)
@attrs.frozen
class DirectoryDigests:
    """Digest of each bucket of the sender's directory."""

    buckets: tuple[int, ...]


@message(9)
@attrs.frozen
class DirectoryRequest:
    """Asks for the records of the given buckets."""

    buckets: tuple[int, ...]


@message(10)
@attrs.frozen
class MarksDelta:
    """Marks that may be news to the peer."""

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


def _strict(kind: type) -> Any:
    def structure(value: Any, target: type) -> Any:
        if type(value) is not kind:
            raise ValueError(f"{value!r:.80} is not of type {kind.__name__}")
        return value if target is kind else target(value)

    return structure


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"{value!r:.80} is not a number")
    return float(value)


_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
)
for _kind in (int, str, bytes, bool):
    _converter.register_structure_hook(_kind, _strict(_kind))
_converter.register_structure_hook(float, _structure_float)


def encode(body: Any) -> bytes:
    """Return the msgpack form of a message."""
    code = _codes_by_type[type(body)]
    return msgpack.packb([code, *_converter.unstructure(body)])


def decode(data: bytes) -> Result[Any, FrameError]:
    """Return the message in a msgpack array."""
    try:
        array = msgpack.unpackb(data, use_list=False, strict_map_key=True)
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError) as error:
        return Err(FrameError(f"not msgpack: {error}"))
    if not isinstance(array, tuple) or not array or type(array[0]) is not int:
        return Err(FrameError("not an array that starts with a type code"))
    cls = _types_by_code.get(array[0])
    if cls is None:
        return Err(FrameError(f"unknown message type {array[0]}"))
    if len(array) - 1 != len(attrs.fields(cls)):
        return Err(FrameError(f"{cls.__name__} with {len(array) - 1} fields"))
    try:
        return Ok(_converter.structure_attrs_fromtuple(array[1:], cls))
    except (ValueError, TypeError, KeyError) as error:
        return Err(FrameError(f"malformed {cls.__name__}: {error}"))
