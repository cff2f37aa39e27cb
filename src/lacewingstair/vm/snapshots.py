"""Encoding of snapshots of the state and the directory, which are sent in chunks."""

import asyncio
import hashlib
from collections.abc import Iterable

import attrs
import zstandard
from result import Err, Ok, Result

from lacewingstair.errors import SnapshotError
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_codec import decode_state, encode_state
from lacewingstair.vm import messages
from lacewingstair.vm.directory import VmRecord

SNAPSHOT_FORMAT = 1
CHUNK_BYTES = 64 << 10
MAX_CHUNKS = 1024
RECORDS_PER_BATCH = 50
MAX_RECORDS_BYTES = 64 << 20


@attrs.frozen
class Snapshot:
    """Contents of a snapshot; `state` is None if the receiver needs no state."""

    state: MeshState | None
    records: tuple[VmRecord, ...]


async def encode_snapshot(
    state: MeshState | None, records: Iterable[VmRecord]
) -> bytes:
    """Encode a snapshot as bytes; the records are compressed.

    Records are encoded in batches that yield to the event loop, so that calls are not
    delayed.
    """
    records = list(records)
    parts = [messages.array_header(len(records))]
    for start in range(0, len(records), RECORDS_PER_BATCH):
        batch = records[start : start + RECORDS_PER_BATCH]
        parts.append(messages.encode_vm_records(batch))
        await asyncio.sleep(0)
    compressor = zstandard.ZstdCompressor().compressobj(size=sum(map(len, parts)))
    compressed: list[bytes] = []
    for part in parts:
        compressed.append(compressor.compress(part))
        await asyncio.sleep(0)
    compressed.append(compressor.flush())
    state_data = b"" if state is None else encode_state(state)
    return messages.pack([SNAPSHOT_FORMAT, state_data, b"".join(compressed)])


def decode_snapshot(data: bytes) -> Result[Snapshot, SnapshotError]:
    """Decode a snapshot that `encode_snapshot` has encoded."""
    unpacked = messages.unpack(data)
    if isinstance(unpacked, Err):
        return Err(SnapshotError(str(unpacked.err_value)))
    array = unpacked.ok_value
    is_current_format = isinstance(array, tuple) and array[:1] == (SNAPSHOT_FORMAT,)
    if not is_current_format or [type(part) for part in array[1:]] != [bytes, bytes]:
        return Err(SnapshotError(f"not a snapshot in format {SNAPSHOT_FORMAT}"))
    _, state_data, records_data = array
    records = _decode_records(records_data)
    if isinstance(records, Err):
        return records
    if not state_data:
        return Ok(Snapshot(None, records.ok_value))
    state = decode_state(state_data)
    if isinstance(state, Err):
        return Err(SnapshotError(str(state.err_value)))
    return Ok(Snapshot(state.ok_value, records.ok_value))


def _decode_records(data: bytes) -> Result[tuple[VmRecord, ...], SnapshotError]:
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_RECORDS_BYTES:
            reason = f"{size} bytes of records, limit is {MAX_RECORDS_BYTES} bytes"
            return Err(SnapshotError(reason))
        packed = zstandard.decompress(data)
    except zstandard.ZstdError as error:
        return Err(SnapshotError(f"records are not valid zstd data: {error}"))
    decoded = messages.decode_vm_records(packed)
    if isinstance(decoded, Err):
        return Err(SnapshotError(str(decoded.err_value)))
    return decoded


def split_into_chunks(snapshot_id: int, data: bytes) -> list[messages.SnapshotChunk]:
    """Split an encoded snapshot into chunks."""
    digest = _digest(data)
    starts = range(0, len(data), CHUNK_BYTES)
    return [
        messages.SnapshotChunk(
            snapshot_id, index, len(starts), digest, data[start : start + CHUNK_BYTES]
        )
        for index, start in enumerate(starts)
    ]


class SnapshotAssembler:
    """Reassembles one snapshot from chunks that arrive in order on one stream."""

    def __init__(self) -> None:
        self._chunks: list[messages.SnapshotChunk] = []

    def add(
        self, chunk: messages.SnapshotChunk
    ) -> Result[Snapshot | None, SnapshotError]:
        """Add a chunk; return the snapshot once it is complete, None until then.

        A chunk of another snapshot, a chunk out of order or a digest mismatch is an
        error, and the chunks received so far are discarded.
        """
        reason = self._find_error(chunk)
        if reason:
            self._chunks.clear()
            return Err(SnapshotError(reason))
        self._chunks.append(chunk)
        if len(self._chunks) < chunk.count:
            return Ok(None)
        data = b"".join(part.data for part in self._chunks)
        self._chunks.clear()
        if _digest(data) != chunk.digest:
            return Err(SnapshotError("digest mismatch in the reassembled snapshot"))
        return decode_snapshot(data)

    def _find_error(self, chunk: messages.SnapshotChunk) -> str:
        if not 1 <= chunk.count <= MAX_CHUNKS:
            return f"{chunk.count} chunks, expected 1 to {MAX_CHUNKS} chunks"
        if chunk.index != len(self._chunks):
            return f"chunk index is {chunk.index}, expected {len(self._chunks)}"
        first = self._chunks[0] if self._chunks else chunk
        identity = (chunk.snapshot_id, chunk.count, chunk.digest)
        if identity != (first.snapshot_id, first.count, first.digest):
            return "chunk belongs to another snapshot"
        return ""


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()
