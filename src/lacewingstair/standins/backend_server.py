"""Stand-in for a backend server."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Endpoint

ANNOUNCE_EVERY_SECONDS = 3.0


class BackendServer:
    """HTTP server with a version, a fixed number of slots and switchable faults.

    Parameters
    ----------
    endpoint : Endpoint
        What it announces.
    announce_url : str
        Base URL of the announcement interface of its VM.
    clock : Clock
        Time for service and announcements.

    Attributes
    ----------
    calls : int
        Calls run.
    failure_status : int
        When not 0, calls are answered with this status.
    service_seconds : float
        Time a call takes in its slot.
    """

    def __init__(self, endpoint: Endpoint, announce_url: str, clock: Clock) -> None:
        self.endpoint = endpoint
        self._announce_url = announce_url.rstrip("/")
        self._clock = clock
        self._slots = asyncio.Semaphore(endpoint.slots)
        self.calls = 0
        self.failure_status = 0
        self.service_seconds = 0.001

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a call with the version and the body that was sent."""
        body = await request.read()
        async with self._slots:
            self.calls += 1
            await self._clock.sleep(self.service_seconds)
        if self.failure_status:
            return web.json_response({"error": "fault"}, status=self.failure_status)
        answer = {
            "service": self.endpoint.service,
            "version": self.endpoint.version,
            "path": request.path,
            "received_bytes": len(body),
        }
        return web.json_response(answer)

    async def announce_until_cancelled(self) -> None:
        """Repeat the announcement, then withdraw it."""
        async with aiohttp.ClientSession() as session:
            try:
                while True:
                    await self._post(session, "announce", self._announcement())
                    await self._clock.sleep(ANNOUNCE_EVERY_SECONDS)
            finally:
                body = {"address": self.endpoint.address}
                await self._post(session, "withdraw", body)

    async def announce_once(self) -> None:
        """Announce the endpoint as it is now, between the repetitions."""
        async with aiohttp.ClientSession() as session:
            await self._post(session, "announce", self._announcement())

    def _announcement(self) -> dict[str, object]:
        endpoint = self.endpoint
        return {
            "service": endpoint.service,
            "version": endpoint.version,
            "address": endpoint.address,
            "slots": endpoint.slots,
            "connections": endpoint.connections,
            "state": endpoint.state.name.lower(),
        }

    async def _post(
        self, session: aiohttp.ClientSession, action: str, body: dict[str, object]
    ) -> None:
        # The daemon may not listen yet or have gone; the next repetition reaches it.
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.post(f"{self._announce_url}/v1/{action}", json=body):
                pass
