"""HTTP API on which backend servers of this VM announce themselves."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import jsonschema
from aiohttp import web
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.addresses import MAX_PORT, split_address
from lacewingstair.errors import AnnouncementError, Fault
from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Endpoint, EndpointState

ANNOUNCEMENT_TTL_SECONDS = 10.0
MAX_BODY_BYTES = 64 << 10
CHECK_INTERVAL_SECONDS = 1.0
RECHECK_DELAY_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 1.0

RefusesConnections = Callable[[str], Awaitable[bool]]

_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["service", "version", "address"],
    "properties": {
        "service": {"type": "string", "minLength": 1, "maxLength": 100},
        "version": {"type": "string", "minLength": 1, "maxLength": 100},
        "address": {"type": "string", "pattern": r"^[0-9a-fA-F:.\[\]]+:[0-9]{1,5}$"},
        "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
        "connections": {"type": "integer", "minimum": 1, "maximum": 100000},
        "state": {"enum": ["starting", "ready", "draining"]},
    },
}
_VALIDATOR = jsonschema.Draft202012Validator(_SCHEMA)


@attrs.define
class Announcement:
    """An endpoint and the monotonic time at which its announcement expires.

    A drained endpoint stays draining when the backend server announces `ready` again,
    since announcements and the drain call often come from different threads.
    """

    endpoint: Endpoint
    expires_at: float
    is_drained: bool = False


class AnnouncementServer:
    """Maintains the announced endpoints of this VM.

    Parameters
    ----------
    on_change : callable
        Called with all endpoints after each change.
    clock : Clock
        Source of time for the expiry of announcements.
    refuses_connections : callable, optional
        Returns whether an address refuses connections.
    ttl_seconds : float
        Time after its last announcement at which an endpoint is removed.
    max_body_bytes : int
        Maximum size of a request body.
    """

    def __init__(
        self,
        on_change: Callable[[list[Endpoint]], None],
        clock: Clock,
        refuses_connections: RefusesConnections | None = None,
        ttl_seconds: float = ANNOUNCEMENT_TTL_SECONDS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._ttl_seconds = ttl_seconds
        self._max_body_bytes = max_body_bytes
        self._on_change = on_change
        self._clock = clock
        self._refuses_connections = refuses_connections or refuses_tcp_connections
        self._checks_by_address: dict[str, asyncio.Task[None]] = {}
        self._announcements_by_address: dict[str, Announcement] = {}

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=self._max_body_bytes)
        app.router.add_post("/v1/announce", self._announce)
        app.router.add_post("/v1/drain", self._drain)
        app.router.add_post("/v1/withdraw", self._withdraw)
        return app

    def announce(self, endpoint: Endpoint) -> None:
        """Add or renew an endpoint."""
        current = self._announcements_by_address.get(endpoint.address)
        is_drained = current is not None and current.is_drained
        if is_drained and endpoint.state is EndpointState.STARTING:
            is_drained = False
        if is_drained:
            endpoint = attrs.evolve(endpoint, state=EndpointState.DRAINING)
        expires_at = self._clock.monotonic() + self._ttl_seconds
        self._announcements_by_address[endpoint.address] = Announcement(
            endpoint, expires_at, is_drained
        )
        if current is None or current.endpoint != endpoint:
            self._publish("endpoint_announced", endpoint)

    def drain(self, address: str) -> bool:
        """Drain an endpoint until it is withdrawn or announced as starting.

        Returns whether the endpoint is announced.
        """
        current = self._announcements_by_address.get(address)
        if current is None:
            return False
        if not current.is_drained:
            current.is_drained = True
            current.endpoint = attrs.evolve(
                current.endpoint, state=EndpointState.DRAINING
            )
            self._publish("endpoint_draining", current.endpoint)
        return True

    def withdraw(self, address: str) -> None:
        """Remove an endpoint."""
        current = self._announcements_by_address.pop(address, None)
        if current is not None:
            self._publish("endpoint_withdrawn", current.endpoint)

    async def run(self) -> None:
        """Remove endpoints that have expired or refuse connections, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            for address, current in list(self._announcements_by_address.items()):
                if current.expires_at <= now:
                    del self._announcements_by_address[address]
                    self._publish("endpoint_lapsed", current.endpoint)
                else:
                    self.check_listening(address)

    def check_listening(self, address: str) -> None:
        """Withdraw an endpoint if its address refuses connections.

        Its process ended without a withdrawal. If the endpoint were kept until its
        announcement expires, every VM would run into a refused connection.
        """
        running = self._checks_by_address.get(address)
        if address not in self._announcements_by_address or running is not None:
            return
        task = asyncio.create_task(self._withdraw_if_refusing(address))
        self._checks_by_address[address] = task
        task.add_done_callback(lambda _: self._checks_by_address.pop(address, None))

    async def _withdraw_if_refusing(self, address: str) -> None:
        current = self._announcements_by_address.get(address)
        if not await self._refuses_connections(address):
            return
        await self._clock.sleep(RECHECK_DELAY_SECONDS)
        if not await self._refuses_connections(address):
            return
        # An announcement made in the meantime replaces this one and keeps the endpoint.
        if current is self._announcements_by_address.get(address):
            self.withdraw(address)

    def _publish(self, event: str, endpoint: Endpoint) -> None:
        events.info(
            event,
            service=endpoint.service,
            version=endpoint.version,
            address=endpoint.address,
            state=endpoint.state.name.lower(),
        )
        self._on_change([a.endpoint for a in self._announcements_by_address.values()])

    async def _announce(self, request: web.Request) -> web.Response:
        parsed = parse_announcement(await _json(request))
        if isinstance(parsed, Err):
            body = {"error": str(parsed.err_value)}
            return web.json_response(body, status=400)
        self.announce(parsed.ok_value)
        return web.json_response({"ttl_seconds": self._ttl_seconds})

    async def _withdraw(self, request: web.Request) -> web.Response:
        address = _address(await _json(request))
        if address is None:
            return web.json_response({"error": "address must be a string"}, status=400)
        self.withdraw(address)
        return web.json_response({})

    async def _drain(self, request: web.Request) -> web.Response:
        address = _address(await _json(request))
        if address is None:
            return web.json_response({"error": "address must be a string"}, status=400)
        if not self.drain(address):
            error = f"{address!r:.80} is not announced"
            return web.json_response({"error": error}, status=404)
        return web.json_response({})


async def refuses_tcp_connections(address: str) -> bool:
    """Return whether the address refuses connections; a timeout does not count."""
    try:
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    return False


def _address(document: Any) -> str | None:
    address = document.get("address") if isinstance(document, dict) else None
    return address if isinstance(address, str) else None


async def _json(request: web.Request) -> Any:
    try:
        return await request.json()
    except (ValueError, RecursionError):
        return None


def parse_announcement(document: Any) -> Result[Endpoint, AnnouncementError]:
    """Return the endpoint in a decoded announcement, or all validation errors."""
    found = list(_VALIDATOR.iter_errors(document))
    if found:
        faults = tuple(
            Fault(".".join(map(str, e.absolute_path)) or "announcement", e.message)
            for e in found
        )
        return Err(AnnouncementError(faults))
    port = int(document["address"].rpartition(":")[2])
    if not 1 <= port <= MAX_PORT:
        fault = Fault(
            "address", f"port {port} is out of range, expected 1 to {MAX_PORT}"
        )
        return Err(AnnouncementError((fault,)))
    state = EndpointState[document.get("state", "ready").upper()]
    return Ok(Endpoint(**{**document, "state": state}))
