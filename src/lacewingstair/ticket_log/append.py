"""Appends that are read back when their answer is lost."""

import random
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.ticket_log.log import LogClient, LogRecord

READ_LIMIT = 32
RETRY_BASE_SECONDS = 0.5
RETRY_CAP_SECONDS = 10.0


@attrs.frozen
class AppendFailed:
    """An append that was given up.

    Parameters
    ----------
    error : LogUnavailable or LogRefused
        Last answer.
    may_be_written : bool
        Whether an append was sent whose outcome is not known.
    """

    error: LogUnavailable | LogRefused
    may_be_written: bool


class Appender:
    """Appends records and waits out an outage, with full jitter between attempts.

    Parameters
    ----------
    log : LogClient
        The log.
    stream : str
        Where records go.
    clock, rng
        Time and randomness.
    retry_cap_seconds : float
        Largest upper bound of the delay between attempts.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        clock: Clock,
        rng: random.Random,
        retry_cap_seconds: float = RETRY_CAP_SECONDS,
    ) -> None:
        self._retry_cap_seconds = retry_cap_seconds
        self._log = log
        self._stream = stream
        self._clock = clock
        self._rng = rng

    async def append(
        self,
        value: str,
        is_same: Callable[[str], bool],
        known_offset: int | None,
        give_up_at: float,
    ) -> Result[int, AppendFailed]:
        """Append a record once and return its offset.

        Parameters
        ----------
        value : str
            The record.
        is_same : callable
            Recognises the record when it is read back.
        known_offset : int or None
            Offset that the stream had reached before; None to ask the log.
        give_up_at : float
            Monotonic time after which no attempt begins.
        """
        attempt = 0
        is_sent = False
        while True:
            error: LogUnavailable | LogRefused
            if known_offset is None:
                end = await self._end()
                if isinstance(end, Err):
                    error = end.err_value
                else:
                    known_offset = end.ok_value
            if known_offset is not None:
                answer = await self._append_or_find(
                    value, is_same, known_offset, is_sent
                )
                is_sent = True
                if isinstance(answer, Ok):
                    return answer
                error = answer.err_value
            if isinstance(error, LogRefused):
                return Err(AppendFailed(error, may_be_written=False))
            delay = full_jitter(
                self._rng, attempt, RETRY_BASE_SECONDS, self._retry_cap_seconds
            )
            attempt += 1
            if self._clock.monotonic() + delay >= give_up_at:
                return Err(AppendFailed(error, may_be_written=is_sent))
            await self._clock.sleep(delay)

    async def _append_or_find(
        self, value: str, is_same: Callable[[str], bool], known_offset: int, find: bool
    ) -> Result[int, LogUnavailable | LogRefused]:
        if find:
            found = await self._find(is_same, known_offset)
            if isinstance(found, Err):
                return found
            if found.ok_value is not None:
                return Ok(found.ok_value)
        return await self._log.append(self._stream, value)

    async def _find(
        self, is_same: Callable[[str], bool], known_offset: int
    ) -> Result[int | None, LogUnavailable]:
        start = known_offset
        while True:
            read = await self.read(start)
            if isinstance(read, Err):
                return read
            records, next_offset = read.ok_value
            for record in records:
                if record.offset >= known_offset and is_same(record.value):
                    return Ok(record.offset)
            if not records or records[-1].offset + 1 >= next_offset:
                return Ok(None)
            start = max(start, records[-1].offset) + 1

    async def read(
        self, from_offset: int
    ) -> Result[tuple[tuple[LogRecord, ...], int], LogUnavailable]:
        """Return records from an offset, or the first kept, and the next offset."""
        answer = await self._log.read(self._stream, from_offset, READ_LIMIT, 0.0)
        if isinstance(answer, Err) and isinstance(answer.err_value, OffsetExpired):
            first_offset = answer.err_value.first_offset
            answer = await self._log.read(self._stream, first_offset, READ_LIMIT, 0.0)
        if isinstance(answer, Err):
            error = answer.err_value
            if isinstance(error, OffsetExpired):
                error = LogUnavailable(self._stream, str(error))
            return Err(error)
        return Ok((answer.ok_value.records, answer.ok_value.next_offset))

    async def _end(self) -> Result[int, LogUnavailable]:
        read = await self.read(0)
        return read if isinstance(read, Err) else Ok(read.ok_value[1])
