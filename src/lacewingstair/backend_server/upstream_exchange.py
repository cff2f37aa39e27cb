"""Sends calls to the local backend server and waits for their responses."""

import asyncio
from collections import Counter

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.response_reader import (
    FailedExchange,
    ResponseReader,
    UpstreamResponse,
)
from lacewingstair.backend_server.running_calls import RunningCall
from lacewingstair.backend_server.upstream_connections import UpstreamConnections
from lacewingstair.final_responses import FaultKind
from lacewingstair.platform import headers
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import CallRequest, SendOrigin

# The backend server responds at the deadline itself, so its response comes just after.
RESPONSE_GRACE_SECONDS = 0.1


class UpstreamExchange:
    """Sends calls, each on a connection that has been acquired for it.

    Parameters
    ----------
    connections : UpstreamConnections
        Connections to the backend server.
    reader : ResponseReader
        Reads the responses.
    clock : Clock
        Source of time.

    Attributes
    ----------
    arrivals_by_origin : Counter
        Calls sent since the start, by the reason of sending.
    """

    def __init__(
        self, connections: UpstreamConnections, reader: ResponseReader, clock: Clock
    ) -> None:
        self._connections = connections
        self._reader = reader
        self._clock = clock
        self.arrivals_by_origin: Counter[SendOrigin] = Counter()

    async def send(
        self,
        run: RunningCall,
        connection: UpstreamConnection,
        deadline: float,
        upstream_id: str,
    ) -> UpstreamResponse | FailedExchange:
        """Send a call and return its response; release or close the connection."""
        call = run.call
        remaining_ms = (deadline - self._clock.monotonic()) * 1000
        head = b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
            call.method.encode(),
            call.target.encode(),
            call.header_lines,
            headers.upstream_lines(upstream_id, remaining_ms),
            _content_length_header(call),
        )
        connection.begin_call(is_head=call.method == "HEAD")
        self._connections.in_use.add(connection)
        is_complete = False
        try:
            async with asyncio.timeout(remaining_ms / 1000 + RESPONSE_GRACE_SECONDS):
                if not connection.write_call(head, call.body):
                    self._connections.limit_after_early_reset(connection)
                    return FailedExchange("connection was already closed", False)
                self.arrivals_by_origin[call.origin] += 1
                received = await self._reader.receive(call.request_id, connection)
                is_complete = isinstance(received, UpstreamResponse)
                return received
        except TimeoutError:
            return FailedExchange("no answer in time", True, is_timeout=True)
        except (ClientError, HttpProcessingError, OSError) as error:
            self._connections.limit_after_early_reset(connection)
            kind = (
                FaultKind.MALFORMED if isinstance(error, HttpProcessingError) else None
            )
            reason = str(error) or type(error).__name__
            return FailedExchange(reason, True, fault_kind=kind)
        finally:
            is_reusable = is_complete and not run.watched.is_silent
            self._connections.end_call(connection, is_reusable=is_reusable)


def _content_length_header(call: CallRequest) -> bytes:
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        return b"Content-Length: %d\r\n" % len(call.body)
    return b""
