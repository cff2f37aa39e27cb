"""Connections beyond the limit of a server."""

import asyncio
from collections.abc import Callable

from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.guarded_connection import LINGER_SECONDS

# How long a connection beyond the limit may take to send the begin of a request.
MAX_WAIT_SECONDS = 1.0
# The call did not run: nothing of it was passed on.
_FULL_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Lacewingstair-Outcome: not-run\r\nLacewingstair-Retry: no\r\n"
    b"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b"
)
_FULL_BODY = b'{"error": "too many connections of callers"}'

# Connections beyond the limit that are answered; further ones are closed unanswered.
MAX_REFUSED_CONNECTIONS = 64


class FullConnection(asyncio.Protocol):
    """Connection beyond the limit: it is answered and closed, whatever it asks.

    Parameters
    ----------
    open_connections : set
        Connections of this kind that are open.
    """

    def __init__(self, open_connections: set["FullConnection"]) -> None:
        self._open_connections = open_connections

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._open_connections.discard(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Answer; input is read for a while, so that no reset loses the answer."""
        if len(self._open_connections) >= MAX_REFUSED_CONNECTIONS:
            transport.abort()
            return
        self._open_connections.add(self)
        transport.write(_FULL_ANSWER % (len(_FULL_BODY), _FULL_BODY))
        transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_SECONDS, transport.close)


class WaitingConnection(asyncio.Protocol):
    """Connection beyond the limit that may take the place of one without a request.

    Parameters
    ----------
    guard : ConnectionGuard
        Watches the connections of the process.
    find_place : callable
        Returns the protocol that serves or refuses the connection once it has sent
        something.
    """

    def __init__(
        self, guard: ConnectionGuard, find_place: Callable[[], asyncio.Protocol]
    ) -> None:
        self._guard = guard
        self._find_place = find_place
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first bytes of a request."""
        self._transport = transport
        self._guard.add_waiting(self)
        asyncio.get_running_loop().call_later(MAX_WAIT_SECONDS, self._end_wait)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._guard.discard_waiting(self)

    def data_received(self, data: bytes) -> None:
        """Hand the connection to the protocol that serves it, or that refuses it."""
        self._guard.discard_waiting(self)
        protocol = self._find_place()
        self._transport.set_protocol(protocol)
        protocol.connection_made(self._transport)
        protocol.data_received(data)

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def _end_wait(self) -> None:
        if self._transport.get_protocol() is self:
            self._transport.abort()
