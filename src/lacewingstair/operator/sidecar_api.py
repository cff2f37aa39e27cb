"""HTTP interface for operators of a VM on a platform with a metadata store."""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web

from lacewingstair.metrics.sidecar import SidecarMetrics

MAX_BODY_BYTES = 1024
MAX_SIZE_DIGITS = 8


class SidecarApi:
    """Serves status, metrics, and where a call would go.

    Parameters
    ----------
    status : callable
        Returns a JSON object.
    metrics : SidecarMetrics
        Metrics of the process.
    explain : callable
        Returns where a call would go as a JSON object, by its host, path, method, size
        and account.
    """

    def __init__(
        self,
        status: Callable[[], Mapping[str, Any]],
        metrics: SidecarMetrics,
        explain: Callable[[str, str, str, int, str], Mapping[str, Any]],
    ) -> None:
        self._status = status
        self._metrics = metrics
        self._explain = explain

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/explain", self._get_explain)
        app.router.add_get("/metrics", self._get_metrics)
        return app

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _get_explain(self, request: web.Request) -> web.Response:
        query = request.query
        size = query.get("size", "0")
        if not (size.isascii() and size.isdigit() and len(size) <= MAX_SIZE_DIGITS):
            return web.json_response(
                {"error": "size: allowed: bytes from 0 to 99999999"}, status=400
            )
        missing = [name for name in ("host", "path") if not query.get(name)]
        if missing:
            return web.json_response({"error": f"{missing[0]}: missing"}, status=400)
        found = self._explain(
            query["host"],
            query["path"],
            query.get("method", "GET").upper(),
            int(size),
            query.get("account", ""),
        )
        return web.json_response(found)

    async def _get_metrics(self, _: web.Request) -> web.Response:
        from lacewingstair.metrics import sidecar_page

        page = sidecar_page.render(self._metrics)
        return web.Response(body=page.body, headers={"Content-Type": page.content_type})
