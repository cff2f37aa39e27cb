"""Demonstration: stand-ins and daemons in one process on loopback addresses."""

import asyncio
import json
import random

import aiohttp
from aiohttp import web
from result import Err

from lacewingstair import events
from lacewingstair.daemon import Daemon, build
from lacewingstair.directory import Endpoint
from lacewingstair.platform.log import TICKET_STREAM
from lacewingstair.runtime import Clock, SystemClock
from lacewingstair.settings import Settings
from lacewingstair.standins.backend_server import BackendServer
from lacewingstair.standins.log_service import LogService

BASE_PORT = 17000
ZONES = (("akmola", "akmola-1"), ("akmola", "akmola-2"), ("kostanay", "kostanay-1"))
CALLS = 30


async def run_demo() -> int:
    """Run the demonstration; return the exit code."""
    events.configure("warning")
    clock = SystemClock()
    log = LogService(clock)
    log_url = f"http://127.0.0.1:{BASE_PORT}"
    await _listen(web.AppRunner(log.application()), BASE_PORT)
    daemons = [build(_settings(i, log_url), clock, random.Random(i)) for i in range(6)]
    for daemon in daemons:
        started = await daemon.start()
        if isinstance(started, Err):
            print(f"demo: {started.err_value}")
            return 1
    servers = [
        await _start_server(i, daemon, clock) for i, daemon in enumerate(daemons)
    ]
    log.append(TICKET_STREAM, json.dumps(_first_ticket()))
    await _until(lambda: all(d.store.state.number == 1 for d in daemons))
    await _until(lambda: all(_endpoints(d) == 6 for d in daemons))
    print("ticket 1 is in force on 6 VMs in 3 availability zones")
    answered = await _call(daemons, CALLS)
    print(f"{answered} of {CALLS} calls answered, by server:")
    print("  " + " ".join(str(server.calls) for server in servers))
    await asyncio.gather(*(daemon.stop() for daemon in daemons))
    return 0 if answered == CALLS else 1


def _settings(index: int, log_url: str) -> Settings:
    region, zone = ZONES[index % len(ZONES)]
    base = BASE_PORT + 10 * (index + 1)
    return Settings(
        mesh="demo",
        vm_id=f"vm-{index}",
        region=region,
        availability_zone=zone,
        vm_address=f"127.0.0.1:{base}",
        caller_address=f"127.0.0.1:{base + 1}",
        backend_server_address=f"127.0.0.1:{base + 2}",
        operator_address=f"127.0.0.1:{base + 3}",
        log_url=log_url,
        contacts=(f"127.0.0.1:{BASE_PORT + 10}", f"127.0.0.1:{BASE_PORT + 20}"),
    )


async def _start_server(index: int, daemon: Daemon, clock: Clock) -> BackendServer:
    port = BASE_PORT + 10 * (index + 1) + 4
    endpoint = Endpoint("rota-board", "v1", f"127.0.0.1:{port}")
    url = f"http://{daemon.settings.backend_server_address}"
    server = BackendServer(endpoint, url, clock)
    await _listen(web.ServerRunner(web.Server(server.handle)), port)
    server.announcing = asyncio.create_task(server.announce_until_cancelled())
    return server


async def _listen(runner, port: int) -> None:
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()


def _first_ticket() -> dict[str, object]:
    return {
        "number": 1,
        "services": {"rota-board": {"versions": ["v1", "v2"], "current": "v1"}},
        "routes": {"rota-read": {"service": "rota-board", "path_prefix": "/rota"}},
    }


def _endpoints(daemon: Daemon) -> int:
    return sum(len(record.endpoints) for record in daemon.directory.live())


async def _until(condition, timeout: float = 15.0) -> None:
    async with asyncio.timeout(timeout):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def _call(daemons: list[Daemon], count: int) -> int:
    answered = 0
    async with aiohttp.ClientSession() as session:
        for i in range(count):
            address = daemons[i % len(daemons)].settings.caller_address
            async with session.get(f"http://{address}/rota/today") as response:
                await response.read()
                answered += response.status == 200
    return answered
