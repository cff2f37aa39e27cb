"""Connections of one admission proxy to its backend server.

Connects that fail show either that the backend server is down or that it accepts no
more connections. In the second case the number of running calls is limited for a while.
"""

from collections.abc import Callable

from result import Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.backend_server.response_reader import ResponseReader
from lacewingstair.errors import ConnectError, ConnectionsBusy
from lacewingstair.runtime import Clock

# Time after a failed connect for which calls run only on established connections.
CONNECTION_LIMIT_SECONDS = 1.0
# Delay of the retry of a connect that fails while no connection is in use.
CONNECT_RETRY_SECONDS = 0.1
# A new connection that ends this soon without a response exceeded the connection limit
# of the backend server; a call that runs would mostly take longer.
RESET_ON_ACCEPT_SECONDS = 0.05
# The backend server counts as unreachable once connects have timed out or been reset
# for this long; a single lost packet delays a connect by a second.
UNREACHABLE_AFTER_SECONDS = 1.5


class UpstreamConnections:
    """Acquires connections for calls and gives them back.

    Parameters
    ----------
    address : str
        ``ip:port`` of the backend server.
    clock : Clock
        Source of time.
    pool : ConnectionPool
        Connections to the backend server.
    reader : ResponseReader
        Knows the idle time after which a connection is not used again.
    max_connections : callable
        Returns the connection limit of the backend server.
    limit_running : callable
        Limits the running calls to a number until a time in monotonic seconds.
    on_unreachable : callable
        Called when failed connects show that the backend server is down.

    Attributes
    ----------
    in_use : set of UpstreamConnection
        Connections that run a call.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        pool: ConnectionPool,
        reader: ResponseReader,
        max_connections: Callable[[], int],
        limit_running: Callable[[int, float], None],
        on_unreachable: Callable[[], None],
    ) -> None:
        self._address = address
        self._clock = clock
        self._pool = pool
        self._reader = reader
        self._max_connections = max_connections
        self._limit_running = limit_running
        self._on_unreachable = on_unreachable
        # Start of the first failed connect since the last success, or None.
        self._connects_failing_since: float | None = None
        self.in_use: set[UpstreamConnection] = set()

    async def acquire(
        self, deadline: float
    ) -> Result[UpstreamConnection, ConnectError | ConnectionsBusy]:
        """Return a connection; retry a connect that may fail by chance."""
        acquired = await self._acquire_once()
        if isinstance(acquired, Ok) or self._established_in_use():
            return acquired
        error = acquired.err_value
        is_certain = isinstance(error, ConnectError) and error.is_refused
        has_time = self._clock.monotonic() + CONNECT_RETRY_SECONDS < deadline
        if is_certain or not has_time:
            return acquired
        await self._clock.sleep(CONNECT_RETRY_SECONDS)
        return await self._acquire_once()

    async def _acquire_once(
        self,
    ) -> Result[UpstreamConnection, ConnectError | ConnectionsBusy]:
        started_at = self._clock.monotonic()
        acquired = await self._pool.acquire(
            self._address, self._max_connections(), self._reader.idle_reuse_seconds
        )
        if isinstance(acquired, Ok):
            self._connects_failing_since = None
        elif self._connects_failing_since is None:
            self._connects_failing_since = started_at
        return acquired

    def handle_failure(
        self, request_id: str, error: ConnectError | ConnectionsBusy
    ) -> None:
        """Report the backend server unreachable, or limit the running calls."""
        in_use = self._established_in_use()
        has_gone = isinstance(error, ConnectError) and self._is_unreachable(
            error, in_use
        )
        events.warning(
            "upstream_unreachable",
            call=request_id,
            error=error,
            connections_in_use=in_use,
            has_gone=has_gone,
        )
        if has_gone:
            self._on_unreachable()
            return
        # Without an established connection, one call at a time keeps connecting.
        self._limit_calls(max(1, in_use))

    def _is_unreachable(self, error: ConnectError, in_use: int) -> bool:
        """Return whether a failed connect shows that the backend server is down.

        A live backend server also resets connections beyond its limit, and may be slow
        to accept them. The kernel closes all connections of a process that ends, so an
        established one shows that the backend server is up.
        """
        if in_use:
            return False
        if error.is_refused:
            return True
        since = self._connects_failing_since
        failing_seconds = 0.0 if since is None else self._clock.monotonic() - since
        return failing_seconds >= UNREACHABLE_AFTER_SECONDS

    def _limit_calls(self, running: int) -> None:
        until = self._clock.monotonic() + CONNECTION_LIMIT_SECONDS
        self._limit_running(running, until)

    def limit_after_early_reset(self, connection: UpstreamConnection) -> None:
        """Limit the running calls if a connection was reset right after its accept."""
        age = self._clock.monotonic() - connection.last_used_at
        is_new = connection.calls == 1 and not connection.has_received
        in_use = self._established_in_use()
        if is_new and age < RESET_ON_ACCEPT_SECONDS and in_use:
            self._limit_calls(in_use)

    def _established_in_use(self) -> int:
        """Return the number of connections in use that are still established."""
        return sum(connection.is_connected() for connection in self.in_use)

    def end_call(self, connection: UpstreamConnection, *, is_reusable: bool) -> None:
        """Give back a connection after its call, or close it."""
        self.in_use.discard(connection)
        if is_reusable:
            self._pool.release(self._address, connection)
        else:
            self._pool.discard(self._address, connection)
