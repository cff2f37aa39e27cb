"""HTTP interface for operators of a VM on a platform with a metadata store."""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web

from lacewingstair.metrics.sidecar import SidecarMetrics

MAX_BODY_BYTES = 1024


class SidecarApi:
    """Serves status and metrics.

    Parameters
    ----------
    status : callable
        Returns a JSON object.
    metrics : SidecarMetrics
        Metrics of the process.
    """

    def __init__(
        self, status: Callable[[], Mapping[str, Any]], metrics: SidecarMetrics
    ) -> None:
        self._status = status
        self._metrics = metrics

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/metrics", self._get_metrics)
        return app

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _get_metrics(self, _: web.Request) -> web.Response:
        from lacewingstair.metrics import sidecar_page

        page = sidecar_page.render(self._metrics)
        return web.Response(body=page.body, headers={"Content-Type": page.content_type})
