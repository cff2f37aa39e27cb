"""HTTP interface at which backend servers report themselves on the platform."""

import json
from collections.abc import Callable
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.upstream_tracker import ReportOutcome, UpstreamReport
from lacewingstair.errors import AnnouncementError, Fault
from lacewingstair.platform.durations import parse_duration
from lacewingstair.vm.entries import (
    MAX_INTEGER,
    MAX_SLOTS,
    UpstreamState,
    is_valid_name,
)

MAX_BODY_BYTES = 64 << 10
_STATES_BY_WORD = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class Announcements:
    """Decodes reports and acknowledges them.

    Parameters
    ----------
    on_report : callable
        Takes a report; returns how it was taken.
    on_leave : callable
        Takes the id of a backend server that signs off.
    """

    def __init__(
        self,
        on_report: Callable[[UpstreamReport], ReportOutcome],
        on_leave: Callable[[str], None],
    ) -> None:
        self._on_report = on_report
        self._on_leave = on_leave

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_put("/instances/{id}", self._put)
        app.router.add_delete("/instances/{id}", self._delete)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        upstream_id = request.match_info["id"]
        decoded = decode_report(upstream_id, await request.read())
        if isinstance(decoded, Err):
            error = decoded.err_value
            events.warning("report_unreadable", upstream=upstream_id, error=error)
            return web.json_response({"error": str(error)}, status=400)
        report = decoded.ok_value
        verdict = self._on_report(report)
        events.info(
            "upstream_reported",
            upstream=upstream_id,
            state=report.state.value,
            sequence=report.sequence,
            outcome=verdict.value,
        )
        if verdict is ReportOutcome.MISMATCHED:
            reason = f"{report.service} at {report.address} is not of this machine"
            return web.json_response({"error": reason}, status=400)
        return web.json_response({})

    async def _delete(self, request: web.Request) -> web.Response:
        upstream_id = request.match_info["id"]
        self._on_leave(upstream_id)
        events.info("upstream_left", upstream=upstream_id)
        return web.json_response({})


def decode_report(
    upstream_id: str, body: bytes
) -> Result[UpstreamReport, AnnouncementError]:
    """Return the report in a body, or its faults."""
    if not is_valid_name(upstream_id):
        reason = "the id is not a text of the usual form"
        return Err(AnnouncementError((Fault(f"{upstream_id:.40}", reason),)))
    try:
        document = json.loads(body)
        info, status = document["info"], document["status"]
        report = UpstreamReport(
            upstream_id=upstream_id,
            service=_text(info, "service"),
            address=_text(document, "address"),
            version=_text(info, "version"),
            slots=_count(info, "slots", MAX_SLOTS),
            state=_STATES_BY_WORD[status["state"]],
            sequence=_count(status, "seq"),
            # The only field that is a plain number: the platform's own clock, in ms.
            started_at_ms=_count(document, "born") if "born" in document else 0,
            warmup_remaining_ms=_cold_ms(status),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
    ) as error:
        reason = f"{type(error).__name__}: {error!s:.200}"
        return Err(AnnouncementError((Fault(upstream_id, reason),)))
    return Ok(report)


def _text(section: Any, name: str) -> str:
    value = section[name]
    if not value or not is_valid_name(value):
        raise ValueError(f"{name} is not a text")
    return value


def _count(section: Any, name: str, most: int = MAX_INTEGER) -> int:
    value = section[name]
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"{name} is not a whole number from 0 to {most}")
    return value


def _cold_ms(status: Any) -> float:
    if "cold_remaining" not in status:
        return 0.0
    parsed = parse_duration("cold_remaining", status["cold_remaining"])
    if isinstance(parsed, Err):
        raise ValueError(str(parsed.err_value))
    return parsed.ok_value
