"""Stand-in for the platform's log service, over HTTP and JSON."""

from aiohttp import web
from result import Err

from lacewingstair.runtime import Clock
from lacewingstair.standins.memory_log import MAX_VALUE_BYTES, LogStreams
from lacewingstair.ticket_log.log import LogBatch

MAX_READ_LIMIT = 1000
MAX_WAIT_SECONDS = 60.0


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
    streams : LogStreams
        What is stored.
    is_down : bool
        While true every request is answered with 503.
    delay_seconds : float
        Time that each request takes before it has an effect.
    lost_answers : int
        So many of the next appends take effect and end with a closed connection.
    appends, reads : int
        Requests that had an effect.
    """

    def __init__(self, clock: Clock, retention_seconds: float = 86_400.0) -> None:
        self._clock = clock
        self.streams = LogStreams(clock, retention_seconds)
        self.is_down = False
        self.delay_seconds = 0.0
        self.lost_answers = 0
        self.appends = 0
        self.reads = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        # JSON may write each byte of a value as an escape of six characters.
        app = web.Application(client_max_size=6 * MAX_VALUE_BYTES + 1024)
        app.router.add_post("/streams/{stream}/records", self._append)
        app.router.add_get("/streams/{stream}/records", self._read)
        return app

    def append(self, stream: str, value: str) -> int:
        """Append a record and return its offset."""
        self.appends += 1
        return self.streams.append(stream, value)

    def expire(self, stream: str, first_offset: int) -> None:
        """Drop the records before an offset, as the retention does."""
        self.streams.expire(stream, first_offset)

    async def _append(self, request: web.Request) -> web.Response:
        await self._clock.sleep(self.delay_seconds)
        if self.is_down:
            return web.json_response({"error": "down"}, status=503)
        try:
            value = (await request.json())["value"]
        except (ValueError, KeyError, TypeError):
            value = None
        if not isinstance(value, str):
            return web.json_response({"error": "value must be a string"}, status=400)
        if len(value) > MAX_VALUE_BYTES:
            return web.json_response({"error": "value is too large"}, status=413)
        offset = self.append(request.match_info["stream"], value)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        await self._clock.sleep(self.delay_seconds)
        if self.is_down:
            return web.json_response({"error": "down"}, status=503)
        try:
            start = int(request.query["from"])
            limit = min(int(request.query.get("limit", "100")), MAX_READ_LIMIT)
            wait_seconds = int(request.query.get("wait_ms", "0")) / 1000
        except (KeyError, ValueError):
            return web.json_response({"error": "from must be a number"}, status=400)
        if start < 0 or limit < 1:
            return web.json_response({"error": "from or limit too low"}, status=400)
        self.reads += 1
        name = request.match_info["stream"]
        wait_seconds = min(wait_seconds, MAX_WAIT_SECONDS)
        await self.streams.wait_for_append(name, start, wait_seconds)
        answer = self.streams.read(name, start, limit)
        if isinstance(answer, Err):
            first_offset = answer.err_value.first_offset
            body = {"error": "expired", "first_offset": first_offset}
            return web.json_response(body, status=410)
        return web.json_response(_document(answer.ok_value))


def _document(batch: LogBatch) -> dict[str, object]:
    return {
        "first_offset": batch.first_offset,
        "next_offset": batch.next_offset,
        "records": [
            {"offset": r.offset, "time_ms": r.time_ms, "value": r.value}
            for r in batch.records
        ],
    }
