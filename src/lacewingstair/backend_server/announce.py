"""HTTP interface on which backend servers of this VM announce themselves."""

from collections.abc import Callable
from typing import Any

import attrs
import jsonschema
from aiohttp import web
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.directory import Endpoint, EndpointState
from lacewingstair.errors import AnnouncementError, Fault
from lacewingstair.runtime import Clock

ANNOUNCEMENT_TTL_SECONDS = 10.0

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
    """An endpoint and when its announcement lapses, in monotonic seconds."""

    endpoint: Endpoint
    expires_at: float


class AnnouncementServer:
    """Keeps the announced endpoints of this VM.

    Parameters
    ----------
    on_change : callable
        Takes the endpoints after each change.
    clock : Clock
        Time for lapses.
    """

    def __init__(
        self, on_change: Callable[[list[Endpoint]], None], clock: Clock
    ) -> None:
        self._on_change = on_change
        self._clock = clock
        self._announcements_by_address: dict[str, Announcement] = {}

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 << 10)
        app.router.add_post("/v1/announce", self._announce)
        app.router.add_post("/v1/withdraw", self._withdraw)
        return app

    def announce(self, endpoint: Endpoint) -> None:
        """Add or renew an endpoint."""
        held = self._announcements_by_address.get(endpoint.address)
        expires_at = self._clock.monotonic() + ANNOUNCEMENT_TTL_SECONDS
        self._announcements_by_address[endpoint.address] = Announcement(
            endpoint, expires_at
        )
        if held is None or held.endpoint != endpoint:
            self._publish("endpoint_announced", endpoint)

    def withdraw(self, address: str) -> None:
        """Remove an endpoint."""
        held = self._announcements_by_address.pop(address, None)
        if held is not None:
            self._publish("endpoint_withdrawn", held.endpoint)

    async def run(self) -> None:
        """Remove endpoints whose announcements have lapsed, until cancelled."""
        while True:
            await self._clock.sleep(1.0)
            now = self._clock.monotonic()
            for address, held in list(self._announcements_by_address.items()):
                if held.expires_at <= now:
                    del self._announcements_by_address[address]
                    self._publish("endpoint_lapsed", held.endpoint)

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
        return web.json_response({"ttl_seconds": ANNOUNCEMENT_TTL_SECONDS})

    async def _withdraw(self, request: web.Request) -> web.Response:
        document = await _json(request)
        if not isinstance(document, dict) or "address" not in document:
            return web.json_response({"error": "address is missing"}, status=400)
        self.withdraw(str(document["address"]))
        return web.json_response({})


async def _json(request: web.Request) -> Any:
    try:
        return await request.json()
    except ValueError:
        return None


def parse_announcement(document: Any) -> Result[Endpoint, AnnouncementError]:
    """Return the endpoint in a decoded announcement, or every fault of it."""
    found = list(_VALIDATOR.iter_errors(document))
    if found:
        faults = tuple(
            Fault(".".join(map(str, e.absolute_path)) or "announcement", e.message)
            for e in found
        )
        return Err(AnnouncementError(faults))
    state = EndpointState[document.get("state", "ready").upper()]
    return Ok(Endpoint(**{**document, "state": state}))
