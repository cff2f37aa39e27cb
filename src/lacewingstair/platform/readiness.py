"""Readiness check of the platform, and its scrape of the metrics."""

from collections.abc import Callable

from aiohttp import web


def readiness_application(is_ready: Callable[[], bool]) -> web.Application:
    """Return the HTTP application that says whether this VM takes callers."""

    async def get_ready(_: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app = web.Application()
    app.router.add_get("/ready", get_ready)
    return app
