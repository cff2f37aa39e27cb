"""Checkpoints: content, division into chunks and assembly."""

import hashlib
from collections.abc import Iterable

import attrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.errors import StateCodecError
from lacewingstair.rollouts.marks import Marks, RollbackMark, RolloutKey
from lacewingstair.ticket_log.records import CheckpointChunk
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_codec import decode_state, encode_state

CHECKPOINT_FORMAT = 1
CHUNK_BYTES = 64 << 10
# A state of the largest size that the codec accepts fits in these chunks.
MAX_CHUNKS = 1024

_FIELD_TYPES = (str, int, str, str, float, str)


@attrs.frozen
class Checkpoint:
    """What a reader continues from when records have expired."""

    state: MeshState
    take_backs: tuple[RollbackMark, ...] = ()


def encode_checkpoint(checkpoint: Checkpoint) -> bytes:
    """Return the bytes of a checkpoint; the state in it is compressed."""
    take_backs = [
        (m.key.name, m.key.number, m.reason, m.evidence, float(m.at), m.by_vm_id)
        for m in checkpoint.take_backs
    ]
    document = [CHECKPOINT_FORMAT, encode_state(checkpoint.state), take_backs]
    return msgpack.packb(document, unicode_errors="surrogatepass")


def decode_checkpoint(data: bytes) -> Result[Checkpoint, StateCodecError]:
    """Return the checkpoint in bytes, with every type checked."""
    try:
        document = msgpack.unpackb(data, use_list=False, unicode_errors="surrogatepass")
        form, state_data, take_backs = document
        if form != CHECKPOINT_FORMAT or type(state_data) is not bytes:
            return Err(StateCodecError(f"checkpoint format {form!r:.80} is not known"))
        marks = tuple(_take_back(fields) for fields in take_backs)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Err(StateCodecError(f"malformed checkpoint: {error!s:.200}"))
    state = decode_state(state_data)
    if isinstance(state, Err):
        return state
    return Ok(Checkpoint(state.ok_value, marks))


def split_checkpoint(
    data: bytes, token: int, next_offset: int
) -> Iterable[CheckpointChunk]:
    """Return the chunks of a checkpoint, at least one."""
    parts = [data[i : i + CHUNK_BYTES] for i in range(0, len(data), CHUNK_BYTES)]
    digest = hashlib.sha256(data).hexdigest()
    return [
        CheckpointChunk(token, next_offset, index, len(parts), digest, part)
        for index, part in enumerate(parts)
    ]


def lasting_take_backs(state: MeshState, marks: Marks) -> tuple[RollbackMark, ...]:
    """Return the take-back marks of rollouts that the state holds, or that are newer.

    A mark of a rollout that a later ticket removed or replaced has no effect.
    """
    return tuple(
        mark
        for key, mark in marks.rollbacks_by_key.items()
        if key.number > state.number
        or state.rollout_numbers.get(key.name) == key.number
    )


class ChunkAssembly:
    """Collects the chunks of one checkpoint.

    Parameters
    ----------
    first : CheckpointChunk
        Any chunk of it; the others have to agree with it.
    """

    def __init__(self, first: CheckpointChunk) -> None:
        self._like = first
        self._parts_by_index: dict[int, bytes] = {}

    def add(self, chunk: CheckpointChunk) -> bytes | None:
        """Take a chunk; return the whole checkpoint once it is complete and intact."""
        if attrs.evolve(chunk, index=0, data=b"") != attrs.evolve(
            self._like, index=0, data=b""
        ):
            return None
        if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS:
            return None
        if len(chunk.data) > CHUNK_BYTES:
            return None
        self._parts_by_index[chunk.index] = chunk.data
        if len(self._parts_by_index) < chunk.count:
            return None
        data = b"".join(self._parts_by_index[i] for i in range(chunk.count))
        return data if hashlib.sha256(data).hexdigest() == chunk.digest else None


def _take_back(fields: tuple) -> RollbackMark:
    if tuple(map(type, fields)) != _FIELD_TYPES:
        raise ValueError(f"{fields!r:.80} is not a take-back mark")
    name, number, reason, evidence, at, by_vm_id = fields
    return RollbackMark(RolloutKey(name, number), reason, evidence, at, by_vm_id)
