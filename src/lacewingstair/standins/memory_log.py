"""Stand-in for the log in memory: streams with retention, and a client with faults."""

import asyncio

import attrs
from result import Err, Ok, Result

from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired
from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.log import LogBatch, LogRecord

MEMORY_URL = "memory"
MAX_VALUE_BYTES = 4 << 20


@attrs.define
class Stream:
    """Records of one stream."""

    first_offset: int = 0
    records: list[LogRecord] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self.records)


class LogStreams:
    """Append-only streams with retention.

    Parameters
    ----------
    clock : Clock
        Source of record times.
    retention_seconds : float
        Records older than this expire.
    """

    def __init__(self, clock: Clock, retention_seconds: float = 86_400.0) -> None:
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._streams_by_name: dict[str, Stream] = {}

    def append(self, name: str, value: str) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next_offset
        time_ms = int(self._clock.wall() * 1000)
        stream.records.append(LogRecord(offset, time_ms, value))
        stream.changed.set()
        stream.changed = asyncio.Event()
        return offset

    def read(
        self, name: str, from_offset: int, limit: int
    ) -> Result[LogBatch, OffsetExpired]:
        """Return records from an offset on, after dropping those that have expired."""
        self._expire_old(name)
        stream = self.stream(name)
        if from_offset < stream.first_offset:
            return Err(OffsetExpired(from_offset, stream.first_offset))
        index = from_offset - stream.first_offset
        records = tuple(stream.records[index : index + limit])
        return Ok(LogBatch(stream.first_offset, stream.next_offset, records))

    async def wait_for_append(
        self, name: str, from_offset: int, seconds: float
    ) -> None:
        """Return when the stream has a record at an offset, or after a time."""
        stream = self.stream(name)
        if from_offset != stream.next_offset or seconds <= 0:
            return
        changed = stream.changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return

    def expire(self, name: str, first_offset: int) -> None:
        """Drop the records before an offset, as the retention does."""
        stream = self.stream(name)
        dropped = max(0, min(first_offset, stream.next_offset) - stream.first_offset)
        del stream.records[:dropped]
        stream.first_offset += dropped

    def truncate(self, name: str, next_offset: int) -> None:
        """Lose the records from an offset on, as a log restored from a backup does."""
        stream = self.stream(name)
        del stream.records[max(0, next_offset - stream.first_offset) :]

    def stream(self, name: str) -> Stream:
        """Return the stream of that name, which may be empty."""
        return self._streams_by_name.setdefault(name, Stream())

    def _expire_old(self, name: str) -> None:
        stream = self.stream(name)
        oldest_ms = (self._clock.wall() - self._retention_seconds) * 1000
        kept_from = stream.first_offset
        for record in stream.records:
            if record.time_ms >= oldest_ms:
                break
            kept_from = record.offset + 1
        self.expire(name, kept_from)


@attrs.define
class LogFaults:
    """Faults of one client's way to the log.

    Attributes
    ----------
    is_down : bool
        Requests fail after `delay_seconds` and have no effect.
    delay_seconds : float
        Time that each request takes before it has an effect.
    timeout_seconds : float
        The client gives up after this time, and the request takes effect all the same.
    lost_answers : int
        So many of the next appends take effect and fail.
    doubled_appends : int
        So many of the next appends are written twice.
    repeated_reads : int
        So many of the next reads also return records before the offset asked for.
    """

    is_down: bool = False
    delay_seconds: float = 0.0
    timeout_seconds: float = 5.0
    lost_answers: int = 0
    doubled_appends: int = 0
    repeated_reads: int = 0


class MemoryLogClient:
    """Client of `LogStreams` with faults of its own.

    Attributes
    ----------
    faults : LogFaults
        May be changed, or shared with other clients, at any time.
    appends, reads : int
        Requests sent, failed ones included.
    """

    def __init__(
        self, streams: LogStreams, clock: Clock, faults: LogFaults | None = None
    ) -> None:
        self._streams = streams
        self._clock = clock
        self.faults = faults or LogFaults()
        self.appends = 0
        self.reads = 0
        self._in_flight: set[asyncio.Task[None]] = set()

    async def append(
        self, stream: str, value: str
    ) -> Result[int, LogUnavailable | LogRefused]:
        """Append a record and return its offset."""
        self.appends += 1
        faults = self.faults
        if faults.is_down:
            return await self._fail()
        if len(value) > MAX_VALUE_BYTES:
            return Err(LogRefused(MEMORY_URL, f"{len(value)} bytes"))
        if faults.delay_seconds > faults.timeout_seconds:
            late = self._append_later(stream, value, faults.delay_seconds)
            task = asyncio.create_task(late)
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
            return await self._time_out()
        await self._clock.sleep(faults.delay_seconds)
        offset = self._write(stream, value)
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            return Err(LogUnavailable(MEMORY_URL, "answer lost"))
        return Ok(offset)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_seconds: float
    ) -> Result[LogBatch, LogUnavailable | OffsetExpired]:
        """Return records from an offset on, waiting for the first if there is none."""
        self.reads += 1
        faults = self.faults
        if faults.is_down:
            return await self._fail()
        if faults.delay_seconds > faults.timeout_seconds:
            return await self._time_out()
        await self._clock.sleep(faults.delay_seconds)
        await self._streams.wait_for_append(stream, from_offset, wait_seconds)
        if faults.is_down:
            return await self._fail()
        if faults.repeated_reads > 0:
            faults.repeated_reads -= 1
            first_offset = self._streams.stream(stream).first_offset
            from_offset = max(min(first_offset, from_offset), from_offset - 3)
        return self._streams.read(stream, from_offset, limit)

    async def close(self) -> None:
        """Cancel the requests in flight."""
        for task in self._in_flight:
            task.cancel()

    def _write(self, stream: str, value: str) -> int:
        offset = self._streams.append(stream, value)
        if self.faults.doubled_appends > 0:
            self.faults.doubled_appends -= 1
            self._streams.append(stream, value)
        return offset

    async def _append_later(self, stream: str, value: str, seconds: float) -> None:
        await self._clock.sleep(seconds)
        self._write(stream, value)

    async def _fail(self) -> Err[LogUnavailable]:
        await self._clock.sleep(self.faults.delay_seconds)
        return Err(LogUnavailable(MEMORY_URL, "down"))

    async def _time_out(self) -> Err[LogUnavailable]:
        await self._clock.sleep(self.faults.timeout_seconds)
        return Err(LogUnavailable(MEMORY_URL, "timed out"))
