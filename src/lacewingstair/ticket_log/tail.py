"""Tails the ticket stream: one long poll at a time."""

import random
from collections.abc import Callable, Iterable

from result import Err

from lacewingstair import events
from lacewingstair.errors import LogUnavailable, OffsetExpired
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.ticket_log.checkpoint import decode_checkpoint
from lacewingstair.ticket_log.log import TICKET_STREAM, LogBatch, LogClient, LogRecord
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.status import LogStatus
from lacewingstair.ticket_log.system_stream import SystemStream
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.tickets.parsing import MAX_TICKET_BYTES
from lacewingstair.tickets.state_store import StateStore

READ_LIMIT = 128
POLL_JITTER = 0.25
MIN_POLL_SECONDS = 1.0
RETRY_BASE_SECONDS = 0.5
# Part of the cap that is random. Full jitter of the same mean would leave up to twice
# the time between two reads, and a ticket is in force within 5 s after an outage.
RETRY_CAP_JITTER = 0.1
MAX_ATTEMPT = 10
# How often a VM looks whether another one has closed its gap.
GAP_RETRY_SECONDS = 10.0


class LogTail:
    """Long-polls the log and hands on new records.

    Parameters
    ----------
    log : LogClient
        The platform's log.
    system : SystemStream
        Source of checkpoints.
    store : StateStore
        Gives the offset to read from; takes the state of a checkpoint.
    publish : callable
        Takes the records read.
    status : LogStatus
        Kept up to date.
    clock, rng
        Time and randomness.
    options : LogOptions
        Time of a poll, and the longest delay between attempts.

    Attributes
    ----------
    first_offset : int
        Oldest offset that the log keeps, as last seen.
    """

    def __init__(
        self,
        log: LogClient,
        system: SystemStream,
        store: StateStore,
        publish: Callable[[Iterable[TicketRecord]], object],
        status: LogStatus,
        clock: Clock,
        rng: random.Random,
        options: LogOptions,
    ) -> None:
        self._options = options
        self._log = log
        self._system = system
        self._store = store
        self._publish = publish
        self._status = status
        self._clock = clock
        self._rng = rng
        self._attempt = 0
        self._limit = READ_LIMIT
        self._was_at_end = False
        self.first_offset = 0

    async def poll(self) -> None:
        """Read once, waiting for a new record, and hand on what came."""
        start = self._store.state.next_offset
        began = self._clock.monotonic()
        jitter = self._rng.uniform(1.0 - POLL_JITTER, 1.0)
        answer = await self._log.read(
            TICKET_STREAM, start, self._limit, self._options.poll_seconds * jitter
        )
        if isinstance(answer, Err):
            await self._handle_error(answer.err_value)
            return
        batch = answer.ok_value
        self._limit = min(READ_LIMIT, 2 * self._limit)
        self.first_offset = batch.first_offset
        if batch.next_offset < start:
            self._report_lost_data(start, batch)
            await self._back_off()
            return
        self._status.has_lost_data = False
        self._close_gap()
        self._hand_on(batch)
        has_waited = self._clock.monotonic() - began >= MIN_POLL_SECONDS
        if self._store.state.next_offset > start or has_waited:
            self._attempt = 0
            return
        # A log that answers at once with nothing new is not asked in a tight loop.
        await self._back_off()

    def _hand_on(self, batch: LogBatch) -> None:
        held = self._store.state.next_offset
        self._publish([_ticket_record(record) for record in batch.records])
        now = self._store.state.next_offset
        # Records that are read late, after a start or an outage of this VM, say nothing
        # about the time that tickets take.
        if self._was_at_end and held < now and batch.records:
            published_at = batch.records[-1].time_ms / 1000
            self._status.lag_seconds = self._clock.wall() - published_at
        self._was_at_end = now >= batch.next_offset

    async def start_from_checkpoint(self) -> None:
        """Take over the newest checkpoint that is newer than the state held."""
        for stored in reversed(self._system.view.checkpoints):
            if stored.next_offset <= self._store.state.next_offset:
                continue
            decoded = decode_checkpoint(stored.data)
            if isinstance(decoded, Err):
                events.error(
                    "checkpoint_invalid", token=stored.token, reason=decoded.err_value
                )
                continue
            state = decoded.ok_value.state
            if self._store.adopt(state):
                events.info(
                    "checkpoint_adopted",
                    token=stored.token,
                    number=state.number,
                    next_offset=state.next_offset,
                )
                return

    async def _handle_error(self, error: LogUnavailable | OffsetExpired) -> None:
        if isinstance(error, OffsetExpired):
            await self._recover(error)
            return
        # An answer may have been larger than the client accepts, or too slow.
        self._limit = max(1, self._limit // 2)
        await self._back_off()

    async def _recover(self, error: OffsetExpired) -> None:
        self.first_offset = error.first_offset
        caught_up = await self._system.catch_up()
        if isinstance(caught_up, Err):
            await self._back_off()
            return
        await self.start_from_checkpoint()
        held = self._store.state.next_offset
        if held > error.offset and held >= error.first_offset:
            return
        if held >= error.first_offset:
            await self._back_off()
            return
        if not self._status.has_gap:
            self._status.has_gap = True
            events.error("log_gap", held=held, first_offset=error.first_offset)
        await self._clock.sleep(GAP_RETRY_SECONDS * self._rng.uniform(0.5, 1.0))

    def _close_gap(self) -> None:
        if self._status.has_gap:
            self._status.has_gap = False
            events.info("log_gap_closed", held=self._store.state.next_offset)

    def _report_lost_data(self, start: int, batch: LogBatch) -> None:
        if self._status.has_lost_data:
            return
        self._status.has_lost_data = True
        events.error(
            "log_lost_data", stream=TICKET_STREAM, held=start, log=batch.next_offset
        )

    async def _back_off(self) -> None:
        cap_seconds = self._options.retry_cap_seconds
        if RETRY_BASE_SECONDS * 2**self._attempt < cap_seconds:
            delay = full_jitter(
                self._rng, self._attempt, RETRY_BASE_SECONDS, cap_seconds
            )
        else:
            jitter = self._rng.uniform(1.0 - RETRY_CAP_JITTER, 1.0)
            delay = cap_seconds * jitter
        # Bounded, since the exponent grows for as long as the outage lasts.
        self._attempt = min(self._attempt + 1, MAX_ATTEMPT)
        await self._clock.sleep(delay)


def _ticket_record(record: LogRecord) -> TicketRecord:
    """Return the record for the mesh, without a value too large for a frame.

    Such a value is refused in any case; all readers replace it by the same text.
    """
    value = record.value
    size = len(value.encode("utf-8", "surrogatepass"))
    if size > MAX_TICKET_BYTES:
        value = f"record of {size} bytes"
    return TicketRecord(record.offset, value)
