"""HTTP servers of a sidecar, each with the address at which it listens."""

from collections.abc import Callable, Iterator

from aiohttp import web

from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.ingress import Ingress
from lacewingstair.http_server import application_runner
from lacewingstair.platform.readiness import readiness_application
from lacewingstair.settings.declarations import Settings

MAX_CALLER_CONNECTIONS = 2800


def sidecar_servers(
    settings: Settings,
    ingress: Ingress,
    announcements: web.Application,
    operator: web.Application,
    is_ready: Callable[[], bool],
    guard: ConnectionGuard,
) -> Iterator[tuple[str, web.AppRunner | web.ServerRunner]]:
    """Yield the address and the server of each interface.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    ingress : Ingress
        Takes the calls of callers.
    announcements, operator : web.Application
        Applications for the backend server and for operators.
    is_ready : callable
        Returns whether callers may be sent to this VM.
    guard : ConnectionGuard
        Watches the connections of all clients.
    """
    calls = settings.calls
    server = ingress.http_server(
        calls.max_header_bytes,
        min(calls.max_connections, MAX_CALLER_CONNECTIONS),
        calls.buffer_bytes,
        guard,
    )
    yield settings.caller_address, web.ServerRunner(server, shutdown_timeout=0.5)
    applications = [
        (settings.backend_server_address, announcements),
        (settings.operator_address, operator),
    ]
    if settings.ready_address:
        applications.append((settings.ready_address, readiness_application(is_ready)))
    for address, application in applications:
        runner = application_runner(
            application, calls.max_header_bytes, guard, calls.max_other_connections
        )
        yield address, runner
