"""Compressed msgpack form of a `MeshState`, for snapshots and checkpoints.

The form is a msgpack array of a format number and the fields of the state in order,
without the compiled route table, compressed with zstd. Decoding checks every type,
since neither a peer nor a record of the log is trusted to be well formed.
"""

from collections.abc import Mapping

import attrs
import cattrs
import msgpack
import zstandard
from result import Err, Ok, Result

from lacewingstair.errors import StateCodecError
from lacewingstair.routing.routes import RouteTable
from lacewingstair.tickets.acceptance import (
    MAX_REMEMBERED_DIGESTS,
    Decision,
    MeshState,
    configuration_digest,
    reference_faults,
)
from lacewingstair.tickets.parsing import Rollout, Route, Service
from lacewingstair.tickets.strict_structuring import tuple_converter

STATE_FORMAT = 2
MAX_STATE_BYTES = 64 << 20
COMPRESSION_LEVEL = 3

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
    cattrs.BaseValidationError,
)


@attrs.frozen
class _StateForm:
    """Fields of a `MeshState` that are encoded, in the order of the array."""

    next_offset: int
    number: int
    ticket_digest: str
    recent_digests: Mapping[int, str]
    digest: str
    services: Mapping[str, Service]
    routes: Mapping[str, Route]
    rollouts: Mapping[str, Rollout]
    rollout_numbers: Mapping[str, int]
    refusals: tuple[Decision, ...]


_FORM_FIELDS = tuple(field.name for field in attrs.fields(_StateForm))


_converter = tuple_converter(int, float, str, bytes, bool)


def encode_state(state: MeshState) -> bytes:
    """Return the compressed form of a state."""
    form = _StateForm(*(getattr(state, name) for name in _FORM_FIELDS))
    array = [STATE_FORMAT, *_converter.unstructure(form)]
    # Texts of refused tickets may hold lone surrogates.
    packed = msgpack.packb(array, unicode_errors="surrogatepass")
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL, write_checksum=True)
    return compressor.compress(packed)


def decode_state(data: bytes) -> Result[MeshState, StateCodecError]:
    """Return the state in its compressed form, with its route table compiled.

    Parameters
    ----------
    data : bytes
        Result of `encode_state`; may come from an untrusted source.
    """
    packed = _decompress(data)
    if isinstance(packed, Err):
        return packed
    try:
        array = msgpack.unpackb(
            packed.ok_value,
            use_list=False,
            # Recent digests have integers for keys; every key's type is checked below.
            strict_map_key=False,
            unicode_errors="surrogatepass",
        )
        if type(array) is not tuple or array[:1] != (STATE_FORMAT,):
            return Err(StateCodecError(f"not an array of state format {STATE_FORMAT}"))
        form = _converter.structure(array[1:], _StateForm)
    except _DECODE_ERRORS as error:
        return Err(StateCodecError(f"malformed: {error}"))
    reason = _inconsistency(form)
    if reason:
        return Err(StateCodecError(reason))
    fields = {name: getattr(form, name) for name in _FORM_FIELDS}
    return Ok(MeshState(**fields, route_table=RouteTable.compile(form.routes)))


def _decompress(data: bytes) -> Result[bytes, StateCodecError]:
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_STATE_BYTES:
            reason = f"{size} bytes, at most {MAX_STATE_BYTES} are allowed"
            return Err(StateCodecError(reason))
        unpacker = zstandard.ZstdDecompressor()
        return Ok(unpacker.decompress(data, allow_extra_data=False))
    except (zstandard.ZstdError, ValueError, TypeError) as error:
        return Err(StateCodecError(f"not zstd: {error}"))


def _inconsistency(form: _StateForm) -> str:
    if form.next_offset < 0 or form.number < 0:
        return f"next offset {form.next_offset} or number {form.number} is negative"
    if form.number and form.recent_digests.get(form.number) != form.ticket_digest:
        return f"the digest of ticket {form.number} is not among the recent ones"
    if len(form.recent_digests) > MAX_REMEMBERED_DIGESTS:
        return f"{len(form.recent_digests)} recent digests"
    if form.rollout_numbers.keys() != form.rollouts.keys():
        return "rollout numbers and rollouts have different names"
    digest = configuration_digest(form.services, form.routes, form.rollouts)
    if digest != form.digest:
        return f"digest is {digest}, {form.digest!r:.80} was stated"
    faults = reference_faults(form.services, form.routes, form.rollouts)
    return str(faults[0]) if faults else ""
