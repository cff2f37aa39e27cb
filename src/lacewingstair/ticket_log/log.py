"""Interface to the platform's append-only log."""

from typing import Protocol

import attrs
from result import Result

from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired

TICKET_STREAM = "tickets"
SYSTEM_STREAM = "system"


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Parameters
    ----------
    offset : int
        Place in the stream, from 0, without holes.
    time_ms : int
        Time of the append by the log's clock, milliseconds since the Unix epoch.
    value : str
        Text that was appended.
    """

    offset: int
    time_ms: int
    value: str


@attrs.frozen
class LogBatch:
    """Answer to a read.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log still keeps.
    next_offset : int
        Offset that the next append will get.
    records : tuple of LogRecord
        Consecutive records from the offset asked for; may be empty.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogClient(Protocol):
    """Client of the log."""

    async def append(
        self, stream: str, value: str
    ) -> Result[int, LogUnavailable | LogRefused]:
        """Append a record and return its offset.

        After `LogUnavailable` the record may be in the stream or not; after
        `LogRefused` it is not.
        """
        ...

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_seconds: float
    ) -> Result[LogBatch, LogUnavailable | OffsetExpired]:
        """Return records from an offset on, waiting for the first if there is none."""
        ...

    async def close(self) -> None:
        """Release the connections."""
        ...
