"""Log reader: what a VM does on the log while the overlay makes it a reader.

Several VMs read at the same time. A change of readers only costs requests: reading is
idempotent, and a record that two VMs write is one mark.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from result import Err

from lacewingstair import events
from lacewingstair.rollouts.marks import Marks, RollbackMark, RolloutKey
from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.checkpoint import decode_checkpoint, lasting_take_backs
from lacewingstair.ticket_log.checkpointer import Checkpointer
from lacewingstair.ticket_log.log import LogClient
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.records import TakeBackRecord
from lacewingstair.ticket_log.status import LogStatus, ObservedLog
from lacewingstair.ticket_log.system_stream import SystemStream
from lacewingstair.ticket_log.tail import LogTail
from lacewingstair.ticket_log.writer import SystemWriter
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.state_store import StateStore

ROLE_CHECK_SECONDS = 2.0
# Readers look for marks to write at random moments of this interval, so that the first
# one has written a mark before the others look whether it is on the log.
UPKEEP_SECONDS = 5.0
SYSTEM_READ_SECONDS = 60.0
WRITE_TIMEOUT_SECONDS = 30.0
DEFAULT_OPTIONS = LogOptions()


class LogReader:
    """Reads tickets, marks and checkpoints, and writes marks and checkpoints.

    Parameters
    ----------
    log : LogClient
        The platform's log.
    writer_id : str
        Unique for this process.
    store, marks
        State of this VM.
    publish_records, publish_take_back : callable
        Hand on what was read to the mesh.
    is_reader : callable
        Whether this VM reads the log now.
    clock, rng
        Time and randomness.
    options : LogOptions, optional
        Intervals and bounds.

    Attributes
    ----------
    status : LogStatus
        For the operator's status page.
    """

    def __init__(
        self,
        *,
        log: LogClient,
        writer_id: str,
        store: StateStore,
        marks: Marks,
        publish_records: Callable[[Iterable[TicketRecord]], object],
        publish_take_back: Callable[[RollbackMark], object],
        is_reader: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        options: LogOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.status = LogStatus()
        observed = ObservedLog(log, self.status)
        self._store = store
        self._marks = marks
        self._publish_take_back = publish_take_back
        self._is_reader = is_reader
        self._clock = clock
        self._rng = rng
        self._system = SystemStream(observed, clock)
        self._writer = SystemWriter(
            observed, writer_id, clock, rng, options.retry_cap_seconds
        )
        self._tail = LogTail(
            observed,
            self._system,
            store,
            publish_records,
            self.status,
            clock,
            rng,
            options,
        )
        self._checkpointer = Checkpointer(
            self._system,
            self._writer,
            store,
            marks,
            clock,
            options,
            lambda: self._tail.first_offset,
        )
        self._next_system_read = float("-inf")
        self._token_of_marks = -1

    @property
    def is_log_up(self) -> bool:
        """Whether the last request to the log was answered."""
        return self.status.is_log_up

    async def run(self) -> None:
        """Read whenever this VM is a reader, until cancelled."""
        while True:
            if self._is_reader():
                await self._read_while_reader()
            jitter = self._rng.uniform(0.5, 1.0)
            await self._clock.sleep(ROLE_CHECK_SECONDS * jitter)

    async def _read_while_reader(self) -> None:
        self.status.is_reader = True
        try:
            # A fault in either task ends both and reaches the caller of `run`.
            async with asyncio.TaskGroup() as group:
                upkeep = group.create_task(self._upkeep_until_cancelled())
                await self._poll_while_reader()
                upkeep.cancel()
        finally:
            self.status.is_reader = False
            # What this VM no longer reads is the present readers' to report.
            self.status.has_gap = False
            self.status.has_lost_data = False

    async def _poll_while_reader(self) -> None:
        if self._store.state.is_empty and await self._read_system():
            await self._tail.start_from_checkpoint()
        while self._is_reader():
            await self._tail.poll()

    async def _upkeep_until_cancelled(self) -> None:
        while True:
            await self._clock.sleep(UPKEEP_SECONDS * self._rng.uniform(0.2, 1.0))
            if self.status.is_log_up:
                await self._upkeep()

    async def _upkeep(self) -> None:
        if self._clock.monotonic() >= self._next_system_read:
            await self._read_system()
        self.status.pending_take_backs = len(self._unwritten())
        if self.status.pending_take_backs:
            await self._write_take_backs()
        await self._checkpointer.write_if_due()
        self._note_checkpoint()

    async def _read_system(self) -> bool:
        caught_up = await self._system.catch_up()
        if isinstance(caught_up, Err):
            return False
        jitter = self._rng.uniform(0.75, 1.0)
        self._next_system_read = self._clock.monotonic() + SYSTEM_READ_SECONDS * jitter
        self._note_checkpoint()
        self._read_marks_of_checkpoint()
        for mark in tuple(self._system.view.marks.rollbacks_by_key.values()):
            if self._marks.rollbacks_by_key.get(mark.key) != mark:
                self._publish_take_back(mark)
        return True

    def _read_marks_of_checkpoint(self) -> None:
        # The records of these marks may have expired.
        checkpoints = self._system.view.checkpoints
        if not checkpoints or checkpoints[-1].token == self._token_of_marks:
            return
        self._token_of_marks = checkpoints[-1].token
        decoded = decode_checkpoint(checkpoints[-1].data)
        if isinstance(decoded, Err):
            return
        for mark in decoded.ok_value.take_backs:
            self._system.view.marks.merge_rollback(mark)

    def _unwritten(self) -> list[RolloutKey]:
        # What waits out an outage is the difference between the marks held and those on
        # the log: it is bounded by the rollouts and includes what other VMs decided.
        written = self._system.view.marks
        return [
            mark.key
            for mark in lasting_take_backs(self._store.state, self._marks)
            if not written.is_rolled_back(mark.key)
        ]

    async def _write_take_backs(self) -> None:
        if not await self._read_system():
            return
        for key in self._unwritten():
            if self._system.view.marks.is_rolled_back(key):
                continue
            mark = self._marks.rollbacks_by_key[key]
            give_up_at = self._clock.monotonic() + WRITE_TIMEOUT_SECONDS
            appended = await self._writer.append(
                TakeBackRecord(mark), self._system.view.next_offset, give_up_at
            )
            if isinstance(appended, Err):
                events.warning(
                    "take_back_write_failed",
                    rollout=key.name,
                    reason=appended.err_value.error,
                )
                return
            events.info("take_back_written", rollout=key.name, offset=appended.ok_value)
        await self._read_system()
        self.status.pending_take_backs = len(self._unwritten())

    def _note_checkpoint(self) -> None:
        checkpoints = self._system.view.checkpoints
        if checkpoints:
            self.status.checkpoint_offset = checkpoints[-1].next_offset
