"""HTTP interface for operators; it only reads."""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from lacewingstair.operator.health import Health

# Requests to read carry no body.
MAX_BODY_BYTES = 1024


class OperatorApi:
    """Serves report, status, health and metrics.

    Parameters
    ----------
    report, status : callable
        Return JSON objects.
    health : callable
        Returns the health.
    metrics : CollectorRegistry
        Metrics of the process.
    """

    def __init__(
        self,
        report: Callable[[], Mapping[str, Any]],
        status: Callable[[], Mapping[str, Any]],
        health: Callable[[], Health],
        metrics: CollectorRegistry,
    ) -> None:
        self._report = report
        self._status = status
        self._health = health
        self._metrics = metrics

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[_errors_as_json]
        )
        app.router.add_get("/report", self._get_report)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/metrics", self._get_metrics)
        return app

    async def _get_report(self, _: web.Request) -> web.Response:
        return web.json_response(self._report())

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _get_health(self, _: web.Request) -> web.Response:
        health = self._health()
        return web.json_response(health.document(), status=200 if health.ready else 503)

    async def _get_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._metrics),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )


@web.middleware
async def _errors_as_json(request: web.Request, handler: Any) -> web.StreamResponse:
    if request.content_length is not None and request.content_length > MAX_BODY_BYTES:
        reason = f"a body of {request.content_length} bytes is not allowed"
        return web.json_response({"error": reason}, status=413)
    try:
        return await handler(request)
    except web.HTTPNotFound:
        known = "/report, /status, /health, /metrics"
        reason = f"no page {request.path!r}; there are {known}"
        return web.json_response({"error": reason}, status=404)
    except web.HTTPMethodNotAllowed:
        reason = f"method {request.method} is not allowed; operators only read here"
        return web.json_response({"error": reason}, status=405)
