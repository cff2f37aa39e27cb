"""Validation of requests before they are dispatched.

Requests that two HTTP implementations could parse differently are refused, which
prevents request smuggling past the routing rules.
"""

import re

from aiohttp import web
from aiohttp.http import HttpVersion11
from multidict import CIMultiDictProxy
from result import Err, Ok, Result

from lacewingstair.caller.messages import headers
from lacewingstair.caller.messages.refusals import Refusal

MAX_DEADLINE_MS = 3_600_000
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_DOT_SEGMENT = re.compile(r"(?:^|/|%2f)(?:\.|%2e){1,2}(?:/|%2f|$)", re.IGNORECASE)
_TARGET = re.compile(r"[\x21-\x7e]+")


def check_request(request: web.BaseRequest) -> Refusal | None:
    """Return a refusal if the request is invalid or not supported, else None."""
    fields = request.headers
    if request.method == "CONNECT" or "Upgrade" in fields:
        return Refusal(501, "upgraded connections and CONNECT are not supported")
    if not _TOKEN.fullmatch(request.method):
        return Refusal(400, f"method {request.method!r} is not a token")
    hosts = fields.getall("Host", ())
    if len(hosts) > 1 or (not hosts and request.version >= HttpVersion11):
        return Refusal(400, f"{len(hosts)} Host headers, allowed is 1")
    if "Transfer-Encoding" in fields:
        refusal = _check_transfer_encoding(fields)
        if refusal is not None:
            return refusal
    if "Expect" in fields and fields["Expect"].lower() != "100-continue":
        return Refusal(417, f"Expect {fields['Expect']!r}, allowed is 100-continue")
    return None


def _check_transfer_encoding(fields: CIMultiDictProxy[str]) -> Refusal | None:
    if "Content-Length" in fields:
        return Refusal(400, "both Transfer-Encoding and Content-Length")
    values = fields.getall("Transfer-Encoding")
    if len(values) != 1 or values[0].strip().lower() != "chunked":
        return Refusal(501, f"Transfer-Encoding {values}, allowed is chunked")
    return None


def host_of(request: web.BaseRequest) -> str:
    """Return the host that a request names, or an empty string.

    aiohttp's property asks a name server for this VM's name if there is none, and
    blocks meanwhile.
    """
    return request.headers.get("Host", "")


def parse_target(request: web.BaseRequest) -> Result[str, Refusal]:
    """Return the path and query in the form that is forwarded."""
    raw = request.raw_path
    if not raw.startswith("/"):
        if raw == "*":
            return Ok(raw)
        raw = request.rel_url.raw_path_qs if "://" in raw else raw
    if not raw.startswith("/") or not _TARGET.fullmatch(raw) or "#" in raw:
        return Err(Refusal(400, f"target {raw[:80]!r} is not a path"))
    if "." in raw or "%" in raw:
        path = raw.partition("?")[0]
        if _DOT_SEGMENT.search(path):
            return Err(Refusal(400, f"path {path[:80]!r} has dot segments"))
    return Ok(raw)


def parse_timeout_ms(request: web.BaseRequest, route_ms: int) -> Result[int, Refusal]:
    """Return the timeout of a call: the smaller of its header and its route's."""
    text = request.headers.get(headers.DEADLINE_MS)
    if text is None:
        return Ok(route_ms)
    is_number = text.isascii() and text.isdigit() and len(text) <= 10
    if not is_number or int(text) > MAX_DEADLINE_MS:
        allowed = f"allowed are 0 to {MAX_DEADLINE_MS}"
        reason = f"{headers.DEADLINE_MS} {text[:40]!r}, {allowed}"
        return Err(Refusal(400, reason))
    return Ok(min(int(text), route_ms))
