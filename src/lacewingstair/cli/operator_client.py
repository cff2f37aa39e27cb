"""Reads the operators' interface of a VM."""

import os
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import aiohttp
from result import Err, Ok, Result

from lacewingstair.errors import OperatorUnavailable

REQUEST_TIMEOUT_SECONDS = 5.0


class OperatorClient:
    """Client of the operators' interface at a base URL."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def report(self) -> Result[dict[str, Any], OperatorUnavailable]:
        """Return ``/report``."""
        return await self._get("/report", ("ticket", "next_offset", "rollouts"))

    async def status(self) -> Result[dict[str, Any], OperatorUnavailable]:
        """Return ``/status``."""
        return await self._get("/status", ("vm", "ticket", "links"))

    async def explain(
        self, query: Mapping[str, str]
    ) -> Result[dict[str, Any], OperatorUnavailable]:
        """Return ``/explain`` for a call."""
        return await self._get(f"/explain?{urlencode(query)}", ("route", "services"))

    async def close(self) -> None:
        """Release the connection."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, path: str, keys: tuple[str, ...]
    ) -> Result[dict[str, Any], OperatorUnavailable]:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
            self._session = aiohttp.ClientSession(timeout=timeout)
        url = self._url + path
        try:
            async with self._session.get(url) as response:
                body = await response.json(content_type=None)
        except aiohttp.ClientConnectorError as error:
            number = error.os_error.errno
            reason = (
                os.strerror(number) if number and number > 0 else str(error.os_error)
            )
            return Err(OperatorUnavailable(url, reason))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Err(OperatorUnavailable(url, str(error) or "no answer in time"))
        except ValueError:
            return Err(OperatorUnavailable(url, "the answer is not JSON"))
        if isinstance(body, dict) and isinstance(body.get("error"), str):
            return Err(OperatorUnavailable(url, body["error"]))
        if not isinstance(body, dict) or any(key not in body for key in keys):
            reason = "the answer is not that of a lacewingstair VM; is it the address"
            return Err(OperatorUnavailable(url, f"{reason} in [operator]?"))
        return Ok(body)
