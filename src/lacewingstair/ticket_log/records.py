"""Records of the system stream: one envelope around leases, chunks and marks.

A record is a JSON object of `writer`, `sequence`, `kind` and `body`. Decoding checks
every type, since other releases and other meshes may have written to the stream.
"""

import base64
import json
from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from result import Err, Ok, Result

from lacewingstair.errors import InvariantError, SystemRecordError
from lacewingstair.registry import Registry
from lacewingstair.rollouts.marks import RollbackMark
from lacewingstair.tickets.strict_structuring import shown, strict, structure_float

record_types: Registry[type] = Registry("system record")
_kinds_by_type: dict[type, str] = {}

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
    cattrs.BaseValidationError,
)


def system_record(kind: str) -> Callable[[type], type]:
    """Return a decorator that registers a record type under its name on the log."""

    def register(cls: type) -> type:
        _kinds_by_type[cls] = kind
        return record_types.register(kind)(cls)

    return register


@system_record("lease")
@attrs.frozen
class Lease:
    """Request for the exclusive right to write a checkpoint.

    Parameters
    ----------
    ttl_ms : int
        Time from the record's own log time for which the lease holds.
    """

    ttl_ms: int


@system_record("checkpoint-chunk")
@attrs.frozen
class CheckpointChunk:
    """Part of a checkpoint; usable when all `count` parts are there.

    Parameters
    ----------
    token : int
        Offset of the lease under which it is written.
    next_offset : int
        Offset of the ticket stream from which the checkpoint continues.
    index, count : int
        Place among the parts, from 0, and their number.
    digest : str
        SHA-256 of the whole checkpoint, as hex.
    data : bytes
        The part.
    """

    token: int
    next_offset: int
    index: int
    count: int
    digest: str
    data: bytes


@system_record("take-back")
@attrs.frozen
class TakeBackRecord:
    """A version taken back."""

    mark: RollbackMark


@attrs.frozen
class Envelope:
    """A record with its origin.

    Parameters
    ----------
    writer : str
        Unique for each process.
    sequence : int
        Raised by the writer with each record; a repeated record keeps its number.
    body : object
        One of the registered record types.
    """

    writer: str
    sequence: int
    body: Any

    @property
    def identity(self) -> tuple[str, int]:
        """Writer and sequence, by which repeated records are known."""
        return self.writer, self.sequence


def _structure_bytes(value: Any, _: Any) -> bytes:
    if type(value) is not str:
        raise ValueError(f"{shown(value)} is not base64 text")
    return base64.b64decode(value, validate=True)


_converter = cattrs.Converter(detailed_validation=False)
for _kind in (int, str):
    _converter.register_structure_hook(_kind, strict(_kind))
_converter.register_structure_hook(float, structure_float)
_converter.register_structure_hook(bytes, _structure_bytes)
_converter.register_unstructure_hook(
    bytes, lambda data: base64.b64encode(data).decode("ascii")
)


def encode_record(envelope: Envelope) -> str:
    """Return the JSON text of a record."""
    kind = _kinds_by_type.get(type(envelope.body))
    if kind is None:
        raise InvariantError(f"{type(envelope.body).__name__} is not a system record")
    document = {
        "writer": envelope.writer,
        "sequence": envelope.sequence,
        "kind": kind,
        "body": _converter.unstructure(envelope.body),
    }
    return json.dumps(document, separators=(",", ":"))


def decode_record(text: str) -> Result[Envelope, SystemRecordError]:
    """Return the record in a JSON text."""
    try:
        document = json.loads(text)
        kind = document["kind"]
        cls = record_types.get(kind) if type(kind) is str else None
        if cls is None:
            return Err(SystemRecordError(f"unknown kind {kind!r:.80}"))
        writer = _converter.structure(document["writer"], str)
        sequence = _converter.structure(document["sequence"], int)
        body = _converter.structure(document["body"], cls)
    except _DECODE_ERRORS as error:
        return Err(SystemRecordError(f"{type(error).__name__} {error!s:.200}"))
    return Ok(Envelope(writer, sequence, body))
