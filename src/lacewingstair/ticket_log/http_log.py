"""Log client over HTTP and JSON."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import aiohttp
from result import Err, Ok, Result

from lacewingstair.bounded_read import read_bounded
from lacewingstair.errors import LogRefused, LogUnavailable, OffsetExpired
from lacewingstair.ticket_log.log import LogBatch, LogRecord
from lacewingstair.tls import verification_of

REQUEST_TIMEOUT_SECONDS = 5.0
# A log that answers slowly is still usable; a silent connection is found out by the
# first, short timeout.
MAX_REQUEST_TIMEOUT_SECONDS = 40.0
MAX_RESPONSE_BYTES = 16 << 20
# Statuses that the same append would get again.
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 415, 422})


class AdaptiveTimeout:
    """Timeout of a request without its long poll.

    It doubles with each request that times out, and returns to its start with the first
    that is answered within that.

    Parameters
    ----------
    base_seconds : float
        Where it starts.
    """

    def __init__(self, base_seconds: float = REQUEST_TIMEOUT_SECONDS) -> None:
        self.seconds = base_seconds
        self._base_seconds = base_seconds
        self._cap_seconds = max(base_seconds, MAX_REQUEST_TIMEOUT_SECONDS)

    def note_timeout(self) -> None:
        """Take note of a request that timed out."""
        self.seconds = min(2 * self.seconds, self._cap_seconds)

    def note_answer(self, elapsed_seconds: float) -> None:
        """Take note of a request that was answered."""
        if elapsed_seconds < self._base_seconds:
            self.seconds = self._base_seconds


class HttpLogClient:
    """Client of a log service at a base URL.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.1:7000``.
    timeout_seconds : float
        Time for an answer, in addition to the wait of a read.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Bytes of the heads and bodies of requests and answers so far.
    """

    def __init__(
        self, url: str, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None
        self._timeout = AdaptiveTimeout(timeout_seconds)
        self.bytes_sent = 0
        self.bytes_received = 0

    async def append(
        self, stream: str, value: str
    ) -> Result[int, LogUnavailable | LogRefused]:
        """Append a record and return its offset."""
        url = f"{self._url}/streams/{stream}/records"
        answer = await self._request("POST", url, 0.0, json={"value": value})
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status in REFUSED_STATUSES:
            return Err(
                LogRefused(url, f"status {status} {body.get('error', '')!r:.200}")
            )
        offset = body.get("offset")
        if status not in (200, 201) or not _is_offset(offset):
            return Err(LogUnavailable(url, f"status {status} to an append"))
        return Ok(offset)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_seconds: float
    ) -> Result[LogBatch, LogUnavailable | OffsetExpired]:
        """Return records from an offset on, waiting for the first if there is none."""
        url = f"{self._url}/streams/{stream}/records"
        query = {
            "from": str(from_offset),
            "limit": str(limit),
            "wait_ms": str(int(wait_seconds * 1000)),
        }
        answer = await self._request("GET", url, wait_seconds, params=query)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == 410 and _is_offset(body.get("first_offset")):
            return Err(OffsetExpired(from_offset, body["first_offset"]))
        if status != 200:
            return Err(LogUnavailable(url, f"status {status} to a read"))
        return _parse_batch(url, body)

    async def close(self) -> None:
        """Release the connections."""
        if self._session is not None:
            await self._session.close()

    async def _request(
        self, method: str, url: str, wait_seconds: float, **options: Any
    ) -> Result[tuple[int, dict[str, Any]], LogUnavailable]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(ssl=verification_of(self._url)),
                trace_configs=[self._trace()],
            )
        timeout = aiohttp.ClientTimeout(total=wait_seconds + self._timeout.seconds)
        start = asyncio.get_running_loop().time()
        try:
            async with self._session.request(
                method, url, timeout=timeout, allow_redirects=False, **options
            ) as response:
                status = response.status
                self.bytes_received += _head_bytes(response)
                data = await read_bounded(
                    response, MAX_RESPONSE_BYTES, self._count_received
                )
            body = json.loads(data)
        except TimeoutError:
            self._timeout.note_timeout()
            return Err(LogUnavailable(url, f"no answer in {timeout.total:.3g} s"))
        except (aiohttp.ClientError, OSError, ValueError, RecursionError) as error:
            return Err(LogUnavailable(url, str(error) or type(error).__name__))
        self._timeout.note_answer(asyncio.get_running_loop().time() - start)
        if not isinstance(body, dict):
            return Err(LogUnavailable(url, "the answer is not a JSON object"))
        return Ok((status, body))

    def _count_received(self, size: int) -> None:
        self.bytes_received += size

    def _trace(self) -> aiohttp.TraceConfig:
        async def on_head(_session, _context, params) -> None:
            line = f"{params.method} {params.url.raw_path_qs} HTTP/1.1\r\n\r\n"
            self.bytes_sent += len(line) + _field_bytes(params.headers.items())

        async def on_sent(_session, _context, params) -> None:
            self.bytes_sent += len(params.chunk)

        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(on_head)
        trace.on_request_chunk_sent.append(on_sent)
        return trace


def _head_bytes(response: aiohttp.ClientResponse) -> int:
    line = f"HTTP/1.1 {response.status} {response.reason}\r\n\r\n"
    return len(line) + _field_bytes(response.raw_headers)


def _field_bytes(fields: Iterable[tuple[str | bytes, str | bytes]]) -> int:
    # A colon, a space and a line end.
    return sum(len(name) + len(value) + 4 for name, value in fields)


def _is_offset(value: Any) -> bool:
    return type(value) is int and 0 <= value < 1 << 63


def _parse_batch(url: str, body: dict[str, Any]) -> Result[LogBatch, LogUnavailable]:
    try:
        records = tuple(
            LogRecord(_offset(r["offset"]), _offset(r["time_ms"]), _text(r["value"]))
            for r in body["records"]
        )
        first_offset = _offset(body["first_offset"])
        next_offset = _offset(body["next_offset"])
    except (KeyError, TypeError, ValueError) as error:
        return Err(LogUnavailable(url, f"malformed answer: {error!r:.200}"))
    offsets = [record.offset for record in records]
    if offsets and offsets != list(range(offsets[0], offsets[0] + len(offsets))):
        return Err(
            LogUnavailable(url, "the offsets of the records are not consecutive")
        )
    return Ok(LogBatch(first_offset, next_offset, records))


def _offset(value: Any) -> int:
    if not _is_offset(value):
        raise ValueError(f"{value!r:.80} is not an integer from 0 to 2^63 - 1")
    return value


def _text(value: Any) -> str:
    if type(value) is not str:
        raise ValueError(f"{value!r:.80} is not a string")
    return value
