"""Status of the connection to the log, for the operator's status page."""

import attrs
from result import Err, Result

from lacewingstair import events
from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired
from lacewingstair.ticket_log.log import LogBatch, LogClient


@attrs.define
class LogStatus:
    """What this VM knows of the log.

    Attributes
    ----------
    is_reader : bool
        Whether this VM reads the log now. The other values are those of the last time
        that it did.
    is_log_up : bool
        Whether the last request was answered.
    has_gap : bool
        Whether records that this VM lacks have expired and nothing covers them.
    has_lost_data : bool
        Whether the log ends before records that this VM has applied.
    last_error : str
        Last failure, empty when there was none.
    reads, appends : int
        Requests sent since the start.
    checkpoint_offset : int
        Offset of the ticket stream from which the newest checkpoint continues, -1 when
        none is known.
    pending_take_backs : int
        Take-back marks that wait to be written.
    lag_seconds : float or None
        Time from the log's time of a record to its application, for the last record
        that this VM was the first to bring in while it waited at the end of the log.
    """

    is_reader: bool = False
    is_log_up: bool = False
    has_gap: bool = False
    has_lost_data: bool = False
    last_error: str = ""
    reads: int = 0
    appends: int = 0
    checkpoint_offset: int = -1
    pending_take_backs: int = 0
    lag_seconds: float | None = None


class ObservedLog:
    """Passes requests on to a client and keeps the status up to date.

    An outage makes one log line when it begins and one when it ends.
    """

    def __init__(self, log: LogClient, status: LogStatus) -> None:
        self._log = log
        self._status = status

    async def append(
        self, stream: str, value: str
    ) -> Result[int, LogUnavailable | LogRefused]:
        """Append a record and return its offset."""
        self._status.appends += 1
        answer = await self._log.append(stream, value)
        self._note(answer)
        return answer

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_seconds: float
    ) -> Result[LogBatch, LogUnavailable | OffsetExpired]:
        """Return records from an offset on, waiting for the first if there is none."""
        self._status.reads += 1
        answer = await self._log.read(stream, from_offset, limit, wait_seconds)
        self._note(answer)
        return answer

    async def close(self) -> None:
        """Release the connections."""
        await self._log.close()

    def _note(self, answer: Result[object, object]) -> None:
        status = self._status
        if isinstance(answer, Err):
            status.last_error = str(answer.err_value)
        is_up = not isinstance(answer, Err) or not isinstance(
            answer.err_value, LogUnavailable
        )
        if is_up and not status.is_log_up:
            events.info("log_available", reads=status.reads)
        if not is_up and (status.is_log_up or status.reads + status.appends == 1):
            events.warning("log_unavailable", reason=answer.err_value)
        status.is_log_up = is_up
