"""HTTP servers of the daemon: limits on requests, listening and draining."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from result import Err, Ok, Result

from lacewingstair.addresses import split_address
from lacewingstair.caller.connections.client_limits import (
    MAX_APPLICATION_CONNECTIONS,
    CloseReason,
)
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.excess_connections import (
    MAX_REFUSED_CONNECTIONS,
    FullConnection,
    WaitingConnection,
)
from lacewingstair.caller.connections.guarded_connection import (
    LINGER_SECONDS,
    GuardedConnection,
)
from lacewingstair.caller.connections.pipelining import MayRunAhead, PipelinedConnection
from lacewingstair.early_listening import BACKLOG, SocketsByAddress
from lacewingstair.errors import ListenError

# Idle connections of callers are closed by callers, which know their own pools; the
# limit only removes connections whose other end has gone silent.
KEEPALIVE_SECONDS = 600.0
# A name of one character, a colon and the end of the line: the limit on the bytes of a
# head is the one that a client meets.
MIN_HEADER_LINE_BYTES = 4
READ_BYTES = 64 << 10

MAX_CONNECTIONS = 4096
CallHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class LimitedServer(web.Server):
    """Server with a limit on its open connections.

    A connection beyond the limit takes the place of one that is idle for long. While
    there are connections that have never sent anything, it may also send its request
    and take the place of the oldest of them. Otherwise it is answered 503, not run.

    Parameters
    ----------
    handler : callable
        Answers one request.
    guard : ConnectionGuard
        Watches the connections of the process.
    max_connections : int
        Connections open at a time.
    **options
        Options of aiohttp's server.

    Attributes
    ----------
    silent_connections : dict
        Connections that have never sent anything, the oldest first; values are None.
    """

    def __init__(
        self,
        handler: CallHandler,
        guard: ConnectionGuard,
        max_connections: int,
        **options,
    ) -> None:
        super().__init__(handler, **options)
        self.guard = guard
        self.max_connections = max_connections
        self.silent_connections: dict[GuardedConnection, None] = {}
        self._refused: set[FullConnection] = set()

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        if len(self._connections) >= self.max_connections:
            found = self.connections
            # The connection that is closed leaves a moment later.
            has_room = len(found) < self.max_connections + MAX_REFUSED_CONNECTIONS
            if not (has_room and self.guard.make_room(self, found)):
                if has_room and self.silent_connections:
                    return WaitingConnection(self.guard, self._replace_silent)
                return self._full_connection()
        return self._connection()

    def _replace_silent(self) -> asyncio.Protocol:
        """Return the protocol of a connection that has sent something while it waited.

        The oldest connection that has never sent anything is closed for it.
        """
        if not self.silent_connections:
            return self._full_connection()
        oldest = next(iter(self.silent_connections))
        del self.silent_connections[oldest]
        self.guard.close_silent(oldest)
        return self._connection()

    def _full_connection(self) -> FullConnection:
        self.guard.count(CloseReason.CONNECTIONS)
        return FullConnection(self._refused)

    def _connection(self) -> GuardedConnection:
        return GuardedConnection(self, self.guard, loop=self._loop, **self._kwargs)


class CallServer(LimitedServer):
    """Server for callers, which knows what is unsent.

    Parameters
    ----------
    handle_call : callable
        Answers one call.
    request_class : type
        Class of the requests.
    max_connections : int
        Connections open at a time; further ones are answered 503, not run.
    may_run_ahead : callable
        Returns whether a call may run while earlier ones of its connection are open.
    guard : ConnectionGuard
        Watches the connections of the process.
    **options
        Options of aiohttp's server.
    """

    def __init__(
        self,
        handle_call: CallHandler,
        request_class: type[web.BaseRequest],
        max_connections: int,
        may_run_ahead: MayRunAhead,
        guard: ConnectionGuard,
        **options,
    ) -> None:
        super().__init__(
            _respond, guard, max_connections, request_factory=_begin, **options
        )
        self.handle_call = handle_call
        self.request_class = request_class
        self._may_run_ahead = may_run_ahead
        self._transports_by_handler: dict[web.RequestHandler, asyncio.Transport] = {}

    @property
    def queued_calls(self) -> int:
        """Calls that wait for earlier ones of their connections."""
        return sum(handler.queued_calls for handler in self._transports_by_handler)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that callers have not taken yet, beyond the kernel's."""
        transports = self._transports_by_handler.values()
        return sum(transport.get_write_buffer_size() for transport in transports)

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Note a new connection."""
        super().connection_made(handler, transport)
        self._transports_by_handler[handler] = transport

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forget a connection, which has sent what it could."""
        super().connection_lost(handler, exc)
        self._transports_by_handler.pop(handler, None)

    def _connection(self) -> GuardedConnection:
        return PipelinedConnection(
            self, self.guard, self._may_run_ahead, loop=self._loop, **self._kwargs
        )


