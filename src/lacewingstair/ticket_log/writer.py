"""Writes records of the system stream, in order and under one writer id."""

import asyncio
import random
from typing import Any

from result import Result

from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.append import Appender, AppendFailed
from lacewingstair.ticket_log.log import SYSTEM_STREAM, LogClient
from lacewingstair.ticket_log.records import Envelope, decode_record, encode_record


class SystemWriter:
    """Appends records one after the other, each with its own sequence.

    Parameters
    ----------
    log : LogClient
        The log.
    writer_id : str
        Unique for this process, so that a restarted VM is another writer.
    clock, rng
        Time and randomness.
    retry_cap_seconds : float
        Largest upper bound of the delay between attempts.
    """

    def __init__(
        self,
        log: LogClient,
        writer_id: str,
        clock: Clock,
        rng: random.Random,
        retry_cap_seconds: float,
    ) -> None:
        self.writer_id = writer_id
        self._appender = Appender(log, SYSTEM_STREAM, clock, rng, retry_cap_seconds)
        self._sequence = 0
        self._lock = asyncio.Lock()

    async def append(
        self, body: Any, known_offset: int, give_up_at: float
    ) -> Result[int, AppendFailed]:
        """Append a record once and return its offset.

        Parameters
        ----------
        body : object
            One of the registered record types.
        known_offset : int
            Offset that the stream had reached before.
        give_up_at : float
            Monotonic time after which no attempt begins.
        """
        async with self._lock:
            self._sequence += 1
            envelope = Envelope(self.writer_id, self._sequence, body)

            def is_same(value: str) -> bool:
                other = decode_record(value)
                return other.is_ok() and other.ok_value.identity == envelope.identity

            return await self._appender.append(
                encode_record(envelope), is_same, known_offset, give_up_at
            )
