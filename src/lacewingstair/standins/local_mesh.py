"""A mesh in one process on loopback addresses: log, daemons, backend servers, calls."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

import aiohttp
import attrs
from aiohttp import web
from result import Err, Ok, Result

from lacewingstair.daemon import Daemon, build
from lacewingstair.errors import ListenError
from lacewingstair.http_server import listen
from lacewingstair.runtime import Clock
from lacewingstair.standins.backend_server import BackendServer
from lacewingstair.standins.local import LOOPBACK, free_ports, local_settings
from lacewingstair.standins.log_service import LogService
from lacewingstair.ticket_log.log import TICKET_STREAM
from lacewingstair.vm.directory import Endpoint, EndpointState

PORTS_PER_VM = 4


@attrs.define
class RunningServer:
    """A stand-in for a backend server with its HTTP server and announcements."""

    server: BackendServer
    runner: web.ServerRunner
    announcing: asyncio.Task[None]

    async def drain(self) -> None:
        """Announce at once that no new calls are taken."""
        self.server.endpoint = attrs.evolve(
            self.server.endpoint, state=EndpointState.DRAINING
        )
        # A restart would withdraw the endpoint, which is more than draining.
        await self.server.announce_once()


class LocalMesh:
    """Stand-ins and daemons on free ports.

    Parameters
    ----------
    clock : Clock
        Time of all parts.
    zones : sequence of (region, availability zone)
        One VM is started for each entry.
    leaving_seconds : float
        Time in which a stopping daemon still accepts calls.
    """

    def __init__(
        self,
        clock: Clock,
        zones: Iterable[tuple[str, str]],
        leaving_seconds: float = 1.0,
    ) -> None:
        self._clock = clock
        self._zones = tuple(zones)
        self._leaving_seconds = leaving_seconds
        self._log_runner: web.AppRunner | None = None
        self.log = LogService(clock)
        self.daemons: list[Daemon] = []
        self.servers: list[RunningServer] = []

    async def start(self) -> Result[None, ListenError]:
        """Start the log and the daemons."""
        ports = free_ports(1 + PORTS_PER_VM * len(self._zones))
        log_address = f"{LOOPBACK}:{ports[0]}"
        self._log_runner = web.AppRunner(self.log.application(), shutdown_timeout=0.1)
        listening = await listen(self._log_runner, log_address)
        if isinstance(listening, Err):
            return listening
        contacts = tuple(f"{LOOPBACK}:{ports[1 + PORTS_PER_VM * i]}" for i in (0, 1))
        for index, (region, zone) in enumerate(self._zones):
            own = ports[1 + PORTS_PER_VM * index :][:PORTS_PER_VM]
            settings = local_settings(
                f"vm-{index}", region, zone, f"http://{log_address}", own
            )
            stop = attrs.evolve(settings.stop, leaving_seconds=self._leaving_seconds)
            settings = attrs.evolve(settings, contacts=contacts, stop=stop)
            daemon = build(settings, self._clock, random.Random(index))
            started = await daemon.start()
            if isinstance(started, Err):
                return started
            self.daemons.append(daemon)
        return Ok(None)

    async def stop(self) -> None:
        """Stop everything as planned."""
        for running in self.servers:
            running.announcing.cancel()
        announcing = (running.announcing for running in self.servers)
        await asyncio.gather(*announcing, return_exceptions=True)
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        for running in self.servers:
            await running.runner.cleanup()
        if self._log_runner is not None:
            await self._log_runner.cleanup()

    async def start_servers(
        self, service: str, version: str, failure_status: int = 0
    ) -> list[RunningServer]:
        """Start one backend server beside each VM and let it announce itself."""
        started = []
        ports = free_ports(len(self.daemons))
        for daemon, port in zip(self.daemons, ports, strict=True):
            endpoint = Endpoint(service, version, f"{LOOPBACK}:{port}")
            url = f"http://{daemon.settings.backend_server_address}"
            server = BackendServer(endpoint, url, self._clock)
            server.failure_status = failure_status
            runner = web.ServerRunner(web.Server(server.handle, access_log=None))
            await listen(runner, endpoint.address)
            announcing = asyncio.create_task(server.announce_until_cancelled())
            started.append(RunningServer(server, runner, announcing))
        self.servers.extend(started)
        return started

    def publish(self, ticket: dict[str, Any]) -> int:
        """Append a ticket to the log and return its offset."""
        return self.log.append(TICKET_STREAM, json.dumps(ticket))

    def is_linked(self) -> bool:
        """Return whether all VMs have links and one of them reads the log."""
        statuses = [daemon.status() for daemon in self.daemons]
        is_read = any(status["log"]["is_log_up"] for status in statuses)
        return is_read and all(status["links"] for status in statuses)

    def is_in_force(self, number: int) -> bool:
        """Return whether all VMs apply a ticket."""
        return all(daemon.store.state.number >= number for daemon in self.daemons)

    def is_announced(self, count: int) -> bool:
        """Return whether all VMs know so many endpoints."""
        return all(daemon.status()["endpoints"] == count for daemon in self.daemons)


class Traffic:
    """Callers that make calls at a steady rate, to each VM in turn.

    Attributes
    ----------
    outcomes : Counter of str
        Calls by version for answers with status 200, else by what went wrong.
    """

    def __init__(
        self, daemons: list[Daemon], path: str, per_second: float, clock: Clock
    ) -> None:
        self._addresses = [daemon.settings.caller_address for daemon in daemons]
        self._path = path
        self._pause = 1.0 / per_second
        self._clock = clock
        self._calls: set[asyncio.Task[None]] = set()
        self.outcomes: Counter[str] = Counter()

    async def run(self) -> None:
        """Make calls until cancelled; calls that are under way are finished."""
        async with aiohttp.ClientSession() as session:
            number = 0
            try:
                while True:
                    address = self._addresses[number % len(self._addresses)]
                    task = asyncio.create_task(self._call(session, address))
                    self._calls.add(task)
                    task.add_done_callback(self._calls.discard)
                    number += 1
                    await self._clock.sleep(self._pause)
            finally:
                await asyncio.gather(*self._calls)

    async def _call(self, session: aiohttp.ClientSession, address: str) -> None:
        try:
            async with session.get(f"http://{address}{self._path}") as response:
                body = await response.json(content_type=None)
                is_good = response.status == 200
                outcome = body["version"] if is_good else f"status {response.status}"
        except (aiohttp.ClientError, OSError, ValueError, KeyError) as error:
            outcome = type(error).__name__
        self.outcomes[outcome] += 1