def _begin(
    message: RawRequestMessage,
    payload: StreamReader,
    connection: PipelinedConnection,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    return connection.begin(message, payload, writer, task)


async def _respond(request: web.BaseRequest) -> web.StreamResponse:
    return await request.protocol.respond(request)


def _never_ahead(_: web.BaseRequest) -> bool:
    return False


def call_server(
    handler: CallHandler,
    is_leaving: Callable[[], bool],
    max_header_bytes: int,
    max_connections: int = MAX_CONNECTIONS,
    buffer_bytes: int = READ_BYTES,
    may_run_ahead: MayRunAhead = _never_ahead,
    guard: ConnectionGuard | None = None,
) -> CallServer:
    """Return the server for callers; needs a running event loop.

    Parameters
    ----------
    handler : callable
        Answers one call. It enforces the limit on bodies, which depends on the route.
    is_leaving : callable
        While true, the last answer of a connection carries ``Connection: close``, so
        that callers go elsewhere and no connection is closed while a caller sends its
        next call on it.
    max_header_bytes : int
        Longest request line and header field.
    max_connections : int
        Connections open at a time; further ones are answered 503, not run.
    buffer_bytes : int
        Bytes of a request that are buffered.
    may_run_ahead : callable, optional
        Returns whether a call may run while earlier ones of its connection are open;
        by default none may. The handler must return a `RawResponse` to such calls.
    guard : ConnectionGuard, optional
        Watches the connections of the process; one with the default limits otherwise.
    """

    class Request(web.BaseRequest):
        # Seconds for which the request waited for earlier ones of its connection.
        waited_seconds = 0.0
        # Bytes of the body that the handler has read and keeps.
        kept_body_bytes = 0

        @property
        def keep_alive(self) -> bool:
            # Calls that were read behind this one are answered as well.
            has_next = bool(self.protocol._messages)
            return (has_next or not is_leaving()) and super().keep_alive

    guard = guard or ConnectionGuard()
    return CallServer(
        handler,
        Request,
        max_connections,
        may_run_ahead,
        guard,
        # A caller that leaves cancels its call.
        handler_cancellation=True,
        # Bodies are passed on as they came.
        auto_decompress=False,
        read_bufsize=buffer_bytes,
        lingering_time=LINGER_SECONDS,
        **_limits(max_header_bytes, guard),
    )


class _ApplicationRunner(web.AppRunner):
    """Runner whose server has a limit on its connections."""

    def __init__(
        self,
        application: web.Application,
        guard: ConnectionGuard,
        max_connections: int,
        **options,
    ) -> None:
        super().__init__(application, **options)
        self._guard = guard
        self._max_connections = max_connections

    async def _make_server(self) -> LimitedServer:
        made = await super()._make_server()
        return LimitedServer(
            made.request_handler,
            self._guard,
            self._max_connections,
            request_factory=made.request_factory,
            loop=made._loop,
            **made._kwargs,
        )


def application_runner(
    application: web.Application,
    max_header_bytes: int,
    guard: ConnectionGuard | None = None,
    max_connections: int = MAX_APPLICATION_CONNECTIONS,
) -> web.AppRunner:
    """Return the server of an application that limits its bodies itself.

    Parameters
    ----------
    application : web.Application
        Application.
    max_header_bytes : int
        Longest request line and header field.
    guard : ConnectionGuard, optional
        Watches the connections of the process; one with the default limits otherwise.
    max_connections : int
        Connections open at a time.
    """
    guard = guard or ConnectionGuard()
    return _ApplicationRunner(
        application,
        guard,
        max_connections,
        shutdown_timeout=1.0,
        **_limits(max_header_bytes, guard),
    )


async def listen(
    runner: web.AppRunner | web.ServerRunner,
    address: str,
    listening: socket.socket | None = None,
) -> Result[None, ListenError]:
    """Set up a server and accept connections on ``ip:port``.

    Parameters
    ----------
    runner
        Server.
    address : str
        Where it listens.
    listening : socket, optional
        Socket that listens there already.
    """
    await runner.setup()
    host, port = split_address(address)
    site = (
        web.TCPSite(runner, host, port, backlog=BACKLOG)
        if listening is None
        else web.SockSite(runner, listening, backlog=BACKLOG)
    )
    try:
        await site.start()
    except OSError as error:
        return Err(ListenError(address, error.strerror or str(error)))
    return Ok(None)


async def listen_all(
    interfaces: Iterable[tuple[str, web.AppRunner | web.ServerRunner]],
    runners: list[web.AppRunner | web.ServerRunner],
    sockets_by_address: SocketsByAddress | None = None,
) -> Result[None, ListenError]:
    """Set up servers at their addresses until one cannot listen.

    Parameters
    ----------
    interfaces : iterable
        Addresses and their servers.
    runners : list
        Gets the servers that were set up, for the end.
    sockets_by_address : mapping, optional
        Sockets that listen already.
    """
    sockets_by_address = sockets_by_address or {}
    for address, runner in interfaces:
        runners.append(runner)
        served = await listen(runner, address, sockets_by_address.get(address))
        if isinstance(served, Err):
            return served
    return Ok(None)


def _limits(max_header_bytes: int, guard: ConnectionGuard) -> dict[str, Any]:
    return {
        "access_log": None,
        "keepalive_timeout": KEEPALIVE_SECONDS,
        "max_headers": guard.limits.max_head_bytes // MIN_HEADER_LINE_BYTES,
        "max_line_size": max_header_bytes,
        "max_field_size": max_header_bytes,
    }
