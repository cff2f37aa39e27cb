"""Takes the calls of callers and dispatches them to backend servers."""

import random

import aiohttp
from aiohttp import web

from lacewingstair import events
from lacewingstair.caller import headers
from lacewingstair.directory import Directory, Endpoint, EndpointState
from lacewingstair.routes import NamedRoute
from lacewingstair.store import StateStore

STREAM_CHUNK_BYTES = 64 << 10


class CallServer:
    """Handles the calls of callers.

    Parameters
    ----------
    store : StateStore
        Configuration in force.
    directory : Directory
        Endpoints of backend servers.
    rng : random.Random
        Source of choices.
    """

    def __init__(
        self, store: StateStore, directory: Directory, rng: random.Random
    ) -> None:
        self._store = store
        self._directory = directory
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        state = self._store.state
        if state.is_empty:
            return _not_run("no configuration yet")
        named = state.route_table.find(request.host, request.path, request.method)
        if named is None:
            return web.json_response({"error": "no route"}, status=404)
        service = state.services[named.route.service]
        endpoints = self._ready(named.route.service, service.current)
        if not endpoints:
            return _not_run(f"no endpoint of {named.route.service}")
        return await self._dispatch(request, named, self._rng.choice(endpoints))

    async def close(self) -> None:
        """Release the connections to backend servers."""
        if self._session is not None:
            await self._session.close()

    def _ready(self, service: str, version: str) -> list[Endpoint]:
        return [
            endpoint
            for record in self._directory.live()
            for endpoint in record.endpoints
            if endpoint.service == service
            and endpoint.version == version
            and endpoint.state is EndpointState.READY
        ]

    async def _dispatch(
        self, request: web.BaseRequest, named: NamedRoute, endpoint: Endpoint
    ) -> web.StreamResponse:
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        timeout = aiohttp.ClientTimeout(total=named.route.timeout_ms / 1000)
        events.debug("call_routed", route=named.name, endpoint=endpoint.address)
        try:
            async with self._session.request(
                request.method,
                f"http://{endpoint.address}{request.raw_path}",
                headers=headers.end_to_end(request.headers.items()),
                data=request.content if request.can_read_body else None,
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                return await _stream_back(request, answer)
        except aiohttp.ClientConnectorError:
            return _not_run("backend server unreachable")
        except (TimeoutError, aiohttp.ClientError) as error:
            if request.transport is not None and _has_started(request):
                request.transport.abort()
            return _unknown(type(error).__name__)


async def _stream_back(
    request: web.BaseRequest, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    response = web.StreamResponse(status=answer.status, reason=answer.reason)
    response.headers.extend(headers.end_to_end(answer.headers.items()))
    request["started"] = True
    await response.prepare(request)
    async for chunk in answer.content.iter_chunked(STREAM_CHUNK_BYTES):
        await response.write(chunk)
    await response.write_eof()
    return response


def _has_started(request: web.BaseRequest) -> bool:
    return request.get("started", False)


def _not_run(reason: str) -> web.Response:
    return web.json_response(
        {"error": reason},
        status=503,
        headers={headers.OUTCOME: headers.OUTCOME_NOT_RUN, "Retry-After": "1"},
    )


def _unknown(reason: str) -> web.Response:
    return web.json_response(
        {"error": f"the call may have run: {reason}"},
        status=502,
        headers={headers.OUTCOME: headers.OUTCOME_UNKNOWN},
    )
