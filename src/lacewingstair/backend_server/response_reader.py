"""Reads the responses of the backend server and matches each one to its call."""

import asyncio

import attrs
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from lacewingstair import events
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.response_memory import (
    PartialResponse,
    ResponseMemory,
)
from lacewingstair.final_responses import (
    FaultKind,
    ResponseFault,
    find_head_fault,
    reason_phrase,
)
from lacewingstair.platform import headers

MAX_RESPONSE_BYTES = 64 << 20
DEFAULT_IDLE_REUSE_SECONDS = 4.0
# Idle connections are not reused this shortly before the backend server closes them.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
FIRST_REDIRECTION_STATUS = 300
# Responses to other calls are skipped; with this many, the connection is closed.
MAX_STRAY_RESPONSES = 3
# How often it is checked whether other VMs have taken enough to read on.
UNSENT_CHECK_SECONDS = 0.02


@attrs.frozen
class UpstreamResponse:
    """Complete response to a call; `reason` has one character for each byte."""

    status: int
    reason: str
    fields: object
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class FailedExchange:
    """Reason why there is no complete response.

    Parameters
    ----------
    reason : str
        Description.
    is_sent : bool
        Whether the call may have run.
    is_timeout : bool
        Whether its time was over.
    fault_kind : FaultKind, optional
        What is wrong with the response, if there is one outside the protocol.
    """

    reason: str
    is_sent: bool
    is_timeout: bool = False
    fault_kind: FaultKind | None = None


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
            fault = _find_fault(message)
            if fault is not None:
                return FailedExchange(fault.reason, True, fault_kind=fault.kind)
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
                is_success = message.code < FIRST_REDIRECTION_STATUS
                if is_success and headers.SIGNATURE not in message.headers:
                    return FailedExchange("successful response is not signed", True)
                return UpstreamResponse(
                    message.code,
                    reason_phrase(message),
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
                await self._until_taken(partial)
                parts.append(chunk)
                self._memory.add(partial, len(chunk))
                if partial.size > MAX_RESPONSE_BYTES:
                    reason = f"response body exceeds {MAX_RESPONSE_BYTES} bytes"
                    return FailedExchange(reason, True)
        return b"".join(parts)

    async def _until_taken(self, partial: PartialResponse) -> None:
        """Wait until other VMs have taken enough to read on."""
        while not self._memory.may_read(partial):  # noqa: ASYNC110 - plain state
            await asyncio.sleep(UNSENT_CHECK_SECONDS)

    def _update_idle_reuse(self, fields: object) -> None:
        seconds = headers.keep_alive_seconds(fields)
        if seconds is not None:
            self.idle_reuse_seconds = max(0.0, seconds - KEEP_ALIVE_MARGIN_SECONDS)


def _find_fault(message: RawResponseMessage) -> ResponseFault | None:
    """Return why a response is unusable by its head, or None."""
    fault = find_head_fault(message, headers.SINGLE_ANSWER_FIELDS)
    if fault is not None:
        return fault
    is_success = message.code < FIRST_REDIRECTION_STATUS
    if is_success and headers.is_not_run(message.code, message.headers):
        reason = f"status {message.code} of a call that is stated not to have run"
        return ResponseFault(FaultKind.CONTRADICTION, reason)
    return None
