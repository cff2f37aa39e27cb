"""State that the system stream defines: lease, checkpoints and take-back marks.

The view is a deterministic fold of the stream's records and of their log times. Nothing
here reads a clock, so that readers of the same records agree on who holds the lease.
"""

from collections import OrderedDict, deque

import attrs
from result import Err

from lacewingstair import events
from lacewingstair.rollouts.marks import Marks
from lacewingstair.ticket_log.checkpoint import ChunkAssembly
from lacewingstair.ticket_log.log import LogRecord
from lacewingstair.ticket_log.records import (
    CheckpointChunk,
    Envelope,
    Lease,
    TakeBackRecord,
    decode_record,
)

MAX_LEASE_MS = 600_000
# A damaged newest checkpoint leaves the one before it to continue from.
KEPT_CHECKPOINTS = 2
# A repeated record follows its first copy after at most one slow request, during which
# far fewer records than this are written.
MAX_REMEMBERED_IDENTITIES = 8192


@attrs.frozen
class GrantedLease:
    """The newest lease that was granted.

    Parameters
    ----------
    token : int
        Offset of its record, which is the fencing token.
    writer : str
        Holder.
    expires_ms : int
        Log time from which it no longer holds.
    """

    token: int
    writer: str
    expires_ms: int


@attrs.frozen
class StoredCheckpoint:
    """A whole checkpoint that was read from the log.

    Parameters
    ----------
    token : int
        Lease under which it was written.
    next_offset : int
        Offset of the ticket stream from which it continues.
    time_ms : int
        Log time of the chunk that completed it.
    data : bytes
        Its content, not decoded yet.
    """

    token: int
    next_offset: int
    time_ms: int
    data: bytes = attrs.field(repr=False)


class SystemView:
    """Fold of the system stream.

    Attributes
    ----------
    next_offset : int
        First offset that is not folded in.
    lease : GrantedLease or None
        Newest granted lease, which may have expired.
    checkpoints : deque of StoredCheckpoint
        The last `KEPT_CHECKPOINTS` whole checkpoints, newest last.
    marks : Marks
        Take-back marks on the stream.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.lease: GrantedLease | None = None
        self.checkpoints: deque[StoredCheckpoint] = deque(maxlen=KEPT_CHECKPOINTS)
        self.marks = Marks()
        self._assembly: ChunkAssembly | None = None
        self._identities: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._handlers = {
            Lease: self._fold_lease,
            CheckpointChunk: self._fold_chunk,
            TakeBackRecord: self._fold_take_back,
        }

    def fold(self, record: LogRecord) -> None:
        """Take the next record; one that was folded before is passed over."""
        if record.offset < self.next_offset:
            return
        self.next_offset = record.offset + 1
        decoded = decode_record(record.value)
        if isinstance(decoded, Err):
            events.warning(
                "system_record_ignored", offset=record.offset, reason=decoded.err_value
            )
            return
        envelope = decoded.ok_value
        if envelope.identity in self._identities:
            return
        self._identities[envelope.identity] = None
        if len(self._identities) > MAX_REMEMBERED_IDENTITIES:
            self._identities.popitem(last=False)
        self._handlers[type(envelope.body)](record, envelope)

    def continue_from(self, offset: int) -> None:
        """Pass over records that are not on the log; what is known stays."""
        self.next_offset = offset
        self._assembly = None

    def _fold_lease(self, record: LogRecord, envelope: Envelope) -> None:
        ttl_ms = envelope.body.ttl_ms
        held = self.lease
        is_free = held is None or held.expires_ms <= record.time_ms
        if not 0 < ttl_ms <= MAX_LEASE_MS:
            return
        if is_free or held.writer == envelope.writer:
            expires_ms = record.time_ms + ttl_ms
            self.lease = GrantedLease(record.offset, envelope.writer, expires_ms)
            self._assembly = None

    def _fold_chunk(self, record: LogRecord, envelope: Envelope) -> None:
        chunk: CheckpointChunk = envelope.body
        lease = self.lease
        if lease is None or chunk.token != lease.token:
            return
        if envelope.writer != lease.writer or record.time_ms >= lease.expires_ms:
            return
        if self._assembly is None:
            self._assembly = ChunkAssembly(chunk)
        data = self._assembly.add(chunk)
        if data is None:
            return
        self._assembly = None
        newest = self.checkpoints[-1] if self.checkpoints else None
        if newest is not None and newest.next_offset > chunk.next_offset:
            return
        self.checkpoints.append(
            StoredCheckpoint(chunk.token, chunk.next_offset, record.time_ms, data)
        )

    def _fold_take_back(self, _: LogRecord, envelope: Envelope) -> None:
        self.marks.merge_rollback(envelope.body.mark)
