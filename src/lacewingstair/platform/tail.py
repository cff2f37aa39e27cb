"""Tails the ticket stream while this VM is a log reader."""

import random
from collections.abc import Callable, Iterable

from result import Err

from lacewingstair import events
from lacewingstair.acceptance import TicketRecord
from lacewingstair.platform.log import TICKET_STREAM, LogClient
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.store import StateStore

READ_LIMIT = 100
POLL_SECONDS = 20.0
ROLE_CHECK_SECONDS = 1.0
RETRY_BASE_SECONDS = 0.5
RETRY_CAP_SECONDS = 10.0


class LogTail:
    """Long-polls the log and hands on new records.

    Parameters
    ----------
    log : LogClient
        The platform's log.
    store : StateStore
        Gives the offset to read from.
    publish : callable
        Takes the records read.
    is_reader : callable
        Whether this VM reads the log now.
    clock, rng
        Time and randomness.
    """

    def __init__(
        self,
        log: LogClient,
        store: StateStore,
        publish: Callable[[Iterable[TicketRecord]], object],
        is_reader: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._store = store
        self._publish = publish
        self._is_reader = is_reader
        self._clock = clock
        self._rng = rng
        self.is_log_up = False

    async def run(self) -> None:
        """Tail until cancelled."""
        attempt = 0
        while True:
            if not self._is_reader():
                await self._clock.sleep(ROLE_CHECK_SECONDS)
                continue
            start = self._store.state.next_offset
            result = await self._log.read(
                TICKET_STREAM, start, READ_LIMIT, POLL_SECONDS
            )
            if isinstance(result, Err):
                self.is_log_up = False
                events.warning("log_read_failed", reason=result.err_value)
                delay = full_jitter(
                    self._rng, attempt, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS
                )
                attempt += 1
                await self._clock.sleep(delay)
                continue
            attempt = 0
            self.is_log_up = True
            records = result.ok_value.records
            self._publish(TicketRecord(r.offset, r.value) for r in records)
