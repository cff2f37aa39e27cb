"""Stand-in for the platform's log service, over HTTP and JSON."""

import asyncio

import attrs
from aiohttp import web

from lacewingstair.platform.log import LogRecord
from lacewingstair.runtime import Clock

MAX_READ_LIMIT = 1000


@attrs.define
class Stream:
    """Records of one stream in memory."""

    first_offset: int = 0
    records: list[LogRecord] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self.records)


class LogService:
    """Append-only streams with retention and switchable faults.

    Parameters
    ----------
    clock : Clock
        Source of record times.
    retention_seconds : float
        Records older than this expire.

    Attributes
    ----------
    is_down : bool
        While true every request is answered with 503.
    lost_answers : int
        So many of the next appends take effect and answer with 503.
    appends, reads : int
        Requests served.
    """

    def __init__(self, clock: Clock, retention_seconds: float = 86_400.0) -> None:
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._streams_by_name: dict[str, Stream] = {}
        self.is_down = False
        self.lost_answers = 0
        self.appends = 0
        self.reads = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=4 << 20)
        app.router.add_post("/streams/{stream}/records", self._append)
        app.router.add_get("/streams/{stream}/records", self._read)
        return app

    def append(self, stream_name: str, value: str) -> int:
        """Append a record and return its offset."""
        stream = self._stream(stream_name)
        offset = stream.next_offset
        time_ms = int(self._clock.wall() * 1000)
        stream.records.append(LogRecord(offset, time_ms, value))
        stream.changed.set()
        stream.changed = asyncio.Event()
        self.appends += 1
        return offset

    def expire(self, stream_name: str, first_offset: int) -> None:
        """Drop the records before an offset, as the retention does."""
        stream = self._stream(stream_name)
        dropped = max(0, min(first_offset, stream.next_offset) - stream.first_offset)
        del stream.records[:dropped]
        stream.first_offset += dropped

    def _stream(self, name: str) -> Stream:
        return self._streams_by_name.setdefault(name, Stream())

    def _expire_old(self, name: str) -> None:
        stream = self._stream(name)
        oldest_ms = (self._clock.wall() - self._retention_seconds) * 1000
        kept_from = stream.first_offset
        for record in stream.records:
            if record.time_ms >= oldest_ms:
                break
            kept_from = record.offset + 1
        self.expire(name, kept_from)

    async def _append(self, request: web.Request) -> web.Response:
        if self.is_down:
            return web.json_response({"error": "down"}, status=503)
        try:
            value = (await request.json())["value"]
        except (ValueError, KeyError, TypeError):
            value = None
        if not isinstance(value, str):
            return web.json_response({"error": "value must be a string"}, status=400)
        offset = self.append(request.match_info["stream"], value)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return web.json_response({"error": "answer lost"}, status=503)
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        if self.is_down:
            return web.json_response({"error": "down"}, status=503)
        try:
            start = int(request.query["from"])
            limit = min(int(request.query.get("limit", "100")), MAX_READ_LIMIT)
            wait_ms = int(request.query.get("wait_ms", "0"))
        except (KeyError, ValueError):
            return web.json_response({"error": "from must be a number"}, status=400)
        self.reads += 1
        name = request.match_info["stream"]
        self._expire_old(name)
        stream = self._stream(name)
        if start >= stream.next_offset and wait_ms > 0:
            await self._wait_for_change(stream, wait_ms / 1000)
        if start < stream.first_offset:
            body = {"error": "expired", "first_offset": stream.first_offset}
            return web.json_response(body, status=410)
        return web.json_response(_batch(stream, start, limit))

    @staticmethod
    async def _wait_for_change(stream: Stream, seconds: float) -> None:
        changed = stream.changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return


def _batch(stream: Stream, start: int, limit: int) -> dict[str, object]:
    index = start - stream.first_offset
    records = stream.records[index : index + limit]
    return {
        "first_offset": stream.first_offset,
        "next_offset": stream.next_offset,
        "records": [
            {"offset": r.offset, "time_ms": r.time_ms, "value": r.value}
            for r in records
        ],
    }
