"""Writes checkpoints under a lease, well before the records they cover expire."""

from collections.abc import Callable

from result import Err

from lacewingstair import events
from lacewingstair.rollouts.marks import Marks
from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.checkpoint import (
    Checkpoint,
    encode_checkpoint,
    lasting_take_backs,
    split_checkpoint,
)
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.records import Lease
from lacewingstair.ticket_log.system_stream import SystemStream
from lacewingstair.ticket_log.system_view import StoredCheckpoint
from lacewingstair.ticket_log.writer import SystemWriter
from lacewingstair.tickets.state_store import StateStore

CHECKPOINT_SHARE_OF_RETENTION = 0.25
# Bounds the appends of a VM whose wall clock is wrong by more than the retention.
MIN_INTERVAL_SECONDS = 60.0


class Checkpointer:
    """Decides when a checkpoint is due and writes it.

    Parameters
    ----------
    stream : SystemStream
        Reads the system stream.
    writer : SystemWriter
        Writes to it.
    store, marks
        What a checkpoint holds.
    clock : Clock
        Time.
    options : LogOptions
        Retention of the log, validity of the lease and records between checkpoints.
    first_offset : callable
        Oldest offset of the ticket stream that the log keeps, as last seen.
    """

    def __init__(
        self,
        stream: SystemStream,
        writer: SystemWriter,
        store: StateStore,
        marks: Marks,
        clock: Clock,
        options: LogOptions,
        first_offset: Callable[[], int],
    ) -> None:
        self._stream = stream
        self._writer = writer
        self._store = store
        self._marks = marks
        self._clock = clock
        self._options = options
        self._interval_seconds = (
            options.retention_seconds * CHECKPOINT_SHARE_OF_RETENTION
        )
        self._first_offset = first_offset
        self._next_try_at = float("-inf")

    def is_due(self) -> bool:
        """Return whether the newest checkpoint on the log has to be replaced."""
        state = self._store.state
        if state.next_offset == 0 or state.next_offset < self._first_offset():
            return False
        if self._clock.monotonic() < self._next_try_at:
            return False
        newest = self._newest()
        if newest is None:
            return True
        if newest.next_offset > state.next_offset:
            return False
        if newest.next_offset < self._first_offset():
            return True
        folded = state.next_offset - newest.next_offset
        if folded >= self._options.checkpoint_records:
            return True
        return self._age(newest) >= self._interval_seconds

    async def write_if_due(self) -> None:
        """Take the lease and write a checkpoint, unless another VM just did."""
        if not self.is_due():
            return
        caught_up = await self._stream.catch_up()
        if isinstance(caught_up, Err) or not self.is_due() or self._is_lease_held():
            return
        self._next_try_at = self._clock.monotonic() + MIN_INTERVAL_SECONDS
        # The log's time of the lease is later than this, so that the holder's own view
        # of the expiry is on the safe side.
        ttl_seconds = self._options.lease_ttl_seconds
        deadline = self._clock.monotonic() + ttl_seconds
        lease = Lease(int(ttl_seconds * 1000))
        appended = await self._writer.append(
            lease, self._stream.view.next_offset, deadline
        )
        if isinstance(appended, Err):
            return
        token = appended.ok_value
        caught_up = await self._stream.catch_up()
        granted = self._stream.view.lease
        if isinstance(caught_up, Err) or granted is None or granted.token != token:
            return
        await self._write(token, deadline)

    async def _write(self, token: int, deadline: float) -> None:
        state = self._store.state
        data = encode_checkpoint(
            Checkpoint(state, lasting_take_backs(state, self._marks))
        )
        for chunk in split_checkpoint(data, token, state.next_offset):
            if self._clock.monotonic() >= deadline:
                events.warning("checkpoint_abandoned", token=token, index=chunk.index)
                return
            appended = await self._writer.append(
                chunk, self._stream.view.next_offset, deadline
            )
            if isinstance(appended, Err):
                events.warning(
                    "checkpoint_abandoned",
                    token=token,
                    index=chunk.index,
                    reason=appended.err_value.error,
                )
                return
        caught_up = await self._stream.catch_up()
        newest = self._newest()
        if isinstance(caught_up, Err) or newest is None or newest.token != token:
            events.warning("checkpoint_not_counted", token=token)
            return
        events.info(
            "checkpoint_written",
            token=token,
            next_offset=state.next_offset,
            bytes=len(data),
        )

    def _newest(self) -> StoredCheckpoint | None:
        checkpoints = self._stream.view.checkpoints
        return checkpoints[-1] if checkpoints else None

    def _age(self, newest: StoredCheckpoint) -> float:
        # A reader that just started knows the age by its wall clock alone; one whose
        # wall clock is slow knows at least for how long it has seen the checkpoint.
        by_wall_clock = self._clock.wall() - newest.time_ms / 1000
        since_seen = self._clock.monotonic() - self._stream.checkpoint_seen_at
        return max(by_wall_clock, since_seen)

    def _is_lease_held(self) -> bool:
        lease = self._stream.view.lease
        if lease is None or lease.writer == self._writer.writer_id:
            return False
        seen = self._clock.monotonic() - self._stream.lease_seen_at
        return seen < self._options.lease_ttl_seconds
