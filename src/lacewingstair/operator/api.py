"""HTTP interface for operators."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest


class OperatorApi:
    """Serves report, status, health and metrics.

    Parameters
    ----------
    report, status : callable
        Return JSON objects.
    metrics : CollectorRegistry
        Metrics of the process.
    """

    def __init__(
        self,
        report: Callable[[], dict[str, Any]],
        status: Callable[[], dict[str, Any]],
        metrics: CollectorRegistry,
    ) -> None:
        self._report = report
        self._status = status
        self._metrics = metrics

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
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
        return web.json_response({"status": "ok"})

    async def _get_metrics(self, _: web.Request) -> web.Response:
        return web.Response(body=generate_latest(self._metrics))
