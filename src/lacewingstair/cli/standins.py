"""Runs stand-ins as processes, to follow the operators' page by hand."""

import asyncio
import signal
from typing import Any

import attrs
from aiohttp import web
from result import Err

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.pending import fail
from lacewingstair.http_server import listen
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.backend_server import BackendServer
from lacewingstair.standins.log_service import LogService
from lacewingstair.vm.directory import Endpoint, EndpointState

DRAIN_SECONDS = 3.0


async def run_log(address: str) -> ExitCode:
    """Serve the stand-in for the log until a stop signal."""
    log = LogService(SystemClock())
    runner = web.AppRunner(log.application(), access_log=None, shutdown_timeout=1.0)
    return await _serve(runner, address, f"log on http://{address}")


async def run_backend_server(
    endpoint: Endpoint, announce_url: str, service_seconds: float, failure_status: int
) -> ExitCode:
    """Serve a stand-in for a backend server until a stop signal, then drain it."""
    server = BackendServer(endpoint, announce_url, SystemClock())
    server.service_seconds = service_seconds
    server.failure_status = failure_status
    announcing: list[asyncio.Task[None]] = []

    def start() -> None:
        announcing.append(asyncio.create_task(server.announce_until_cancelled()))

    async def drain() -> None:
        server.endpoint = attrs.evolve(endpoint, state=EndpointState.DRAINING)
        await server.announce_once()
        await asyncio.sleep(DRAIN_SECONDS)
        announcing[0].cancel()
        await asyncio.gather(*announcing, return_exceptions=True)

    runner = web.ServerRunner(web.Server(server.handle, access_log=None))
    label = f"{endpoint.service} {endpoint.version} on http://{endpoint.address}"
    return await _serve(runner, endpoint.address, label, start, drain)


async def _serve(
    runner: Any, address: str, label: str, start: Any = None, drain: Any = None
) -> ExitCode:
    listening = await listen(runner, address)
    if isinstance(listening, Err):
        await runner.cleanup()
        return fail(listening.err_value)
    print(f"stand-in for {label}", flush=True)
    stopping = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    if start is not None:
        start()
    await stopping.wait()
    if drain is not None:
        await drain()
    await runner.cleanup()
    return ExitCode.DONE
