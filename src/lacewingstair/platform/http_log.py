"""Log client over HTTP and JSON."""

from typing import Any

import aiohttp
from result import Err, Ok, Result

from lacewingstair.errors import LogUnavailable, OffsetExpired
from lacewingstair.platform.log import LogBatch, LogRecord

REQUEST_TIMEOUT_SECONDS = 5.0
MAX_RESPONSE_BYTES = 16 << 20


class HttpLogClient:
    """Client of a log service at a base URL.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.1:7000``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, value: str) -> Result[int, LogUnavailable]:
        """Append a record and return its offset."""
        url = f"{self._url}/streams/{stream}/records"
        answer = await self._request("POST", url, 0.0, json={"value": value})
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status != 200 or not isinstance(body.get("offset"), int):
            return Err(LogUnavailable(url, f"status {status} to an append"))
        return Ok(body["offset"])

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
        if status == 410 and isinstance(body.get("first_offset"), int):
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
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=wait_seconds + REQUEST_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                method, url, timeout=timeout, **options
            ) as response:
                body = await response.json()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(LogUnavailable(url, str(error) or type(error).__name__))
        if not isinstance(body, dict):
            return Err(LogUnavailable(url, "the answer is not a JSON object"))
        return Ok((response.status, body))


def _parse_batch(url: str, body: dict[str, Any]) -> Result[LogBatch, LogUnavailable]:
    try:
        records = tuple(
            LogRecord(int(r["offset"]), int(r["time_ms"]), str(r["value"]))
            for r in body["records"]
        )
        batch = LogBatch(int(body["first_offset"]), int(body["next_offset"]), records)
    except (KeyError, TypeError, ValueError) as error:
        return Err(LogUnavailable(url, f"malformed answer: {error!r}"))
    return Ok(batch)
