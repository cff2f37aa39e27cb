"""Responses to callers in wire format: upstream answers and errors of this process."""

from aiohttp import web

from lacewingstair.caller.messages.raw_response import RawResponse
from lacewingstair.platform import headers
from lacewingstair.vm.call_messages import CallAnswer

MAX_REASON_BYTES = 500
_BODILESS_STATUSES = (204, 304)


def answer_response(request: web.BaseRequest, answer: CallAnswer) -> RawResponse:
    """Return the response that passes on the answer of a backend server."""
    lines = answer.header_lines
    if answer.status not in _BODILESS_STATUSES:
        lines += b"Content-Length: %d\r\n" % len(answer.body)
    body = b"" if request.method == "HEAD" else answer.body
    return _raw_response(answer.status, answer.reason, lines, body)


def error_response(
    request: web.BaseRequest,
    status: int,
    reason: str,
    retry_after_seconds: float | None = None,
) -> RawResponse:
    """Return an error response that this process generates itself."""
    body = reason.encode()[:MAX_REASON_BYTES]
    lines = b"Content-Type: text/plain\r\nContent-Length: %d\r\n" % len(body)
    request_id = request.headers.get(headers.REQUEST_ID, "")
    if request_id and headers.is_valid_request_id(request_id):
        lines += f"{headers.REQUEST_ID}: {request_id}\r\n".encode()
    if status == 401:
        lines += b"WWW-Authenticate: Bearer\r\n"
    if retry_after_seconds is not None:
        lines += f"Retry-After: {retry_after_seconds:.3f}\r\n".encode()
    # The unread rest of the body would be parsed as the next request.
    may_keep_connection = request.content.at_eof()
    return _raw_response(status, "", lines, body, may_keep_connection)


def _raw_response(
    status: int,
    reason: str,
    lines: bytes,
    body: bytes,
    may_keep_connection: bool = True,
) -> RawResponse:
    head = f"HTTP/1.1 {status} {reason}\r\n".encode("latin-1", "replace")
    return RawResponse(status, head + lines, body, may_keep_connection)
