"""Reads the responses of the backend server and matches each one to its call."""

import attrs
from aiohttp.streams import StreamReader

from lacewingstair import events
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.response_memory import ResponseMemory
from lacewingstair.platform import headers

MAX_RESPONSE_BYTES = 64 << 20
DEFAULT_IDLE_REUSE_SECONDS = 4.0
# Idle connections are not reused this shortly before the backend server closes them.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Responses to other calls are skipped; with this many, the connection is closed.
MAX_STRAY_RESPONSES = 3


@attrs.frozen
class UpstreamResponse:
    """Complete response to a call."""

    status: int
    reason: str
    fields: object
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class FailedExchange:
    """Reason why there is no complete response."""

    reason: str
    is_sent: bool
    is_timeout: bool = False


class ResponseReader:
    """Reads responses to calls that were sent.

    Parameters
    ----------
    memory : ResponseMemory
        Bounds the bytes of all responses that are being received.

    Attributes
    ----------
    idle_reuse_seconds : float
        Idle time after which a connection is not used again, as the backend server
        stated it last.
    """

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self.idle_reuse_seconds = DEFAULT_IDLE_REUSE_SECONDS

    async def receive(
        self, request_id: str, connection: UpstreamConnection
    ) -> UpstreamResponse | FailedExchange:
        """Return the response to the call with an id; skip those to others."""
        for _ in range(MAX_STRAY_RESPONSES):
            message, payload = await connection.read_response_head()
            if message.code == 101:
                return FailedExchange(
                    "unexpected 101 Switching Protocols response", True
                )
            body = await self._receive_body(connection, payload)
            if isinstance(body, FailedExchange):
                return body
            if connection.was_reset:
                return FailedExchange("connection was reset during the response", True)
            found = message.headers.get(headers.REQUEST_ID)
            is_not_run = headers.is_not_run(message.code, message.headers)
            # On a reused connection, a refusal without an id may belong to an earlier
            # call.
            is_certain = connection.calls == 1 or not request_id
            is_refusal = is_not_run and found is None and is_certain
            if found == request_id or is_refusal:
                self._update_idle_reuse(message.headers)
                if message.code < 300 and headers.SIGNATURE not in message.headers:
                    return FailedExchange("successful response is not signed", True)
                return UpstreamResponse(
                    message.code,
                    message.reason,
                    message.headers,
                    message.raw_headers,
                    body,
                )
            if found is None and not is_not_run:
                return FailedExchange("response has no request id", True)
            events.warning("stray_answer", call=request_id, answer_of=found)
        return FailedExchange("too many responses to other calls", True)

    async def _receive_body(
        self, connection: UpstreamConnection, payload: StreamReader
    ) -> bytes | FailedExchange:
        parts: list[bytes] = []
        with self._memory.receiving(connection) as partial:
            while chunk := await payload.readany():
                parts.append(chunk)
                self._memory.add(partial, len(chunk))
                if partial.size > MAX_RESPONSE_BYTES:
                    return FailedExchange(
                        f"response body exceeds {partial.size} bytes", True
                    )
        return b"".join(parts)

    def _update_idle_reuse(self, fields: object) -> None:
        seconds = headers.keep_alive_seconds(fields)
        if seconds is not None:
            self.idle_reuse_seconds = max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)
