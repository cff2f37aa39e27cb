"""Reads the system stream into a `SystemView`."""

from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.errors import LogUnavailable, OffsetExpired
from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.log import SYSTEM_STREAM, LogClient
from lacewingstair.ticket_log.system_view import StoredCheckpoint, SystemView

# Chunks of a checkpoint take about 90 KB each, so that an answer stays below 3 MB.
READ_LIMIT = 32


class SystemStream:
    """Keeps a view of the system stream.

    Attributes
    ----------
    view : SystemView
        What was read.
    lease_seen_at, checkpoint_seen_at : float
        Monotonic time at which the lease and the newest checkpoint of the view were
        first seen.
    """

    def __init__(self, log: LogClient, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self.view = SystemView()
        self.lease_seen_at = float("-inf")
        self.checkpoint_seen_at = float("-inf")

    async def catch_up(self) -> Result[None, LogUnavailable]:
        """Read all records that are there now."""
        lease = self.view.lease
        checkpoint = self._newest_checkpoint()
        while True:
            start = self.view.next_offset
            answer = await self._log.read(SYSTEM_STREAM, start, READ_LIMIT, 0.0)
            if isinstance(answer, Err):
                error = answer.err_value
                if not isinstance(error, OffsetExpired):
                    return Err(error)
                if error.first_offset <= start:
                    return Err(LogUnavailable(SYSTEM_STREAM, str(error)))
                self.view.continue_from(error.first_offset)
                continue
            batch = answer.ok_value
            if batch.next_offset < start:
                events.error(
                    "log_lost_data",
                    stream=SYSTEM_STREAM,
                    held=start,
                    log=batch.next_offset,
                )
                self.view.continue_from(batch.first_offset)
                continue
            for record in batch.records:
                self.view.fold(record)
            if not start < self.view.next_offset < batch.next_offset:
                break
        now = self._clock.monotonic()
        if self.view.lease != lease:
            self.lease_seen_at = now
        if self._newest_checkpoint() is not checkpoint:
            self.checkpoint_seen_at = now
        return Ok(None)

    def _newest_checkpoint(self) -> StoredCheckpoint | None:
        checkpoints = self.view.checkpoints
        return checkpoints[-1] if checkpoints else None
